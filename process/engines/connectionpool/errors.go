package connectionpool

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// isNetworkError reports whether an error comes from the connection and not from the response's syntax.
func isNetworkError(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isDisconnect reports whether an error is the end of a connection, and not a time-out.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

package listener

import (
	"net"
	"time"
)

// KeepAliveListener keeps idle connections open for longer than the server's fixed idle limit, where the
// configuration in force allows callers more. The server knows one limit for its whole life; this one may change.
type KeepAliveListener struct {
	net.Listener
	// ReadLimit and IdleLimit are the server's own limits for reading a request and for an idle connection. A deadline
	// that is further away than ReadLimit is taken to be one of an idle connection.
	ReadLimit, IdleLimit time.Duration
	// KeepAlive is how long the configuration in force lets connections idle; zero means that it says nothing.
	KeepAlive func() time.Duration
}

// Accept returns the next connection.
func (l *KeepAliveListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &keepAliveConn{TCPConn: tcp, listener: l}, nil
	}
	return conn, err
}

// keepAliveConn is one connection of a KeepAliveListener. It embeds the TCP connection, so that the gateway can look at
// the descriptor to see whether the caller has left.
type keepAliveConn struct {
	*net.TCPConn
	listener *KeepAliveListener
}

// SetReadDeadline extends the deadlines of idle connections, and leaves those of requests alone.
func (c *keepAliveConn) SetReadDeadline(deadline time.Time) error {
	if extension := c.listener.KeepAlive() - c.listener.IdleLimit; extension > 0 && time.Until(deadline) > c.listener.ReadLimit {
		deadline = deadline.Add(extension)
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

package sessionapi

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lookEvery is how often a waiting caller's connection is looked at.
const pollInterval = 200 * time.Millisecond

// interim is an answer that any HTTP/1.1 caller passes over while it waits for the final one.
const interimAnswer = "HTTP/1.1 102 Processing\r\n\r\n"

// clientWatch checks whether a waiting client is still connected.
type clientWatch struct {
	conn net.Conn
	raw  syscall.RawConn
	// interimAllowed says that an interim answer may be sent, interimSent that one was.
	interimAllowed, interimSent bool
}

func newClientWatch(conn net.Conn, interimAllowed bool) *clientWatch {
	watch := &clientWatch{conn: conn, interimAllowed: interimAllowed}
	if underlying, ok := conn.(syscall.Conn); ok {
		// Without a raw connection nothing can be checked; the client is then taken to be connected.
		watch.raw, _ = underlying.SyscallConn()
	}
	return watch
}

// disconnected says whether the client has disconnected. One that only closed its sending side looks the same as one
// that closed its connection, until something is sent to it: the latter's system answers with a reset.
func (w *clientWatch) disconnected() bool {
	if w.raw == nil {
		return false
	}
	var seen int16
	if w.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(poll, 0); err == nil {
			seen = poll[0].Revents
		}
	}) != nil {
		return true
	}
	if seen&(unix.POLLERR|unix.POLLHUP) != 0 {
		return true
	}
	if seen&unix.POLLRDHUP != 0 && w.interimAllowed && !w.interimSent {
		w.interimSent = true
		_ = w.conn.SetWriteDeadline(time.Now().Add(pollInterval))
		_, err := w.conn.Write([]byte(interimAnswer))
		_ = w.conn.SetWriteDeadline(time.Time{})
		return err != nil
	}
	return false
}

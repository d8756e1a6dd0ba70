package daemon

import (
	"net"
	"time"
)

const (
	// callerReadLimit is how long a request may take to be read, restLimit how long a kept connection may rest where the
	// bundle in force says nothing longer. A server waits for longer than callerReadLimit only while a connection rests.
	callerReadLimit = 20 * time.Second
	restLimit       = time.Minute
)

// restingListener lets connections rest for as long as the bundle in force allows callers to.
type restingListener struct {
	net.Listener
	// read and usual are the server's own limits, rest is what the bundle in force allows.
	read, usual time.Duration
	rest        func() time.Duration
}

// Accept takes the next connection.
func (l *restingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &restingConn{TCPConn: tcp, listener: l}, nil
	}
	return conn, err
}

// restingConn is one connection of such a listener. It has all of the connection's ways, since callers are looked at
// by its descriptor.
type restingConn struct {
	*net.TCPConn
	listener *restingListener
}

// SetReadDeadline puts off what is the end of a rest.
func (c *restingConn) SetReadDeadline(at time.Time) error {
	if longer := c.listener.rest() - c.listener.usual; longer > 0 && time.Until(at) > c.listener.read {
		at = at.Add(longer)
	}
	return c.TCPConn.SetReadDeadline(at)
}

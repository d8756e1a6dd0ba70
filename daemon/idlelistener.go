package daemon

import (
	"net"
	"time"
)

const (
	// callerReadLimit is how long a request may take to be read, restLimit how long a kept connection may rest where the
	// bundle in force says nothing longer. A server waits for longer than callerReadLimit only while a connection rests.
	callerReadLimit = 20 * time.Second
	keepAliveLimit  = time.Minute
)

// restingListener lets connections rest for as long as the bundle in force allows callers to.
type keepAliveListener struct {
	net.Listener
	// read and usual are the server's own limits, rest is what the bundle in force allows.
	readLimit, idleLimit time.Duration
	keepAlive            func() time.Duration
}

// Accept takes the next connection.
func (l *keepAliveListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &keepAliveConn{TCPConn: tcp, listener: l}, nil
	}
	return conn, err
}

// restingConn is one connection of such a listener. It has all of the connection's ways, since callers are looked at
// by its descriptor.
type keepAliveConn struct {
	*net.TCPConn
	listener *keepAliveListener
}

// SetReadDeadline puts off what is the end of a rest.
func (c *keepAliveConn) SetReadDeadline(at time.Time) error {
	if longer := c.listener.keepAlive() - c.listener.idleLimit; longer > 0 && time.Until(at) > c.listener.readLimit {
		at = at.Add(longer)
	}
	return c.TCPConn.SetReadDeadline(at)
}

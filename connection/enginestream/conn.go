package enginestream

import (
	"net"
	"time"
)

// dialTimeout bounds the wait for a connection to an engine.
const dialTimeout = 800 * time.Millisecond

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	sent, received int64
}

// Read counts the bytes received.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	return n, err
}

// Write counts the bytes sent.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

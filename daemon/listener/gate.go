package listener

import (
	"net"
	"sync"
)

// Gate is closed until it is opened, once and for good.
type Gate struct {
	once   sync.Once
	opened chan struct{}
}

// NewGate returns a closed gate.
func NewGate() *Gate { return &Gate{opened: make(chan struct{})} }

// Open opens the gate. It may be called any number of times, from any goroutine.
func (g *Gate) Open() { g.once.Do(func() { close(g.opened) }) }

// GatedListener accepts nothing before its gate is open. Until then connections wait, with requests that nobody has
// read, in the kernel's accept queue: a daemon that can't serve yet could only reject them.
type GatedListener struct {
	net.Listener
	Gate *Gate
}

// Accept waits for the gate, and returns the next connection.
func (l *GatedListener) Accept() (net.Conn, error) {
	<-l.Gate.opened
	return l.Listener.Accept()
}

// Close closes the listener, and frees whoever waits at the gate.
func (l *GatedListener) Close() error {
	l.Gate.Open()
	return l.Listener.Close()
}

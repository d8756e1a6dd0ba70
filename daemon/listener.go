package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/process/daemonconfig"
)

const (
	// listenEvery is how often an address that another has is tried again.
	listenEvery      = 200 * time.Millisecond
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 200 * time.Millisecond
)

// listen takes an address; where the settings say to wait, for as long as another has it.
func (d *Daemon) listen(stop <-chan struct{}, field, address string) (net.Listener, error) {
	ticker := time.NewTicker(listenEvery)
	defer ticker.Stop()
	for logged := false; ; logged = true {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return &retryingListener{Listener: listener, retry: d.config.OnFault == daemonconfig.RetryOnFault, faults: &d.counters.listenerFaults}, nil
		}
		err = eris.Wrapf(err, "%s %s cannot be used", field, address)
		if d.config.OnFault != daemonconfig.RetryOnFault {
			return nil, err
		}
		if !logged {
			d.log.WithError(err).Warn("waiting for an address")
		}
		select {
		case <-stop:
			return nil, err
		case <-ticker.C:
		}
	}
}

// server is what serves a listener until it is closed.
type server interface {
	Serve(listener net.Listener) error
}

// serveFunc is a server that is one function.
type serveFunc func(listener net.Listener) error

// Serve serves a listener.
func (f serveFunc) Serve(listener net.Listener) error { return f(listener) }

// serveOn serves a listener; where the settings say to wait, one that fails is followed by another.
func (d *Daemon) serveOn(ctx context.Context, serving server, listener net.Listener, field, address string) {
	for {
		err := serving.Serve(listener)
		if err == nil || ctx.Err() != nil || d.draining.Load() || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return
		}
		err = eris.Wrapf(err, "%s %s failed", field, address)
		if d.config.OnFault != daemonconfig.RetryOnFault {
			d.abort(err)
			return
		}
		d.log.WithError(err).Warn("listening again")
		listener.Close()
		if listener, err = d.listen(ctx.Done(), field, address); err != nil {
			return
		}
	}
}

// retryingListener goes on accepting where one connection could not be: the other side may be gone already, or
// this process may have no descriptor left for the moment. Only its own end ends it.
type retryingListener struct {
	net.Listener
	retry  bool
	faults *atomic.Uint64
}

// Accept takes the next connection.
func (l *retryingListener) Accept() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		conn, err := l.Listener.Accept()
		if err == nil || !l.retry || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.faults.Add(1)
		// Whoever holds descriptors needs a moment to let go of some.
		<-time.After(backoff)
	}
}

// gate is shut until it is opened, once and for all.
type gate struct {
	once   sync.Once
	opened chan struct{}
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

// open opens it.
func (g *gate) open() { g.once.Do(func() { close(g.opened) }) }

// gatedListener accepts nothing before its gate is open. Whoever connects meanwhile waits in the queue of the
// system with a request that nobody has read: a daemon that has nothing to serve by could only refuse it.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept takes the next connection.
func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate.opened
	return l.Listener.Accept()
}

// Close ends the listener, also for who waits at the gate.
func (l *gatedListener) Close() error {
	l.gate.open()
	return l.Listener.Close()
}

package listener

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
)

// flakyListener is a listener that has no descriptor left for some accepts.
type flakyListener struct {
	net.Listener
	fails int
	last  error
}

func (s *flakyListener) Accept() (net.Conn, error) {
	if s.fails > 0 {
		s.fails--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, s.last
}

func TestListenerKeepsAcceptingWhenOutOfDescriptors(t *testing.T) {
	var faults atomic.Uint64
	steady := &retryingListener{Listener: &flakyListener{fails: 3, last: net.ErrClosed}, retry: true, faults: &faults}
	if _, err := steady.Accept(); !errors.Is(err, net.ErrClosed) || faults.Load() != 3 {
		t.Errorf("%v after %d faults", err, faults.Load())
	}
	steady = &retryingListener{Listener: &flakyListener{fails: 3, last: net.ErrClosed}, faults: &faults}
	if _, err := steady.Accept(); !errors.Is(err, syscall.EMFILE) {
		t.Error("without retries the fault was hidden:", err)
	}
}

// gateObserver says whether its gate was open when a connection was taken.
type gateObserver struct {
	net.Listener
	gate   *Gate
	early  bool
	closed chan struct{}
}

func (g *gateObserver) Accept() (net.Conn, error) {
	select {
	case <-g.gate.opened:
	default:
		g.early = true
	}
	return nil, net.ErrClosed
}

func (g *gateObserver) Close() error { close(g.closed); return nil }

// TestGatedListenerAcceptsNothingUntilItsGateOpens: nobody is accepted before the gate is open, and the end of
// the listener frees who waits at it.
func TestGatedListenerAcceptsNothingUntilItsGateOpens(t *testing.T) {
	for _, end := range []func(*GatedListener){
		func(l *GatedListener) { l.Gate.Open() },
		func(l *GatedListener) { _ = l.Close() },
	} {
		shut := NewGate()
		under := &gateObserver{gate: shut, closed: make(chan struct{})}
		listener := &GatedListener{Listener: under, Gate: shut}
		began, accepted := make(chan struct{}), make(chan error)
		go func() {
			close(began)
			_, err := listener.Accept()
			accepted <- err
		}()
		<-began
		end(listener)
		if err := <-accepted; !errors.Is(err, net.ErrClosed) || under.early {
			t.Errorf("%v, early %t", err, under.early)
		}
		// It stays open, whoever else opens it.
		shut.Open()
		if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) || under.early {
			t.Errorf("%v, early %t", err, under.early)
		}
	}
}

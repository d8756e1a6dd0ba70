package daemon

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
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
	var troubles atomic.Uint64
	steady := &retryingListener{Listener: &flakyListener{fails: 3, last: net.ErrClosed}, retry: true, faults: &troubles}
	if _, err := steady.Accept(); !errors.Is(err, net.ErrClosed) || troubles.Load() != 3 {
		t.Errorf("%v after %d troubles", err, troubles.Load())
	}
	steady = &retryingListener{Listener: &flakyListener{fails: 3, last: net.ErrClosed}, faults: &troubles}
	if _, err := steady.Accept(); !errors.Is(err, syscall.EMFILE) {
		t.Error("where a person is to look, the trouble was hidden:", err)
	}
}

func TestMaxConnectionsReservesDescriptors(t *testing.T) {
	for descriptors, want := range map[int]int{0: 8192, 4100: 2340, 100: 64, 1 << 20: 8192} {
		if got := maxConnections(descriptors); got != want {
			t.Errorf("of %d descriptors callers may take %d, and not %d", descriptors, got, want)
		}
	}
}

// gateObserver says whether its gate was open when a connection was taken.
type gateObserver struct {
	net.Listener
	gate   *gate
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
	for _, end := range []func(*gatedListener){
		func(l *gatedListener) { l.gate.open() },
		func(l *gatedListener) { _ = l.Close() },
	} {
		shut := newGate()
		under := &gateObserver{gate: shut, closed: make(chan struct{})}
		listener := &gatedListener{Listener: under, gate: shut}
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
		shut.open()
		if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) || under.early {
			t.Errorf("%v, early %t", err, under.early)
		}
	}
}

// TestDrainNoticeEndsWithinThePlatformsGracePeriod: a platform that asks once a second has moved on by then, and what
// was sent later than three seconds after the signal must be answered whole, however long its engine takes.
func TestDrainNoticeEndsWithinThePlatformsGracePeriod(t *testing.T) {
	const askedEvery, excusedUntil, onTheWay = time.Second, 3 * time.Second, 200 * time.Millisecond
	if least := unreadyAnswersNeeded*askedEvery + connectionInTransit; maxDrainNotice < least {
		t.Errorf("connections are taken for %v only, and are handed over for %v", maxDrainNotice, least)
	}
	if maxDrainNotice+onTheWay > excusedUntil {
		t.Errorf("connections are taken for %v, and what comes after %v is not excused", maxDrainNotice, excusedUntil)
	}
}

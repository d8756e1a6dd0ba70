package daemon

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
)

// scarce is a listener that has no descriptor left for some accepts.
type scarce struct {
	net.Listener
	fails int
	last  error
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.fails > 0 {
		s.fails--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, s.last
}

func TestAListenerWithoutDescriptorsGoesOnAccepting(t *testing.T) {
	var troubles atomic.Uint64
	steady := &steadyListener{Listener: &scarce{fails: 3, last: net.ErrClosed}, wait: true, troubles: &troubles}
	if _, err := steady.Accept(); !errors.Is(err, net.ErrClosed) || troubles.Load() != 3 {
		t.Errorf("%v after %d troubles", err, troubles.Load())
	}
	steady = &steadyListener{Listener: &scarce{fails: 3, last: net.ErrClosed}, troubles: &troubles}
	if _, err := steady.Accept(); !errors.Is(err, syscall.EMFILE) {
		t.Error("where a person is to look, the trouble was hidden:", err)
	}
}

func TestCallersLeaveDescriptorsForTheRest(t *testing.T) {
	for descriptors, want := range map[int]int{0: 8192, 4100: 2340, 100: 64, 1 << 20: 8192} {
		if got := mostConnections(descriptors); got != want {
			t.Errorf("of %d descriptors callers may take %d, and not %d", descriptors, got, want)
		}
	}
}

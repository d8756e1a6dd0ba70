// Package listener opens the TCP listeners of a daemon and keeps them accepting.
//
// An Opener knows what a fault means in this deployment: either it is returned, and ends the process so that an
// operator looks, or the address is tried again until it can be used. On top of a listener that it opened,
// GatedListener accepts nothing before the daemon can serve, and KeepAliveListener extends how long idle connections
// are kept. The package owns no goroutine: Serve runs on the goroutine of its caller.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
)

const (
	// reopenEvery is how often an address that another process holds is tried again.
	reopenEvery = 200 * time.Millisecond
	// minAcceptBackoff and maxAcceptBackoff bound the backoff after an accept that failed.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 200 * time.Millisecond
)

// Opener opens listeners, and reopens them after faults where Retry is set.
type Opener struct {
	// Retry says that faults are retried; otherwise the first one is returned.
	Retry bool
	Log   log.Interface
	// Faults counts the accepts that failed and were retried.
	Faults *atomic.Uint64
}

// Open listens on a TCP address. Where faults are retried it waits for as long as the address can't be used, or until
// stop is closed. Errors name the setting that the address is from.
func (o *Opener) Open(stop <-chan struct{}, setting, address string) (net.Listener, error) {
	ticker := time.NewTicker(reopenEvery)
	defer ticker.Stop()
	for logged := false; ; logged = true {
		opened, err := net.Listen("tcp", address)
		if err == nil {
			return &retryingListener{Listener: opened, retry: o.Retry, faults: o.Faults}, nil
		}
		err = eris.Wrapf(err, "%s %s cannot be used", setting, address)
		if !o.Retry {
			return nil, err
		}
		if !logged {
			o.Log.WithError(err).WithFields(log.Fields{
				"setting": setting,
				"address": address,
			}).Warn("listen address cannot be used; retrying until it can")
		}
		select {
		case <-stop:
			return nil, err
		case <-ticker.C:
		}
	}
}

// Server serves a listener until the listener or the server is closed. http.Server and fasthttp.Server do.
type Server interface {
	Serve(listener net.Listener) error
}

// ServerFunc is a Server that is one function.
type ServerFunc func(listener net.Listener) error

// Serve calls the function.
func (f ServerFunc) Serve(listener net.Listener) error { return f(listener) }

// Serve runs a server on a listener until ctx ends, stopping says true or either is closed, and returns nil then.
// A listener that fails is replaced by a new one where faults are retried; otherwise its error is returned.
func (o *Opener) Serve(ctx context.Context, server Server, listener net.Listener, setting, address string, stopping func() bool) error {
	for {
		err := server.Serve(listener)
		if err == nil || ctx.Err() != nil || stopping() || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		err = eris.Wrapf(err, "%s %s failed", setting, address)
		if !o.Retry {
			return err
		}
		o.Log.WithError(err).WithFields(log.Fields{
			"setting": setting,
			"address": address,
		}).Warn("listener failed; listening again")
		listener.Close()
		if listener, err = o.Open(ctx.Done(), setting, address); err != nil {
			return nil
		}
	}
}

// retryingListener goes on accepting after an accept that failed: the other side may be gone already, or this process
// may be out of file descriptors for the moment. It ends only when it is closed.
type retryingListener struct {
	net.Listener
	retry  bool
	faults *atomic.Uint64
}

// Accept returns the next connection.
func (l *retryingListener) Accept() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		conn, err := l.Listener.Accept()
		if err == nil || !l.retry || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.faults.Add(1)
		// Descriptors become free only as other connections end.
		<-time.After(backoff)
	}
}

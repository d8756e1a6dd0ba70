package peerclient

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic is what this daemon spends on talking to its peers, both as the one who asks and as the one who is
// asked. It is counted on the connections themselves, so that heads and failed calls are in it too.
type Traffic struct {
	SentBytes, ReceivedBytes atomic.Uint64
	// Requests counts the calls made, Answered those served, Opened the connections made.
	Requests, Served, Connections atomic.Uint64
}

// Listen counts all that comes in and goes out over a listener's connections.
func (t *Traffic) Listen(inner net.Listener) net.Listener { return countedListener{inner, t} }

// Serve counts the calls that a handler serves.
func (t *Traffic) Serve(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.Served.Add(1)
		// Peers share no clock, and read no date.
		w.Header()["Date"] = nil
		inner.ServeHTTP(w, r)
	})
}

// dial counts all that comes in and goes out over the connections it makes.
func (t *Traffic) dial(inner dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := inner(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t.Connections.Add(1)
		return countedConn{conn, t}, nil
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.traffic.ReceivedBytes.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(from []byte) (int, error) {
	// Counted before it leaves: whoever has received it and looks here must find it counted.
	c.traffic.SentBytes.Add(uint64(len(from)))
	n, err := c.Conn.Write(from)
	if unsent := len(from) - n; unsent > 0 {
		c.traffic.SentBytes.Add(-uint64(unsent))
	}
	return n, err
}

// countedRequests counts the calls that a client makes.
type countedRequests struct {
	http.RoundTripper
	traffic *Traffic
}

func (c countedRequests) RoundTrip(request *http.Request) (*http.Response, error) {
	c.traffic.Requests.Add(1)
	return c.RoundTripper.RoundTrip(request)
}

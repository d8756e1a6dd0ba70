package peerclient

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts what this daemon spends on talking to its peers, as client and as server. Bytes are counted on the
// connections themselves, so headers and failed calls are included.
type Traffic struct {
	// SentBytes and ReceivedBytes are over all connections, made and accepted.
	SentBytes, ReceivedBytes atomic.Uint64
	// Requests counts the requests made, Served those served, Connections the connections made.
	Requests, Served, Connections atomic.Uint64
}

// Listen wraps a listener to count the bytes of its connections.
func (t *Traffic) Listen(inner net.Listener) net.Listener { return countedListener{inner, t} }

// Serve wraps a handler to count the requests it serves.
func (t *Traffic) Serve(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.Served.Add(1)
		// Peers share no clock and don't read the date.
		w.Header()["Date"] = nil
		inner.ServeHTTP(w, r)
	})
}

// dial wraps a dial function to count connections and their bytes.
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
	// Counted before it is sent, so that it is counted once the peer has received it.
	c.traffic.SentBytes.Add(uint64(len(from)))
	n, err := c.Conn.Write(from)
	if unsent := len(from) - n; unsent > 0 {
		c.traffic.SentBytes.Add(-uint64(unsent))
	}
	return n, err
}

// countedRequests counts the requests that a client makes.
type countedRequests struct {
	http.RoundTripper
	traffic *Traffic
}

func (c countedRequests) RoundTrip(request *http.Request) (*http.Response, error) {
	c.traffic.Requests.Add(1)
	return c.RoundTripper.RoundTrip(request)
}

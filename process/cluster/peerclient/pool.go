// Package peerclient is the client side of the peer API (wire/peerapi): one HTTP connection pool for all peers, twirp
// clients by address, and a queue of raft messages for each member of the consensus group.
//
// Calls are made once: neither this package nor the HTTP library repeats a call of which a byte was sent, since a repeated
// command could run twice. Callers repeat where that is safe. Timeouts are the caller's, by context, except those of raft
// messages (raftqueue.go) and of connections (socket.go). A response that cannot be a daemon's, or that is incomplete, is
// an InvalidResponseError (response.go).
package peerclient

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	maxIdleConnsPerPeer = 8
	idleConnTimeout     = 30 * time.Second
)

// Pool holds the clients and raft queues of all peers. It is safe for concurrent use. Its goroutines, one for each raft
// queue, end with the context that New was given.
type Pool struct {
	http *http.Client
	// ctx bounds the calls of raft queues, which outlive any caller.
	ctx context.Context
	// address is this daemon's own peer address, at which replies to raft messages reach it.
	address string
	// mutex guards the maps, both by the peer's address.
	mutex      sync.Mutex
	clients    map[string]peerapi.Fellow
	raftQueues map[string]chan raftBatch
	// DroppedBatches counts raft batches dropped because of a full queue or call; raft sends them again.
	// FailedBatches counts calls that failed, SentMessages the messages of those that succeeded.
	DroppedBatches, FailedBatches, SentMessages atomic.Uint64
	// Traffic counts what talking to peers costs.
	Traffic Traffic
}

// Option sets an option of New.
type Option func(*Pool)

// WithTransport replaces the HTTP transport, with its checks and counters.
func WithTransport(transport http.RoundTripper) Option {
	return func(p *Pool) { p.http = &http.Client{Transport: transport} }
}

// New makes a pool that lives as long as ctx. address is this daemon's own peer address as others reach it, listen the
// one it listens at. Connections are made from the IP number of listen, so that peers can identify the caller by it.
func New(ctx context.Context, address, listen string, options ...Option) *Pool {
	pool := &Pool{ctx: ctx, address: address, clients: map[string]peerapi.Fellow{}, raftQueues: map[string]chan raftBatch{}}
	transport := &http.Transport{
		DialContext:         pool.Traffic.dial(newDialer(listen).DialContext),
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	pool.http = &http.Client{Transport: checkedResponses{countedRequests{transport, &pool.Traffic}}}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Client returns the client for a peer's address.
func (p *Pool) Client(address string) peerapi.Fellow {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	client, known := p.clients[address]
	if !known {
		hooks := &twirp.ClientHooks{RequestPrepared: trimHeaders}
		client = peerapi.NewFellowProtobufClient("http://"+address, p.http, twirp.WithClientHooks(hooks))
		p.clients[address] = client
	}
	return client
}

// trimHeaders removes the headers that peers don't read: they are most of a call that carries little.
func trimHeaders(ctx context.Context, request *http.Request) (context.Context, error) {
	request.Header.Del("Accept")
	request.Header.Del("Twirp-Version")
	// An empty one is not sent; without one the library would add its own.
	request.Header.Set("User-Agent", "")
	return ctx, nil
}

// newDialer makes a dialer that connects from the IP number of an address, if that has one.
func newDialer(listen string) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setTCPUserTimeout}
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return dialer
	}
	if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}

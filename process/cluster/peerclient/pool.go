// Package peerclient carries messages to other daemons over twirp.
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

// Pool keeps one client and one line of raft batches for each fellow.
type Pool struct {
	http       *http.Client
	mutex      sync.Mutex
	clients    map[string]peerapi.Fellow
	raftQueues map[string]chan raftBatch
	ctx        context.Context
	address    string
	// DroppedBatches counts raft batches that found their line full; raft sends again.
	DroppedBatches, FailedBatches, SentMessages atomic.Uint64
	// Traffic is what talking to peers costs.
	Traffic Traffic
}

// Option sets one thing of links.
type Option func(*Pool)

// WithTransport replaces what carries the calls.
func WithTransport(transport http.RoundTripper) Option {
	return func(l *Pool) { l.http = &http.Client{Transport: transport} }
}

// New makes links that live as long as ctx.
// It speaks from the IP number it listens at, so that others can tell who speaks by where from.
func New(ctx context.Context, self, listen string, options ...Option) *Pool {
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond, KeepAliveConfig: keepAlive, Control: setTCPUserTimeout}
	if host, _, err := net.SplitHostPort(listen); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	l := &Pool{clients: map[string]peerapi.Fellow{}, raftQueues: map[string]chan raftBatch{}, ctx: ctx, address: self}
	transport := &http.Transport{
		DialContext:         l.Traffic.dial(dialer.DialContext),
		MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
	l.http = &http.Client{Transport: checkedResponses{countedRequests{transport, &l.Traffic}}}
	for _, option := range options {
		option(l)
	}
	return l
}

// trimHeaders leaves out of a call's head what peers don't read: most calls say little else.
func trimHeaders(ctx context.Context, call *http.Request) (context.Context, error) {
	call.Header.Del("Accept")
	call.Header.Del("Twirp-Version")
	// An empty one is not sent, where none would be replaced by the library's own.
	call.Header.Set("User-Agent", "")
	return ctx, nil
}

// Client gives the client for a fellow's address.
func (l *Pool) Client(address string) peerapi.Fellow {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	client, known := l.clients[address]
	if !known {
		client = peerapi.NewFellowProtobufClient("http://"+address, l.http, twirp.WithClientHooks(&twirp.ClientHooks{RequestPrepared: trimHeaders}))
		l.clients[address] = client
	}
	return client
}

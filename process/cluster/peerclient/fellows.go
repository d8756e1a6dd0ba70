// Package peerclient carries messages to other daemons over twirp.
package peerclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/raftcodec"
	"github.com/cresspond/cresspond/process/consensus/raft"
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

type raftBatch struct {
	group    ident.GroupID
	messages []raft.Message
}

const (
	raftQueueLength = 64
	// raftTimeout bounds one call with messages: one that a peer's silence holds up is better made anew. A whole
	// state takes longer.
	raftTimeout      = 600 * time.Millisecond
	raftStateTimeout = 3 * time.Second
	// maxBatchBytes bounds what piled up for one call: raft sends what was dropped again.
	maxBatchBytes = 1 << 20
	// largeBatchBytes is from where a call counts as large.
	largeBatchBytes = 128 << 10
)

// A cut or a machine without power says nothing, so what stays unacknowledged ends a connection soon, and an
// idle one is looked at.
const tcpUserTimeout = 1500 * time.Millisecond

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// setTCPUserTimeout is called on each socket before it connects.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
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

// Send puts raft messages on the line to a member and never waits.
func (l *Pool) Send(group ident.GroupID, member raft.Member, messages []raft.Message) {
	if member.Address == "" {
		return
	}
	l.mutex.Lock()
	line, known := l.raftQueues[member.Address]
	if !known {
		line = make(chan raftBatch, raftQueueLength)
		l.raftQueues[member.Address] = line
		go l.drainRaftQueue(member.Address, line)
	}
	l.mutex.Unlock()
	select {
	case line <- raftBatch{group, messages}:
	default:
		l.DroppedBatches.Add(1)
	}
}

func (l *Pool) drainRaftQueue(address string, line chan raftBatch) {
	client := l.Client(address)
	for {
		select {
		case <-l.ctx.Done():
			return
		case next := <-line:
			messages := next.messages
			size, limit := sizeAndTimeout(messages)
			// What piled up meanwhile goes along in one call.
			for more := len(line); more > 0 && len(messages) < 256; more-- {
				following := <-line
				weight, longer := sizeAndTimeout(following.messages)
				if following.group != next.group || weight > 0 && size+weight > maxBatchBytes {
					l.DroppedBatches.Add(1)
					continue
				}
				messages, size, limit = append(messages, following.messages...), size+weight, max(limit, longer)
			}
			ctx, cancel := context.WithTimeout(l.ctx, limit)
			_, err := client.Raft(ctx, &peerapi.RaftBatch{Group: string(next.group), Address: l.address, Messages: raftcodec.Encode(messages)})
			cancel()
			if err != nil {
				l.FailedBatches.Add(1)
			} else {
				l.SentMessages.Add(uint64(len(messages)))
			}
		}
	}
}

// sizeAndTimeout says how many bytes of entries and state messages carry, and how long their call may take.
func sizeAndTimeout(messages []raft.Message) (int, time.Duration) {
	size, limit := 0, raftTimeout
	for _, message := range messages {
		for _, entry := range message.Entries {
			size += len(entry.Data)
		}
		if message.Snapshot != nil {
			size += len(message.Snapshot.Data)
		}
	}
	if size > largeBatchBytes {
		limit = raftStateTimeout
	}
	return size, limit
}

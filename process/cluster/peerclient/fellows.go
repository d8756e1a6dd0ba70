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

// Links keeps one client and one line of raft batches for each fellow.
type Links struct {
	http    *http.Client
	mutex   sync.Mutex
	clients map[string]peerapi.Fellow
	lines   map[string]chan batch
	ctx     context.Context
	self    string
	// Dropped counts raft batches that found their line full; raft sends again.
	Dropped, Failed, Sent atomic.Uint64
	// Traffic is what talking to peers costs.
	Traffic Traffic
}

type batch struct {
	group    ident.GroupID
	messages []raft.Message
}

const (
	lineLength = 64
	// sendLimit bounds one call with messages: one that a peer's silence holds up is better made anew. A whole
	// state takes longer.
	sendLimit      = 600 * time.Millisecond
	sendStateLimit = 3 * time.Second
	// mostLineBytes bounds what piled up for one call: raft sends what was dropped again.
	mostLineBytes = 1 << 20
	// largeLine is from where a call counts as large.
	largeLine = 128 << 10
)

// A cut or a machine without power says nothing, so what stays unacknowledged ends a connection soon, and an
// idle one is looked at.
const unacknowledged = 1500 * time.Millisecond

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// boundSilence is called on each socket before it connects.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Option sets one thing of links.
type Option func(*Links)

// WithTransport replaces what carries the calls.
func WithTransport(transport http.RoundTripper) Option {
	return func(l *Links) { l.http = &http.Client{Transport: transport} }
}

// New makes links that live as long as ctx.
// It speaks from the IP number it listens at, so that others can tell who speaks by where from.
func New(ctx context.Context, self, listen string, options ...Option) *Links {
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond, KeepAliveConfig: keepAlive, Control: boundSilence}
	if host, _, err := net.SplitHostPort(listen); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	l := &Links{clients: map[string]peerapi.Fellow{}, lines: map[string]chan batch{}, ctx: ctx, self: self}
	transport := &http.Transport{
		DialContext:         l.Traffic.dial(dialer.DialContext),
		MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
	l.http = &http.Client{Transport: checkedAnswers{countedCalls{transport, &l.Traffic}}}
	for _, option := range options {
		option(l)
	}
	return l
}

// shorten leaves out of a call's head what peers don't read: most calls say little else.
func shorten(ctx context.Context, call *http.Request) (context.Context, error) {
	call.Header.Del("Accept")
	call.Header.Del("Twirp-Version")
	// An empty one is not sent, where none would be replaced by the library's own.
	call.Header.Set("User-Agent", "")
	return ctx, nil
}

// To gives the client for a fellow's address.
func (l *Links) To(address string) peerapi.Fellow {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	client, known := l.clients[address]
	if !known {
		client = peerapi.NewFellowProtobufClient("http://"+address, l.http, twirp.WithClientHooks(&twirp.ClientHooks{RequestPrepared: shorten}))
		l.clients[address] = client
	}
	return client
}

// Send puts raft messages on the line to a member and never waits.
func (l *Links) Send(group ident.GroupID, member raft.Member, messages []raft.Message) {
	if member.Address == "" {
		return
	}
	l.mutex.Lock()
	line, known := l.lines[member.Address]
	if !known {
		line = make(chan batch, lineLength)
		l.lines[member.Address] = line
		go l.run(member.Address, line)
	}
	l.mutex.Unlock()
	select {
	case line <- batch{group, messages}:
	default:
		l.Dropped.Add(1)
	}
}

func (l *Links) run(address string, line chan batch) {
	client := l.To(address)
	for {
		select {
		case <-l.ctx.Done():
			return
		case next := <-line:
			messages := next.messages
			size, limit := weigh(messages)
			// What piled up meanwhile goes along in one call.
			for more := len(line); more > 0 && len(messages) < 256; more-- {
				following := <-line
				weight, longer := weigh(following.messages)
				if following.group != next.group || weight > 0 && size+weight > mostLineBytes {
					l.Dropped.Add(1)
					continue
				}
				messages, size, limit = append(messages, following.messages...), size+weight, max(limit, longer)
			}
			ctx, cancel := context.WithTimeout(l.ctx, limit)
			_, err := client.Raft(ctx, &peerapi.RaftBatch{Group: string(next.group), Address: l.self, Messages: raftcodec.Encode(messages)})
			cancel()
			if err != nil {
				l.Failed.Add(1)
			} else {
				l.Sent.Add(uint64(len(messages)))
			}
		}
	}
}

// weigh says how many bytes of entries and state messages carry, and how long their call may take.
func weigh(messages []raft.Message) (int, time.Duration) {
	size, limit := 0, sendLimit
	for _, message := range messages {
		for _, entry := range message.Entries {
			size += len(entry.Data)
		}
		if message.Snapshot != nil {
			size += len(message.Snapshot.Data)
		}
	}
	if size > largeLine {
		limit = sendStateLimit
	}
	return size, limit
}

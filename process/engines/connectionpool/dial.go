package connectionpool

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds connecting to an engine. A lost SYN is sent again only after a second, and by then the request is
	// better sent to another engine.
	dialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT): a network partition shows
	// in no other way.
	unacknowledgedTimeout = 3 * time.Second
)

// dialTCP dials with keep-alive probes and TCP_USER_TIMEOUT, so that a dead peer is found within seconds.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Where it can't be set, the keep-alive probes still find a peer that is gone.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// dialConnection dials a connection for an attempt, or gives the reason why there is none.
func (p *Pools) dialConnection(attempt Attempt, key engineKey) (*connection, string) {
	ctx, cancel := context.WithTimeout(context.Background(), max(attempt.Deadline.Since(p.clock.Elapsed()), time.Millisecond))
	defer cancel()
	if !attempt.Cancel.arm(cancel) {
		p.forget(key)
		return nil, "the caller has left"
	}
	began := p.clock.Elapsed()
	raw, err := p.dial(ctx, attempt.Address)
	if err != nil {
		p.Counters.DialsFailed.Add(1)
		p.forget(key)
		return nil, "the engine could not be reached"
	}
	p.Counters.Dialed.Add(1)
	conn := newConnection(raw, &p.Counters)
	conn.idleSince = p.clock.Elapsed()
	conn.connectTime = conn.idleSince.Since(began)
	return conn, ""
}

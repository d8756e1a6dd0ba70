package connectionpool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/dialect"
)

// Counters count events since the daemon started. FoundStale counts idle connections that the engine had closed or
// written to, DroppedWhileIdle those that turned out closed after a request was sent, SurplusBytes responses followed by
// further bytes, ForeignResponses responses to other requests, SameIDAvoided idle connections that were not used because
// the request had been sent on them before.
type Counters struct {
	Dialed, DialsFailed, Reused, FoundStale, DroppedWhileIdle, SurplusBytes, ForeignResponses, SameIDAvoided, ProtocolErrors, BytesSent, BytesReceived atomic.Uint64
}

// Pools holds the connections to all engines. It is safe for concurrent use.
type Pools struct {
	Counters Counters
	clock    clock.Clock
	dialect  dialect.Dialect
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mutex   sync.Mutex
	engines map[engineKey]*engineConnections
	learned idleLifetimes
}

// engineKey includes the address, since an address may pass to another engine and an engine may move.
type engineKey struct {
	id      ident.EngineID
	address string
}

// engineConnections are the connections to one engine: the idle ones, the last used at the end, and the number of all.
type engineConnections struct {
	idle []*connection
	open int
}

// Option configures Pools.
type Option func(*Pools)

// WithDial replaces how connections are dialed.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(p *Pools) { p.dial = dial }
}

// New makes pools without connections.
func New(c clock.Clock, d dialect.Dialect, options ...Option) *Pools {
	p := &Pools{clock: c, dialect: d, dial: dialTCP, engines: map[engineKey]*engineConnections{}}
	for _, option := range options {
		option(p)
	}
	return p
}

// acquire gives an idle connection that the attempt may use; or nil and true if it may dial one, which then counts as
// open; or false if the bound is reached. A connection on which the attempt's id was sent before is not used: a late
// response to the earlier attempt would bear the same id.
func (p *Pools) acquire(key engineKey, attempt Attempt) (reused *connection, available bool) {
	now := p.clock.Elapsed()
	notRepeatable, most := attempt.NotRepeatable, attempt.MaxConnections
	p.mutex.Lock()
	defer p.mutex.Unlock()
	bound := p.learned.limit(attempt.Pool, notRepeatable, now)
	connections := p.engines[key]
	if connections == nil {
		connections = &engineConnections{}
		p.engines[key] = connections
	}
	p.closeExpired(connections, now)
	// The one used last is the least likely to be closed by the engine.
	for index := len(connections.idle) - 1; index >= 0; index-- {
		candidate := connections.idle[index]
		idle := now.Since(candidate.idleSince)
		if idle > bound {
			// All others have been idle for longer.
			break
		}
		if notRepeatable && idle > candidate.notRepeatableIdleTimeout() {
			continue
		}
		if !attempt.UniqueID && candidate.sent.contains(attempt.ID) {
			p.Counters.SameIDAvoided.Add(1)
			continue
		}
		connections.idle = append(connections.idle[:index], connections.idle[index+1:]...)
		return candidate, true
	}
	if most > 0 && connections.open >= most {
		if len(connections.idle) == 0 {
			return nil, false
		}
		// This attempt may use none of the idle ones; the oldest is closed for it.
		p.closeIdle(connections, 0)
	}
	connections.open++
	return nil, true
}

// closeExpired closes the connections that have reached their idle timeout.
func (p *Pools) closeExpired(connections *engineConnections, now clock.Mark) {
	for index := len(connections.idle) - 1; index >= 0; index-- {
		if conn := connections.idle[index]; now.Since(conn.idleSince) >= conn.idleTimeout() {
			p.closeIdle(connections, index)
		}
	}
}

// closeIdle closes one idle connection.
func (p *Pools) closeIdle(connections *engineConnections, index int) {
	_ = connections.idle[index].Close()
	connections.idle = append(connections.idle[:index], connections.idle[index+1:]...)
	connections.open--
}

// forget stops counting a connection as open.
func (p *Pools) forget(key engineKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if connections := p.engines[key]; connections != nil {
		if connections.open--; connections.open <= 0 && len(connections.idle) == 0 {
			delete(p.engines, key)
		}
	}
}

// release makes a connection idle, or closes it once it has carried as many requests as it may.
func (p *Pools) release(key engineKey, conn *connection) {
	if conn.sent.full() {
		_ = conn.Close()
		p.forget(key)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connections := p.engines[key]
	if connections == nil {
		_ = conn.Close()
		return
	}
	connections.idle = append(connections.idle, conn)
}

// Sweep closes connections that have reached their idle timeout, and all idle ones to engines that keep rejects.
func (p *Pools) Sweep(keep func(ident.EngineID) bool) {
	now := p.clock.Elapsed()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key, connections := range p.engines {
		if keep != nil && !keep(key.id) {
			for len(connections.idle) > 0 {
				p.closeIdle(connections, 0)
			}
		}
		p.closeExpired(connections, now)
		if connections.open <= 0 && len(connections.idle) == 0 {
			delete(p.engines, key)
		}
	}
}

// HasIdle reports whether an attempt at an engine of a pool would find an idle connection now.
func (p *Pools) HasIdle(id ident.EngineID, address, pool string, notRepeatable bool) bool {
	now := p.clock.Elapsed()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connections := p.engines[engineKey{id, address}]
	if connections == nil || len(connections.idle) == 0 {
		return false
	}
	newest := connections.idle[len(connections.idle)-1]
	idle := now.Since(newest.idleSince)
	return idle <= p.learned.limit(pool, notRepeatable, now) && idle < newest.idleTimeout() && (!notRepeatable || idle <= newest.notRepeatableIdleTimeout())
}

// Open counts the connections, busy and idle.
func (p *Pools) Open() (busy, idle int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, connections := range p.engines {
		busy += connections.open - len(connections.idle)
		idle += len(connections.idle)
	}
	return busy, idle
}

// Package connectionpool carries attempts to engines over connections that it owns. It never sends a request
// twice: what became of an attempt is a value, and whoever asked decides.
package connectionpool

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/dialect"
)

// Outcome is what became of an attempt, as far as this daemon can know.
type Outcome uint8

const (
	// HeldBack: the last look before the first byte found a reason not to send.
	HeldBack Outcome = iota
	// NeverSent: no byte of the request left this daemon.
	NeverSent
	// Refused: the engine gave its word that it has not run and never will.
	Refused
	// Misdirected: another engine answered, or it does not hold what was asked for; it has not run.
	Misdirected
	// Answered: a whole head came that bears this attempt's id; the body is still to be read.
	Answered
	// Lost: bytes went out and no head came, so it may have run.
	Lost
	// Junk: bytes went out, and what came back is no answer to this attempt, so it may have run.
	Junk
)

func (o Outcome) String() string {
	return [...]string{"held-back", "never-sent", "refused", "misdirected", "answered", "lost", "junk"}[o]
}

// Attempt is one attempt at an engine.
type Attempt struct {
	Engine  ident.EngineID
	Address string
	// Pool is whose engines it is one of, and so is like.
	Pool string
	// ID is the client's own id of its try, which the answer must bear.
	ID string
	// Head bears nothing that concerns one connection only; Dress writes what is this attempt's own, once the
	// engine is reached.
	Head  *fasthttp.RequestHeader
	Dress func()
	Body  []byte
	// Careful attempts may not be made again, so they take a kept connection only well inside its time.
	Careful bool
	// MostConnections bounds this daemon's connections to the engine; zero is no bound.
	MostConnections int
	// Until is how long an answer is waited for, its body included.
	Until clock.Mark
	// LastLook is asked right before the first byte; it gives a reason not to send.
	LastLook func() string
	// Cancel ends the attempt from elsewhere by closing its connection.
	Cancel *Cancel
	// Unnamed says what an answer without an attempt id is taken for.
	Unnamed UnnamedPolicy
}

// UnnamedPolicy says where an answer without an attempt id counts as the answer to an attempt.
type UnnamedPolicy uint8

const (
	// RejectUnnamed: nowhere.
	RejectUnnamed UnnamedPolicy = iota
	// UnnamedOnUnused: on a connection that no request was sent on before, where it can answer no other request.
	// The connection is not used again.
	UnnamedOnUnused
	// UnnamedOnClean: also on a kept connection, which was whole and silent when the request was sent. It is for
	// engines that name none of their answers, and for requests where a stale answer does no harm.
	UnnamedOnClean
)

// Cancel ends whatever a request has under way.
type Cancel struct {
	mutex sync.Mutex
	done  bool
	// interrupted says that what is under way was stopped, and that only.
	interrupted bool
	stop        func()
}

// Now ends it, and whatever begins after.
func (c *Cancel) Now() {
	c.mutex.Lock()
	stop := c.stop
	c.done, c.stop = true, nil
	c.mutex.Unlock()
	if stop != nil {
		stop()
	}
}

// Done says whether it was ended.
func (c *Cancel) Done() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.done
}

// Interrupt ends what is under way now, and nothing that begins after. It stops under the lock, so that a connection
// is never closed that was given back meanwhile.
func (c *Cancel) Interrupt() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stop != nil {
		c.stop()
		c.stop, c.interrupted = nil, true
	}
}

// set names what to stop; it says false when that has already ended.
func (c *Cancel) set(stop func()) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	going := !c.done && (stop != nil || !c.interrupted)
	c.stop, c.interrupted = stop, false
	return going
}

// Counters are counted over a daemon's life.
type Counters struct {
	Dialled, DialsFailed, Reused, FoundStale, DroppedIdle, Surplus, Foreign, Junk, BytesSent, BytesReceived atomic.Uint64
}

// Pools keeps the connections to all engines.
type Pools struct {
	Counters Counters
	clock    clock.Clock
	dialect  dialect.Dialect
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mutex   sync.Mutex
	engines map[engineKey]*pool
	idle    lifetimes
}

// engineKey holds the address too, since an address may pass to another engine, and the other way round.
type engineKey struct {
	id      ident.EngineID
	address string
}

// pool is the connections to one engine.
type pool struct {
	idle []*link
	open int
}

// Option sets one thing of the pools.
type Option func(*Pools)

// WithDial replaces how engines are dialled.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(p *Pools) { p.dial = dial }
}

// New makes empty pools.
func New(c clock.Clock, d dialect.Dialect, options ...Option) *Pools {
	p := &Pools{clock: c, dialect: d, dial: dialTCP, engines: map[engineKey]*pool{}}
	for _, option := range options {
		option(p)
	}
	return p
}

const (
	// dialLimit bounds how long an engine may take to come up. A lost opening packet is sent again after a second,
	// and by then another engine has the request.
	dialLimit = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged: a cut says nothing by itself.
	userTimeout = 3 * time.Second
	// readerSize bounds the head of an answer.
	readerSize = 8 << 10
	// mostSkipped is how many answers to earlier requests may stand before the one to this.
	mostSkipped = 2
	// skipWait is how long the one to this is waited for then, since it may never come.
	skipWait = time.Second
	// mostRefusal is how much of a refusal's body is read to keep the connection.
	mostRefusal = 64 << 10
	// keptUnsaid is how long a connection is kept whose engine said nothing of it.
	keptUnsaid = 2 * time.Second
	// carefulUnsaid is the same for attempts that can't be made again: whole seconds alone are said.
	carefulUnsaid = 300 * time.Millisecond
	// keptMargin is taken off the time that an engine said.
	keptMargin = 300 * time.Millisecond
	// mostKept is how long a connection is kept at most.
	mostKept = 20 * time.Second
)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialLimit,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Where it can't be set, the keep-alive probes still find a peer that is gone.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// take gives a kept connection that fits, or room for a fresh one.
func (p *Pools) take(key engineKey, a Attempt) (kept *link, room bool) {
	now := p.clock.Elapsed()
	careful, most := a.Careful, a.MostConnections
	p.mutex.Lock()
	defer p.mutex.Unlock()
	bound := p.idle.bound(a.Pool, careful, now)
	connections := p.engines[key]
	if connections == nil {
		connections = &pool{}
		p.engines[key] = connections
	}
	p.sweep(connections, now)
	// The one used last is the least likely to be closed by the engine.
	for place := len(connections.idle) - 1; place >= 0; place-- {
		candidate := connections.idle[place]
		idle := now.Since(candidate.idleSince)
		if idle > bound {
			// The rest has been idle for longer still.
			break
		}
		if careful && idle > candidate.carefulFor() {
			continue
		}
		connections.idle = append(connections.idle[:place], connections.idle[place+1:]...)
		return candidate, true
	}
	if most > 0 && connections.open >= most {
		if len(connections.idle) == 0 {
			return nil, false
		}
		// Those left are too old for a careful attempt; the oldest makes room.
		p.drop(connections, 0)
	}
	connections.open++
	return nil, true
}

// sweep closes what has been idle for too long.
func (p *Pools) sweep(connections *pool, now clock.Mark) {
	for place := len(connections.idle) - 1; place >= 0; place-- {
		if one := connections.idle[place]; now.Since(one.idleSince) >= one.keptFor() {
			p.drop(connections, place)
		}
	}
}

func (p *Pools) drop(connections *pool, place int) {
	_ = connections.idle[place].Close()
	connections.idle = append(connections.idle[:place], connections.idle[place+1:]...)
	connections.open--
}

// gone counts a connection as closed.
func (p *Pools) gone(key engineKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if connections := p.engines[key]; connections != nil {
		if connections.open--; connections.open <= 0 && len(connections.idle) == 0 {
			delete(p.engines, key)
		}
	}
}

// keep puts a connection back.
func (p *Pools) keep(key engineKey, one *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connections := p.engines[key]
	if connections == nil {
		_ = one.Close()
		return
	}
	connections.idle = append(connections.idle, one)
}

// Sweep closes connections that were idle for too long, and all idle ones to engines that are not to be kept.
func (p *Pools) Sweep(keep func(ident.EngineID) bool) {
	now := p.clock.Elapsed()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key, connections := range p.engines {
		if keep != nil && !keep(key.id) {
			for len(connections.idle) > 0 {
				p.drop(connections, 0)
			}
		}
		p.sweep(connections, now)
		if connections.open <= 0 && len(connections.idle) == 0 {
			delete(p.engines, key)
		}
	}
}

// Warm says whether an idle connection to an engine of a pool would serve an attempt now.
func (p *Pools) Warm(id ident.EngineID, address, pool string, careful bool) bool {
	now := p.clock.Elapsed()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connections := p.engines[engineKey{id, address}]
	if connections == nil || len(connections.idle) == 0 {
		return false
	}
	newest := connections.idle[len(connections.idle)-1]
	idle := now.Since(newest.idleSince)
	return idle <= p.idle.bound(pool, careful, now) && idle < newest.keptFor() && (!careful || idle <= newest.carefulFor())
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

// Send makes an attempt and waits for the head of its answer.
func (p *Pools) Send(a Attempt) *Answer {
	key := engineKey{a.Engine, a.Address}
	for {
		one, room := p.take(key, a)
		if !room {
			return &Answer{Outcome: HeldBack, Reason: "no connection to the engine is free"}
		}
		fresh := one == nil
		if fresh {
			made, reason := p.fresh(a, key)
			if made == nil {
				return &Answer{Outcome: NeverSent, Reason: reason}
			}
			one = made
		}
		// Bytes or an end on a kept connection belong to no request of ours, so another one is taken.
		if !fresh && one.stirs() {
			p.Counters.FoundStale.Add(1)
			_ = one.Close()
			p.gone(key)
			continue
		}
		if !fresh {
			p.Counters.Reused.Add(1)
		}
		idle := p.clock.Elapsed().Since(one.idleSince)
		// An answer that is whole gives its connection back, to whoever needs it next: nothing of it is looked at then.
		connect := one.connect
		one.connect = 0
		answer := p.over(one, a, key)
		answer.Connect = connect
		if !fresh && answer.Outcome == Lost && broken(answer.lost) {
			p.foundDropped(a.Pool, idle)
		}
		return answer
	}
}

// foundDropped learns from a kept connection that was gone when it was used again.
func (p *Pools) foundDropped(pool string, idle time.Duration) {
	p.Counters.DroppedIdle.Add(1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle.dropped(pool, idle, p.clock.Elapsed())
}

func (p *Pools) fresh(a Attempt, key engineKey) (*link, string) {
	ctx, cancel := context.WithTimeout(context.Background(), max(a.Until.Since(p.clock.Elapsed()), time.Millisecond))
	defer cancel()
	if !a.Cancel.set(cancel) {
		p.gone(key)
		return nil, "the caller has left"
	}
	began := p.clock.Elapsed()
	raw, err := p.dial(ctx, a.Address)
	if err != nil {
		p.Counters.DialsFailed.Add(1)
		p.gone(key)
		return nil, "the engine could not be reached"
	}
	p.Counters.Dialled.Add(1)
	made := newLink(raw, &p.Counters)
	made.idleSince = p.clock.Elapsed()
	made.connect = made.idleSince.Since(began)
	return made, ""
}

// over makes the attempt over a connection.
func (p *Pools) over(one *link, a Attempt, key engineKey) *Answer {
	answer := &Answer{pools: p, key: key, link: one, cancel: a.Cancel}
	if !a.Cancel.set(func() { _ = one.Close() }) {
		answer.shut()
		return answer.end(NeverSent, "the caller has left")
	}
	_ = one.SetDeadline(time.Now().Add(a.Until.Since(p.clock.Elapsed())))
	a.Dress()
	buffer := bytebufferpool.Get()
	buffer.B = append(appendHead(buffer.B[:0], a.Head, len(a.Body)), a.Body...)
	if reason := a.LastLook(); reason != "" {
		bytebufferpool.Put(buffer)
		// Nothing was said on it, so it is as good as before.
		answer.giveBack()
		return answer.end(HeldBack, reason)
	}
	first := !one.used
	one.used = true
	answer.sending = startSending(one, buffer)
	if answer.sending.nothingLeft() {
		// Not one byte was taken, which no engine can run.
		answer.shut()
		return answer.end(NeverSent, "the connection to the engine was broken")
	}
	// A failed write is no proof: what went before the failure may have been enough to run. The engine may
	// also have said why it would not read the rest, so its answer is looked for all the same.
	skipped := 0
	for ; ; skipped++ {
		if outcome, reason := answer.readHead(a.Head.IsHead()); outcome != Answered {
			answer.shut()
			answer.sending.wait()
			if answer.sending.nothingLeft() {
				return answer.end(NeverSent, "the connection to the engine was broken")
			}
			return answer.end(outcome, reason)
		}
		if answer.Head.Attempt == a.ID {
			break
		}
		if answer.Head.Attempt == "" && skipped == 0 && (a.Unnamed == UnnamedOnClean || a.Unnamed == UnnamedOnUnused && first) {
			answer.tainted = answer.tainted || a.Unnamed == UnnamedOnUnused
			break
		}
		// Not a byte of another request's answer may go on. It may be one too many to an earlier request, with
		// ours behind it; then it says itself whose it is and where it ends.
		p.Counters.Foreign.Add(1)
		answer.tainted = true
		if answer.Head.Attempt == "" || skipped >= mostSkipped || answer.Head.Events || !answer.drain() {
			answer.shut()
			return answer.end(Junk, "the engine's answer is not to this attempt")
		}
		answer.release()
		answer.whole, answer.failed = false, nil
		_ = one.SetReadDeadline(time.Now().Add(min(skipWait, a.Until.Since(p.clock.Elapsed()))))
	}
	if skipped > 0 {
		_ = one.SetReadDeadline(time.Now().Add(a.Until.Since(p.clock.Elapsed())))
	}
	if answer.Head.NotRun {
		answer.drain()
		if answer.Head.Misdirected {
			return answer.end(Misdirected, "the engine is another one, or does not hold what was asked for")
		}
		return answer.end(Refused, "the engine refused")
	}
	answer.Outcome = Answered
	return answer
}

// readHead reads one head, and makes its body ready to be read.
func (a *Answer) readHead(head bool) (Outcome, string) {
	a.response = fasthttp.AcquireResponse()
	a.response.StreamBody = true
	a.response.SkipBody = head
	if err := a.response.ReadLimitBody(a.link.reader, 0); err != nil {
		if isNetwork(err) {
			a.lost = err
			return Lost, "the engine gave no answer"
		}
		a.pools.Counters.Junk.Add(1)
		return Junk, "the engine sent what is no answer"
	}
	if protocol := string(a.response.Header.Protocol()); protocol != "HTTP/1.1" && protocol != "HTTP/1.0" {
		// Readers differ on where a body of any other version ends.
		a.pools.Counters.Junk.Add(1)
		return Junk, "the engine answered in another protocol"
	}
	if a.response.StatusCode() < fasthttp.StatusOK {
		// Interim answers were passed over, so it is a change of protocol, which nobody asked for.
		a.pools.Counters.Junk.Add(1)
		return Junk, "the engine changed the protocol"
	}
	a.Head = a.pools.dialect.ReadHead(&a.response.Header)
	a.body = a.response.BodyStream()
	a.measured = a.body == nil || a.response.Header.ContentLength() >= -1
	a.whole = a.body == nil
	return Answered, ""
}

// Answer is what became of an attempt and, where it was answered, the answer.
type Answer struct {
	Outcome Outcome
	Reason  string
	Head    dialect.Head
	// Connect is how long a fresh connection took; zero is a kept one.
	Connect time.Duration

	pools    *Pools
	key      engineKey
	link     *link
	cancel   *Cancel
	response *fasthttp.Response
	body     io.Reader
	// measured bodies say themselves where they end; whole ones have come to it.
	measured, whole, tainted bool
	failed                   error
	// lost is why no head came.
	lost error
	// sending is the request on its way out; nil is none.
	sending *sending
}

var errUnmeasured = errors.New("the body does not say where it ends")

// Response is the head of the answer, until Close.
func (a *Answer) Response() *fasthttp.Response { return a.response }

// Read gives bytes of the body; io.EOF says that all of it has come.
func (a *Answer) Read(p []byte) (int, error) {
	if a.failed != nil {
		return 0, a.failed
	}
	if a.whole {
		return 0, io.EOF
	}
	n, err := a.body.Read(p)
	switch {
	case err == io.EOF && a.measured:
		a.whole = true
	case err == io.EOF:
		// An engine that fails ends such a body in the same way, so it can't be told whole.
		a.failed = errUnmeasured
		err = errUnmeasured
	case err != nil:
		a.failed = err
	}
	return n, err
}

// Whole says whether the body has come to its end.
func (a *Answer) Whole() bool { return a.whole }

// drain reads a short body to its end, so that what comes behind it can be read; it says whether there was one.
func (a *Answer) drain() bool {
	if _, err := io.CopyN(io.Discard, a, mostRefusal); err == nil {
		a.failed = errUnmeasured
	}
	return a.whole
}

// Close lets go of the answer; its connection is kept only if all of it came and nothing more.
func (a *Answer) Close() {
	if a.link == nil {
		a.release()
		return
	}
	if a.whole && a.failed == nil && !a.tainted && a.sending.complete() && !a.Head.Closes && a.link.reader.Buffered() == 0 {
		a.link.keepFor, a.link.idleSince = a.Head.KeepFor, a.pools.clock.Elapsed()
		a.giveBack()
	} else {
		if a.whole && a.link.reader.Buffered() > 0 {
			a.pools.Counters.Surplus.Add(1)
		}
		a.shut()
	}
	a.release()
}

func (a *Answer) release() {
	if a.response != nil {
		a.body = nil
		fasthttp.ReleaseResponse(a.response)
		a.response = nil
	}
}

// end sets an outcome without a body.
func (a *Answer) end(outcome Outcome, reason string) *Answer {
	a.Outcome, a.Reason = outcome, reason
	if outcome != Answered {
		a.Close()
	}
	return a
}

func (a *Answer) shut() {
	if a.link == nil {
		return
	}
	a.cancel.set(nil)
	_ = a.link.Close()
	a.link = nil
	a.pools.gone(a.key)
}

func (a *Answer) giveBack() {
	if !a.cancel.set(nil) {
		// It was ended meanwhile, so its connection is closed or about to be.
		a.shut()
		return
	}
	_ = a.link.SetDeadline(time.Time{})
	a.pools.keep(a.key, a.link)
	a.link = nil
}

package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Constants of the simulated fleet.
const (
	// callTimeout is how long a daemon waits for the leader's reply.
	callTimeout = 150 * time.Millisecond
	// patience is how long a request waits for a token.
	patience = 400 * time.Millisecond
	// minimumDelay and maximumDelay bound a message's time on its way.
	minimumDelay = 500 * time.Microsecond
	maximumDelay = 3 * time.Millisecond
)

// siteSettings are the bounds of the users' page.
var siteSettings = Settings{Window: 5 * time.Second, Excess: 0.1, Margin: 20}

// event is something that happens in a simulated fleet.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue orders events by time, and those of one time by when they were added.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs events in order of time. Equal seeds give equal runs.
type simulation struct {
	random *rand.Rand
	events eventQueue
	order  uint64
	now    time.Duration
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + delay, order: s.order, run: run})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *simulation) delay() time.Duration {
	return minimumDelay + time.Duration(s.random.Int64N(int64(maximumDelay-minimumDelay)))
}

// noTrace drops a trace.
func noTrace(string, ...any) {}

// fleet is a simulated fleet of daemons with one allocator at a time.
type fleet struct {
	*simulation
	settings Settings
	limits   map[string]Limit
	daemons  []*simulatedDaemon
	leader   *simulatedLeader
	term     uint64
	// zones is the number of zones whose daemons lend to each other; 0 means no lending.
	zones int
	// loans counts loan requests and their answers.
	loans int
	// loss is the probability that a message is lost, duplication that a reply arrives twice.
	loss, duplication float64
	// holding is the longest time for which a granted request is queued before it is sent.
	holding time.Duration
	// sendEvery has granted requests queued until its next multiple, if it isn't 0.
	sendEvery time.Duration
	// queueing is the longest time for which a request that was granted a token waits for an engine. It then takes another
	// one if that has lapsed; keepsTokens has it keep the first one instead of returning it.
	queueing    time.Duration
	keepsTokens bool
	defects     defects
	// trace receives the faults.
	trace func(format string, values ...any)
	tally map[string]*tally
	// messages counts requests to leaders and their replies.
	messages int
}

// tally is what became of a tenant's requests.
type tally struct {
	asked, denied, onCredit int
	sent                    []time.Duration
	// changes are the limits in force on all daemons, from the first on.
	changes []limitChange
}

// simulatedLeader is an allocator with its own clock.
type simulatedLeader struct {
	allocator *Allocator
	offset    time.Duration
}

// simulatedDaemon is a limiter with its own clock and connection.
type simulatedDaemon struct {
	fleet    *fleet
	id       ident.NodeID
	limiter  *Limiter
	offset   time.Duration
	isolated bool
	frozen   bool
	crashed  bool
	deferred []func()
	waiting  map[WaiterID]*simulatedRequest
	wakeAt   clock.Mark
	limits   map[string]Limit
}

// simulatedRequest is one client's request.
type simulatedRequest struct {
	tenant string
	// queued reports that the request has waited for an engine.
	queued bool
}

func newFleet(seed uint64, daemons int, limits map[string]Limit) *fleet {
	f := &fleet{simulation: newSimulation(seed), settings: siteSettings, limits: limits, tally: make(map[string]*tally), trace: noTrace}
	for tenant, limit := range limits {
		f.tally[tenant] = &tally{changes: []limitChange{{limit: limit}}}
	}
	for i := range daemons {
		f.addDaemon(fmt.Sprintf("daemon-%d", i))
	}
	f.startLeader()
	return f
}

// addDaemon starts a daemon, under a new incarnation if its name is known.
func (f *fleet) addDaemon(name string) *simulatedDaemon {
	id := ident.NodeID(fmt.Sprintf("%s#%d", name, f.random.Uint32()))
	d := &simulatedDaemon{
		fleet:   f,
		id:      id,
		limiter: NewLimiter(id),
		offset:  time.Duration(f.random.Int64N(int64(time.Hour))),
		waiting: make(map[WaiterID]*simulatedRequest),
		limits:  f.limits,
	}
	f.daemons = append(f.daemons, d)
	f.observe()
	return d
}

// startLeader begins a new term on a machine with another clock.
func (f *fleet) startLeader() {
	f.term++
	f.leader = &simulatedLeader{
		allocator: NewAllocator(f.settings),
		offset:    time.Duration(f.random.Int64N(int64(time.Hour))),
	}
	members := make([]ident.NodeID, 0, len(f.daemons))
	for _, d := range f.daemons {
		members = append(members, d.id)
	}
	f.leader.allocator.Lead(f.term, members, f.leaderMark())
	f.observe()
}

// changeLeader ends the leader's term at once and begins another one after a time.
func (f *fleet) changeLeader(without time.Duration) {
	f.leader = nil
	f.after(without, f.startLeader)
}

// observe tells each daemon that isn't cut off of the leader.
func (f *fleet) observe() {
	for _, d := range f.daemons {
		if d.isolated || d.crashed || f.leader == nil {
			continue
		}
		f.after(f.delay(), func() {
			d.do(func() {
				d.limiter.ObserveLeader(f.term, len(f.daemons), d.mark())
				d.pump()
			})
		})
	}
}

func (f *fleet) leaderMark() clock.Mark { return clock.Mark(f.now + f.leader.offset) }

func (d *simulatedDaemon) mark() clock.Mark { return clock.Mark(d.fleet.now + d.offset) }

// do runs something on the daemon, later if it is frozen, and never if it has crashed.
func (d *simulatedDaemon) do(run func()) {
	if d.crashed {
		return
	}
	if d.frozen {
		d.deferred = append(d.deferred, run)
		return
	}
	run()
}

// freeze stops the daemon for a time.
func (d *simulatedDaemon) freeze(period time.Duration) {
	if d.frozen || d.crashed {
		return
	}
	d.frozen = true
	d.fleet.after(period, func() {
		d.frozen = false
		deferred := d.deferred
		d.deferred = nil
		for _, run := range deferred {
			d.do(run)
		}
	})
}

// request is a client's request to the daemon.
func (d *simulatedDaemon) request(tenant string) {
	d.do(func() {
		if d.limits[tenant].RatePerSecond == 0 {
			return
		}
		d.fleet.tally[tenant].asked++
		d.take(&simulatedRequest{tenant: tenant})
	})
}

// take asks the limiter for a token.
func (d *simulatedDaemon) take(request *simulatedRequest) {
	d.breakLimiter(request.tenant)
	decision := d.limiter.Take(request.tenant, d.limits[request.tenant], d.mark())
	if decision.Outcome != Pending {
		d.decided(request, decision)
		return
	}
	d.waiting[decision.Waiter] = request
	d.fleet.after(patience, func() {
		d.do(func() {
			if _, waiting := d.waiting[decision.Waiter]; !waiting {
				return
			}
			delete(d.waiting, decision.Waiter)
			if d.limiter.Cancel(request.tenant, decision.Waiter) {
				d.fleet.tally[request.tenant].denied++
			}
		})
	})
	d.pump()
}

// decided sends the request, perhaps after some time in a queue, or counts it as denied.
func (d *simulatedDaemon) decided(request *simulatedRequest, decision Decision) {
	f := d.fleet
	if decision.Outcome == Denied {
		f.tally[request.tenant].denied++
		return
	}
	send := func() {
		if !decision.Token.Valid(d.mark()) && !f.defects.tokensNeverLapse {
			d.take(request)
			return
		}
		if decision.OnCredit {
			f.tally[request.tenant].onCredit++
		}
		f.tally[request.tenant].sent = append(f.tally[request.tenant].sent, f.now)
	}
	if f.queueing > 0 && !request.queued {
		d.queue(request, decision)
		return
	}
	if delay := f.holdingTime(); delay > 0 {
		f.after(delay, func() { d.do(send) })
		return
	}
	send()
}

// queue has a granted request wait for an engine, without its token, and then take one to be sent at once.
func (d *simulatedDaemon) queue(request *simulatedRequest, decision Decision) {
	f := d.fleet
	request.queued = true
	if !f.keepsTokens {
		d.limiter.Return(request.tenant, decision.Token, d.mark())
	}
	f.after(time.Duration(f.random.Int64N(int64(f.queueing))), func() {
		d.do(func() {
			if f.keepsTokens && decision.Token.Valid(d.mark()) {
				d.decided(request, decision)
				return
			}
			d.take(request)
		})
	})
}

// holdingTime is how long a granted request is held back with its token.
func (f *fleet) holdingTime() time.Duration {
	if f.sendEvery > 0 {
		return f.sendEvery - f.now%f.sendEvery
	}
	if f.holding > 0 {
		return time.Duration(f.random.Int64N(int64(f.holding)))
	}
	return 0
}

// pump sends the next request to the leader, or sees to it when it is due.
func (d *simulatedDaemon) pump() {
	now := d.mark()
	d.borrow()
	if request, due := d.limiter.NextRequest(now); due {
		d.call(request)
		return
	}
	at, due := d.limiter.NextRequestAt(now)
	if !due || d.wakeAt > now && d.wakeAt <= at {
		return
	}
	d.wakeAt = at
	d.fleet.after(max(0, at.Since(now)), func() {
		d.do(func() {
			if d.wakeAt == at {
				d.wakeAt = 0
				d.pump()
			}
		})
	})
}

// borrow asks daemons of the zone for loans. Those that are cut off from the leader reach each other.
func (d *simulatedDaemon) borrow() {
	f := d.fleet
	zone := f.zoneOf(d)
	d.limiter.ObserveNeighbours(len(zone))
	for {
		request, due := d.limiter.NextLoanRequest(d.mark())
		if !due {
			return
		}
		answered := false
		answer := func(lent int) {
			d.do(func() {
				if !answered {
					answered = true
					d.resolved(d.limiter.LoanAnswered(request, lent, d.mark()))
				}
			})
		}
		f.after(LoanTimeout, func() { answer(0) })
		lender := zone[f.random.IntN(len(zone))]
		f.loans++
		if f.random.Float64() >= f.loss {
			f.after(f.delay(), func() { lender.lend(d, request, answer) })
		}
	}
}

// zoneOf gives the other daemons of a daemon's zone.
func (f *fleet) zoneOf(d *simulatedDaemon) []*simulatedDaemon {
	if f.zones == 0 {
		return nil
	}
	at := slices.Index(f.daemons, d)
	var zone []*simulatedDaemon
	for i, other := range f.daemons {
		if i != at && i%f.zones == at%f.zones {
			zone = append(zone, other)
		}
	}
	return zone
}

// lend handles a neighbour's request for a loan.
func (d *simulatedDaemon) lend(borrower *simulatedDaemon, request LoanRequest, answer func(int)) {
	f := d.fleet
	d.do(func() {
		if d.isolated != borrower.isolated || d.limits[request.Tenant].RatePerSecond == 0 {
			return
		}
		lent := d.limiter.Lend(request, d.limits[request.Tenant], d.mark())
		if f.defects.loansNotCounted {
			lent = request.Count
		}
		d.pump()
		f.loans++
		if f.random.Float64() >= f.loss {
			f.after(f.delay(), func() { answer(lent) })
		}
	})
}

// call carries a request to the leader and its reply back.
func (d *simulatedDaemon) call(request Request) {
	f := d.fleet
	answered := false
	f.after(callTimeout, func() {
		d.do(func() {
			if answered {
				return
			}
			answered = true
			d.resolved(d.limiter.Unanswered(d.mark()))
		})
	})
	if d.lost() {
		return
	}
	f.messages++
	f.after(f.delay(), func() { f.serve(d, request, &answered) })
}

// lost draws whether a message to or from the daemon is lost.
func (d *simulatedDaemon) lost() bool { return d.isolated || d.fleet.random.Float64() < d.fleet.loss }

// serve has the leader handle a request, and sends the reply.
func (f *fleet) serve(d *simulatedDaemon, request Request, answered *bool) {
	if f.leader == nil || d.isolated {
		return
	}
	f.breakRequest(&request)
	f.breakAllocator()
	reply, err := f.leader.allocator.Allot(request, f.limitOf, f.leaderMark())
	if err != nil || d.lost() {
		return
	}
	f.messages++
	deliveries := 1
	if f.random.Float64() < f.duplication {
		deliveries = 2
	}
	for range deliveries {
		f.after(f.delay(), func() { d.do(func() { d.receive(reply, answered) }) })
	}
}

// receive hands a reply to the limiter, which is to ignore copies and those that come after the time-out.
func (d *simulatedDaemon) receive(reply Reply, answered *bool) {
	if d.isolated {
		return
	}
	*answered = true
	d.breakReply(&reply)
	d.resolved(d.limiter.Replied(reply, d.mark()))
}

func (f *fleet) limitOf(tenant string) (Limit, bool) {
	limit, found := f.limits[tenant]
	return limit, found
}

// resolved acts on what the limiter decided.
func (d *simulatedDaemon) resolved(resolutions []Resolution) {
	for _, resolution := range resolutions {
		request, waiting := d.waiting[resolution.Waiter]
		if !waiting {
			panic("a request was resolved that doesn't wait")
		}
		delete(d.waiting, resolution.Waiter)
		d.decided(request, resolution.Decision)
	}
	d.pump()
}

// crash ends the daemon.
func (d *simulatedDaemon) crash() {
	d.crashed = true
	d.fleet.daemons = slices.DeleteFunc(d.fleet.daemons, func(other *simulatedDaemon) bool { return other == d })
}

// limitChange is a limit that came into force on all daemons at a moment.
type limitChange struct {
	at    time.Duration
	limit Limit
}

// highestExcess returns by how much the sent requests of any window exceed the bound, as a number of requests: above 0,
// the bound is broken. A window's bound is that of the highest limit in force at any time in it. It knows nothing of
// tokens.
func highestExcess(sent []time.Duration, changes []limitChange, settings Settings) float64 {
	sorted := slices.Clone(sent)
	slices.Sort(sorted)
	highest, first := math.Inf(-1), 0
	for last, at := range sorted {
		for at-sorted[first] >= settings.Window {
			first++
		}
		excess := float64(last-first+1) - highestBound(changes, sorted[first], at, settings)
		highest = max(highest, excess)
	}
	return highest
}

// highestBound returns the most requests that a window may have which begins and ends at two moments.
func highestBound(changes []limitChange, from, to time.Duration, settings Settings) float64 {
	highest := 0.0
	for i, change := range changes {
		if change.at > to || i+1 < len(changes) && changes[i+1].at <= from {
			continue
		}
		requests := change.limit.RatePerSecond*settings.Window.Seconds() + change.limit.Burst
		highest = max(highest, requests*(1+settings.Excess)+settings.Margin)
	}
	return highest
}

// excess is the highest excess of a tenant's requests in any window.
func (f *fleet) excess(tenant string) float64 {
	return highestExcess(f.tally[tenant].sent, f.tally[tenant].changes, f.settings)
}

// arrivals makes clients send requests of a tenant at a rate, in clumps, to daemons that pick chooses, until an end.
func (f *fleet) arrivals(tenant string, perSecond float64, clump int, end time.Duration, pick func() *simulatedDaemon) {
	interval := float64(time.Second) * float64(clump) / perSecond
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		for range clump {
			if d := pick(); d != nil {
				d.request(tenant)
			}
		}
		f.after(time.Duration(f.random.ExpFloat64()*interval), next)
	}
	f.after(time.Duration(f.random.ExpFloat64()*interval), next)
}

// anyDaemon picks a daemon at random.
func (f *fleet) anyDaemon() *simulatedDaemon {
	if len(f.daemons) == 0 {
		return nil
	}
	return f.daemons[f.random.IntN(len(f.daemons))]
}

// Package engine is a stand-in for the users' engines, by their platform's page: it registers and beats,
// works in batches or on plain requests, takes orders, misbehaves on demand, and writes down all it does.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Config is what a stand-in is told. It stays over its lives.
type Config struct {
	// Name is the machine's; each life adds a number to it and has its id so.
	Name, Service, Zone, Address string
	Software                     string
	HealthPath                   string
	MaxConns                     int
	// IdleClose ends idle connections; it is told as Keep-Alive if TellIdle.
	IdleClose     time.Duration
	AdvertiseIdle bool
	// CloseEach puts Connection: close into each answer of that number; zero never does.
	CloseEach int
	// KeepsOnClose: it works on when a caller's connection closes.
	ContinueOnClose bool
	// Chunked answers to plain requests come in chunks, and not by length.
	Chunked bool

	// Pace and Room are of a model engine.
	Model    bool
	Pace     Pace
	Capacity Capacity
	Store    *Store
	// Initially is what its first life holds; later lives start empty.
	InitialModels []protocol.Holding

	// Slots, Waiting, Work, SlowFull and AnswerBytes are of a plain engine. When nearly full its work takes
	// SlowFull times as long.
	Slots, Waiting int
	Work           time.Duration
	SlowFull       float64
	AnswerBytes    int

	// Cold is how long it is slow from its start.
	WarmUp    time.Duration
	ReportLag time.Duration

	// BeatPeriod, Controls and DrainBound are for its registration; no controls, no registration.
	HeartbeatPeriod time.Duration
	Controls        func() []string
	DrainBound      time.Duration
	// DrainPatience is how long it serves on if nobody acknowledges that it leaves.
	DrainPatience time.Duration
	// LateEach has one beat of that number come LateBy late, and to any daemon; zero has none.
	LateEach uint64
	LateBy   time.Duration
	Seed     uint64
}

func adapterName(n int) string { return fmt.Sprintf("a%d", n) }

// Engine is one stand-in over all its lives.
type Engine struct {
	Config   Config
	Recorder *history.Recorder

	gate gate
	// had are the models on its disk.
	onDisk map[string]bool
	faults faults
	// orderFaults lose answers to orders.
	orderFaults faults
	// slowed is how many times as long each step takes.
	slowFactor atomic.Int64
	// dropIdle is after how long an idle connection is dropped in silence; zero is never.
	dropIdle atomic.Int64

	mutex        sync.Mutex
	incarnations int
	current      *incarnation
	// lastHead is of the newest request that was no probe.
	lastHeader http.Header
	// over is closed when the life before has wholly ended.
	ended chan struct{}
}

// New makes one; it is down until Start.
func New(config Config, recorder *history.Recorder) *Engine {
	return &Engine{Config: config, Recorder: recorder, onDisk: map[string]bool{}, gate: newGate()}
}

// life is one start of the engine.
type incarnation struct {
	*Engine
	id       string
	listener net.Listener
	ctx      context.Context
	end      context.CancelFunc
	mailbox  *actor.Mailbox[func()]
	record   *history.Incarnation
	began    clock.Mark
	random   *rand.Rand

	conns     sync.WaitGroup
	openConns atomic.Int64
	answers   atomic.Int64
	// upgrades counts changes of the weights of what is held.
	upgrades atomic.Int64
	queued   atomic.Int64
	draining atomic.Bool
	// deleted says that it said first that it is gone, and serves on.
	deregistered atomic.Bool
	crashed      atomic.Bool
	// remaining is the time left to one taken away at short notice; zero is none told.
	remaining    atomic.Int64
	heartbeatNow chan struct{}
	drainAcked   chan struct{}
	ackOnce      sync.Once

	// The rest belongs to the actor.
	batch         *Batch
	holdings      *Holdings
	stepping      bool
	jobCount      uint64
	newestWeights uint64
	sinks         map[*Job]*sink
	active        int
	waiting       []*Job
	reports       []agedReport
	order         *history.Order
	loading       bool
}

type agedReport struct {
	at     clock.Mark
	report protocol.Report
}

// sink is where a job's signs go.
type sink struct {
	progress chan Progress
	arrival  *history.Arrival
}

// Start begins a new life at its address.
func (e *Engine) Start() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.current != nil {
		return fmt.Errorf("%s lives already", e.Config.Name)
	}
	if e.ended != nil {
		<-e.ended
	}
	listener, err := net.Listen("tcp", e.Config.Address)
	if err != nil {
		return err
	}
	e.Config.Address = listener.Addr().String()
	e.incarnations++
	ctx, end := context.WithCancel(context.Background())
	l := &incarnation{Engine: e, id: fmt.Sprintf("i-%s-%d", e.Config.Name, e.incarnations), listener: listener, ctx: ctx, end: end,
		mailbox: actor.NewMailbox[func()](256), heartbeatNow: make(chan struct{}, 1), drainAcked: make(chan struct{}), newestWeights: 1, sinks: map[*Job]*sink{},
		began: e.Recorder.Now(), random: rand.New(rand.NewPCG(e.Config.Seed, uint64(e.incarnations)))}
	l.batch = NewBatch(e.Config.Pace)
	var initial []protocol.Holding
	if e.incarnations == 1 {
		initial = e.Config.InitialModels
	}
	l.holdings = NewHoldings(e.Config.Capacity, initial, e.onDisk)
	l.record = &history.Incarnation{Engine: l.id, Service: e.Config.Service, Zone: e.Config.Zone, Address: e.Config.Address, Began: l.began, InitialModels: initial, Slots: l.slots()}
	e.Recorder.Record(func(h *history.History) { h.Incarnations = append(h.Incarnations, l.record) })
	e.current = l
	l.recordReport()
	go l.mailbox.Run(ctx, 0, func(action func()) { action() }, nil)
	go l.accept()
	if e.Config.Controls != nil {
		go l.sendHeartbeats()
	}
	return nil
}

func (l *incarnation) slots() int {
	if l.Config.Model {
		return l.Config.Pace.Slots
	}
	return l.Config.Slots
}

// Current gives the id of the life that goes on; empty while it is down.
func (e *Engine) Current() string {
	if l := e.running(); l != nil {
		return l.id
	}
	return ""
}

func (e *Engine) running() *incarnation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.current
}

// LastHead gives the head of the newest request that came, probes left out.
func (e *Engine) LastHeader() http.Header {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastHeader.Clone()
}

// Crash ends the life at once, with all connections reset; connections are refused from then on.
func (e *Engine) Crash() { e.finish(true) }

func (e *Engine) finish(crashed bool) {
	if l := e.running(); l != nil {
		e.finishIncarnation(l, crashed)
	}
}

// finishLife ends this life, unless it has ended already.
func (e *Engine) finishIncarnation(l *incarnation, crashed bool) {
	e.mutex.Lock()
	if e.current != l {
		e.mutex.Unlock()
		return
	}
	e.current = nil
	over := make(chan struct{})
	e.ended = over
	e.mutex.Unlock()
	defer close(over)
	l.crashed.Store(crashed)
	l.end()
	l.listener.Close()
	l.conns.Wait()
	<-l.mailbox.Done()
	if l.loading {
		l.Config.Store.end()
	}
	e.Recorder.Record(func(*history.History) { l.record.Ended, l.record.Crashed = e.Recorder.Now(), crashed })
}

// Stop ends a life at a run's end.
func (e *Engine) Stop() {
	e.gate.open()
	e.finish(false)
}

// Freeze makes it stand still; Thaw lets it go on.
func (e *Engine) Freeze() { e.gate.close() }

// Thaw ends a freeze.
func (e *Engine) Thaw() { e.gate.open() }

// Leave makes it say that it drains, serve on for its bound after the acknowledgement, and end. With notice
// it is gone after that time, whatever it runs.
func (e *Engine) Drain(notice time.Duration) {
	l := e.running()
	if l == nil || !l.draining.CompareAndSwap(false, true) {
		return
	}
	e.Recorder.Record(func(*history.History) { l.record.DrainRequested = e.Recorder.Now() })
	if notice > 0 {
		l.remaining.Store(int64(e.Recorder.Now()) + int64(notice))
	}
	select {
	case l.heartbeatNow <- struct{}{}:
	default:
	}
	go func() {
		patience := e.Config.DrainPatience
		if notice > 0 {
			patience = notice
		}
		timer := time.NewTimer(patience)
		defer timer.Stop()
		select {
		case <-l.ctx.Done():
			return
		case <-timer.C:
		case <-l.drainAcked:
			if notice > 0 {
				select {
				case <-l.ctx.Done():
				case <-timer.C:
				}
				break
			}
			serveOn := time.NewTimer(e.Config.DrainBound + e.Config.DrainBound/4)
			defer serveOn.Stop()
			select {
			case <-l.ctx.Done():
				return
			case <-serveOn.C:
			}
		}
		if notice == 0 {
			l.deregister()
		}
		e.finishIncarnation(l, false)
	}()
}

// Delete makes it say that it is gone, though it beats and serves on for its bound after the acknowledgement, and
// ends then.
func (e *Engine) Delete() {
	l := e.running()
	if l == nil || l.draining.Load() || !l.deregistered.CompareAndSwap(false, true) {
		return
	}
	e.Recorder.Record(func(*history.History) { l.record.DrainRequested = e.Recorder.Now() })
	go func() {
		patience := time.NewTimer(e.Config.DrainPatience)
		defer patience.Stop()
		again := time.NewTicker(deregisterRetry)
		defer again.Stop()
		for acknowledged := l.deregister(); !acknowledged; acknowledged = l.deregister() {
			select {
			case <-l.ctx.Done():
				return
			case <-patience.C:
				e.finishIncarnation(l, false)
				return
			case <-again.C:
			}
		}
		serveOn := time.NewTimer(e.Config.DrainBound + e.Config.DrainBound/4)
		defer serveOn.Stop()
		select {
		case <-l.ctx.Done():
		case <-serveOn.C:
			e.finishIncarnation(l, false)
		}
	}()
}

// deleteAgain is how long after all daemons were asked in vain they are asked again.
const deregisterRetry = 100 * time.Millisecond

// do has the actor do something and waits for it; false if the life has ended.
func (l *incarnation) do(action func()) bool {
	done := make(chan struct{})
	if !l.mailbox.Send(func() { action(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.mailbox.Done():
		return false
	}
}

// later has the actor do something after a time.
func (l *incarnation) later(after time.Duration, action func()) {
	time.AfterFunc(after, func() {
		if l.gate.pass(l.ctx) {
			l.mailbox.Send(action)
		}
	})
}

// offer hands a job to the batch; the signs of it come on the channel. The second is false if it was turned away.
func (l *incarnation) submit(job *Job, arrival *history.Arrival) (<-chan Progress, bool) {
	to := &sink{progress: make(chan Progress, 4+job.tokens(max(1, l.Config.Pace.Stride))), arrival: arrival}
	taken := false
	l.do(func() {
		l.jobCount++
		job.Number = l.jobCount
		if l.Config.Model {
			taken = l.batch.Submit(job)
		} else {
			taken = l.active < l.Config.Slots || len(l.waiting) < l.Config.Waiting
		}
		if !taken {
			return
		}
		l.sinks[job] = to
		if l.Config.Model {
			l.step()
		} else {
			l.waiting = append(l.waiting, job)
			l.startWaiting()
		}
		l.recordReport()
	})
	return to.progress, taken
}

// leave forgets a job whose caller has gone.
func (l *incarnation) cancel(job *Job) {
	l.do(func() {
		if l.sinks[job] == nil {
			return
		}
		delete(l.sinks, job)
		if l.Config.Model {
			l.batch.Remove(job)
		} else if job.running {
			job.running = false
			l.active--
			l.startWaiting()
		} else {
			l.waiting = slices.DeleteFunc(l.waiting, func(other *Job) bool { return other == job })
		}
		l.finishPendingEviction()
		l.recordReport()
	})
}

// step starts a step of the batch unless one is under way.
func (l *incarnation) step() {
	if l.stepping {
		return
	}
	took, progress := l.batch.Begin(l.Recorder.Now())
	l.deliver(progress)
	if took == 0 {
		return
	}
	if l.warmingUp() {
		took *= 2
	}
	if times := l.slowFactor.Load(); times > 1 {
		took *= time.Duration(times)
	}
	l.stepping = true
	l.later(took, func() {
		l.stepping = false
		l.deliver(l.batch.End(l.Recorder.Now()))
		l.finishPendingEviction()
		l.recordReport()
		l.step()
	})
}

func (l *incarnation) warmingUp() bool { return l.Recorder.Now().Since(l.began) < l.Config.WarmUp }

func (l *incarnation) deliver(progress []Progress) {
	for _, sign := range progress {
		to := l.sinks[sign.Job]
		if to == nil {
			continue
		}
		if sign.Job.began && to.arrival != nil {
			l.Recorder.Record(func(*history.History) {
				if to.arrival.Began == 0 {
					to.arrival.Began = l.Recorder.Now()
				}
				to.arrival.PrefilledTokens, to.arrival.CachedTokens = sign.Job.PrefilledTokens, sign.Job.CachedTokens
			})
		}
		if sign.Preempted {
			continue
		}
		to.progress <- sign
		if sign.Last || sign.Expired {
			close(to.progress)
			delete(l.sinks, sign.Job)
		}
	}
}

// work gives waiting plain requests slots.
func (l *incarnation) startWaiting() {
	for l.active < l.Config.Slots && len(l.waiting) > 0 {
		job := l.waiting[0]
		l.waiting = l.waiting[1:]
		if job.Deadline != 0 && l.Recorder.Now() >= job.Deadline {
			l.deliver([]Progress{{Job: job, Expired: true}})
			continue
		}
		if job.HealthCheck {
			l.deliver([]Progress{{Job: job, Last: true}})
			continue
		}
		l.active++
		job.running, job.began = true, true
		l.deliver([]Progress{{Job: job}})
		if job.Hang {
			continue
		}
		took := l.Config.Work
		if l.Config.SlowFull > 0 && l.active*10 >= l.Config.Slots*9 {
			took = time.Duration(float64(took) * l.Config.SlowFull)
		}
		if l.warmingUp() {
			took *= 2
		}
		late := job.Deadline != 0 && l.Recorder.Now()+clock.Mark(took) > job.Deadline
		if late {
			took = job.Deadline.Since(l.Recorder.Now())
		}
		l.later(took, func() {
			if !job.running {
				return
			}
			job.running = false
			l.active--
			l.deliver([]Progress{{Job: job, Last: !late, Expired: late}})
			l.startWaiting()
			l.recordReport()
		})
	}
}

// remember keeps what a report will show once it is old enough.
func (l *incarnation) recordReport() {
	report := protocol.Report{Phase: "colocated", Models: l.holdings.List(), Saturated: l.holdings.pending != nil, CallSeq: l.holdings.callSeq, KVSize: l.Config.Pace.Memory, ServedModels: 0}
	if l.Config.Model {
		report.Queued, report.Active = l.batch.Queued(), l.batch.Active()
		report.KVInUse, _ = l.batch.Memory()
	} else {
		report.Queued, report.Active = len(l.waiting), l.active
	}
	l.queued.Store(int64(report.Queued))
	now := l.Recorder.Now()
	l.reports = append(l.reports, agedReport{now, report})
	// All but the newest of those old enough are never shown again.
	old := 0
	for old+1 < len(l.reports) && now.Since(l.reports[old+1].at) >= l.Config.ReportLag {
		old++
	}
	l.reports = slices.Delete(l.reports, 0, old)
}

// report gives what a report shows now.
func (l *incarnation) report() (report protocol.Report) {
	l.do(func() {
		l.recordReport()
		report = l.reports[0].report
	})
	return report
}

// take takes an order.
func (l *incarnation) takeOrder(order protocol.Order) int {
	noted := &history.Order{At: l.Recorder.Now(), Engine: l.id, Service: l.Config.Service, Order: order}
	status := 0
	l.do(func() {
		result := l.holdings.Take(order)
		status = result.Status
		noted.Status, noted.OverCapacity, noted.FromStore = result.Status, result.OverCapacity, result.FromStore
		l.Recorder.Record(func(h *history.History) { h.Orders = append(h.Orders, noted) })
		if result.Status != 202 {
			return
		}
		l.recordReport()
		if result.OverCapacity {
			// It falls when it is ordered to load over its room.
			go l.finishIncarnation(l, true)
			return
		}
		l.order = noted
		concerned := func(job *Job) bool { return l.holdings.InPendingOrder(job.Prompt.Model, job.Prompt.Adapter) }
		if l.Config.Model && order.Operation == protocol.Evict {
			for _, job := range l.batch.CancelQueued(concerned) {
				l.deliver([]Progress{{Job: job, Expired: true}})
			}
			l.finishPendingEviction()
			return
		}
		if result.FromStore && l.Config.Store != nil {
			result.Duration = time.Duration(float64(result.Duration) * l.Config.Store.begin())
			l.loading = true
		}
		l.later(result.Duration, func() {
			if l.loading {
				l.loading = false
				l.Config.Store.end()
			}
			l.finishOrder()
		})
	})
	return status
}

// settle carries an eviction out once nothing that it concerns runs.
func (l *incarnation) finishPendingEviction() {
	doing := l.holdings.pending
	if doing == nil || doing.Operation != protocol.Evict {
		return
	}
	if !l.batch.Running(func(job *Job) bool { return l.holdings.InPendingOrder(job.Prompt.Model, job.Prompt.Adapter) }) {
		l.finishOrder()
	}
}

func (l *incarnation) finishOrder() {
	done := l.holdings.Finish(l.newestWeights)
	if done.Operation == protocol.Evict {
		l.batch.DropCache(protocol.Prompt{Model: done.Model, Adapter: done.Adapter}.WriteModel())
		if done.Adapter == "" {
			if model := l.holdings.model(done.Model); model != nil {
				for n := 1; n <= model.Adapters; n++ {
					l.batch.DropCache(protocol.Prompt{Model: done.Model, Adapter: adapterName(n)}.WriteModel())
				}
			}
		}
	}
	noted := l.order
	l.Recorder.Record(func(*history.History) { noted.Done = l.Recorder.Now() })
	l.recordReport()
}

// Upgrade gives what is held of a model another version of its weights while it runs; streams tell of it.
func (e *Engine) Upgrade(model string, version uint64) {
	l := e.running()
	if l == nil {
		return
	}
	l.do(func() {
		if holding := l.holdings.Holding(model); holding != nil {
			holding.Generation = version
			l.upgrades.Add(1)
			l.recordReport()
		}
	})
}

// Renew gives the engine's loads a new version of the weights from now on; those held stay as they are.
func (e *Engine) Renew(version uint64) {
	if l := e.running(); l != nil {
		l.do(func() { l.newestWeights = version })
	}
}

// gate lets everything pass, or nothing.
type gate struct {
	mutex  *sync.Mutex
	closed *chan struct{}
}

func newGate() gate { return gate{mutex: &sync.Mutex{}, closed: new(chan struct{})} }

func (g gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if *g.closed == nil {
		*g.closed = make(chan struct{})
	}
}

func (g gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if *g.closed != nil {
		close(*g.closed)
		*g.closed = nil
	}
}

// pass waits while the gate is shut; false if the life ended over it.
func (g gate) pass(ctx context.Context) bool {
	g.mutex.Lock()
	closed := *g.closed
	g.mutex.Unlock()
	if closed != nil {
		select {
		case <-closed:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("broken invariant: an answer cannot be written: " + err.Error())
	}
	return data
}

// Leaving says whether it has begun to leave, or is down.
func (e *Engine) Draining() bool {
	l := e.running()
	return l == nil || l.draining.Load() || l.deregistered.Load()
}

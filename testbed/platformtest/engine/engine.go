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
	IdleClose time.Duration
	TellIdle  bool
	// CloseEach puts Connection: close into each answer of that number; zero never does.
	CloseEach int
	// KeepsOnClose: it works on when a caller's connection closes.
	KeepsOnClose bool
	// Chunked answers to plain requests come in chunks, and not by length.
	Chunked bool

	// Pace and Room are of a model engine.
	Model bool
	Pace  Pace
	Room  Room
	Store *Store
	// Initially is what its first life holds; later lives start empty.
	Initially []protocol.Holding

	// Slots, Waiting, Work, SlowFull and AnswerBytes are of a plain engine. When nearly full its work takes
	// SlowFull times as long.
	Slots, Waiting int
	Work           time.Duration
	SlowFull       float64
	AnswerBytes    int

	// Cold is how long it is slow from its start.
	Cold      time.Duration
	ReportLag time.Duration

	// BeatPeriod, Controls and DrainBound are for its registration; no controls, no registration.
	BeatPeriod time.Duration
	Controls   func() []string
	DrainBound time.Duration
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
	Config Config
	Book   *history.Book

	gate gate
	// had are the models on its disk.
	had    map[string]bool
	faults faults
	// orderFaults lose answers to orders.
	orderFaults faults
	// slowed is how many times as long each step takes.
	slowed atomic.Int64
	// dropIdle is after how long an idle connection is dropped in silence; zero is never.
	dropIdle atomic.Int64

	mutex sync.Mutex
	lives int
	life  *life
	// lastHead is of the newest request that was no probe.
	lastHead http.Header
	// over is closed when the life before has wholly ended.
	over chan struct{}
}

// New makes one; it is down until Start.
func New(config Config, book *history.Book) *Engine {
	return &Engine{Config: config, Book: book, had: map[string]bool{}, gate: newGate()}
}

// life is one start of the engine.
type life struct {
	*Engine
	id       string
	listener net.Listener
	ctx      context.Context
	end      context.CancelFunc
	box      *actor.Mailbox[func()]
	record   *history.Life
	began    clock.Mark
	random   *rand.Rand

	conns   sync.WaitGroup
	open    atomic.Int64
	answers atomic.Int64
	// upgrades counts changes of the weights of what is held.
	upgrades atomic.Int64
	queued   atomic.Int64
	leaving  atomic.Bool
	// deleted says that it said first that it is gone, and serves on.
	deleted atomic.Bool
	crashed atomic.Bool
	// remaining is the time left to one taken away at short notice; zero is none told.
	remaining atomic.Int64
	hurry     chan struct{}
	acked     chan struct{}
	ackOnce   sync.Once

	// The rest belongs to the actor.
	batch    *Batch
	holdings *Holdings
	stepping bool
	jobs     uint64
	newest   uint64
	sinks    map[*Job]*sink
	active   int
	waiting  []*Job
	reports  []agedReport
	order    *history.Order
	loading  bool
}

type agedReport struct {
	at     clock.Mark
	report protocol.Report
}

// sink is where a job's signs go.
type sink struct {
	signs   chan Sign
	arrival *history.Arrival
}

// Start begins a new life at its address.
func (e *Engine) Start() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.life != nil {
		return fmt.Errorf("%s lives already", e.Config.Name)
	}
	if e.over != nil {
		<-e.over
	}
	listener, err := net.Listen("tcp", e.Config.Address)
	if err != nil {
		return err
	}
	e.Config.Address = listener.Addr().String()
	e.lives++
	ctx, end := context.WithCancel(context.Background())
	l := &life{Engine: e, id: fmt.Sprintf("i-%s-%d", e.Config.Name, e.lives), listener: listener, ctx: ctx, end: end,
		box: actor.NewMailbox[func()](256), hurry: make(chan struct{}, 1), acked: make(chan struct{}), newest: 1, sinks: map[*Job]*sink{},
		began: e.Book.Now(), random: rand.New(rand.NewPCG(e.Config.Seed, uint64(e.lives)))}
	l.batch = NewBatch(e.Config.Pace)
	var initial []protocol.Holding
	if e.lives == 1 {
		initial = e.Config.Initially
	}
	l.holdings = NewHoldings(e.Config.Room, initial, e.had)
	l.record = &history.Life{Engine: l.id, Service: e.Config.Service, Zone: e.Config.Zone, Address: e.Config.Address, Began: l.began, Holds: initial, Slots: l.slots()}
	e.Book.Note(func(h *history.History) { h.Lives = append(h.Lives, l.record) })
	e.life = l
	l.remember()
	go l.box.Run(ctx, 0, func(act func()) { act() }, nil)
	go l.accept()
	if e.Config.Controls != nil {
		go l.beat()
	}
	return nil
}

func (l *life) slots() int {
	if l.Config.Model {
		return l.Config.Pace.Slots
	}
	return l.Config.Slots
}

// Current gives the id of the life that goes on; empty while it is down.
func (e *Engine) Current() string {
	if l := e.living(); l != nil {
		return l.id
	}
	return ""
}

func (e *Engine) living() *life {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.life
}

// LastHead gives the head of the newest request that came, probes left out.
func (e *Engine) LastHead() http.Header {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastHead.Clone()
}

// Crash ends the life at once, with all connections reset; connections are refused from then on.
func (e *Engine) Crash() { e.finish(true) }

func (e *Engine) finish(crashed bool) {
	if l := e.living(); l != nil {
		e.finishLife(l, crashed)
	}
}

// finishLife ends this life, unless it has ended already.
func (e *Engine) finishLife(l *life, crashed bool) {
	e.mutex.Lock()
	if e.life != l {
		e.mutex.Unlock()
		return
	}
	e.life = nil
	over := make(chan struct{})
	e.over = over
	e.mutex.Unlock()
	defer close(over)
	l.crashed.Store(crashed)
	l.end()
	l.listener.Close()
	l.conns.Wait()
	<-l.box.Done()
	if l.loading {
		l.Config.Store.end()
	}
	e.Book.Note(func(*history.History) { l.record.Ended, l.record.Crashed = e.Book.Now(), crashed })
}

// Stop ends a life at a run's end.
func (e *Engine) Stop() {
	e.gate.open()
	e.finish(false)
}

// Freeze makes it stand still; Thaw lets it go on.
func (e *Engine) Freeze() { e.gate.shut() }

// Thaw ends a freeze.
func (e *Engine) Thaw() { e.gate.open() }

// Leave makes it say that it drains, serve on for its bound after the acknowledgement, and end. With notice
// it is gone after that time, whatever it runs.
func (e *Engine) Leave(notice time.Duration) {
	l := e.living()
	if l == nil || !l.leaving.CompareAndSwap(false, true) {
		return
	}
	e.Book.Note(func(*history.History) { l.record.DrainAsked = e.Book.Now() })
	if notice > 0 {
		l.remaining.Store(int64(e.Book.Now()) + int64(notice))
	}
	select {
	case l.hurry <- struct{}{}:
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
		case <-l.acked:
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
			l.depart()
		}
		e.finishLife(l, false)
	}()
}

// Delete makes it say that it is gone, though it beats and serves on for its bound after the acknowledgement, and
// ends then.
func (e *Engine) Delete() {
	l := e.living()
	if l == nil || l.leaving.Load() || !l.deleted.CompareAndSwap(false, true) {
		return
	}
	e.Book.Note(func(*history.History) { l.record.DrainAsked = e.Book.Now() })
	go func() {
		patience := time.NewTimer(e.Config.DrainPatience)
		defer patience.Stop()
		again := time.NewTicker(deleteAgain)
		defer again.Stop()
		for acknowledged := l.depart(); !acknowledged; acknowledged = l.depart() {
			select {
			case <-l.ctx.Done():
				return
			case <-patience.C:
				e.finishLife(l, false)
				return
			case <-again.C:
			}
		}
		serveOn := time.NewTimer(e.Config.DrainBound + e.Config.DrainBound/4)
		defer serveOn.Stop()
		select {
		case <-l.ctx.Done():
		case <-serveOn.C:
			e.finishLife(l, false)
		}
	}()
}

// deleteAgain is how long after all daemons were asked in vain they are asked again.
const deleteAgain = 100 * time.Millisecond

// do has the actor do something and waits for it; false if the life has ended.
func (l *life) do(act func()) bool {
	done := make(chan struct{})
	if !l.box.Send(func() { act(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.box.Done():
		return false
	}
}

// later has the actor do something after a time.
func (l *life) later(after time.Duration, act func()) {
	time.AfterFunc(after, func() {
		if l.gate.pass(l.ctx) {
			l.box.Send(act)
		}
	})
}

// offer hands a job to the batch; the signs of it come on the channel. The second is false if it was turned away.
func (l *life) offer(job *Job, arrival *history.Arrival) (<-chan Sign, bool) {
	to := &sink{signs: make(chan Sign, 4+job.tokens(max(1, l.Config.Pace.Stride))), arrival: arrival}
	taken := false
	l.do(func() {
		l.jobs++
		job.Number = l.jobs
		if l.Config.Model {
			taken = l.batch.Offer(job)
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
			l.work()
		}
		l.remember()
	})
	return to.signs, taken
}

// leave forgets a job whose caller has gone.
func (l *life) leave(job *Job) {
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
			l.work()
		} else {
			l.waiting = slices.DeleteFunc(l.waiting, func(other *Job) bool { return other == job })
		}
		l.settle()
		l.remember()
	})
}

// step starts a step of the batch unless one is under way.
func (l *life) step() {
	if l.stepping {
		return
	}
	took, signs := l.batch.Begin(l.Book.Now())
	l.tell(signs)
	if took == 0 {
		return
	}
	if l.cold() {
		took *= 2
	}
	if times := l.slowed.Load(); times > 1 {
		took *= time.Duration(times)
	}
	l.stepping = true
	l.later(took, func() {
		l.stepping = false
		l.tell(l.batch.End(l.Book.Now()))
		l.settle()
		l.remember()
		l.step()
	})
}

func (l *life) cold() bool { return l.Book.Now().Since(l.began) < l.Config.Cold }

func (l *life) tell(signs []Sign) {
	for _, sign := range signs {
		to := l.sinks[sign.Job]
		if to == nil {
			continue
		}
		if sign.Job.began && to.arrival != nil {
			l.Book.Note(func(*history.History) {
				if to.arrival.Began == 0 {
					to.arrival.Began = l.Book.Now()
				}
				to.arrival.ReadTokens, to.arrival.KeptTokens = sign.Job.Read, sign.Job.Kept
			})
		}
		if sign.PutBack {
			continue
		}
		to.signs <- sign
		if sign.Last || sign.Expired {
			close(to.signs)
			delete(l.sinks, sign.Job)
		}
	}
}

// work gives waiting plain requests slots.
func (l *life) work() {
	for l.active < l.Config.Slots && len(l.waiting) > 0 {
		job := l.waiting[0]
		l.waiting = l.waiting[1:]
		if job.Deadline != 0 && l.Book.Now() >= job.Deadline {
			l.tell([]Sign{{Job: job, Expired: true}})
			continue
		}
		if job.Probe {
			l.tell([]Sign{{Job: job, Last: true}})
			continue
		}
		l.active++
		job.running, job.began = true, true
		l.tell([]Sign{{Job: job}})
		if job.Hangs {
			continue
		}
		took := l.Config.Work
		if l.Config.SlowFull > 0 && l.active*10 >= l.Config.Slots*9 {
			took = time.Duration(float64(took) * l.Config.SlowFull)
		}
		if l.cold() {
			took *= 2
		}
		late := job.Deadline != 0 && l.Book.Now()+clock.Mark(took) > job.Deadline
		if late {
			took = job.Deadline.Since(l.Book.Now())
		}
		l.later(took, func() {
			if !job.running {
				return
			}
			job.running = false
			l.active--
			l.tell([]Sign{{Job: job, Last: !late, Expired: late}})
			l.work()
			l.remember()
		})
	}
}

// remember keeps what a report will show once it is old enough.
func (l *life) remember() {
	report := protocol.Report{Phase: "colocated", Models: l.holdings.List(), Saturated: l.holdings.doing != nil, CallSeq: l.holdings.callSeq, KVSize: l.Config.Pace.Memory, ServedModels: 0}
	if l.Config.Model {
		report.Queued, report.Active = l.batch.Queued(), l.batch.Active()
		report.KVInUse, _ = l.batch.Memory()
	} else {
		report.Queued, report.Active = len(l.waiting), l.active
	}
	l.queued.Store(int64(report.Queued))
	now := l.Book.Now()
	l.reports = append(l.reports, agedReport{now, report})
	// All but the newest of those old enough are never shown again.
	old := 0
	for old+1 < len(l.reports) && now.Since(l.reports[old+1].at) >= l.Config.ReportLag {
		old++
	}
	l.reports = slices.Delete(l.reports, 0, old)
}

// report gives what a report shows now.
func (l *life) report() (report protocol.Report) {
	l.do(func() {
		l.remember()
		report = l.reports[0].report
	})
	return report
}

// take takes an order.
func (l *life) take(order protocol.Order) int {
	noted := &history.Order{At: l.Book.Now(), Engine: l.id, Service: l.Config.Service, Order: order}
	status := 0
	l.do(func() {
		verdict := l.holdings.Take(order)
		status = verdict.Status
		noted.Status, noted.Over, noted.Store = verdict.Status, verdict.Over, verdict.Store
		l.Book.Note(func(h *history.History) { h.Orders = append(h.Orders, noted) })
		if verdict.Status != 202 {
			return
		}
		l.remember()
		if verdict.Over {
			// It falls when it is ordered to load over its room.
			go l.finishLife(l, true)
			return
		}
		l.order = noted
		concerned := func(job *Job) bool { return l.holdings.Concerned(job.Prompt.Model, job.Prompt.Adapter) }
		if l.Config.Model && order.Operation == protocol.Evict {
			for _, job := range l.batch.Drop(concerned) {
				l.tell([]Sign{{Job: job, Expired: true}})
			}
			l.settle()
			return
		}
		if verdict.Store && l.Config.Store != nil {
			verdict.Takes = time.Duration(float64(verdict.Takes) * l.Config.Store.begin())
			l.loading = true
		}
		l.later(verdict.Takes, func() {
			if l.loading {
				l.loading = false
				l.Config.Store.end()
			}
			l.carryOut()
		})
	})
	return status
}

// settle carries an eviction out once nothing that it concerns runs.
func (l *life) settle() {
	doing := l.holdings.doing
	if doing == nil || doing.Operation != protocol.Evict {
		return
	}
	if !l.batch.Works(func(job *Job) bool { return l.holdings.Concerned(job.Prompt.Model, job.Prompt.Adapter) }) {
		l.carryOut()
	}
}

func (l *life) carryOut() {
	done := l.holdings.Finish(l.newest)
	if done.Operation == protocol.Evict {
		l.batch.Forget(protocol.Prompt{Model: done.Model, Adapter: done.Adapter}.WriteModel())
		if done.Adapter == "" {
			if model := l.holdings.model(done.Model); model != nil {
				for n := 1; n <= model.Adapters; n++ {
					l.batch.Forget(protocol.Prompt{Model: done.Model, Adapter: adapterName(n)}.WriteModel())
				}
			}
		}
	}
	noted := l.order
	l.Book.Note(func(*history.History) { noted.Done = l.Book.Now() })
	l.remember()
}

// Upgrade gives what is held of a model another version of its weights while it runs; streams tell of it.
func (e *Engine) Upgrade(model string, version uint64) {
	l := e.living()
	if l == nil {
		return
	}
	l.do(func() {
		if held := l.holdings.Held(model); held != nil {
			held.Generation = version
			l.upgrades.Add(1)
			l.remember()
		}
	})
}

// Renew gives the engine's loads a new version of the weights from now on; those held stay as they are.
func (e *Engine) Renew(version uint64) {
	if l := e.living(); l != nil {
		l.do(func() { l.newest = version })
	}
}

// gate lets everything pass, or nothing.
type gate struct {
	mutex *sync.Mutex
	shutC *chan struct{}
}

func newGate() gate { return gate{mutex: &sync.Mutex{}, shutC: new(chan struct{})} }

func (g gate) shut() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if *g.shutC == nil {
		*g.shutC = make(chan struct{})
	}
}

func (g gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if *g.shutC != nil {
		close(*g.shutC)
		*g.shutC = nil
	}
}

// pass waits while the gate is shut; false if the life ended over it.
func (g gate) pass(ctx context.Context) bool {
	g.mutex.Lock()
	closed := *g.shutC
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
func (e *Engine) Leaving() bool {
	l := e.living()
	return l == nil || l.leaving.Load() || l.deleted.Load()
}

// Package discovery is what this daemon knows of the engines: the platform's list, their reports, and
// who is leaving. It is kept by one actor and read through one pointer.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/wire/dialect"
	"github.com/cresspond/cresspond/wire/engineapi"
	"github.com/cresspond/cresspond/wire/platformapi"
)

// Condition is how an engine is judged.
type Condition string

const (
	// Unheard: listed, and no report has been read yet.
	Unheard Condition = "unheard"
	// Sound: reports come.
	Sound Condition = "sound"
	// Suspect: reports fail, so nothing new is sent until some come again.
	Suspect Condition = "suspect"
	// SetAside: it sent junk, and rests for a while.
	SetAside Condition = "set-aside"
)

// Engine is what is known of one; it is never changed once it is in a view.
type Engine struct {
	ID       ident.EngineID
	Address  string
	Zone     ident.ZoneID
	Draining bool
	// DrainKnown is when the draining was first known here.
	DrainKnown clock.Mark
	Condition  Condition
	Report     engineapi.Report
	// Asked is when the newest report was asked for: whatever happened later it can't show.
	Asked clock.Mark
	// Life counts the restarts seen: the counter went back, or the address changed.
	Life int
	// WarmFrom is when this life, or its return, began; goes ramp up from there.
	WarmFrom clock.Mark
	// Turned is when its condition last changed.
	Turned     clock.Mark
	failed     int
	good       int
	asideUntil clock.Mark
	goesFailed int
	// fullAt is how many goes it ran when it last called itself saturated; zero while that is not known.
	fullAt int
	listed clock.Mark
}

// Holds says whether the engine reports the model as loaded, with the adapter if one is named.
func (e *Engine) Holds(model, adapter string) bool {
	for _, held := range e.Report.Models {
		if held.Model != model || held.State != engineapi.Loaded {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, name := range held.Adapters {
			if name == adapter {
				return true
			}
		}
	}
	return false
}

// rampSpan is how long an engine that has just come, or come back, takes to get its whole share of goes.
const rampSpan = 4 * time.Second

// Capacity is how many goes the engine may be given at once now. What it called full goes before what the
// bundle says, and a cold one is let ramp up.
func (e *Engine) Capacity(now clock.Mark, slots int) int {
	if e.fullAt > 0 {
		slots = min(slots, e.fullAt)
	}
	if warm := now.Since(e.WarmFrom); warm < rampSpan {
		return max(1, int(float64(slots)*float64(warm)/float64(rampSpan)))
	}
	return slots
}

// refusalDoubt bounds how long a refusal is believed when no report comes.
const refusalDoubt = 2 * time.Second

// StillRefuses says whether an engine that refused then must be taken to refuse still: only a report
// that was asked for later can show that there is room again.
func StillRefuses(then, asked, now clock.Mark) bool {
	return asked <= then && now.Since(then) < refusalDoubt
}

// Usable says whether anything new may be sent, as far as its own condition goes.
func (e *Engine) Usable() bool { return e.Condition == Sound && !e.Draining }

// View is all engines at one moment.
type View struct {
	Engines map[ident.EngineID]*Engine
	// ListRead counts the readings of the platform's list.
	ListRead int
}

// Counters are raised as things happen.
type Counters struct {
	JunkReports, FailedReports, Lives, SetAsides atomic.Uint64
}

// Watcher is the actor.
type Watcher struct {
	Counters Counters
	clock    clock.Clock
	platform string
	box      *actor.Mailbox[any]
	view     atomic.Pointer[View]
	reports  *connectionpool.Pools
	asked    atomic.Uint64
	swept    clock.Mark
	onChange func()
	asking   map[ident.EngineID]bool
	listing  bool
}

const (
	pollEvery    = 200 * time.Millisecond
	askTimeout   = 800 * time.Millisecond
	failedFor    = 2
	goodAgainFor = 2
	// goesFailedFor is how many goes in a row must fail before an engine rests.
	goesFailedFor = 3
	asideFor      = 3 * time.Second
	forgetAfter   = 30 * time.Second
	mostReport    = 1 << 20
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = 5 * time.Second
)

type (
	listRead struct {
		list platformapi.List
		err  error
	}
	reportRead struct {
		id      ident.EngineID
		address string
		asked   clock.Mark
		report  engineapi.Report
		junk    bool
		err     error
	}
	heardDraining struct {
		id      ident.EngineID
		address string
		ago     time.Duration
	}
	setAside struct{ id ident.EngineID }
	goWent   struct {
		id   ident.EngineID
		well bool
	}
)

// New makes a watcher; onChange is called after each new view.
func New(c clock.Clock, platform string, onChange func()) *Watcher {
	w := &Watcher{clock: c, platform: platform, box: actor.NewMailbox[any](256), onChange: onChange, asking: map[ident.EngineID]bool{},
		reports: connectionpool.New(c, dialect.Own())}
	w.view.Store(&View{Engines: map[ident.EngineID]*Engine{}})
	return w
}

// View gives the newest view.
func (w *Watcher) View() *View { return w.view.Load() }

// Run runs the actor.
func (w *Watcher) Run(ctx context.Context) { w.box.Run(ctx, pollEvery, w.take, w.beat) }

// HeardDraining takes a fellow's word that an engine is leaving.
func (w *Watcher) HeardDraining(id ident.EngineID, address string, ago time.Duration) {
	w.box.Offer(heardDraining{id, address, ago})
}

// GoWent tells how a go ended: reports may come while goes fail, so both are listened to.
func (w *Watcher) GoWent(id ident.EngineID, well bool) { w.box.Offer(goWent{id, well}) }

// SetAside rests an engine that sent junk.
func (w *Watcher) SetAside(id ident.EngineID) { w.box.Offer(setAside{id}) }

func (w *Watcher) beat() {
	if now := w.clock.Elapsed(); now.Since(w.swept) >= sweepEvery {
		w.swept = now
		w.reports.Sweep(nil)
	}
	if w.platform != "" && !w.listing {
		w.listing = true
		go func() {
			var read listRead
			read.err = w.get("", w.platform, platformapi.PathEngines, &read.list)
			w.box.Send(read)
		}()
	}
	for id, engine := range w.view.Load().Engines {
		if w.asking[id] {
			continue
		}
		w.asking[id] = true
		asked, address := w.clock.Elapsed(), engine.Address
		go func() {
			read := reportRead{id: id, address: address, asked: asked}
			read.err = w.get(id, address, engineapi.PathReport, &read.report)
			_, read.junk = read.err.(junk)
			read.junk = read.junk || read.err == nil && !plausible(read.report)
			w.box.Send(read)
		}()
	}
}

// junk is an answer that came but can't be understood.
type junk struct{ error }

func plausible(report engineapi.Report) bool {
	seen := map[string]bool{}
	for _, held := range report.Models {
		known := held.State == engineapi.Loading || held.State == engineapi.Loaded || held.State == engineapi.Unloading
		if held.Model == "" || seen[held.Model] || !known {
			return false
		}
		seen[held.Model] = true
	}
	return report.Busy >= 0
}

// get asks once, over a connection that is kept only if all of an answer and nothing more came on it. The question
// bears an id; an answer that bears another is not taken.
func (w *Watcher) get(id ident.EngineID, address, path string, into any) error {
	head := &fasthttp.RequestHeader{}
	head.SetMethod(fasthttp.MethodGet)
	head.SetRequestURI(path)
	head.SetHost(address)
	asked := "report-" + strconv.FormatUint(w.asked.Add(1), 16)
	head.Set(engineapi.HeaderAttempt, asked)
	answer := w.reports.Send(connectionpool.Attempt{Engine: id, Address: address, ID: asked, Head: head, Dress: func() {}, LastLook: func() string { return "" },
		Until: w.clock.Elapsed() + clock.Mark(askTimeout), Cancel: &connectionpool.Cancel{}, Unnamed: connectionpool.UnnamedOnClean})
	if answer.Outcome != connectionpool.Answered {
		return fmt.Errorf("%s: %s", answer.Outcome, answer.Reason)
	}
	defer answer.Close()
	if status := answer.Response().StatusCode(); status != fasthttp.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	body, err := io.ReadAll(io.LimitReader(answer, mostReport))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return junk{err}
	}
	return nil
}

func (w *Watcher) take(event any) {
	now := w.clock.Elapsed()
	old := w.view.Load()
	next := &View{Engines: maps.Clone(old.Engines), ListRead: old.ListRead}
	switch e := event.(type) {
	case listRead:
		w.listing = false
		if e.err != nil {
			return
		}
		next.ListRead++
		takeList(next, e.list, now)
	case reportRead:
		delete(w.asking, e.id)
		engine, known := next.Engines[e.id]
		if !known || engine.Address != e.address {
			return
		}
		next.Engines[e.id] = w.takeReport(*engine, e, now)
	case heardDraining:
		engine, known := next.Engines[e.id]
		if !known || engine.Address != e.address || engine.Draining {
			return
		}
		next.Engines[e.id] = engine.leaving(now - clock.Mark(e.ago))
	case goWent:
		engine, known := next.Engines[e.id]
		if !known || e.well && engine.goesFailed == 0 {
			return
		}
		copied := *engine
		copied.goesFailed++
		if e.well {
			copied.goesFailed = 0
		} else if copied.goesFailed >= goesFailedFor {
			w.Counters.SetAsides.Add(1)
			copied.goesFailed = 0
			copied.turn(SetAside, now)
		}
		next.Engines[e.id] = &copied
	case setAside:
		engine, known := next.Engines[e.id]
		if !known {
			return
		}
		w.Counters.SetAsides.Add(1)
		copied := *engine
		copied.turn(SetAside, now)
		next.Engines[e.id] = &copied
	}
	w.view.Store(next)
	w.onChange()
}

func (e *Engine) leaving(known clock.Mark) *Engine {
	copied := *e
	copied.Draining, copied.DrainKnown = true, known
	return &copied
}

// turn is the one place where an engine's condition changes.
func (e *Engine) turn(condition Condition, now clock.Mark) {
	if condition == SetAside {
		e.asideUntil = now + clock.Mark(asideFor)
	}
	if condition == Sound && e.Condition != Sound {
		e.WarmFrom = now
	}
	if condition != e.Condition {
		e.failed, e.good, e.Turned = 0, 0, now
	}
	e.Condition = condition
}

func takeList(view *View, list platformapi.List, now clock.Mark) {
	for _, row := range list.Engines {
		if row.ID == "" || row.Address == "" {
			continue
		}
		engine, known := view.Engines[row.ID]
		var copied Engine
		switch {
		case !known:
			copied = Engine{ID: row.ID, Address: row.Address, Zone: row.Zone, Condition: Unheard}
		case engine.Address != row.Address:
			// The same name at another address is another machine: nothing known of the old one holds.
			copied = Engine{ID: row.ID, Address: row.Address, Zone: row.Zone, Condition: Unheard, Life: engine.Life + 1}
		default:
			copied = *engine
		}
		copied.listed = now
		if row.Draining && !copied.Draining {
			copied = *copied.leaving(now)
		}
		view.Engines[row.ID] = &copied
	}
	for id, engine := range view.Engines {
		// Missing from one reading isn't gone; missing for long and silent is.
		if now.Since(engine.listed) > forgetAfter && engine.Condition != Sound {
			delete(view.Engines, id)
		}
	}
}

func (w *Watcher) takeReport(engine Engine, read reportRead, now clock.Mark) *Engine {
	switch {
	case read.junk:
		w.Counters.JunkReports.Add(1)
		w.Counters.SetAsides.Add(1)
		engine.turn(SetAside, now)
	case read.err != nil:
		w.Counters.FailedReports.Add(1)
		engine.failed++
		engine.good = 0
		if engine.failed >= failedFor && engine.Condition == Sound {
			engine.turn(Suspect, now)
		}
	default:
		if read.report.CallSeq < engine.Report.CallSeq {
			// The counter went back: a new life, in which old orders are void and nothing is warm.
			w.Counters.Lives.Add(1)
			engine.Life++
			engine.WarmFrom = now
			// Whoever was leaving has left; the list says so again if the new life leaves too.
			engine.Draining, engine.fullAt = false, 0
		}
		switch {
		case read.report.Saturated && read.report.Busy > 0:
			engine.fullAt = read.report.Busy
		case read.report.Busy >= engine.fullAt:
			// It runs as many and has room, so it can take more than was thought.
			engine.fullAt = 0
		}
		engine.Report, engine.Asked = read.report, read.asked
		if read.report.Draining && !engine.Draining {
			engine = *engine.leaving(now)
		}
		engine.failed = 0
		engine.good++
		switch engine.Condition {
		case Unheard:
			engine.turn(Sound, now)
		case Suspect:
			if engine.good >= goodAgainFor {
				engine.turn(Sound, now)
			}
		case SetAside:
			if now >= engine.asideUntil {
				engine.turn(Sound, now)
			}
		}
	}
	return &engine
}

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
	AwaitingReport Condition = "unheard"
	// Sound: reports come.
	Healthy Condition = "sound"
	// Suspect: reports fail, so nothing new is sent until some come again.
	Suspect Condition = "suspect"
	// SetAside: it sent junk, and rests for a while.
	Quarantined Condition = "set-aside"
)

// Engine is what is known of one; it is never changed once it is in a view.
type Engine struct {
	ID       ident.EngineID
	Address  string
	Zone     ident.ZoneID
	Draining bool
	// DrainKnown is when the draining was first known here.
	DrainingSince clock.Mark
	Condition     Condition
	Report        engineapi.Report
	// Asked is when the newest report was asked for: whatever happened later it can't show.
	ReportRequested clock.Mark
	// Life counts the restarts seen: the counter went back, or the address changed.
	Incarnation int
	// WarmFrom is when this life, or its return, began; goes ramp up from there.
	SlowStartFrom clock.Mark
	// Turned is when its condition last changed.
	ConditionSince   clock.Mark
	failedReports    int
	goodReports      int
	quarantinedUntil clock.Mark
	failedAttempts   int
	// fullAt is how many goes it ran when it last called itself saturated; zero while that is not known.
	saturatedBusy int
	lastListed    clock.Mark
}

// Holds says whether the engine reports the model as loaded, with the adapter if one is named.
func (e *Engine) Holds(model, adapter string) bool {
	for _, loaded := range e.Report.Models {
		if loaded.Model != model || loaded.State != engineapi.Loaded {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, name := range loaded.Adapters {
			if name == adapter {
				return true
			}
		}
	}
	return false
}

// rampSpan is how long an engine that has just come, or come back, takes to get its whole share of goes.
const slowStartDuration = 4 * time.Second

// Capacity is how many goes the engine may be given at once now. What it called full goes before what the
// bundle says, and a cold one is let ramp up.
func (e *Engine) Capacity(now clock.Mark, slots int) int {
	if e.saturatedBusy > 0 {
		slots = min(slots, e.saturatedBusy)
	}
	if elapsed := now.Since(e.SlowStartFrom); elapsed < slowStartDuration {
		return max(1, int(float64(slots)*float64(elapsed)/float64(slowStartDuration)))
	}
	return slots
}

// refusalDoubt bounds how long a refusal is believed when no report comes.
const refusalValidFor = 2 * time.Second

// StillRefuses says whether an engine that refused then must be taken to refuse still: only a report
// that was asked for later can show that there is room again.
func StillRefuses(refused, reportRequested, now clock.Mark) bool {
	return reportRequested <= refused && now.Since(refused) < refusalValidFor
}

// Usable says whether anything new may be sent, as far as its own condition goes.
func (e *Engine) Usable() bool { return e.Condition == Healthy && !e.Draining }

// View is all engines at one moment.
type View struct {
	Engines map[ident.EngineID]*Engine
	// ListRead counts the readings of the platform's list.
	ListReads int
}

// Counters are raised as things happen.
type Counters struct {
	InvalidReports, FailedReports, Restarts, Quarantines atomic.Uint64
}

// Watcher is the actor.
type Watcher struct {
	Counters       Counters
	clock          clock.Clock
	platform       string
	mailbox        *actor.Mailbox[any]
	view           atomic.Pointer[View]
	reports        *connectionpool.Pools
	requests       atomic.Uint64
	lastSweep      clock.Mark
	onChange       func()
	reportsPending map[ident.EngineID]bool
	listPending    bool
}

const (
	pollPeriod             = 200 * time.Millisecond
	requestTimeout         = 800 * time.Millisecond
	failedReportsToSuspect = 2
	goodReportsToRecover   = 2
	// goesFailedFor is how many goes in a row must fail before an engine rests.
	failedAttemptsToQuarantine = 3
	quarantineDuration         = 3 * time.Second
	removeAfter                = 30 * time.Second
	maxReportBytes             = 1 << 20
	// sweepEvery is how often idle connections are looked through.
	sweepPeriod = 5 * time.Second
)

type (
	listResult struct {
		list platformapi.List
		err  error
	}
	reportResult struct {
		id        ident.EngineID
		address   string
		requested clock.Mark
		report    engineapi.Report
		invalid   bool
		err       error
	}
	drainingReported struct {
		id      ident.EngineID
		address string
		ago     time.Duration
	}
	quarantineRequested struct{ id ident.EngineID }
	attemptEnded        struct {
		id        ident.EngineID
		succeeded bool
	}
)

// New makes a watcher; onChange is called after each new view.
func New(c clock.Clock, platform string, onChange func()) *Watcher {
	w := &Watcher{clock: c, platform: platform, mailbox: actor.NewMailbox[any](256), onChange: onChange, reportsPending: map[ident.EngineID]bool{},
		reports: connectionpool.New(c, dialect.Own())}
	w.view.Store(&View{Engines: map[ident.EngineID]*Engine{}})
	return w
}

// View gives the newest view.
func (w *Watcher) View() *View { return w.view.Load() }

// Run runs the actor.
func (w *Watcher) Run(ctx context.Context) { w.mailbox.Run(ctx, pollPeriod, w.handle, w.poll) }

// HeardDraining takes a fellow's word that an engine is leaving.
func (w *Watcher) ReportDraining(id ident.EngineID, address string, ago time.Duration) {
	w.mailbox.Offer(drainingReported{id, address, ago})
}

// GoWent tells how a go ended: reports may come while goes fail, so both are listened to.
func (w *Watcher) ReportAttempt(id ident.EngineID, succeeded bool) {
	w.mailbox.Offer(attemptEnded{id, succeeded})
}

// SetAside rests an engine that sent junk.
func (w *Watcher) Quarantine(id ident.EngineID) { w.mailbox.Offer(quarantineRequested{id}) }

func (w *Watcher) poll() {
	if now := w.clock.Elapsed(); now.Since(w.lastSweep) >= sweepPeriod {
		w.lastSweep = now
		w.reports.Sweep(nil)
	}
	if w.platform != "" && !w.listPending {
		w.listPending = true
		go func() {
			var read listResult
			read.err = w.fetch("", w.platform, platformapi.PathEngines, &read.list)
			w.mailbox.Send(read)
		}()
	}
	for id, engine := range w.view.Load().Engines {
		if w.reportsPending[id] {
			continue
		}
		w.reportsPending[id] = true
		asked, address := w.clock.Elapsed(), engine.Address
		go func() {
			read := reportResult{id: id, address: address, requested: asked}
			read.err = w.fetch(id, address, engineapi.PathReport, &read.report)
			_, read.invalid = read.err.(invalidBody)
			read.invalid = read.invalid || read.err == nil && !plausible(read.report)
			w.mailbox.Send(read)
		}()
	}
}

// junk is an answer that came but can't be understood.
type invalidBody struct{ error }

func plausible(report engineapi.Report) bool {
	seen := map[string]bool{}
	for _, loaded := range report.Models {
		known := loaded.State == engineapi.Loading || loaded.State == engineapi.Loaded || loaded.State == engineapi.Unloading
		if loaded.Model == "" || seen[loaded.Model] || !known {
			return false
		}
		seen[loaded.Model] = true
	}
	return report.Busy >= 0
}

// get asks once, over a connection that is kept only if all of an answer and nothing more came on it. The question
// bears an id; an answer that bears another is not taken.
func (w *Watcher) fetch(id ident.EngineID, address, path string, into any) error {
	head := &fasthttp.RequestHeader{}
	head.SetMethod(fasthttp.MethodGet)
	head.SetRequestURI(path)
	head.SetHost(address)
	requestID := "report-" + strconv.FormatUint(w.requests.Add(1), 16)
	head.Set(engineapi.HeaderAttempt, requestID)
	response := w.reports.Send(connectionpool.Attempt{Engine: id, Address: address, ID: requestID, Head: head, Dress: func() {}, LastLook: func() string { return "" },
		Until: w.clock.Elapsed() + clock.Mark(requestTimeout), Cancel: &connectionpool.Cancel{}, Unnamed: connectionpool.UnnamedOnClean})
	if response.Outcome != connectionpool.Answered {
		return fmt.Errorf("%s: %s", response.Outcome, response.Reason)
	}
	defer response.Close()
	if status := response.Response().StatusCode(); status != fasthttp.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return invalidBody{err}
	}
	return nil
}

func (w *Watcher) handle(event any) {
	now := w.clock.Elapsed()
	old := w.view.Load()
	next := &View{Engines: maps.Clone(old.Engines), ListReads: old.ListReads}
	switch e := event.(type) {
	case listResult:
		w.listPending = false
		if e.err != nil {
			return
		}
		next.ListReads++
		applyList(next, e.list, now)
	case reportResult:
		delete(w.reportsPending, e.id)
		engine, known := next.Engines[e.id]
		if !known || engine.Address != e.address {
			return
		}
		next.Engines[e.id] = w.applyReport(*engine, e, now)
	case drainingReported:
		engine, known := next.Engines[e.id]
		if !known || engine.Address != e.address || engine.Draining {
			return
		}
		next.Engines[e.id] = engine.withDraining(now - clock.Mark(e.ago))
	case attemptEnded:
		engine, known := next.Engines[e.id]
		if !known || e.succeeded && engine.failedAttempts == 0 {
			return
		}
		copied := *engine
		copied.failedAttempts++
		if e.succeeded {
			copied.failedAttempts = 0
		} else if copied.failedAttempts >= failedAttemptsToQuarantine {
			w.Counters.Quarantines.Add(1)
			copied.failedAttempts = 0
			copied.setCondition(Quarantined, now)
		}
		next.Engines[e.id] = &copied
	case quarantineRequested:
		engine, known := next.Engines[e.id]
		if !known {
			return
		}
		w.Counters.Quarantines.Add(1)
		copied := *engine
		copied.setCondition(Quarantined, now)
		next.Engines[e.id] = &copied
	}
	w.view.Store(next)
	w.onChange()
}

func (e *Engine) withDraining(known clock.Mark) *Engine {
	copied := *e
	copied.Draining, copied.DrainingSince = true, known
	return &copied
}

// turn is the one place where an engine's condition changes.
func (e *Engine) setCondition(condition Condition, now clock.Mark) {
	if condition == Quarantined {
		e.quarantinedUntil = now + clock.Mark(quarantineDuration)
	}
	if condition == Healthy && e.Condition != Healthy {
		e.SlowStartFrom = now
	}
	if condition != e.Condition {
		e.failedReports, e.goodReports, e.ConditionSince = 0, 0, now
	}
	e.Condition = condition
}

func applyList(view *View, list platformapi.List, now clock.Mark) {
	for _, row := range list.Engines {
		if row.ID == "" || row.Address == "" {
			continue
		}
		engine, known := view.Engines[row.ID]
		var copied Engine
		switch {
		case !known:
			copied = Engine{ID: row.ID, Address: row.Address, Zone: row.Zone, Condition: AwaitingReport}
		case engine.Address != row.Address:
			// The same name at another address is another machine: nothing known of the old one holds.
			copied = Engine{ID: row.ID, Address: row.Address, Zone: row.Zone, Condition: AwaitingReport, Incarnation: engine.Incarnation + 1}
		default:
			copied = *engine
		}
		copied.lastListed = now
		if row.Draining && !copied.Draining {
			copied = *copied.withDraining(now)
		}
		view.Engines[row.ID] = &copied
	}
	for id, engine := range view.Engines {
		// Missing from one reading isn't gone; missing for long and silent is.
		if now.Since(engine.lastListed) > removeAfter && engine.Condition != Healthy {
			delete(view.Engines, id)
		}
	}
}

func (w *Watcher) applyReport(engine Engine, read reportResult, now clock.Mark) *Engine {
	switch {
	case read.invalid:
		w.Counters.InvalidReports.Add(1)
		w.Counters.Quarantines.Add(1)
		engine.setCondition(Quarantined, now)
	case read.err != nil:
		w.Counters.FailedReports.Add(1)
		engine.failedReports++
		engine.goodReports = 0
		if engine.failedReports >= failedReportsToSuspect && engine.Condition == Healthy {
			engine.setCondition(Suspect, now)
		}
	default:
		if read.report.CallSeq < engine.Report.CallSeq {
			// The counter went back: a new life, in which old orders are void and nothing is warm.
			w.Counters.Restarts.Add(1)
			engine.Incarnation++
			engine.SlowStartFrom = now
			// Whoever was leaving has left; the list says so again if the new life leaves too.
			engine.Draining, engine.saturatedBusy = false, 0
		}
		switch {
		case read.report.Saturated && read.report.Busy > 0:
			engine.saturatedBusy = read.report.Busy
		case read.report.Busy >= engine.saturatedBusy:
			// It runs as many and has room, so it can take more than was thought.
			engine.saturatedBusy = 0
		}
		engine.Report, engine.ReportRequested = read.report, read.requested
		if read.report.Draining && !engine.Draining {
			engine = *engine.withDraining(now)
		}
		engine.failedReports = 0
		engine.goodReports++
		switch engine.Condition {
		case AwaitingReport:
			engine.setCondition(Healthy, now)
		case Suspect:
			if engine.goodReports >= goodReportsToRecover {
				engine.setCondition(Healthy, now)
			}
		case Quarantined:
			if now >= engine.quarantinedUntil {
				engine.setCondition(Healthy, now)
			}
		}
	}
	return &engine
}

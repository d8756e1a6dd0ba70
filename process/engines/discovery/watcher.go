package discovery

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/wire/dialect"
	"github.com/cresspond/cresspond/wire/engineapi"
	"github.com/cresspond/cresspond/wire/platformapi"
)

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

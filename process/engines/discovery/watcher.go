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

const (
	pollPeriod  = 200 * time.Millisecond
	mailboxSize = 256
	// sweepPeriod is how often idle connections are closed.
	sweepPeriod = 5 * time.Second
)

// Counters are raised as things happen.
type Counters struct {
	InvalidReports, FailedReports, Restarts, Quarantines atomic.Uint64
}

// Watcher is the actor that polls the platform and the engines. Its methods may be called from any goroutine.
type Watcher struct {
	Counters Counters
	clock    clock.Clock
	// platform is the address of the platform's list; empty is none.
	platform string
	mailbox  *actor.Mailbox[event]
	view     atomic.Pointer[View]
	onChange func()

	connections *connectionpool.Pools
	// requests counts the requests sent, and makes their ids.
	requests atomic.Uint64

	// What follows belongs to the actor's goroutine.
	lastSweep      clock.Mark
	reportsPending map[ident.EngineID]bool
	listPending    bool
}

// New makes a watcher of the engines that the platform at an address lists. onChange is called on the actor's goroutine
// after each new view; it must not block.
func New(c clock.Clock, platform string, onChange func()) *Watcher {
	w := &Watcher{
		clock: c, platform: platform, mailbox: actor.NewMailbox[event](mailboxSize), onChange: onChange,
		connections: connectionpool.New(c, dialect.Own()), reportsPending: map[ident.EngineID]bool{},
	}
	w.view.Store(&View{Engines: map[ident.EngineID]*Engine{}})
	return w
}

// View gives the newest view.
func (w *Watcher) View() *View { return w.view.Load() }

// Run runs the actor until ctx ends.
func (w *Watcher) Run(ctx context.Context) { w.mailbox.Run(ctx, pollPeriod, w.handle, w.poll) }

// ReportDraining takes a peer's news that the engine at an address drains, and has done so for a while.
func (w *Watcher) ReportDraining(id ident.EngineID, address string, ago time.Duration) {
	w.mailbox.Offer(drainingReported{id, address, ago})
}

// ReportAttempt takes how an attempt ended: an engine may report and fail its attempts all the same.
func (w *Watcher) ReportAttempt(id ident.EngineID, succeeded bool) {
	w.mailbox.Offer(attemptEnded{id, succeeded})
}

// Quarantine quarantines an engine that sent an invalid answer.
func (w *Watcher) Quarantine(id ident.EngineID) { w.mailbox.Offer(quarantineRequested{id}) }

// handle applies an event to a copy of the view, which takes the view's place if the event changed anything.
func (w *Watcher) handle(happened event) {
	now := w.clock.Elapsed()
	current := w.view.Load()
	next := &View{Engines: maps.Clone(current.Engines), ListReads: current.ListReads}
	if happened.apply(w, next, now) {
		w.view.Store(next)
		w.onChange()
	}
}

// poll asks for the list and for the reports that are not already asked for.
func (w *Watcher) poll() {
	if now := w.clock.Elapsed(); now.Since(w.lastSweep) >= sweepPeriod {
		w.lastSweep = now
		w.connections.Sweep(nil)
	}
	if w.platform != "" && !w.listPending {
		w.listPending = true
		go w.pollList()
	}
	for id, engine := range w.view.Load().Engines {
		if w.reportsPending[id] {
			continue
		}
		w.reportsPending[id] = true
		go w.pollReport(id, engine.Address, w.clock.Elapsed())
	}
}

func (w *Watcher) pollList() {
	var result listResult
	result.err = w.fetch("", w.platform, platformapi.PathEngines, &result.list)
	w.mailbox.Send(result)
}

func (w *Watcher) pollReport(id ident.EngineID, address string, requested clock.Mark) {
	result := reportResult{id: id, address: address, requested: requested}
	result.err = w.fetch(id, address, engineapi.PathReport, &result.report)
	if result.err == nil && !plausible(result.report) {
		result.err = errInvalid
	}
	w.mailbox.Send(result)
}

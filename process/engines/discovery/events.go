package discovery

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/engineapi"
	"github.com/cresspond/cresspond/wire/platformapi"
)

// failedAttemptsToQuarantine is how many attempts must fail one after the other before an engine is quarantined.
const failedAttemptsToQuarantine = 3

// event is one thing that happened. apply changes the view, a copy of the current one; it returns false where it leaves
// the view as it is.
type event interface {
	apply(w *Watcher, view *View, now clock.Mark) (changed bool)
}

type (
	// listResult is the answer to a request for the platform's list.
	listResult struct {
		list platformapi.List
		err  error
	}
	// reportResult is the answer to a request for an engine's report.
	reportResult struct {
		id        ident.EngineID
		address   string
		requested clock.Mark
		report    engineapi.Report
		err       error
	}
	// drainingReported is a peer's news that an engine drains.
	drainingReported struct {
		id      ident.EngineID
		address string
		ago     time.Duration
	}
	// quarantineRequested asks for an engine to be quarantined.
	quarantineRequested struct{ id ident.EngineID }
	// attemptEnded is how an attempt at an engine ended.
	attemptEnded struct {
		id        ident.EngineID
		succeeded bool
	}
)

func (e listResult) apply(w *Watcher, view *View, now clock.Mark) bool {
	w.listPending = false
	if e.err != nil {
		return false
	}
	view.ListReads++
	applyList(view, e.list, now)
	return true
}

func (e reportResult) apply(w *Watcher, view *View, now clock.Mark) bool {
	delete(w.reportsPending, e.id)
	engine, known := view.Engines[e.id]
	if !known || engine.Address != e.address {
		return false
	}
	copied := *engine
	w.applyReport(&copied, e, now)
	view.Engines[e.id] = &copied
	return true
}

func (e drainingReported) apply(_ *Watcher, view *View, now clock.Mark) bool {
	engine, known := view.Engines[e.id]
	if !known || engine.Address != e.address || engine.Draining {
		return false
	}
	view.Engines[e.id] = engine.withDraining(now - clock.Mark(e.ago))
	return true
}

func (e attemptEnded) apply(w *Watcher, view *View, now clock.Mark) bool {
	engine, known := view.Engines[e.id]
	if !known || e.succeeded && engine.failedAttempts == 0 {
		return false
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
	view.Engines[e.id] = &copied
	return true
}

func (e quarantineRequested) apply(w *Watcher, view *View, now clock.Mark) bool {
	engine, known := view.Engines[e.id]
	if !known {
		return false
	}
	w.Counters.Quarantines.Add(1)
	copied := *engine
	copied.setCondition(Quarantined, now)
	view.Engines[e.id] = &copied
	return true
}

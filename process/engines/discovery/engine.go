package discovery

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Condition is whether an engine may be sent anything, as far as its reports and answers go. Its strings are on pages.
type Condition string

const (
	// AwaitingReport engines are listed, and no report of them has been read yet.
	AwaitingReport Condition = "unheard"
	// Healthy engines report.
	Healthy Condition = "sound"
	// Suspect engines fail to report, and get nothing new until they report again.
	Suspect Condition = "suspect"
	// Quarantined engines sent something invalid or failed several attempts, and get nothing new for a while.
	Quarantined Condition = "set-aside"
)

const (
	// slowStartDuration is how long an engine that has just come, or come back, takes to reach its full capacity.
	slowStartDuration = 4 * time.Second
	// refusalValidFor bounds how long a refusal is believed when no report comes.
	refusalValidFor = 2 * time.Second
	// quarantineDuration is how long an engine is quarantined at least.
	quarantineDuration = 3 * time.Second
)

// Engine is what is known of one engine; it is never changed once it is in a view.
type Engine struct {
	ID       ident.EngineID
	Address  string
	Zone     ident.ZoneID
	Draining bool
	// DrainingSince is when the draining was first known here.
	DrainingSince clock.Mark
	Condition     Condition
	Report        engineapi.Report
	// ReportRequested is when the newest report was requested: it can't show what happened later.
	ReportRequested clock.Mark
	// Incarnation counts the restarts seen: the call-seq went back, or the address changed.
	Incarnation int
	// SlowStartFrom is when this incarnation, or its return, began.
	SlowStartFrom clock.Mark
	// ConditionSince is when its condition last changed.
	ConditionSince clock.Mark

	// The reports that failed, or were good, one after the other in this condition.
	failedReports, goodReports int
	// failedAttempts counts the attempts that failed one after the other.
	failedAttempts   int
	quarantinedUntil clock.Mark
	// saturatedBusy is how many attempts it ran when it last reported to be saturated; zero while that is not known.
	saturatedBusy int
	// lastListed is when it was last in the platform's list.
	lastListed clock.Mark
}

// Holds reports whether the engine has loaded the model and, unless that is empty, the adapter.
func (e *Engine) Holds(model, adapter string) bool {
	for _, loaded := range e.Report.Models {
		if loaded.Model != model || loaded.State != engineapi.Loaded {
			continue
		}
		if adapter == "" || slices.Contains(loaded.Adapters, adapter) {
			return true
		}
	}
	return false
}

// Capacity is how many attempts the engine may run at once now. slots is what the configuration says; the number at which
// the engine was saturated is lower than that at most, and slow start lowers it further.
func (e *Engine) Capacity(now clock.Mark, slots int) int {
	if e.saturatedBusy > 0 {
		slots = min(slots, e.saturatedBusy)
	}
	if elapsed := now.Since(e.SlowStartFrom); elapsed < slowStartDuration {
		return max(1, int(float64(slots)*float64(elapsed)/float64(slowStartDuration)))
	}
	return slots
}

// StillRefuses reports whether an engine that refused an attempt must be taken to refuse still: only a report that was
// requested later can show that there is capacity again.
func StillRefuses(refused, reportRequested, now clock.Mark) bool {
	return reportRequested <= refused && now.Since(refused) < refusalValidFor
}

// Usable reports whether anything new may be sent to it, as far as its own condition goes.
func (e *Engine) Usable() bool { return e.Condition == Healthy && !e.Draining }

func (e *Engine) withDraining(since clock.Mark) *Engine {
	copied := *e
	copied.Draining, copied.DrainingSince = true, since
	return &copied
}

// setCondition changes an engine's condition; nothing else does.
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

// View is all engines at one moment; it is never changed.
type View struct {
	Engines map[ident.EngineID]*Engine
	// ListReads counts how often the platform's list was read.
	ListReads int
}

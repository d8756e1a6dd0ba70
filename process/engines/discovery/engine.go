package discovery

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/engineapi"
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

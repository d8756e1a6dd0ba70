package forwarding

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// Reason is why a request earned less than it could have: it was not served, or its answer began too late.
type Reason uint8

const (
	// ReasonNone is of a request that was served in time.
	ReasonNone Reason = iota
	// ReasonNoTable: no configuration is in force here, or it may be old.
	ReasonNoTable
	// ReasonNoPath: the configuration has no path for it.
	ReasonNoPath
	// ReasonNoLease: it would have to be held or tried again, and no worker id is held.
	ReasonNoWorkerID
	// ReasonStopping: the daemon ends.
	ReasonShuttingDown
	// ReasonNoEngine: its pool has no engine that may get anything new.
	ReasonNoEngine
	// ReasonModelAbsent: no engine holds its model, and none is told to load it.
	ReasonModelAbsent
	// ReasonModelLoading: an engine is loading its model, too late for it.
	ReasonModelLoading
	// ReasonAdapterAbsent: engines hold its model, but none its adapter, and none is told to load it.
	ReasonAdapterAbsent
	// ReasonAdapterLoading: an engine is loading its adapter, too late for it.
	ReasonAdapterLoading
	// ReasonEnginesTried: each engine that could take it has refused or failed it.
	ReasonEnginesTried
	// ReasonEnginesFull: each engine that could take it has all that this daemon may send there, or rests.
	ReasonEnginesBusy
	// ReasonShed: its first byte was expected too late, so it was refused at once.
	ReasonShed
	// ReasonAttemptsSpent: it was sent to as many engines as its path allows.
	ReasonAttemptsExhausted
	// ReasonBudgetSpent: the budget of its pool for sending again was empty.
	ReasonBudgetExhausted
	// ReasonDeadline: its deadline came, or was too near for an attempt.
	ReasonDeadline
	// ReasonHeldBack: the last look before each attempt found a change, too often.
	ReasonWithheld
	// ReasonEngineFailure: the engine answered with a failure of its own.
	ReasonEngineError
	// ReasonEngineLost: the engine broke off or gave no answer, and the request may not be repeated.
	ReasonResponseLost
	// ReasonCallerLeftHeld: its caller left while it was held.
	ReasonCallerLeftQueued
	// ReasonCallerLeftAtEngine: its caller left while an engine had it.
	ReasonCallerLeftAtEngine
	// ReasonLateReturn: served after its target, most of which had passed before it came back here.
	ReasonLateResubmission
	// ReasonLateLoad: served after its target, most of which it was held for a model or an adapter.
	ReasonLateLoad
	// ReasonLateHeld: served after its target, most of which it was held for another reason.
	ReasonLateQueued
	// ReasonLateAttempts: served after its target, most of which went to attempts that brought nothing.
	ReasonLateAttempts
	// ReasonLateEngine: served after its target, most of which the engine took for the first byte.
	ReasonLateEngine
	reasonCount
)

// reasonNames are the names of reasons, in the order in which they are counted.
var reasonNames = [reasonCount]string{"none", "no_table", "no_path", "no_lease", "stopping", "no_engine", "model_absent", "model_loading",

	"adapter_absent", "adapter_loading", "engines_tried", "engines_full", "shed", "attempts_spent", "budget_spent", "deadline", "held_back",
	"engine_failure", "engine_lost", "caller_left_held", "caller_left_at_engine", "late_return", "late_load", "late_held", "late_attempts", "late_engine"}

func (r Reason) String() string { return reasonNames[r] }

// Late says that the request was served all the same.
func (r Reason) Late() bool { return r >= ReasonLateResubmission }

// reasonOf says why a record ends with an answer of our own.
func (c *Core) reasonOf(request *Request, cause Cause, env Environment) Reason {
	switch cause {
	case CauseNoTable:
		return ReasonNoTable
	case CauseNoPath:
		return ReasonNoPath
	case CauseNoWorkerID:
		return ReasonNoWorkerID
	case CauseShuttingDown:
		return ReasonShuttingDown
	case CauseDeadline:
		return ReasonDeadline
	case CauseResponseLost:
		return ReasonResponseLost
	case CauseCallerLeft:
		if request.enginesTried == 0 && request.sentAt == 0 {
			return ReasonCallerLeftQueued
		}
		return ReasonCallerLeftAtEngine
	case CauseRetriesExhausted:
		if request.enginesTried >= request.Path.Attempts {
			return ReasonAttemptsExhausted
		}
		return ReasonBudgetExhausted
	}
	if request.shed {
		return ReasonShed
	}
	return c.blockedReason(request, env)
}

// lackReason says why nothing could take a record.
func (c *Core) blockedReason(request *Request, env Environment) Reason {
	switch request.blockedBecause {
	case blockedNoEngine:
		return ReasonNoEngine
	case blockedAllTried:
		return ReasonEnginesTried
	case blockedAllBusy:
		return ReasonEnginesBusy
	case blockedNoModel:
		return loadReason(request, env)
	}
	return ReasonWithheld
}

// loadReason tells what is not loaded apart from what is being loaded.
func loadReason(request *Request, env Environment) Reason {
	modelLoaded, modelLoading, adapterLoading := false, false, false
	for _, engine := range env.View.Pools[request.pool] {
		if !engine.Usable() {
			continue
		}
		modelLoaded = modelLoaded || engine.Holds(request.Attributes.Model, "")
		if engine.Plan == nil {
			continue
		}
		modelLoading = modelLoading || slices.ContainsFunc(engine.Plan.PendingLoads, func(one registry.PendingLoad) bool { return one.Model == request.Attributes.Model && one.Adapter == "" })
		adapterLoading = adapterLoading || slices.ContainsFunc(engine.Plan.PendingLoads, func(one registry.PendingLoad) bool {
			return one.Model == request.Attributes.Model && one.Adapter == request.Attributes.Adapter
		})
	}
	switch {
	case modelLoaded && request.Attributes.Adapter != "" && adapterLoading:
		return ReasonAdapterLoading
	case modelLoaded && request.Attributes.Adapter != "":
		return ReasonAdapterAbsent
	case modelLoading:
		return ReasonModelLoading
	}
	return ReasonModelAbsent
}

// lateReason says what took most of the time of an answer that begins after its path's target.
func (c *Core) lateReason(request *Request, now clock.Mark) Reason {
	target := time.Duration(request.Path.TargetMs) * time.Millisecond
	before := time.Duration(0)
	if request.resubmitted {
		before = time.Duration(request.Path.DeadlineMs)*time.Millisecond - request.Attributes.Deadline
	}
	here, engine := now.Since(request.ArrivedAt), now.Since(request.sentAt)
	if target <= 0 || before+here <= target {
		return ReasonNone
	}
	attempts := max(0, here-engine-request.queuedFor)
	switch most := max(before, request.queuedFor, engine, attempts); most {
	case before:
		return ReasonLateResubmission
	case engine:
		return ReasonLateEngine
	case request.queuedFor:
		if request.queuedBecause == blockedNoModel {
			return ReasonLateLoad
		}
		return ReasonLateQueued
	}
	return ReasonLateAttempts
}

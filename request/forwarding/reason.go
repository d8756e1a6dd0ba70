package forwarding

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// Reason is why a request was not served, or why its response began after its path's target. Package daemon publishes
// losses by reason.
type Reason uint8

const (
	// ReasonNone: served in time.
	ReasonNone Reason = iota
	// ReasonNoTable: no routing table is in force, or it may be outdated.
	ReasonNoTable
	// ReasonNoPath: the routing table has no path for it.
	ReasonNoPath
	// ReasonNoWorkerID: it would have to be queued or retried, and no worker id is held.
	ReasonNoWorkerID
	// ReasonShuttingDown: the daemon shuts down.
	ReasonShuttingDown
	// ReasonNoEngine: its pool has no engine that accepts new requests.
	ReasonNoEngine
	// ReasonModelAbsent: no engine has loaded its model, and none is ordered to.
	ReasonModelAbsent
	// ReasonModelLoading: an engine is loading its model, too late for it.
	ReasonModelLoading
	// ReasonAdapterAbsent: engines have loaded its model, but none its adapter, and none is ordered to.
	ReasonAdapterAbsent
	// ReasonAdapterLoading: an engine is loading its adapter, too late for it.
	ReasonAdapterLoading
	// ReasonEnginesTried: each suitable engine has rejected or failed it.
	ReasonEnginesTried
	// ReasonEnginesBusy: each suitable engine is in backoff, or has as many attempts as this daemon may have there.
	ReasonEnginesBusy
	// ReasonShed: it was shed, because its first byte was expected too late.
	ReasonShed
	// ReasonAttemptsExhausted: it was sent to as many engines as its path allows.
	ReasonAttemptsExhausted
	// ReasonBudgetExhausted: its pool's retry budget was exhausted.
	ReasonBudgetExhausted
	// ReasonDeadline: its deadline passed, or was too near for an attempt.
	ReasonDeadline
	// ReasonWithheld: the check before sending withheld it too often.
	ReasonWithheld
	// ReasonEngineError: the engine answered with an error of its own.
	ReasonEngineError
	// ReasonResponseLost: the engine broke off or did not answer, and the request may not be repeated.
	ReasonResponseLost
	// ReasonCallerLeftQueued: its caller disconnected before it was sent.
	ReasonCallerLeftQueued
	// ReasonCallerLeftAtEngine: its caller disconnected after it was sent.
	ReasonCallerLeftAtEngine
	// ReasonUnknownKey: its path needs the key of a tenant, and it bore none that is known.
	ReasonUnknownKey
	// ReasonQuotaExceeded: its tenant's limit allowed no further request.
	ReasonQuotaExceeded
	// ReasonLateResubmission: late, and most of the time had passed before the client's retry arrived.
	ReasonLateResubmission
	// ReasonLateLoad: late, and for most of the time it was queued for a model or adapter.
	ReasonLateLoad
	// ReasonLateQueued: late, and for most of the time it was queued for another reason.
	ReasonLateQueued
	// ReasonLateAttempts: late, and most of the time went to unsuccessful attempts.
	ReasonLateAttempts
	// ReasonLateEngine: late, and most of the time the engine took for the first byte.
	ReasonLateEngine
	reasonCount
)

// reasonNames are the names used in metrics and logs, indexed by Reason.
var reasonNames = [reasonCount]string{"none", "no_table", "no_path", "no_lease", "stopping", "no_engine", "model_absent", "model_loading",

	"adapter_absent", "adapter_loading", "engines_tried", "engines_full", "shed", "attempts_spent", "budget_spent", "deadline", "held_back",
	"engine_failure", "engine_lost", "caller_left_held", "caller_left_at_engine", "unknown_key", "over_quota", "late_return", "late_load", "late_held", "late_attempts", "late_engine"}

// String gives the reason's name in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Late reports that the request was served, after its target.
func (r Reason) Late() bool { return r >= ReasonLateResubmission }

// reasonOf gives the reason of a request that ends with this daemon's own answer.
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
	case CauseUnknownKey:
		return ReasonUnknownKey
	case CauseQuotaExceeded:
		return ReasonQuotaExceeded
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

// blockedReason gives the reason of a request that no engine could take.
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

// loadReason distinguishes what is not loaded from what is being loaded.
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
		modelLoading = modelLoading || slices.ContainsFunc(engine.Plan.PendingLoads, func(option registry.PendingLoad) bool {
			return option.Model == request.Attributes.Model && option.Adapter == ""
		})
		adapterLoading = adapterLoading || slices.ContainsFunc(engine.Plan.PendingLoads, func(option registry.PendingLoad) bool {
			return option.Model == request.Attributes.Model && option.Adapter == request.Attributes.Adapter
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

// lateReason gives what took most of the time of a response that begins after its path's target; ReasonNone if it does
// not.
func (c *Core) lateReason(request *Request, now clock.Mark) Reason {
	target := request.Path.Target()
	before := time.Duration(0)
	if request.resubmitted {
		before = request.Path.Deadline() - request.Attributes.Deadline
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

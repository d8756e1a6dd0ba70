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
	ReasonNoLease
	// ReasonStopping: the daemon ends.
	ReasonStopping
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
	ReasonEnginesFull
	// ReasonShed: its first byte was expected too late, so it was refused at once.
	ReasonShed
	// ReasonAttemptsSpent: it was sent to as many engines as its path allows.
	ReasonAttemptsSpent
	// ReasonBudgetSpent: the budget of its pool for sending again was empty.
	ReasonBudgetSpent
	// ReasonDeadline: its deadline came, or was too near for an attempt.
	ReasonDeadline
	// ReasonHeldBack: the last look before each attempt found a change, too often.
	ReasonHeldBack
	// ReasonEngineFailure: the engine answered with a failure of its own.
	ReasonEngineFailure
	// ReasonEngineLost: the engine broke off or gave no answer, and the request may not be repeated.
	ReasonEngineLost
	// ReasonCallerLeftHeld: its caller left while it was held.
	ReasonCallerLeftHeld
	// ReasonCallerLeftAtEngine: its caller left while an engine had it.
	ReasonCallerLeftAtEngine
	// ReasonLateReturn: served after its target, most of which had passed before it came back here.
	ReasonLateReturn
	// ReasonLateLoad: served after its target, most of which it was held for a model or an adapter.
	ReasonLateLoad
	// ReasonLateHeld: served after its target, most of which it was held for another reason.
	ReasonLateHeld
	// ReasonLateAttempts: served after its target, most of which went to attempts that brought nothing.
	ReasonLateAttempts
	// ReasonLateEngine: served after its target, most of which the engine took for the first byte.
	ReasonLateEngine
	reasons
)

// reasonNames are the names of reasons, in the order in which they are counted.
var reasonNames = [reasons]string{"none", "no_table", "no_path", "no_lease", "stopping", "no_engine", "model_absent", "model_loading",
	"adapter_absent", "adapter_loading", "engines_tried", "engines_full", "shed", "attempts_spent", "budget_spent", "deadline", "held_back",
	"engine_failure", "engine_lost", "caller_left_held", "caller_left_at_engine", "late_return", "late_load", "late_held", "late_attempts", "late_engine"}

func (r Reason) String() string { return reasonNames[r] }

// Late says that the request was served all the same.
func (r Reason) Late() bool { return r >= ReasonLateReturn }

// Loss is one request that earned less than it could have.
type Loss struct {
	Path, Model string
	Reason      Reason
	// Lack is what it lacked when it last could not be sent.
	Lack string
	// Returned says that it had come before and was refused.
	Returned bool
	// Waited is how long it had been here, Held how long of that it was held, Attempts how many engines had it.
	Waited, Held time.Duration
	Attempts     int
}

// LossKey is what losses are counted by. Models beyond mostLossKeys are counted under otherModels.
type LossKey struct {
	Path, Model string
	Reason      Reason
}

const (
	// mostLossKeys bounds the counters of losses.
	mostLossKeys = 2_000
	// otherModels is the model of losses that are not counted by model any more.
	otherModels = "other"
)

// lost counts a loss, and tells it to whoever observes losses.
func (c *Core) lost(r *Record, reason Reason, now clock.Mark) {
	if reason == ReasonNone || r.lossCounted {
		return
	}
	r.lossCounted = true
	loss := Loss{Model: r.Ask.Model, Reason: reason, Lack: LackNames[r.lack], Returned: r.returned, Waited: now.Since(r.Arrived), Held: r.heldFor, Attempts: r.attempts}
	if r.Path != nil {
		loss.Path = r.Path.Name
	}
	key := LossKey{loss.Path, loss.Model, reason}
	if _, counted := c.losses[key]; !counted && len(c.losses) >= mostLossKeys {
		key.Model = otherModels
	}
	c.losses[key]++
	if c.settings.ObserveLoss != nil {
		c.settings.ObserveLoss(loss)
	}
}

// Losses gives how many requests were lost or late, by path, model and reason.
func (c *Core) Losses() map[LossKey]uint64 {
	out := make(map[LossKey]uint64, len(c.losses))
	for key, count := range c.losses {
		out[key] = count
	}
	return out
}

// reasonOf says why a record ends with an answer of our own.
func (c *Core) reasonOf(r *Record, cause Cause, w World) Reason {
	switch cause {
	case NoTable:
		return ReasonNoTable
	case NoPath:
		return ReasonNoPath
	case NoLease:
		return ReasonNoLease
	case Stopping:
		return ReasonStopping
	case Late:
		return ReasonDeadline
	case Broken:
		return ReasonEngineLost
	case CallerLeft:
		if r.attempts == 0 && r.sentAt == 0 {
			return ReasonCallerLeftHeld
		}
		return ReasonCallerLeftAtEngine
	case Spent:
		if r.attempts >= r.Path.Attempts {
			return ReasonAttemptsSpent
		}
		return ReasonBudgetSpent
	}
	if r.shed {
		return ReasonShed
	}
	return c.lackReason(r, w)
}

// lackReason says why nothing could take a record.
func (c *Core) lackReason(r *Record, w World) Reason {
	switch r.lack {
	case noEngines:
		return ReasonNoEngine
	case allTried:
		return ReasonEnginesTried
	case allFull:
		return ReasonEnginesFull
	case noModel:
		return loadReason(r, w)
	}
	return ReasonHeldBack
}

// loadReason tells what is not loaded apart from what is being loaded.
func loadReason(r *Record, w World) Reason {
	modelStands, modelComes, adapterComes := false, false, false
	for _, engine := range w.View.Pools[r.pool] {
		if !engine.Usable() {
			continue
		}
		modelStands = modelStands || engine.Holds(r.Ask.Model, "")
		if engine.Plan == nil {
			continue
		}
		modelComes = modelComes || slices.ContainsFunc(engine.Plan.PendingLoads, func(one registry.PendingLoad) bool { return one.Model == r.Ask.Model && one.Adapter == "" })
		adapterComes = adapterComes || slices.ContainsFunc(engine.Plan.PendingLoads, func(one registry.PendingLoad) bool { return one.Model == r.Ask.Model && one.Adapter == r.Ask.Adapter })
	}
	switch {
	case modelStands && r.Ask.Adapter != "" && adapterComes:
		return ReasonAdapterLoading
	case modelStands && r.Ask.Adapter != "":
		return ReasonAdapterAbsent
	case modelComes:
		return ReasonModelLoading
	}
	return ReasonModelAbsent
}

// lateReason says what took most of the time of an answer that begins after its path's target.
func (c *Core) lateReason(r *Record, now clock.Mark) Reason {
	target := time.Duration(r.Path.TargetMs) * time.Millisecond
	before := time.Duration(0)
	if r.returned {
		before = time.Duration(r.Path.DeadlineMs)*time.Millisecond - r.Ask.Deadline
	}
	here, engine := now.Since(r.Arrived), now.Since(r.sentAt)
	if target <= 0 || before+here <= target {
		return ReasonNone
	}
	tries := max(0, here-engine-r.heldFor)
	switch most := max(before, r.heldFor, engine, tries); most {
	case before:
		return ReasonLateReturn
	case engine:
		return ReasonLateEngine
	case r.heldFor:
		if r.heldLack == noModel {
			return ReasonLateLoad
		}
		return ReasonLateHeld
	}
	return ReasonLateAttempts
}

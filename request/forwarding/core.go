package forwarding

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/featuregates"
)

// Core decides what becomes of records. It belongs to one actor.
type Core struct {
	settings Settings
	Counters Counters

	sequence     uint64
	queue        []*Request
	engines      map[ident.EngineID]*engineState
	retryBudgets map[string]*retryBudget
	demands      map[demandKey]*demandState
	paths        map[pathKey]*pathState
	// running counts the attempts under way by pool.
	attemptsByPool map[string]int
	// ledger is what became of attempts; awaited are those whose answer has not begun.
	outcomes          *outlier.Recorder
	awaitingFirstByte []*Request
	baselines         map[string]*firstByteBaseline
	// planTook and spreadTook are smoothed times that a planner, and the word of what it did, took lately.
	planningTime, propagationTime time.Duration
	// meanTokens is a smoothed size of prompts.
	meanPromptTokens float64
	// candidates, weighedOut and failing are of the choice in hand.
	candidates, ejected, unhealthy []candidate
	hashBuffer                     []byte
	// losses counts the requests that were not served, or late.
	losses map[LossKey]uint64
	// stopping says that the daemon ends: nothing is held or tried again any more.
	shuttingDown bool
}

// NewCore makes an empty core.
func NewCore(settings Settings) *Core {
	return &Core{settings: settings, engines: map[ident.EngineID]*engineState{}, retryBudgets: map[string]*retryBudget{},
		demands: map[demandKey]*demandState{}, paths: map[pathKey]*pathState{}, attemptsByPool: map[string]int{}, outcomes: outlier.NewRecorder(), baselines: map[string]*firstByteBaseline{}, losses: map[LossKey]uint64{}}
}

// Admit takes a record in and looks at it at once.
func (c *Core) Admit(request *Request, env Environment) {
	c.Counters.Admitted++
	c.sequence++
	request.sequence = c.sequence
	switch {
	case env.Index == nil || request.Path == nil && !env.IndexCurrent:
		// Only a table that is known to be new enough can say that there is no such path.
		c.finish(request, env, CauseNoTable, time.Second)
		return
	case request.Path == nil:
		c.Counters.NoPath++
		c.finish(request, env, CauseNoPath, 0)
		return
	}
	request.pool = selectPool(request.Path, request.Attributes.Attempt)
	request.memoryTokens = request.Attributes.TokensIn + request.Attributes.TokensOut
	request.firstByteDeadline = min(request.Deadline, request.ArrivedAt+clock.Mark(c.settings.clientTimeout(request.Path)))
	request.resubmitted = request.Attributes.Deadline > 0 && request.Attributes.Deadline < time.Duration(request.Path.DeadlineMs)*time.Millisecond*19/20
	c.recordArrival(request, env.Now)
	c.dispatch(request, env)
}

// look sends a record, holds it, or ends it.
func (c *Core) dispatch(request *Request, env Environment) {
	if request.callerLeft {
		c.finish(request, env, CauseCallerLeft, 0)
		return
	}
	if !c.reroute(request, env) {
		return
	}
	left := request.responseDeadline().Since(env.Now)
	if left <= c.minAttemptTime(request) {
		c.finish(request, env, CauseDeadline, c.retryAfter(request, env))
		return
	}
	if request.enginesTried > 0 && (request.enginesTried >= request.Path.Attempts || c.settings.Disabled.Has(featuregates.Retries) && !request.mayHaveRun) && request.onlyEngine == "" {
		c.finish(request, env, CauseRetriesExhausted, c.retryAfter(request, env))
		return
	}
	if c.shuttingDown && request.stage != StageAdmitted {
		c.finish(request, env, CauseShuttingDown, minRetryAfter)
		return
	}
	chosen, blocked := c.chooseEngine(request, env)
	if blocked == blockedAllTried && request.mayHaveRun {
		// It broke off, and none but the engine that it broke off at holds its model: it goes on once another does.
		blocked = blockedNoModel
	}
	request.blockedBecause = blocked
	if blocked != blockedNoModel && blocked != blockedNoEngine && !(chosen != nil && request.speculative) {
		c.learnLoadTimes(request, env)
	}
	if chosen == nil {
		c.enqueue(request, env, blocked)
		return
	}
	if request.enginesTried == 0 && c.pathState(request).shouldShed(request, env, c.settings, c.minAttemptTime(request)) {
		c.Counters.Shed++
		request.shed = true
		c.finish(request, env, CauseNoCapacity, c.retryAfter(request, env))
		return
	}
	c.startAttempt(request, env, chosen)
}

// CallerLeft drops a record that waits; one under way is ended by its sender, and goes nowhere after.
func (c *Core) CallerLeft(request *Request, env Environment) {
	request.callerLeft = true
	if request.stage == StageQueued || request.stage == StageAdmitted {
		c.finish(request, env, CauseCallerLeft, 0)
	}
}

// Stop ends all that wait; whatever is under way ends with the attempt it makes now.
func (c *Core) Stop(env Environment) {
	c.shuttingDown = true
	for _, request := range slices.Clone(c.queue) {
		// Another daemon may take it at once.
		c.finish(request, env, CauseShuttingDown, minRetryAfter)
	}
}

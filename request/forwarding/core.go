package forwarding

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/featuregates"
)

// Core decides what becomes of requests. It is pure and not safe for concurrent use: one Actor owns it.
type Core struct {
	settings Settings
	Counters Counters

	// sequence is the last request's; queue holds the requests in StageQueued, in no order.
	sequence uint64
	queue    []*Request
	// engines holds what this daemon itself has seen of each engine, retryBudgets the retries by pool.
	engines      map[ident.EngineID]*engineState
	retryBudgets map[string]*retryBudget
	// demands and paths are keyed by pool, model and adapter, and by path and model.
	demands map[demandKey]*demandState
	paths   map[pathKey]*pathState
	// attemptsByPool counts the attempts under way.
	attemptsByPool map[string]int
	// outcomes collects what outlier detection is told of attempts; awaitingFirstByte are those that may become overdue,
	// baselines what first bytes usually take, by path.
	outcomes          *outlier.Recorder
	awaitingFirstByte []*Request
	baselines         map[string]*firstByteBaseline
	// planningTime is the smoothed time from a missing model to its load order, propagationTime the same from the end of
	// a load to this daemon's knowing of it.
	planningTime, propagationTime time.Duration
	// meanPromptTokens is a smoothed size of prompts, in tokens.
	meanPromptTokens float64
	// candidates, ejected, unhealthy and hashBuffer are scratch space of chooseEngine, kept to save allocations.
	candidates, ejected, unhealthy []candidate
	hashBuffer                     []byte
	// losses counts requests that were not served in time.
	losses map[LossKey]uint64
	// shuttingDown reports that nothing is queued or retried any more.
	shuttingDown bool
}

// NewCore makes a core without requests.
func NewCore(settings Settings) *Core {
	return &Core{
		settings:       settings,
		engines:        map[ident.EngineID]*engineState{},
		retryBudgets:   map[string]*retryBudget{},
		demands:        map[demandKey]*demandState{},
		paths:          map[pathKey]*pathState{},
		attemptsByPool: map[string]int{},
		outcomes:       outlier.NewRecorder(),
		baselines:      map[string]*firstByteBaseline{},
		losses:         map[LossKey]uint64{},
	}
}

// Admit takes in a new request and dispatches it. The sender gets its first step now, or once the request leaves the
// queue.
func (c *Core) Admit(request *Request, env Environment) {
	c.Counters.Admitted++
	c.sequence++
	request.sequence = c.sequence
	if request.callerLeft {
		// The caller disconnected while the gateway waited for its tenant's token, and the request has ended.
		return
	}
	if request.Path == nil && env.Index != nil {
		// The table may have been replaced since the gateway read the request by it.
		if path, found := env.Index.Lookup(request.Host, request.URLPath); found {
			request.SetPath(path)
		}
	}
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
	request.usePath(request.Path)
	if !c.authenticate(request, env) {
		return
	}
	if request.QuotaRetryAfter > 0 && request.tenant.Limited() {
		c.finish(request, env, CauseQuotaExceeded, request.QuotaRetryAfter)
		return
	}
	request.pool = selectPool(request.Path, request.Attributes.Attempt)
	request.memoryTokens = request.Attributes.TokensIn + request.Attributes.TokensOut
	request.firstByteDeadline = min(request.Deadline, request.ArrivedAt+clock.Mark(c.settings.clientTimeout(request.Path)))
	request.resubmitted = request.Attributes.Deadline > 0 && request.Attributes.Deadline < request.Path.Deadline()*19/20
	c.recordArrival(request, env.Now)
	c.dispatch(request, env)
}

// dispatch starts an attempt, queues the request, or ends it.
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
	if c.attemptsExhausted(request) {
		c.finish(request, env, CauseRetriesExhausted, c.retryAfter(request, env))
		return
	}
	if c.shuttingDown && request.stage != StageAdmitted {
		c.finish(request, env, CauseShuttingDown, minRetryAfter)
		return
	}
	chosen, blocked := c.chooseEngine(request, env)
	if blocked == blockedAllTried && request.mayHaveRun {
		// Only the engine where the response broke off has the model: the request resumes once another one loads it.
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

// attemptsExhausted reports whether the request's path allows no further attempt. One that came too soon to an engine may
// still go to that engine.
func (c *Core) attemptsExhausted(request *Request) bool {
	if request.enginesTried == 0 || request.onlyEngine != "" {
		return false
	}
	return request.enginesTried >= request.Path.Attempts || c.settings.Disabled.Has(featuregates.Retries) && !request.mayHaveRun
}

// CallerLeft ends a request that waits, since its caller disconnected. The sender ends an attempt under way, after which
// the request ends too.
func (c *Core) CallerLeft(request *Request, env Environment) {
	request.callerLeft = true
	if request.stage == StageQueued || request.stage == StageAdmitted {
		c.finish(request, env, CauseCallerLeft, 0)
	}
}

// Stop ends all queued requests; those under way end with their current attempts.
func (c *Core) Stop(env Environment) {
	c.shuttingDown = true
	for _, request := range slices.Clone(c.queue) {
		// Another daemon may take it at once.
		c.finish(request, env, CauseShuttingDown, minRetryAfter)
	}
}

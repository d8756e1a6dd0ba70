package forwarding

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// World is what the passes may look at; it is gathered anew for each event.
type Environment struct {
	Now clock.Mark
	// Index is the table in force; Current says that it is known to be new enough.
	Index        *upstream.Index
	IndexCurrent bool
	View         *registry.View
	Zone         ident.ZoneID
	// Edges is how many daemons route, this one included.
	Routers int
	// Leased says whether a worker id is held, Mint mints under it.
	HasWorkerID bool
	MintID      func() (ident.SnowflakeID, bool)
	// Open says whether operators let new requests go to an engine: neither it nor its zone is closed. Nil is yes.
	EngineOpen func(*registry.Engine) bool
	// Emptied says that an engine is shut because its node is sick, so that what can go on elsewhere does. Nil is never.
	EngineEvacuated func(*registry.Engine) bool
	// Warm says whether a connection to an engine is kept that an attempt of a pool could use. Nil is never.
	HasIdleConnection func(engine *registry.Engine, pool string, careful bool) bool
	// Lacks says for how long a model or adapter is not likely to be loaded, where the planner said so.
	NotLoadedFor func(pool, model, adapter string) (time.Duration, bool)
}

// Counters are counted over a daemon's life.
type Counters struct {
	Admitted, Queued, Sent, Retried, RetriesDenied, Withheld, Unreachable, RejectedByEngine, Misdirected, ResponsesLost, ProtocolErrors, StreamsBroken uint64
	Completed, EngineErrors, Shed, Rejected, EndedAfterLoss, Truncated, CallersLeft, NoPath, Resumed, Migrated, MigrationsDeclined                     uint64
	// Speculative counts the attempts ahead of the news of a load, SpeculativeRefused those that came too soon.
	Speculative, SpeculativeRejected uint64
	// LastResort counts choices of an engine that is held back, since no other could take the request, or only late.
	LastResort uint64
	// HeldFor counts by what lacked, EndedFor by cause.
	QueuedBy [blockReasonCount]uint64
	EndedBy  [causeCount]uint64
}

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

// step gives a record's sender the next thing to do. A record has at most one that is not yet taken.
func (r *Request) give(s Step) { r.steps <- s }

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

// send hands an attempt to the record's sender.
func (c *Core) startAttempt(request *Request, env Environment, chosen *registry.Engine) {
	if len(request.mintedIDs) > 0 && !env.HasWorkerID {
		// What was held under a lease does not leave without one.
		c.finish(request, env, CauseNoWorkerID, c.retryAfter(request, env))
		return
	}
	again := request.enginesTried > 0
	if again {
		if !c.mintID(request, env) {
			c.finish(request, env, CauseNoWorkerID, c.retryAfter(request, env))
			return
		}
		if !request.retryCharged && !c.retryBudget(request.pool).allowsRetry(env.Now, c.settings, env.Routers) {
			c.Counters.RetriesDenied++
			c.finish(request, env, CauseRetriesExhausted, c.retryAfter(request, env))
			return
		}
		// The attempt is counted before it leaves, since it can't be called back.
		if !request.retryCharged {
			c.retryBudget(request.pool).recordRetry(env.Now)
		}
		request.retryCharged = false
		c.Counters.Retried++
	}
	if request.stage == StageQueued {
		c.dequeue(request)
		request.queuedFor += env.Now.Since(request.queuedAt)
	}
	request.transition(StageSending)
	request.engine, request.sentAt = chosen.ID, env.Now
	state := c.engineState(chosen.ID)
	state.attemptStarted(request, env)
	if request.speculative {
		target := registry.Target{Model: request.Attributes.Model, Adapter: request.Attributes.Adapter}
		ready, _ := expectedReadyAt(chosen, target)
		state.recordSpeculation(target, ready, env.Now)
		c.Counters.Speculative++
	}
	request.outcomeReported, request.reportedOverdue, request.overdueAfter = false, false, c.overdueAfter(request)
	if !request.responseBegun && !request.speculative {
		// An answer that goes on at another engine has no first byte to be late, and what went ahead of a load waits.
		c.awaitingFirstByte = append(c.awaitingFirstByte, request)
	}
	c.demandState(request).running++
	c.attemptsByPool[request.pool]++
	pool, _ := env.Index.Pool(request.pool)
	request.give(Step{Attempt: &Attempt{
		Engine: chosen.ID, Address: chosen.Address, Zone: chosen.Zone, Pool: request.pool, TimeLeft: request.Deadline.Since(env.Now),
		Urgency: request.Path.Rank, NotRepeatable: !request.mayRepeat(), LastEvent: request.resumeAfter(), Resume: request.resumeAfter() != "",
		MaxConnections: connectionShare(pool, env.Routers), NeedsWorkerID: len(request.mintedIDs) > 0,
		EngineRunning: state.requestCount(chosen, env, c.settings), PrefillTokens: state.prefillTokens, GapTargetMs: request.Path.GapTargetMs,
	}})
}

// resumeAt is the event after which the next attempt goes on.
func (r *Request) resumeAfter() string {
	if r.lastEvent != "" {
		return r.lastEvent
	}
	return r.Attributes.LastEvent
}

// stamp mints an id for a record that is held or tried again; without a lease neither is allowed.
func (c *Core) mintID(request *Request, env Environment) bool {
	id, minted := env.MintID()
	if minted {
		request.mintedIDs = append(request.mintedIDs, id)
	}
	return minted
}

// hold keeps a record until an engine can take it, or ends it if none will in time.
func (c *Core) enqueue(request *Request, env Environment, blocked blockReason) {
	if c.shuttingDown {
		c.finish(request, env, CauseShuttingDown, minRetryAfter)
		return
	}
	if wait, hopeless := c.shouldGiveUp(request, env, blocked); hopeless {
		if blocked == blockedNoModel && wait <= request.Deadline.Since(env.Now)/retryAfterDivisor {
			// It is still wanted: whoever plans must not forget it until the client has come back.
			c.demandState(request).expectReturn(env.Now + clock.Mark(wait))
		}
		c.finish(request, env, CauseNoCapacity, wait)
		return
	}
	if request.stage == StageQueued {
		return
	}
	if !c.mintID(request, env) {
		c.finish(request, env, CauseNoWorkerID, c.retryAfter(request, env))
		return
	}
	request.transition(StageQueued)
	request.queuedAt, request.queuedBecause = env.Now, blocked
	c.Counters.Queued++
	c.Counters.QueuedBy[blocked]++
	c.queue = append(c.queue, request)
	c.demandState(request).queued++
}

// unhold takes a record out of those held.
func (c *Core) dequeue(request *Request) {
	if index := slices.Index(c.queue, request); index >= 0 {
		c.queue = slices.Delete(c.queue, index, index+1)
		c.demandState(request).queued--
	}
}

// finish ends a record with our own answer.
func (c *Core) finish(request *Request, env Environment, cause Cause, comeBack time.Duration) {
	if request.stage == StageQueued {
		c.dequeue(request)
		request.queuedFor += env.Now.Since(request.queuedAt)
	}
	c.recordLoss(request, c.reasonOf(request, cause, env), env.Now)
	request.transition(StageEnded)
	answer := finalAnswer(request, cause, comeBack)
	c.Counters.EndedBy[cause]++
	switch {
	case cause == CauseCallerLeft:
		c.Counters.CallersLeft++
	case answer.Status == 0:
		c.Counters.Truncated++
	case request.mayHaveRun:
		c.Counters.EndedAfterLoss++
	default:
		c.Counters.Rejected++
	}
	request.give(Step{Answer: &answer})
}

// raisedBy is by how many ranks a record rises over all of its time; none is held for more than half of it.
const agingRanks = 8

// rankOf is the rank by which a record that waits is served; waiting raises it, so that none starves.
func effectiveRank(request *Request, now clock.Mark) float64 {
	duration := max(request.responseDeadline().Since(request.ArrivedAt), time.Millisecond)
	return float64(request.Path.Rank) - agingRanks*float64(now.Since(request.ArrivedAt))/float64(duration)
}

// Pass looks at all that are held, the most urgent first.
func (c *Core) DispatchQueued(env Environment) {
	if len(c.queue) == 0 {
		return
	}
	waiting := slices.Clone(c.queue)
	ranks := make(map[*Request]float64, len(waiting))
	for _, request := range waiting {
		ranks[request] = effectiveRank(request, env.Now)
	}
	slices.SortFunc(waiting, func(a, b *Request) int {
		if order := cmp.Compare(ranks[a], ranks[b]); order != 0 {
			return order
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	for _, request := range waiting {
		if request.stage == StageQueued {
			c.dispatch(request, env)
		}
	}
}

// HeldNow counts those that wait.
func (c *Core) QueueLength() int { return len(c.queue) }

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

// NextLook is when the records that wait must be looked at again even if nothing happens.
func (c *Core) NextWake(now clock.Mark) (clock.Mark, bool) {
	if len(c.queue) == 0 {
		return 0, false
	}
	next := c.queue[0].responseDeadline()
	for _, request := range c.queue {
		next = min(next, request.responseDeadline()-clock.Mark(c.minAttemptTime(request)), request.ArrivedAt+clock.Mark(maxQueueTime(request)))
		if waitEnds := request.ArrivedAt + clock.Mark(initialQueueTime(request)); waitEnds > now {
			next = min(next, waitEnds)
		}
	}
	// What is about to come or to rest out can't be told in one moment, so there is an upper bound.
	return max(min(next, now+clock.Mark(maxWakeInterval)), now+clock.Mark(time.Millisecond)), true
}

const maxWakeInterval = 50 * time.Millisecond

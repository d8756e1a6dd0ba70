package forwarding

import (
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// startAttempt gives the sender an attempt at the chosen engine, or ends the request where it may not be sent: without a
// worker id, or without retry budget.
func (c *Core) startAttempt(request *Request, env Environment, chosen *registry.Engine) {
	if len(request.mintedIDs) > 0 && !env.HasWorkerID {
		// A request queued under a worker id is sent only under one.
		c.finish(request, env, CauseNoWorkerID, c.retryAfter(request, env))
		return
	}
	if request.enginesTried > 0 && !c.chargeRetry(request, env) {
		return
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
		target := request.target()
		ready, _ := expectedReadyAt(chosen, target)
		state.recordSpeculation(target, ready, env.Now)
		c.Counters.Speculative++
	}
	request.report, request.overdueAfter = unreported, c.overdueAfter(request)
	if !request.responseBegun && !request.speculative {
		// A resumed stream has no first byte that could be overdue, and a speculative attempt waits for a load.
		c.awaitingFirstByte = append(c.awaitingFirstByte, request)
	}
	c.demandState(request).running++
	c.attemptsByPool[request.pool]++
	request.give(Step{Attempt: c.newAttempt(request, env, chosen, state)})
}

// chargeRetry mints an id for a retry and charges the pool's retry budget, unless a migration has done so already. If
// either is refused it ends the request and reports false. A retry is charged before it leaves, since it can't be recalled.
func (c *Core) chargeRetry(request *Request, env Environment) bool {
	if !c.mintID(request, env) {
		c.finish(request, env, CauseNoWorkerID, c.retryAfter(request, env))
		return false
	}
	if !request.retryCharged {
		if !c.retryBudget(request.pool).allowsRetry(env.Now, c.settings, env.Routers) {
			c.Counters.RetriesDenied++
			c.finish(request, env, CauseRetriesExhausted, c.retryAfter(request, env))
			return false
		}
		c.retryBudget(request.pool).recordRetry(env.Now)
	}
	request.retryCharged = false
	c.Counters.Retried++
	return true
}

// newAttempt describes an attempt to the sender.
func (c *Core) newAttempt(request *Request, env Environment, chosen *registry.Engine, state *engineState) *Attempt {
	pool, _ := env.Index.Pool(request.pool)
	lastEvent := request.resumeAfter()
	return &Attempt{
		Engine:         chosen.ID,
		Address:        chosen.Address,
		Zone:           chosen.Zone,
		Pool:           request.pool,
		TimeLeft:       request.Deadline.Since(env.Now),
		Urgency:        request.rank(),
		NotRepeatable:  !request.mayRepeat(),
		LastEvent:      lastEvent,
		Resume:         lastEvent != "",
		MaxConnections: connectionShare(pool, env.Routers),
		NeedsWorkerID:  len(request.mintedIDs) > 0,
		EngineRunning:  state.requestCount(chosen, env, c.settings),
		PrefillTokens:  state.prefillTokens,
		GapTargetMs:    request.Path.GapTargetMs,
	}
}

// mintID mints an id for a request that is queued or retried; false without a worker id.
func (c *Core) mintID(request *Request, env Environment) bool {
	id, minted := env.MintID()
	if minted {
		request.mintedIDs = append(request.mintedIDs, id)
	}
	return minted
}

// connectionShare is this daemon's share of the connections that an engine of the pool accepts; zero is no limit.
func connectionShare(pool *upstream.Pool, routers int) int {
	if pool == nil || pool.MaxConnections == 0 {
		return 0
	}
	return max(1, pool.MaxConnections/max(routers, 1))
}

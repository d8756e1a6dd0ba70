package forwarding

import (
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

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

// stamp mints an id for a record that is held or tried again; without a lease neither is allowed.
func (c *Core) mintID(request *Request, env Environment) bool {
	id, minted := env.MintID()
	if minted {
		request.mintedIDs = append(request.mintedIDs, id)
	}
	return minted
}

// connectionShare is this daemon's part of the connections that an engine takes.
func connectionShare(pool *upstream.Pool, edges int) int {
	if pool == nil || pool.MostConnections == 0 {
		return 0
	}
	return max(1, pool.MostConnections/max(edges, 1))
}

package forwarding

// Migrate reports whether the sender should stop an attempt at an evacuated engine, to make it elsewhere. That is so
// only where nothing is lost: the request is repeatable or resumable after its last event, another engine can take it
// now, and the retry budget has been charged. Requests that may run only once stay.
func (c *Core) Migrate(request *Request, env Environment) bool {
	if request.stage != StageSending && request.stage != StageResponding || request.migrating || c.shuttingDown || env.EngineEvacuated == nil || env.View == nil || env.Index == nil {
		return false
	}
	engine := env.View.Engines[request.engine]
	if engine == nil || !env.EngineEvacuated(engine) {
		return false
	}
	if !c.canMigrate(request, env) {
		c.Counters.MigrationsDeclined++
		return false
	}
	request.migrating, request.retryCharged = true, true
	c.retryBudget(request.pool).recordRetry(env.Now)
	c.Counters.Migrated++
	return true
}

// canMigrate reports whether an attempt can be made elsewhere now.
func (c *Core) canMigrate(request *Request, env Environment) bool {
	path, found := env.Index.Lookup(request.Host, request.URLPath)
	switch {
	case !found || !pathRoutesTo(path, request.pool):
		return false
	case !request.mayRepeat() || !allowsRepeat(path) || request.responseBegun && !request.resumable():
		return false
	case request.enginesTried+1 >= path.Attempts:
		return false
	case request.responseDeadline().Since(env.Now) <= 2*c.minAttemptTime(request):
		// It is nearly over.
		return false
	case !env.HasWorkerID || !c.retryBudget(request.pool).allowsRetry(env.Now, c.settings, env.Routers):
		return false
	}
	// chooseEngine overwrites what is still needed when the current attempt's first byte comes.
	cost, speculative := request.expectedCost, request.speculative
	chosen, _ := c.chooseEngine(request, env)
	nextSpeculative := request.speculative
	request.expectedCost, request.speculative = cost, speculative
	if nextSpeculative {
		// An engine that may not have loaded the model yet is no better than the current one.
		return false
	}
	return chosen != nil && chosen.ID != request.engine
}

package forwarding

// MoveOff decides whether what a record has under way at an engine that is emptied is stopped, to be made elsewhere.
// It is only where nothing can be lost by it: it may run again, or go on after its last event; another engine can take
// it now; and its next attempt is in the budget already. What may run once only stays to its end.
func (c *Core) MoveOff(r *Record, w World) bool {
	if r.stage != Sending && r.stage != Passing || r.moving || c.stopping || w.Emptied == nil || w.View == nil || w.Index == nil {
		return false
	}
	engine := w.View.Engines[r.engine]
	if engine == nil || !w.Emptied(engine) {
		return false
	}
	if !c.movable(r, w) {
		c.Counters.Stayed++
		return false
	}
	r.moving, r.paid = true, true
	c.budget(r.pool).again(w.Now)
	c.Counters.Moved++
	return true
}

func (c *Core) movable(r *Record, w World) bool {
	path, found := w.Index.Lookup(r.Host, r.Prefixed)
	switch {
	case !found || !leadsTo(path, r.pool):
		return false
	case !r.mayRepeat() || r.begun && !r.resumable():
		return false
	case r.attempts+1 >= path.Attempts:
		return false
	case r.answerBy().Since(w.Now) <= 2*c.least(r):
		// It is as good as over.
		return false
	case !w.Leased || !c.budget(r.pool).allows(w.Now, c.settings, w.Edges):
		return false
	}
	// What the choice made now cost must still be known when its first byte comes.
	score, speculative := r.score, r.speculative
	chosen, _ := c.choose(r, w)
	ahead := r.speculative
	r.score, r.speculative = score, speculative
	if ahead {
		// Where the next one only may have it by then, what runs had better stay.
		return false
	}
	return chosen != nil && chosen.ID != r.engine
}

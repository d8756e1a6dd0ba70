package forwarding

import (
	"github.com/cresspond/cresspond/process/featuregates"
)

// Outcome is how an attempt ended that gave no whole answer, or that it did.
type Outcome uint8

const (
	// HeldBack: the last look found a reason not to send.
	HeldBack Outcome = iota
	// NeverSent: the engine could not be reached.
	NeverSent
	// EngineRefused: the engine gave its word that it has not run.
	EngineRefused
	// Misdirected: another engine is there, or it lacks what was asked for.
	Misdirected
	// Lost: it may have run, and nothing of it goes on.
	Lost
	// Junk: the same, and the engine broke the rules.
	Junk
	// Cut: an answer that has begun broke off.
	Cut
	// Failed: the engine's whole answer is a failure of its own; it goes on as it is.
	Failed
	// Whole: the engine's whole answer went on.
	Whole
	// Left: the caller went away.
	Left
)

// mostHeldBack is how often a request may be stopped at its last look, each time for a change since it was
// chosen for.
const mostHeldBack = 8

// Attempted takes up how an attempt ended, and gives the next step unless the record is served.
func (c *Core) Attempted(r *Record, outcome Outcome, w World) {
	if r.stage != Sending && r.stage != Passing {
		return
	}
	c.settle(r, outcome, w)
	tooSoon := r.speculative && (outcome == Misdirected || outcome == EngineRefused)
	if outcome != HeldBack && outcome != NeverSent {
		if r.tooSoonAt != r.engine {
			// What counts is how many engines it was sent to.
			r.attempts++
		}
		if tooSoon {
			c.Counters.SpeculativeRefused++
			r.tooSoonAt = r.engine
			if r.attempts >= r.Path.Attempts {
				// It was sent to as many engines as it may be, and this one did not run it.
				r.boundTo = r.engine
			}
		}
		if !r.counted {
			r.counted = true
			c.Counters.Sent++
			// It counts from when it was sent: a stream that ends long after is no request of now.
			c.budget(r.pool).first(r.sentAt, w.Now, c.settings.RetryWindow)
		}
	}
	if outcome != HeldBack && outcome != Misdirected && !tooSoon {
		// What an engine lacked it may get; until then it is passed by for that.
		r.tried = append(r.tried, r.engine)
	}
	switch outcome {
	case HeldBack:
		c.Counters.HeldBack++
		if r.heldBack++; r.heldBack > mostHeldBack {
			c.finish(r, w, NoRoom, c.comeBack(r, w))
		} else {
			c.look(r, w)
		}
	case NeverSent:
		c.Counters.NeverSent++
		c.look(r, w)
	case EngineRefused:
		c.Counters.EngineRefused++
		c.look(r, w)
	case Misdirected:
		c.Counters.Misdirected++
		c.look(r, w)
	case Lost, Junk, Cut:
		switch outcome {
		case Lost:
			c.Counters.Lost++
		case Junk:
			c.Counters.Junk++
		case Cut:
			c.Counters.Cut++
		}
		r.mayHaveRun = true
		switch {
		case !r.mayRepeat() || r.begun && (r.lastEvent == "" || c.settings.Off.Has(featuregates.Resumption)):
			cause := Broken
			if w.Now >= r.Deadline {
				cause = Late
			}
			c.finish(r, w, cause, 0)
		default:
			if r.begun {
				c.Counters.Resumed++
			}
			c.look(r, w)
		}
	case Whole:
		c.Counters.Whole++
		r.move(Ended)
	case Failed:
		c.failed(r, w)
	case Left:
		c.finish(r, w, CallerLeft, 0)
	}
	c.Pass(w)
}

// failed lets an engine's own failure go on, unless the request may be repeated and another engine can take it now.
func (c *Core) failed(r *Record, w World) {
	r.mayHaveRun = true
	if r.repeatable() && !r.callerLeft && r.attempts < r.Path.Attempts && r.Deadline.Since(w.Now) > c.least(r) && Leads(w.Index, r.Host, r.Prefixed, r.pool) {
		if chosen, _ := c.choose(r, w); chosen != nil && c.budget(r.pool).allows(w.Now, c.settings, w.Edges) {
			c.send(r, w, chosen)
			return
		}
	}
	c.Counters.Failed++
	c.lost(r, ReasonEngineFailure, w.Now)
	r.move(Ended)
	r.step(Step{Pass: true})
}

// settle notes at the engine that an attempt has ended.
func (c *Core) settle(r *Record, outcome Outcome, w World) {
	c.demand(r).running--
	c.running[r.pool]--
	judged := outcome
	if r.moving && outcome != Whole && outcome != Failed {
		// We ended it ourselves, which says nothing of the engine.
		judged = HeldBack
	}
	r.moving = false
	c.engine(r.engine).ended(r, judged, w)
	c.noteEnd(r, judged, w)
	if outcome == Whole {
		if !r.begun {
			c.lost(r, c.lateReason(r, w.Now), w.Now)
			c.path(r).began(r, w.Now)
		}
		smooth(&c.path(r).served, w.Now.Since(r.sentAt))
	}
}

// Begun notes that bytes of the answer go on to the caller, up to and with this event.
func (c *Core) Begun(r *Record, w World) {
	if r.stage == Sending {
		r.move(Passing)
	}
	if !r.begun {
		r.begun = true
		if r.speculative {
			c.present(r, w)
		}
		c.lost(r, c.lateReason(r, w.Now), w.Now)
		c.engine(r.engine).began(r, w)
		c.noteFirst(r, w.Now)
		c.path(r).began(r, w.Now)
	}
}

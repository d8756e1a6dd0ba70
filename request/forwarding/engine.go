package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/registry"
)

// engineState is what this daemon itself knows of an engine.
type engineState struct {
	// inFlight is its own attempts there, reading the tokens of prompts sent and not yet begun, memory the
	// tokens that its attempts may take.
	inFlight, reading, memory int
	// told is the newest report taken into account, ownThen the attempts in flight when it came.
	told    clock.Mark
	ownThen int
	// failures is how many attempts failed in a row, badness a smoothed share of them.
	failures  int
	badness   float64
	restUntil clock.Mark
	// took is a smoothed time from sending to the first byte.
	firstByte time.Duration
	used      clock.Mark
	kept      *keptParts
}

func (c *Core) engine(id ident.EngineID) *engineState {
	state := c.engines[id]
	if state == nil {
		state = &engineState{kept: newKeptParts()}
		c.engines[id] = state
	}
	return state
}

func (c *Core) budget(pool string) *window {
	if c.budgets[pool] == nil {
		c.budgets[pool] = &window{}
	}
	return c.budgets[pool]
}

// Forget drops what is known of engines that are no longer registered and have nothing under way.
func (c *Core) Forget(view *registry.View) {
	for id, state := range c.engines {
		if _, known := view.Engines[id]; !known && state.inFlight == 0 {
			delete(c.engines, id)
		}
	}
}

// took notes an attempt that is about to leave.
func (e *engineState) took(r *Record, w World) {
	e.inFlight++
	e.reading += r.unread
	e.memory += r.needs
	e.used = w.Now
	e.kept.note(r)
}

// began notes that an attempt's answer has begun, so that its prompt is read.
func (e *engineState) began(r *Record, w World) {
	e.reading -= r.unread
	r.unread = 0
	waited := w.Now.Since(r.sentAt)
	if e.firstByte == 0 {
		e.firstByte = waited
	}
	e.firstByte += (waited - e.firstByte) / 8
	e.well()
}

func (e *engineState) well() {
	e.failures = 0
	e.restUntil = 0
	e.badness *= 0.8
}

const (
	restFirst = 250 * time.Millisecond
	restMost  = 4 * time.Second
)

// ill notes a failure; an engine that fails again and again rests, and is then tried with one request.
func (e *engineState) ill(w World, atOnce bool) {
	e.failures++
	e.badness = 0.8*e.badness + 0.2
	if atOnce || e.failures >= 3 || e.badness > 0.6 {
		rest := restFirst << min(max(e.failures-1, 0), 4)
		e.restUntil = w.Now + clock.Mark(min(rest, restMost))
	}
}

// ended notes how an attempt ended.
func (e *engineState) ended(r *Record, outcome Outcome, w World) {
	e.inFlight--
	e.reading -= r.unread
	e.memory -= r.needs
	r.unread = 0
	switch outcome {
	case Whole:
		e.well()
	case NeverSent, Junk:
		e.ill(w, true)
	case Lost, Cut, Failed:
		// One that ran into its own deadline says little of the engine.
		if w.Now < r.Deadline {
			e.ill(w, false)
		}
	case EngineRefused:
		// It is full, or about to be: a moment's rest spreads the rest over others.
		e.restUntil = max(e.restUntil, w.Now+clock.Mark(fullRest))
	}
}

const fullRest = 50 * time.Millisecond

// resting says whether it gets nothing new now; after a rest it gets one at a time until one went well.
func (e *engineState) resting(now clock.Mark) bool {
	return now < e.restUntil || e.failures >= 3 && e.inFlight > 0
}

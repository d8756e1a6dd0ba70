// Package plannerlease keeps the right to command engines, as the daemon that was granted it may use it: until a
// moment of its own clock, counted from before it asked.
package plannerlease

import (
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

type holding struct {
	number ident.FencingToken
	until  clock.Mark
}

// Holder is one planner's hold on the claim. Any thread may ask it; one takes and drops.
type Holder struct {
	clock clock.Clock
	// margin is taken off the end of a claim for clock-rate error.
	margin time.Duration
	held   atomic.Pointer[holding]
}

// NewHolder makes a holder that holds nothing.
func NewHolder(c clock.Clock, margin time.Duration) *Holder { return &Holder{clock: c, margin: margin} }

// Held gives the claim that is held now.
func (h *Holder) Held() (ident.FencingToken, bool) {
	held := h.held.Load()
	if held == nil || h.clock.Elapsed() >= held.until {
		return 0, false
	}
	return held.number, true
}

// Commands says whether engines may be commanded under this claim now.
func (h *Holder) Commands(number ident.FencingToken) bool {
	held, now := h.Held()
	return now && held == number
}

// Take is the one place where a claim is taken up or prolonged; asked is read from the clock before the
// group was asked. It says whether the claim is fresh, or had lapsed here.
func (h *Holder) Take(asked clock.Mark, granted *statemachine.PlannerLease) (fresh bool) {
	span := time.Duration(granted.Expiry-granted.Now)*time.Millisecond - h.margin
	before, still := h.Held()
	next := &holding{number: granted.Token, until: asked + clock.Mark(span)}
	if held := h.held.Load(); held != nil && held.number == next.number && held.until > next.until {
		// Answers may come out of order; what was granted holds.
		next.until = held.until
	}
	h.held.Store(next)
	return !still || before != granted.Token
}

// Drop lets go.
func (h *Holder) Drop() { h.held.Store(nil) }

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

type grant struct {
	token  ident.FencingToken
	expiry clock.Mark
}

// Lease is one planner's hold on the claim. Any thread may ask it; one takes and drops.
type Lease struct {
	clock clock.Clock
	// margin is taken off the end of a claim for clock-rate error.
	margin  time.Duration
	current atomic.Pointer[grant]
}

// New makes a holder that holds nothing.
func New(c clock.Clock, margin time.Duration) *Lease { return &Lease{clock: c, margin: margin} }

// Token gives the claim that is held now.
func (h *Lease) Token() (ident.FencingToken, bool) {
	held := h.current.Load()
	if held == nil || h.clock.Elapsed() >= held.expiry {
		return 0, false
	}
	return held.token, true
}

// Allows says whether engines may be commanded under this claim now.
func (h *Lease) Allows(number ident.FencingToken) bool {
	held, now := h.Token()
	return now && held == number
}

// Renew is the one place where a claim is taken up or prolonged; asked is read from the clock before the
// group was asked. It says whether the claim is fresh, or had lapsed here.
func (h *Lease) Renew(asked clock.Mark, granted *statemachine.PlannerLease) (fresh bool) {
	span := time.Duration(granted.Expiry-granted.Now)*time.Millisecond - h.margin
	before, still := h.Token()
	next := &grant{token: granted.Token, expiry: asked + clock.Mark(span)}
	if held := h.current.Load(); held != nil && held.token == next.token && held.expiry > next.expiry {
		// Answers may come out of order; what was granted holds.
		next.expiry = held.expiry
	}
	h.current.Store(next)
	return !still || before != granted.Token
}

// Release lets go.
func (h *Lease) Release() { h.current.Store(nil) }

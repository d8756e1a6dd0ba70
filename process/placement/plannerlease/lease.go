// Package plannerlease is the planner's side of its lease: the right to command engines, which the consensus group grants
// to one daemon at a time (process/consensus/statemachine).
//
// The lease is held until a time of the holder's own clock, counted from before it sent the request and shortened by a
// margin for the difference of clock rates. So the holder stops before the group grants the lease to another, without
// synchronized clocks. Each grant to another daemon has a higher fencing token, by which engines reject commands of an
// earlier holder that did not notice its end.
package plannerlease

import (
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// grant is a lease as this daemon may use it.
type grant struct {
	token  ident.FencingToken
	expiry clock.Mark
}

// Lease is one planner's lease. Any goroutine may read it; one renews and releases it.
type Lease struct {
	clock clock.Clock
	// margin is subtracted from a grant's duration, for the difference of clock rates.
	margin  time.Duration
	current atomic.Pointer[grant]
}

// New makes a lease that is not held.
func New(timer clock.Clock, margin time.Duration) *Lease { return &Lease{clock: timer, margin: margin} }

// Token returns the fencing token of the lease; false if it is not held now.
func (l *Lease) Token() (ident.FencingToken, bool) {
	current := l.current.Load()
	if current == nil || l.clock.Elapsed() >= current.expiry {
		return 0, false
	}
	return current.token, true
}

// Allows reports whether engines may be commanded with this fencing token now.
func (l *Lease) Allows(token ident.FencingToken) bool {
	current, valid := l.Token()
	return valid && current == token
}

// Renew takes a grant; requestedAt is read from the clock before the group was asked. It reports whether the lease is
// new: it has another token than before, or had expired here.
func (l *Lease) Renew(requestedAt clock.Mark, granted *statemachine.PlannerLease) (isNew bool) {
	duration := time.Duration(granted.Expiry-granted.Now)*time.Millisecond - l.margin
	previous, valid := l.Token()
	next := &grant{token: granted.Token, expiry: requestedAt + clock.Mark(duration)}
	if current := l.current.Load(); current != nil && current.token == next.token && current.expiry > next.expiry {
		// Replies may arrive out of order; a renewal never shortens the lease.
		next.expiry = current.expiry
	}
	l.current.Store(next)
	return !valid || previous != granted.Token
}

// Release gives the lease up on this side; to release it in the group as well is up to the caller.
func (l *Lease) Release() { l.current.Store(nil) }

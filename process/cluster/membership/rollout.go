package membership

import (
	"context"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// RolloutReach is how far a change has been rolled out.
type RolloutReach struct {
	// Applied are the daemons that have it in force; Missing those that have not, though they may be serving or are in
	// contact.
	Applied, Missing []ident.NodeID
	// Complete says that none is missing.
	Complete bool
}

// AwaitRollout waits until every daemon that may be serving, and every one in contact, has the versions in force, or
// until within has passed. It returns the zero value if ctx or the actor ends first.
func (m *Membership) AwaitRollout(ctx context.Context, configuration, closure ident.Version, within time.Duration, serving func() []ident.NodeID) RolloutReach {
	waiting := &rolloutWaiter{configuration: configuration, closure: closure, deadline: m.clock.Elapsed() + clock.Mark(within), serving: serving, done: make(chan RolloutReach, 1)}
	if !m.mailbox.Send(waiting) {
		return RolloutReach{}
	}
	select {
	case reach := <-waiting.done:
		return reach
	case <-ctx.Done():
	case <-m.mailbox.Done():
	}
	return RolloutReach{}
}

// notifyWaiters replies to the waiters whose rollout is complete or whose deadline has passed, and keeps the others. The
// view is published before the replies: whoever looks at it after an acknowledgement must find what that rests on.
func (m *Membership) notifyWaiters() {
	if len(m.waiters) == 0 {
		return
	}
	now, members := m.clock.Elapsed(), m.tracker.memberList.Members()
	pending := m.waiters[:0]
	var finished []finishedWaiter
	for _, waiting := range m.waiters {
		reach := reachOf(now, members, waiting)
		if !reach.Complete && now < waiting.deadline {
			pending = append(pending, waiting)
			continue
		}
		finished = append(finished, finishedWaiter{waiting, reach})
	}
	clear(m.waiters[len(pending):])
	m.waiters = pending
	if len(finished) == 0 {
		return
	}
	m.publish()
	for _, each := range finished {
		each.waiter.done <- each.reach
	}
}

// finishedWaiter is a waiter with its reply.
type finishedWaiter struct {
	waiter *rolloutWaiter
	reach  RolloutReach
}

// reachOf tells how far the rollout that is waited for has come.
func reachOf(now clock.Mark, members map[ident.NodeID]Member, waiting *rolloutWaiter) (reach RolloutReach) {
	required := slices.Clone(waiting.serving())
	for id, member := range members {
		if now.Since(member.LastContact) <= ContactWindow && !slices.Contains(required, id) {
			required = append(required, id)
		}
	}
	slices.Sort(required)
	for _, node := range required {
		// Versions never decrease, so an old report that it has them still holds.
		if member, known := members[node]; known && member.ConfigurationVersion >= waiting.configuration && member.ClosureVersion >= waiting.closure {
			reach.Applied = append(reach.Applied, node)
		} else {
			reach.Missing = append(reach.Missing, node)
		}
	}
	reach.Complete = len(reach.Missing) == 0
	return reach
}

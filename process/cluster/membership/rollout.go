package membership

import (
	"context"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// RolloutReach says who has a change in force, and who may be serving or was in contact and has not. All
// says that nobody lacked it.
type RolloutReach struct {
	Applied, Missing []ident.NodeID
	Complete         bool
}

// AwaitRollout waits until every daemon that may be serving, and every one in contact, has the epochs in
// force, or until within has passed.
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

func (m *Membership) notifyWaiters() {
	if len(m.waiters) == 0 {
		return
	}
	now := m.clock.Elapsed()
	members := m.tracker.memberList.Members()
	m.waiters = slices.DeleteFunc(m.waiters, func(waiting *rolloutWaiter) bool {
		required := waiting.serving()
		for id, member := range members {
			if now.Since(member.LastContact) <= ContactWindow && !slices.Contains(required, id) {
				required = append(slices.Clip(required), id)
			}
		}
		slices.Sort(required)
		var reach RolloutReach
		for _, node := range required {
			// Epochs only rise, so an old word that it has them still holds.
			if member, known := members[node]; known && member.ConfigurationVersion >= waiting.configuration && member.ClosureVersion >= waiting.closure {
				reach.Applied = append(reach.Applied, node)
			} else {
				reach.Missing = append(reach.Missing, node)
			}
		}
		reach.Complete = len(reach.Missing) == 0
		if !reach.Complete && now < waiting.deadline {
			return false
		}
		waiting.done <- reach
		return true
	})
}

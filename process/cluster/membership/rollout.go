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
func (m *Membership) AwaitRollout(ctx context.Context, spec, closure ident.Version, within time.Duration, serving func() []ident.NodeID) RolloutReach {
	w := &rolloutWaiter{configuration: spec, closure: closure, deadline: m.clock.Elapsed() + clock.Mark(within), serving: serving, done: make(chan RolloutReach, 1)}
	if !m.mailbox.Send(w) {
		return RolloutReach{}
	}
	select {
	case reach := <-w.done:
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
	fellows := m.tracker.memberList.Members()
	m.waiters = slices.DeleteFunc(m.waiters, func(w *rolloutWaiter) bool {
		asked := w.serving()
		for id, fellow := range fellows {
			if now.Since(fellow.LastContact) <= ContactWindow && !slices.Contains(asked, id) {
				asked = append(slices.Clip(asked), id)
			}
		}
		slices.Sort(asked)
		var reach RolloutReach
		for _, node := range asked {
			// Epochs only rise, so an old word that it has them still holds.
			if fellow, known := fellows[node]; known && fellow.ConfigurationVersion >= w.configuration && fellow.ClosureVersion >= w.closure {
				reach.Applied = append(reach.Applied, node)
			} else {
				reach.Missing = append(reach.Missing, node)
			}
		}
		reach.Complete = len(reach.Missing) == 0
		if !reach.Complete && now < w.deadline {
			return false
		}
		w.done <- reach
		return true
	})
}

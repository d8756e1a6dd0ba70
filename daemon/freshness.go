package daemon

import (
	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/cluster/membership"
)

// ConfirmedAsLeader is, where this daemon leads, up to when a majority has confirmed that, if all that was committed
// by then is in force here; zero elsewhere.
func (d *Daemon) ConfirmedAsLeader() clock.Mark {
	groupMember := d.replica.Load()
	if groupMember == nil {
		return 0
	}
	// The condition is read first: what is in force is looked at later, so it can only be newer.
	condition := groupMember.Status()
	if !condition.IsLeader {
		return 0
	}
	table := d.rollout.Table()
	switch {
	case table == nil && condition.ConfigurationVersion > 0:
		return 0
	case table != nil && (table.Version < condition.ConfigurationVersion || table.Closures.Version < condition.ClosuresVersion):
		// It is committed and its table is still being built.
		return 0
	}
	return condition.ConfirmedUntil
}

// confirmed is up to when a majority has confirmed that what is in force here is all that was acknowledged; zero is
// never.
func (d *Daemon) confirmed() clock.Mark {
	return max(d.members.View().ConfirmedAt, d.ConfirmedAsLeader())
}

// stale says whether this daemon's news is not to be relied on by others.
func (d *Daemon) stale() bool {
	confirmed := d.confirmed()
	return confirmed == 0 || d.clock.Elapsed().Since(confirmed) > membership.StaleAfter
}

// logStale writes down that what is in force here came to be unconfirmed, or is so no more.
func (d *Daemon) logStale(stale bool) {
	if stale {
		d.counters.turnedStale.Add(1)
	}
	entry := d.log.WithFields(log.Fields{"stale": stale})
	if stale {
		entry.Warn("no majority of the control group has confirmed lately what is in force here")
		return
	}
	entry.Info("what is in force here is confirmed by a majority of the control group")
}

package daemon

import (
	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/cluster/membership"
)

// ConfirmedAsLeader returns, if this daemon leads, up to when a majority has confirmed that, provided that all that
// was committed by then is in force here; zero elsewhere.
func (d *Daemon) ConfirmedAsLeader() clock.Mark {
	groupMember := d.replica.Load()
	if groupMember == nil {
		return 0
	}
	// The status is read first: what is in force is read later, and so can only be newer.
	condition := groupMember.Status()
	if !condition.IsLeader {
		return 0
	}
	table := d.rollout.Table()
	switch {
	case table == nil && condition.ConfigurationVersion > 0:
		return 0
	case table != nil && (table.Version < condition.ConfigurationVersion || table.Closures.Version < condition.ClosuresVersion):
		// The configuration is committed, and its table is still being built.
		return 0
	}
	return condition.ConfirmedUntil
}

// confirmed returns up to when a majority has confirmed that what is in force here is all that was acknowledged; zero
// is never.
func (d *Daemon) confirmed() clock.Mark {
	return max(d.members.View().ConfirmedAt, d.ConfirmedAsLeader())
}

// stale says whether others must not rely on what is in force here.
func (d *Daemon) stale() bool {
	confirmed := d.confirmed()
	return confirmed == 0 || d.clock.Elapsed().Since(confirmed) > membership.StaleAfter
}

// logStale logs that what is in force here has become stale, or is confirmed again.
func (d *Daemon) logStale(stale bool) {
	if stale {
		d.counters.turnedStale.Add(1)
	}
	entry := d.log.WithFields(log.Fields{"stale": stale})
	if stale {
		entry.Warn("configuration in force is stale: no majority of the control group has confirmed it recently")
		return
	}
	entry.Info("configuration in force is confirmed by a majority of the control group again")
}

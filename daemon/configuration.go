package daemon

import (
	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/daemon/longpoll"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// stateChanged is called by the replica, on its goroutine, when the committed configuration or the closures have
// changed.
func (d *Daemon) stateChanged(state *statemachine.State) {
	d.applyDepartures(state)
	closures := state.Closures.Clone()
	version, inForce := state.Version(), statemachine.Proposal{}
	if found, ok := state.InForce(); ok {
		inForce = *found
	}
	// On a goroutine of its own, which ends with the offer: decompressing a configuration and building its table must
	// not hold up the group.
	go d.rollout.Offer(version, inForce.Bundle(), &closures)
}

// configurationChanged is called after each change of the configuration or the closures in force here.
func (d *Daemon) configurationChanged() {
	if table := d.rollout.Table(); table != nil {
		if closure, lost := table.Closures.Lost[d.nodeID]; lost {
			d.abort(eris.Errorf("this daemon was declared lost by operator %s and must not serve any more; start it again", closure.Operator))
		}
		d.logInForce(table)
	}
	d.notifier.Notify(longpoll.Urgent)
	d.wakeRequestPath()
	d.migrateFromDrained()
	d.admitCallers()
}

func (d *Daemon) wakeRequestPath() {
	d.dispatch.NotifyChanged()
	if d.forwarding.actor != nil {
		d.forwarding.actor.Wake()
	}
}

// InForce returns the versions of the configuration and of the closures that are in force here; zero is none.
func (d *Daemon) InForce() (configuration, closure ident.Version) {
	if table := d.rollout.Table(); table != nil {
		return table.Version, table.Closures.Version
	}
	return 0, 0
}

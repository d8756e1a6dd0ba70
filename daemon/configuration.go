package daemon

import (
	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// stateChanged is called by the replica when the spec in force or the closures are others.
func (d *Daemon) stateChanged(state *statemachine.State) {
	d.noteLeft(state)
	closures := state.Closures.Clone()
	epoch, inForce := state.Epoch(), statemachine.Proposal{}
	if found, ok := state.InForce(); ok {
		inForce = *found
	}
	// Not waited for: unpacking a bundle and building its table must not hold up the group.
	go d.keeper.Offer(epoch, inForce.Packing(), &closures)
}

// swapped is called after each change that is in force here.
func (d *Daemon) swapped() {
	if t := d.keeper.Table(); t != nil {
		if mark, lost := t.Closures.Lost[d.nodeID]; lost {
			d.stepAside(eris.Errorf("this daemon was declared lost by %s, and so must not serve; start it again", mark.Operator))
		}
	}
	d.bell.ring(urgent)
	d.poke()
	d.moveOff()
	d.admitCallers()
}

func (d *Daemon) poke() {
	d.dispatch.Poke()
	if d.forwardSide.actor != nil {
		d.forwardSide.actor.Wake()
	}
}

// InForce is what this daemon has in force.
func (d *Daemon) InForce() (spec, closure ident.Version) {
	if t := d.keeper.Table(); t != nil {
		return t.Epoch, t.Closures.Epoch
	}
	return 0, 0
}

package replica

import (
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/linearizability"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

func (o *simOrders) acknowledged(order operatorapi.Apply, got operatorapi.Applying) {
	if o.refused[order.Digest] {
		o.fault("order %s was refused and then acknowledged", order.Digest)
	}
	if known, before := o.acked[order.Digest]; before && known != got.Epoch {
		o.fault("order %s is acknowledged as epoch %d and as %d", order.Digest, known, got.Epoch)
	}
	o.acked[order.Digest], o.newest = got.Epoch, max(o.newest, got.Revision)
}

func (o *simOrders) wasRefused(order operatorapi.Apply, got operatorapi.Applying) {
	if _, taken := o.acked[order.Digest]; taken {
		o.fault("order %s was acknowledged and then refused: %+v", order.Digest, got)
	}
	o.refused[order.Digest] = true
}

// linearizable checks the history of all calls against the model.
func (o *simOrders) linearizable(within time.Duration) linearizability.Result {
	calls := make([]linearizability.Call, len(o.calls))
	for place, call := range o.calls {
		calls[place] = *call
	}
	return linearizability.Check(calls, within)
}

// check looks at what all members hold in the end.
func (o *simOrders) check() {
	for _, n := range o.nodes {
		if n.gone {
			continue
		}
		state := n.core.state
		wonOn := map[ident.Revision]string{}
		for epoch := ident.Version(1); epoch <= state.Version(); epoch++ {
			found, ok := state.ProposalAt(epoch)
			if !ok {
				if epoch > state.Dropped {
					o.fault("member %d lacks epoch %d", n.id, epoch)
				}
				continue
			}
			digest := found.ID[len(statemachine.AppliedID("")):]
			if o.refused[digest] {
				o.fault("member %d has %s in force as epoch %d, and it was refused", n.id, digest, epoch)
			}
			if other, won := wonOn[o.base[digest]]; won {
				o.fault("member %d: %s and %s won on base %d", n.id, other, digest, o.base[digest])
			}
			wonOn[o.base[digest]] = digest
		}
		for digest, epoch := range o.acked {
			if found, ok := state.Applied(digest); ok && found.Version != epoch || !ok && epoch > state.Dropped {
				o.fault("member %d: %s was acknowledged as epoch %d and is not there", n.id, digest, epoch)
			}
		}
		if state.Revision < o.newest {
			o.fault("member %d ends at revision %d, and %d was acknowledged", n.id, state.Revision, o.newest)
		}
	}
}

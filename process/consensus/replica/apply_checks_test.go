package replica

import (
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/linearizability"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

func (o *simulatedApplies) recordAcknowledged(order operatorapi.ApplyRequest, got operatorapi.ApplyResponse) {
	if o.rejected[order.Digest] {
		o.reportViolation("request %s was rejected and then acknowledged", order.Digest)
	}
	if known, before := o.acknowledgedVersions[order.Digest]; before && known != got.Version {
		o.reportViolation("request %s is acknowledged as version %d and as %d", order.Digest, known, got.Version)
	}
	o.acknowledgedVersions[order.Digest], o.newest = got.Version, max(o.newest, got.Revision)
}

func (o *simulatedApplies) recordRejected(order operatorapi.ApplyRequest, got operatorapi.ApplyResponse) {
	if _, taken := o.acknowledgedVersions[order.Digest]; taken {
		o.reportViolation("request %s was acknowledged and then rejected: %+v", order.Digest, got)
	}
	o.rejected[order.Digest] = true
}

// linearizable checks the history of all calls against the model.
func (o *simulatedApplies) linearizable(within time.Duration) linearizability.Result {
	calls := make([]linearizability.Call, len(o.calls))
	for place, call := range o.calls {
		calls[place] = *call
	}
	return linearizability.Check(calls, within)
}

// check compares what all members hold in the end with what was acknowledged and rejected.
func (o *simulatedApplies) check() {
	for _, n := range o.nodes {
		if n.removed {
			continue
		}
		state := n.core.state
		wonOn := map[ident.Revision]string{}
		for version := ident.Version(1); version <= state.Version(); version++ {
			found, ok := state.ProposalAt(version)
			if !ok {
				if version > state.Dropped {
					o.reportViolation("member %d lacks version %d", n.id, version)
				}
				continue
			}
			digest := found.ID[len(statemachine.AppliedID("")):]
			if o.rejected[digest] {
				o.reportViolation("member %d has %s in force as version %d, and it was rejected", n.id, digest, version)
			}
			if other, won := wonOn[o.baseRevisions[digest]]; won {
				o.reportViolation("member %d: %s and %s won on base %d", n.id, other, digest, o.baseRevisions[digest])
			}
			wonOn[o.baseRevisions[digest]] = digest
		}
		for digest, version := range o.acknowledgedVersions {
			if found, ok := state.Applied(digest); ok && found.Version != version || !ok && version > state.Dropped {
				o.reportViolation("member %d: %s was acknowledged as version %d and is missing", n.id, digest, version)
			}
		}
		if state.Revision < o.newest {
			o.reportViolation("member %d ends at revision %d, and %d was acknowledged", n.id, state.Revision, o.newest)
		}
	}
}

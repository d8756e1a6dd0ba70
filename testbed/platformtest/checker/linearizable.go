package checker

import (
	"encoding/json"
	"time"

	"github.com/cresspond/cresspond/process/consensus/linearizability"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// linearizabilityTimeout limits the search for a linearization.
const linearizabilityTimeout = time.Minute

// configLinearizable checks that all answers and reads of operators have a linearization.
func (b *index) configLinearizable() Finding {
	f := Finding{Rule: "CONFIG linearizable"}
	calls := b.operatorCalls()
	f.Checked = len(calls)
	if got := linearizability.Check(calls, linearizabilityTimeout); got.Status != linearizability.Linearizable {
		f.violation("%s: %s", got.Status, got.Reason)
	}
	return f
}

// operatorCalls lists the operators' calls for the linearizability checker. Calls of one operator may overlap, so each
// is a client of its own.
func (b *index) operatorCalls() (calls []linearizability.Call) {
	rivals := b.rivals()
	for _, change := range b.Changes {
		call := linearizability.Call{Client: len(calls), Start: int64(change.Began), End: int64(change.Answered), Write: orderOf(change), Outcome: outcomes[change.Outcome]}
		if change.Patch && rivals[change.Base] > 1 {
			// It is not known which of them the patch changed, and so what results.
			call.Write.Content, call.Write.Validity = "", linearizability.Uncertain
		}
		calls = append(calls, call)
	}
	for _, read := range b.Reads {
		if read.Config != nil {
			calls = append(calls, linearizability.Call{Client: len(calls), Start: int64(read.Began), End: int64(read.At), Outcome: linearizability.Acknowledged,
				Read: &linearizability.Read{Revision: read.Config.Generation, Content: content(read.Config)}})
		}
	}
	return calls
}

// rivals counts the different changes by the generation that each leads to, without those that were refused.
func (b *index) rivals() map[uint64]int {
	digests := map[uint64]map[string]bool{}
	for _, change := range b.Changes {
		if change.Outcome == history.Refused {
			continue
		}
		if digests[change.Generation] == nil {
			digests[change.Generation] = map[string]bool{}
		}
		digests[change.Generation][change.Digest()] = true
	}
	counts := map[uint64]int{}
	for generation, of := range digests {
		counts[generation] = len(of)
	}
	return counts
}

var outcomes = map[history.Outcome]linearizability.Outcome{
	history.Acknowledged: linearizability.Acknowledged, history.Refused: linearizability.Rejected, history.Unclear: linearizability.Unknown,
}

func orderOf(change *history.Change) *linearizability.Write {
	order := &linearizability.Write{Digest: change.Digest(), Base: change.Base, Revision: change.Generation, Validity: linearizability.Valid}
	if change.Fault != "" {
		order.Validity = linearizability.Invalid
	}
	if change.Config != nil {
		order.Content = content(change.Config)
	}
	return order
}

// content is equal for equivalent configurations.
func content(config *protocol.Config) string {
	data, err := json.Marshal(canonical(config))
	if err != nil {
		panic("broken invariant: a configuration cannot be written: " + err.Error())
	}
	return string(data)
}

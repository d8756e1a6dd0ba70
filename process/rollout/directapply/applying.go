// Package directapply decides what becomes of an operator's call to put a bundle in force in one step, by what
// the group's state says. It sends and waits for nothing, so that every order of events can be tried.
package directapply

import (
	"encoding/json"

	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// View is what the state says at one moment that bears on a call. The moment must lie after the call
// arrived: then whatever is decided by it is proved.
type View struct {
	Latest
	// Status is what the state proves of the call.
	Status statemachine.ApplyStatus
	// Committed is what an earlier copy of the call put in force.
	Committed *statemachine.Proposal
}

// Latest is the newest bundle; the proposal is nil before the first.
type Latest struct {
	Revision ident.Revision         `json:"revision"`
	Version  ident.Version          `json:"epoch"`
	Proposal *statemachine.Proposal `json:"proposal,omitempty"`
}

// LatestOf reads it; the proposal is a copy, and its bundle is never changed.
func LatestOf(state *statemachine.State) Latest {
	out := Latest{Revision: state.Revision, Version: state.Version()}
	if found, ok := state.InForce(); ok {
		copied := *found
		out.Proposal = &copied
	}
	return out
}

// ViewOf reads where a call stands.
func ViewOf(state *statemachine.State, call operatorapi.ApplyRequest) View {
	out := View{Latest: LatestOf(state), Status: state.ApplyStatus(call.Digest, call.Base)}
	if found, ok := state.Applied(call.Digest); ok {
		copied := *found
		out.Committed = &copied
	}
	return out
}

// Bundle gives the bundle as it was handed in.
func (n Latest) Bundle() (operatorapi.Bundle, error) {
	out := operatorapi.Bundle{Revision: n.Revision, Version: n.Version}
	if n.Proposal == nil {
		return out, nil
	}
	var err error
	out.Configuration, err = n.Proposal.Decompress()
	return out, err
}

// Decision is what to do about a call.
type Decision struct {
	// Response is final where Submit is nil. One that says Applied is to be acknowledged.
	Response operatorapi.ApplyResponse
	// Submit is the command that will decide.
	Submit *statemachine.Command
}

// Decide goes by what the state proves of the call before it looks at the bundle: an order that was taken is never
// refused, and one that may have been taken neither.
func (s View) Decide(call operatorapi.ApplyRequest) Decision {
	switch s.Status {
	case statemachine.ApplyCommitted:
		return Decision{Response: operatorapi.ApplyResponse{Outcome: operatorapi.Applied, Revision: s.Revision, Version: s.Committed.Version}}
	case statemachine.ApplyMalformed:
		return Decision{Response: s.invalid(document.Fault{Path: "base", Reason: "is no revision that a bundle can have"})}
	case statemachine.ApplyUnproven:
		return Decision{Response: unproven(s.Revision, s.Version)}
	case statemachine.ApplyConflicted:
		// Revisions only rise and refusals are kept, so no copy of this call can win any more.
		return Decision{Response: conflict(s.Revision, s.Version)}
	case statemachine.ApplyAhead:
		// This base may yet come in force, and another copy of the call with it. So the call goes through the
		// log without its bundle, and is written down as refused.
		return Decision{Submit: &statemachine.Command{Op: statemachine.OpApply, Operator: call.Operator, Digest: call.Digest, BaseRevision: call.Base}}
	}
	parsed, whole, faults := s.buildConfiguration(call)
	if len(faults) > 0 {
		// They rest on the call and on the one bundle that ever has this revision, so no copy can be taken.
		return Decision{Response: s.invalid(faults...)}
	}
	return Decision{Submit: &statemachine.Command{Op: statemachine.OpApply, Operator: call.Operator, Digest: call.Digest, BaseRevision: call.Base,
		Revision: ident.Revision(parsed.Forward.Revision), Configuration: compression.Compress(whole), Compressed: true}}
}

// ResponseTo is the answer when the command was applied.
func ResponseTo(result statemachine.Result) operatorapi.ApplyResponse {
	switch result.Outcome {
	case statemachine.Done:
		return operatorapi.ApplyResponse{Outcome: operatorapi.Applied, Revision: result.Revision, Version: result.Proposal.Version}
	case statemachine.Conflict:
		return conflict(result.Revision, result.Version)
	case statemachine.Unproven:
		return unproven(result.Revision, result.Version)
	}
	return operatorapi.ApplyResponse{Outcome: operatorapi.Invalid, Reason: result.Reason}
}

func conflict(revision ident.Revision, epoch ident.Version) operatorapi.ApplyResponse {
	return operatorapi.ApplyResponse{Outcome: operatorapi.Conflicted, Revision: revision, Version: epoch, Reason: "another bundle is in force than the one this call builds on"}
}

// unproven is no clear answer: neither an acknowledgement nor a refusal could be proved.
func unproven(revision ident.Revision, epoch ident.Version) operatorapi.ApplyResponse {
	return operatorapi.ApplyResponse{Outcome: operatorapi.Unknown, Revision: revision, Version: epoch, Reason: "whether this call was taken is not known any more: read the bundle in force and build on that"}
}

func (s View) invalid(faults ...document.Fault) operatorapi.ApplyResponse {
	return operatorapi.ApplyResponse{Outcome: operatorapi.Invalid, Revision: s.Revision, Version: s.Version, Faults: faults, Reason: "the bundle has faults"}
}

// buildConfiguration makes the whole bundle of a call that builds on the one in force, and finds its faults.
func (s View) buildConfiguration(call operatorapi.ApplyRequest) (parsed *document.Configuration, whole []byte, faults []document.Fault) {
	if call.Patch != nil {
		parsed, whole, faults = s.merge(call.Patch)
	} else if read, err := document.ParseCommitted(call.Configuration); err != nil {
		faults = []document.Fault{{Reason: err.Error()}}
	} else {
		parsed, whole = read, call.Configuration
	}
	if len(faults) == 0 {
		faults = parsed.Validate()
	}
	switch {
	case len(faults) > 0:
	case parsed.Forward == nil:
		faults = []document.Fault{{Path: "forward", Reason: "is missing: only bundles with this part are applied in one step"}}
	case ident.Revision(parsed.Forward.Revision) <= s.Revision:
		faults = []document.Fault{{Path: "forward.revision", Reason: "must be above the revision in force"}}
	case ident.Revision(parsed.Forward.Revision) > statemachine.MaxRevision:
		faults = []document.Fault{{Path: "forward.revision", Reason: "is higher than any revision may be"}}
	}
	return parsed, whole, faults
}

// merge makes the whole bundle that a patch makes of the one in force.
func (s View) merge(patch *upstream.Patch) (*document.Configuration, []byte, []document.Fault) {
	nothing := func(reason string) (*document.Configuration, []byte, []document.Fault) {
		return nil, nil, []document.Fault{{Reason: reason}}
	}
	bundle, err := s.Bundle()
	if err != nil || len(bundle.Configuration) == 0 {
		return nothing("there is no bundle in force that this could change")
	}
	before, err := document.ParseCommitted(bundle.Configuration)
	if err != nil || before.Forward == nil {
		return nothing("the bundle in force has no part that this could change")
	}
	var faults []document.Fault
	patch.Validate(func(path, reason string) { faults = append(faults, document.Fault{Path: path, Reason: reason}) })
	if len(faults) > 0 {
		return nil, nil, faults
	}
	merged := before.Forward.Merge(patch)
	before.Forward = &merged
	data, err := json.Marshal(before)
	if err != nil {
		return nothing("the changed bundle cannot be encoded: " + err.Error())
	}
	return before, data, nil
}

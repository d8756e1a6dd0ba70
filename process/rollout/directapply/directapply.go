// Package directapply decides the outcome of an operator's request to put a configuration in force in one step, by what
// the group's state proves. It is a pure function of the state and the request: it sends and waits for nothing, so that
// tests can try every order of events. The daemon calls it (daemon/applybundle.go), first with the state as the leader
// reads it, then with the result of the command, if one was submitted. The rules are proved in docs/design/control.md.
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

// View is what the state says about a request at one moment. The moment must lie after the request arrived: then
// whatever is decided by it is proved.
type View struct {
	Latest
	// Status is what the state proves about the request.
	Status statemachine.ApplyStatus
	// Committed is what an earlier copy of the request put in force.
	Committed *statemachine.Proposal
	// Upgrade completes a section that an earlier build stored before a patch is applied to it; nil is none.
	Upgrade upstream.Upgrade
}

// Latest is the newest configuration; the proposal is nil before the first.
type Latest struct {
	Revision ident.Revision         `json:"revision"`
	Version  ident.Version          `json:"epoch"`
	Proposal *statemachine.Proposal `json:"proposal,omitempty"`
}

// LatestOf reads it; the proposal is a copy, and its bytes are never changed.
func LatestOf(state *statemachine.State) Latest {
	out := Latest{Revision: state.Revision, Version: state.Version()}
	if found, ok := state.InForce(); ok {
		copied := *found
		out.Proposal = &copied
	}
	return out
}

// ViewOf reads what the state says about a request.
func ViewOf(state *statemachine.State, request operatorapi.ApplyRequest) View {
	out := View{Latest: LatestOf(state), Status: state.ApplyStatus(request.Digest, request.Base)}
	if found, ok := state.Applied(request.Digest); ok {
		copied := *found
		out.Committed = &copied
	}
	return out
}

// Bundle gives the configuration as it was submitted.
func (l Latest) Bundle() (operatorapi.Bundle, error) {
	out := operatorapi.Bundle{Revision: l.Revision, Version: l.Version}
	if l.Proposal == nil {
		return out, nil
	}
	var err error
	out.Configuration, err = l.Proposal.Decompress()
	return out, err
}

// Decision is what to do about a request.
type Decision struct {
	// Response is final where Submit is nil. One that says Applied is sent once the daemons have acknowledged it.
	Response operatorapi.ApplyResponse
	// Submit is the command that will decide.
	Submit *statemachine.Command
}

// Decide goes by what the state proves about the request before it looks at the configuration: a request that took effect
// is never refused, nor is one that may have, also where this build reads configurations more strictly than the one that
// took it.
func (v View) Decide(request operatorapi.ApplyRequest) Decision {
	switch v.Status {
	case statemachine.ApplyCommitted:
		return Decision{Response: operatorapi.ApplyResponse{Outcome: operatorapi.Applied, Revision: v.Revision, Version: v.Committed.Version}}
	case statemachine.ApplyMalformed:
		return Decision{Response: v.invalid(document.Fault{Path: "base", Reason: "is no revision that a bundle can have"})}
	case statemachine.ApplyUnproven:
		return Decision{Response: unproven(v.Revision, v.Version)}
	case statemachine.ApplyConflicted:
		// Revisions only rise and refusals are remembered, so no copy of this request can take effect any more.
		return Decision{Response: conflict(v.Revision, v.Version)}
	}
	if len(request.Faults) > 0 {
		return Decision{Response: v.invalid(request.Faults...)}
	}
	if v.Status == statemachine.ApplyAhead {
		// This base may yet come in force, and another copy of the request with it. So the request goes through the
		// log without its configuration, and is remembered as refused.
		return Decision{Submit: &statemachine.Command{Op: statemachine.OpApply, Operator: request.Operator, Digest: request.Digest, BaseRevision: request.Base}}
	}
	parsed, data, faults := v.buildConfiguration(request)
	if len(faults) > 0 {
		// They depend on the request and on the one configuration that ever has this revision, so no copy can take effect.
		return Decision{Response: v.invalid(faults...)}
	}
	return Decision{Submit: &statemachine.Command{Op: statemachine.OpApply, Operator: request.Operator, Digest: request.Digest, BaseRevision: request.Base,
		Revision: ident.Revision(parsed.Forward.Revision), Configuration: compression.Compress(data), Compressed: true}}
}

// ResponseTo is the response when the command was applied.
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

func conflict(revision ident.Revision, version ident.Version) operatorapi.ApplyResponse {
	return operatorapi.ApplyResponse{Outcome: operatorapi.Conflicted, Revision: revision, Version: version, Reason: "another configuration is in force than the one this request builds on"}
}

// unproven says neither that a request took effect nor that it did not: neither could be proved.
func unproven(revision ident.Revision, version ident.Version) operatorapi.ApplyResponse {
	return operatorapi.ApplyResponse{Outcome: operatorapi.Unknown, Revision: revision, Version: version, Reason: "whether this request took effect is no longer remembered: read the configuration in force and build on that"}
}

func (v View) invalid(faults ...document.Fault) operatorapi.ApplyResponse {
	return operatorapi.ApplyResponse{Outcome: operatorapi.Invalid, Revision: v.Revision, Version: v.Version, Faults: faults, Reason: "the configuration has faults"}
}

// buildConfiguration makes the complete configuration that a request asks for, and finds its faults.
func (v View) buildConfiguration(request operatorapi.ApplyRequest) (parsed *document.Configuration, data []byte, faults []document.Fault) {
	if request.Patch != nil {
		parsed, data, faults = v.merge(request.Patch)
	} else if read, err := document.ParseCommitted(request.Configuration); err != nil {
		faults = []document.Fault{{Reason: err.Error()}}
	} else {
		parsed, data = read, request.Configuration
	}
	if len(faults) == 0 {
		faults = parsed.Validate()
	}
	switch {
	case len(faults) > 0:
	case parsed.Forward == nil:
		faults = []document.Fault{{Path: "forward", Reason: "is missing: only configurations with this part are applied in one step"}}
	case ident.Revision(parsed.Forward.Revision) <= v.Revision:
		faults = []document.Fault{{Path: "forward.revision", Reason: "must be above the revision in force"}}
	case ident.Revision(parsed.Forward.Revision) > statemachine.MaxRevision:
		faults = []document.Fault{{Path: "forward.revision", Reason: "is higher than any revision may be"}}
	}
	return parsed, data, faults
}

// merge applies a patch to the configuration in force.
func (v View) merge(patch *upstream.Patch) (*document.Configuration, []byte, []document.Fault) {
	fail := func(reason string) (*document.Configuration, []byte, []document.Fault) {
		return nil, nil, []document.Fault{{Reason: reason}}
	}
	bundle, err := v.Bundle()
	if err != nil || len(bundle.Configuration) == 0 {
		return fail("there is no configuration in force that this could change")
	}
	before, err := document.ParseCommitted(bundle.Configuration)
	if err != nil || before.Forward == nil {
		return fail("the configuration in force has no part that this could change")
	}
	var faults []document.Fault
	patch.Validate(func(path, reason string) { faults = append(faults, document.Fault{Path: path, Reason: reason}) })
	if len(faults) > 0 {
		return nil, nil, faults
	}
	v.Upgrade.Apply(before.Forward)
	merged := before.Forward.Merge(patch)
	before.Forward = &merged
	data, err := json.Marshal(before)
	if err != nil {
		return fail("the changed configuration cannot be encoded: " + err.Error())
	}
	return before, data, nil
}

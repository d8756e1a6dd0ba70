package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/epoch/forward"
	"github.com/cresspond/cresspond/epoch/packed"
	"github.com/cresspond/cresspond/epoch/spec"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/replica"
	"github.com/cresspond/cresspond/process/statemachine"
	"github.com/cresspond/cresspond/wire/fellowapi"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

const (
	// applyLimit bounds a call to apply a bundle: operators' tools take a second of silence for a dead daemon.
	applyLimit = 850 * time.Millisecond
	// applyReach is how long an answer waits for the daemons in contact. Being committed by a majority is what
	// the answer rests on, since nothing takes that back; the wait only lets whoever watches the fleet from
	// then on see the new bundle everywhere at once. It stays short, since one silent daemon must not make
	// the operator call again.
	applyReach = 600 * time.Millisecond
	// applyMargin is left for the answer's way back.
	applyMargin = 60 * time.Millisecond
	// applyAgain is how soon a leader is looked for again.
	applyAgain = 50 * time.Millisecond
)

// WithApplyLimits replaces how long a call to apply a bundle may take, and how much of that it waits for
// daemons in contact.
func WithApplyLimits(whole, reach time.Duration) Option {
	return func(d *Daemon) { d.applyLimit, d.applyReach = whole, reach }
}

// ApplyBundle brings an operator's call to the leader. The same call may be brought there many times, also to
// several leaders: whichever copy is committed first counts, and all others find it by its digest.
func (d *Daemon) ApplyBundle(ctx context.Context, call operatorapi.Apply) operatorapi.Applying {
	bounded, cancel := context.WithTimeout(ctx, d.applyLimit)
	defer cancel()
	ticker := time.NewTicker(applyAgain)
	defer ticker.Stop()
	var request *fellowapi.ApplyRequest
	told := ""
	for {
		answer, outcome := d.leadApply(bounded, call)
		if outcome == replica.Applied {
			return answer
		}
		address := told
		if told = ""; address == "" {
			address = d.leaderAddress()
		}
		if address != "" && address != d.config.ReachedAt() && bounded.Err() == nil {
			if request == nil {
				request = d.applyRequest(call)
			}
			if answer, told, outcome = d.sendApply(bounded, address, request); outcome == replica.Applied {
				return answer
			}
		}
		select {
		case <-bounded.Done():
			return operatorapi.Applying{Outcome: operatorapi.Unknown, Reason: "the control group gave no answer in time; send the same call again"}
		case <-ticker.C:
		}
	}
}

func (d *Daemon) applyRequest(call operatorapi.Apply) *fellowapi.ApplyRequest {
	request := &fellowapi.ApplyRequest{Group: string(d.Group()), Base: uint64(call.Base), Digest: call.Digest, Operator: call.Operator}
	if call.Patch != nil {
		data, err := json.Marshal(call.Patch)
		if err != nil {
			panic("broken invariant: a patch cannot be encoded: " + err.Error())
		}
		request.Patch = packed.Pack(data)
	} else {
		request.Whole = packed.Pack(call.Whole)
	}
	return request
}

// sendApply asks another daemon that may lead; told is where it says that the leader is.
func (d *Daemon) sendApply(ctx context.Context, address string, request *fellowapi.ApplyRequest) (answer operatorapi.Applying, told string, outcome replica.Outcome) {
	until, _ := ctx.Deadline()
	bounded, cancel := d.whileLeader(ctx, address, time.Until(until))
	defer cancel()
	sent := &fellowapi.ApplyRequest{Group: request.Group, Base: request.Base, Digest: request.Digest, Operator: request.Operator,
		Whole: request.Whole, Patch: request.Patch, WithinMs: time.Until(until).Milliseconds()}
	reply, err := d.links.To(address).Apply(bounded, sent)
	if err != nil {
		return answer, "", replica.Unknown
	}
	outcome = replica.Outcome(reply.Outcome)
	if outcome == replica.Applied && json.Unmarshal(reply.Result, &answer) != nil {
		outcome = replica.Unknown
	}
	return answer, reply.LeaderAddress, outcome
}

// Apply takes an operator's call, if this daemon leads.
func (d *Daemon) Apply(ctx context.Context, in *fellowapi.ApplyRequest) (*fellowapi.SubmitReply, error) {
	if err := d.ours(in.Group); err != nil {
		return nil, err
	}
	if !d.Leads() {
		return d.redirect(), nil
	}
	garbage := func() error {
		d.counters.garbage.Add(1)
		return twirp.NewError(twirp.InvalidArgument, "this is no call to apply a bundle")
	}
	call := operatorapi.Apply{Base: ident.Revision(in.Base), Digest: in.Digest, Operator: in.Operator}
	if len(in.Patch) > 0 {
		data, err := packed.Unpack(in.Patch)
		call.Patch = &forward.Patch{}
		if err != nil || json.Unmarshal(data, call.Patch) != nil {
			return nil, garbage()
		}
	} else {
		var err error
		if call.Whole, err = packed.Unpack(in.Whole); err != nil {
			return nil, garbage()
		}
	}
	if call.Digest == "" || in.WithinMs <= 0 {
		return nil, garbage()
	}
	bounded, cancel := context.WithTimeout(ctx, min(time.Duration(in.WithinMs)*time.Millisecond, d.applyLimit))
	defer cancel()
	answer, outcome := d.leadApply(bounded, call)
	if outcome == replica.NotLeader {
		return d.redirect(), nil
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &fellowapi.SubmitReply{Outcome: string(outcome), Result: data}, nil
}

// newestBundle is how the newest bundle is read from the state.
type newestBundle struct {
	Revision ident.Revision         `json:"revision"`
	Epoch    ident.Epoch            `json:"epoch"`
	Proposal *statemachine.Proposal `json:"proposal,omitempty"`
}

func (b newestBundle) unpack() (operatorapi.Bundle, error) {
	out := operatorapi.Bundle{Revision: b.Revision, Epoch: b.Epoch}
	if b.Proposal == nil {
		return out, nil
	}
	var err error
	out.Spec, err = b.Proposal.Bundle()
	return out, err
}

// leadApply carries a call out as the leader. Whatever it answers but Unknown is proved by the state at a
// moment after the call arrived: an order that was taken is found before anything else is looked at.
func (d *Daemon) leadApply(ctx context.Context, call operatorapi.Apply) (operatorapi.Applying, replica.Outcome) {
	held := d.replica.Load()
	if held == nil || !held.Condition().Leads {
		return operatorapi.Applying{}, replica.NotLeader
	}
	if !d.config.OneStep {
		return operatorapi.Applying{Outcome: operatorapi.Forbidden, Reason: "this fleet's bundles are reviewed and signed off; propose it instead"}, replica.Applied
	}
	var newest newestBundle
	var taken *statemachine.Proposal
	outcome := held.Read(ctx, func(state *statemachine.State) {
		newest.Revision, newest.Epoch = state.Revision, state.Epoch()
		if found, ok := state.Applied(call.Digest); ok {
			copied := *found
			taken = &copied
		}
		if found, ok := state.InForce(); ok {
			copied := *found
			newest.Proposal = &copied
		}
	})
	switch {
	case outcome != replica.Applied:
		return operatorapi.Applying{}, outcome
	case taken != nil:
		return d.acknowledge(ctx, taken.Epoch, newest.Revision), replica.Applied
	case newest.Revision > call.Base:
		return conflict(newest.Revision, newest.Epoch), replica.Applied
	}
	// An order on a base that is not there yet goes through the log without its bundle: a refusal holds for ever.
	command, faults, worked := statemachine.Command{Op: statemachine.OpApply, Operator: call.Operator, Digest: call.Digest, BaseRevision: call.Base}, []spec.Fault(nil), true
	if newest.Revision == call.Base {
		command, faults, worked = d.workOut(ctx, call, newest)
	}
	switch {
	case !worked:
		return operatorapi.Applying{}, replica.Unknown
	case len(faults) > 0:
		// Faults rest on the call and on the one bundle that ever has this base, so it never can be taken.
		return operatorapi.Applying{Outcome: operatorapi.Invalid, Revision: newest.Revision, Epoch: newest.Epoch, Faults: faults, Reason: "the bundle has faults"}, replica.Applied
	}
	got := held.Submit(ctx, command)
	switch {
	case got.Outcome != replica.Applied:
		return operatorapi.Applying{}, got.Outcome
	case got.Result.Verdict == statemachine.Done:
		return d.acknowledge(ctx, got.Result.Proposal.Epoch, got.Result.Revision), replica.Applied
	case got.Result.Verdict == statemachine.Conflict:
		return conflict(got.Result.Revision, got.Result.Epoch), replica.Applied
	}
	return operatorapi.Applying{Outcome: operatorapi.Invalid, Reason: got.Result.Reason}, replica.Applied
}

func conflict(revision ident.Revision, epoch ident.Epoch) operatorapi.Applying {
	return operatorapi.Applying{Outcome: operatorapi.Conflicted, Revision: revision, Epoch: epoch, Reason: "another bundle is in force than the one this call builds on"}
}

// workOut makes the command for a call; it says false when the time ran out. One call at a time: each may
// hold some megabytes for some tenths of a second.
func (d *Daemon) workOut(ctx context.Context, call operatorapi.Apply, newest newestBundle) (statemachine.Command, []spec.Fault, bool) {
	select {
	case d.applying <- struct{}{}:
	case <-ctx.Done():
		return statemachine.Command{}, nil, false
	}
	defer func() { <-d.applying }()
	whole := call.Whole
	var parsed *spec.Spec
	var faults []spec.Fault
	if call.Patch != nil {
		parsed, whole, faults = mergeOnto(newest, call.Patch)
	} else if read, err := spec.Read(call.Whole); err != nil {
		faults = []spec.Fault{{Reason: err.Error()}}
	} else {
		parsed = read
	}
	if len(faults) == 0 {
		faults = parsed.Check()
	}
	if len(faults) == 0 && parsed.Forward == nil {
		faults = []spec.Fault{{Path: "forward", Reason: "is missing: only bundles with this part are applied in one step"}}
	}
	if len(faults) == 0 && ident.Revision(parsed.Forward.Revision) <= newest.Revision {
		faults = []spec.Fault{{Path: "forward.revision", Reason: "must be above the revision in force"}}
	}
	if len(faults) > 0 {
		return statemachine.Command{}, faults, true
	}
	return statemachine.Command{Op: statemachine.OpApply, Operator: call.Operator, Digest: call.Digest, BaseRevision: call.Base,
		Revision: ident.Revision(parsed.Forward.Revision), Spec: packed.Pack(whole), Packed: true}, nil, true
}

// mergeOnto makes the whole bundle that a patch makes of the newest one.
func mergeOnto(newest newestBundle, patch *forward.Patch) (*spec.Spec, []byte, []spec.Fault) {
	nothing := func(reason string) (*spec.Spec, []byte, []spec.Fault) {
		return nil, nil, []spec.Fault{{Reason: reason}}
	}
	bundle, err := newest.unpack()
	if err != nil || len(bundle.Spec) == 0 {
		return nothing("there is no bundle in force that this could change")
	}
	before, err := spec.Read(bundle.Spec)
	if err != nil || before.Forward == nil {
		return nothing("the bundle in force has no part that this could change")
	}
	var faults []spec.Fault
	patch.Check(func(path, reason string) { faults = append(faults, spec.Fault{Path: path, Reason: reason}) })
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

// acknowledge answers for a bundle that is committed, after a short wait for the daemons in contact.
func (d *Daemon) acknowledge(ctx context.Context, epoch ident.Epoch, revision ident.Revision) operatorapi.Applying {
	limit := d.applyReach
	if until, bounded := ctx.Deadline(); bounded {
		limit = min(limit, time.Until(until)-applyMargin)
	}
	// Only those in contact are waited for: one that is gone must not hold up what is committed.
	reach := d.members.AwaitReach(ctx, epoch, 0, limit, func() []ident.NodeID { return nil })
	return operatorapi.Applying{Outcome: operatorapi.Applied, Revision: revision, Epoch: epoch, Acknowledged: reach.All, InForceAt: reach.Have, Missing: reach.Lack}
}

// NewestBundle reads the newest committed bundle through whoever leads. What this daemon itself has in force
// may be older, so without the group's word there is no answer.
func (d *Daemon) NewestBundle(ctx context.Context) (operatorapi.Bundle, bool) {
	bounded, cancel := context.WithTimeout(ctx, d.applyLimit-applyMargin)
	defer cancel()
	var newest newestBundle
	data, known := d.Look(bounded, "bundle", "")
	if !known || json.Unmarshal(data, &newest) != nil {
		return operatorapi.Bundle{}, false
	}
	bundle, err := newest.unpack()
	return bundle, err == nil
}

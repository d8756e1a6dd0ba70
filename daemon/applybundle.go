package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout/directapply"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
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
	// maxDigestBytes bounds the digest of a call that another daemon passes on.
	maxDigestBytes = 256
	// applyRetryEvery is how soon a leader is looked for again.
	applyRetryEvery = 50 * time.Millisecond
)

// ApplyBundle brings an operator's call to the leader. The same call may be brought there many times, also to
// several leaders: whichever copy is committed first counts, and all others find it by its digest.
func (d *Daemon) ApplyBundle(ctx context.Context, call operatorapi.ApplyRequest) operatorapi.ApplyResponse {
	bounded, cancel := context.WithTimeout(ctx, d.applyLimit)
	defer cancel()
	ticker := time.NewTicker(applyRetryEvery)
	defer ticker.Stop()
	var request *peerapi.ApplyRequest
	redirected := ""
	for {
		answer, outcome := d.applyAsLeader(bounded, call)
		if outcome == replica.Applied {
			return answer
		}
		address := redirected
		if redirected = ""; address == "" {
			address = d.leaderAddress()
		}
		if address != "" && address != d.config.AdvertisedPeerAddress() && bounded.Err() == nil {
			if request == nil {
				request = d.applyRequest(call)
			}
			if answer, redirected, outcome = d.sendApply(bounded, address, request); outcome == replica.Applied {
				return answer
			}
		}
		select {
		case <-bounded.Done():
			return operatorapi.ApplyResponse{Outcome: operatorapi.Unknown, Reason: "the control group gave no answer in time; send the same call again"}
		case <-ticker.C:
		}
	}
}

func (d *Daemon) applyRequest(call operatorapi.ApplyRequest) *peerapi.ApplyRequest {
	request := &peerapi.ApplyRequest{Group: string(d.Group()), BaseVersion: uint64(call.Base), Digest: call.Digest, Operator: call.Operator}
	if call.Patch != nil {
		data, err := json.Marshal(call.Patch)
		if err != nil {
			panic("broken invariant: a patch cannot be encoded: " + err.Error())
		}
		request.Patch = compression.Compress(data)
	} else {
		request.Bundle = compression.Compress(call.Configuration)
	}
	return request
}

// sendApply asks another daemon that may lead; told is where it says that the leader is.
func (d *Daemon) sendApply(ctx context.Context, address string, request *peerapi.ApplyRequest) (answer operatorapi.ApplyResponse, redirected string, outcome replica.Outcome) {
	until, _ := ctx.Deadline()
	bounded, cancel := d.whileLeader(ctx, address, time.Until(until))
	defer cancel()
	sent := &peerapi.ApplyRequest{Group: request.Group, BaseVersion: request.BaseVersion, Digest: request.Digest, Operator: request.Operator,
		Bundle: request.Bundle, Patch: request.Patch, TimeoutMs: time.Until(until).Milliseconds()}
	reply, err := d.links.Client(address).Apply(bounded, sent)
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
func (d *Daemon) Apply(ctx context.Context, in *peerapi.ApplyRequest) (*peerapi.SubmitReply, error) {
	if err := d.checkGroup(in.Group); err != nil {
		return nil, err
	}
	if !d.IsLeader() {
		return d.notLeaderReply(), nil
	}
	garbage := func() error {
		d.counters.malformedMessages.Add(1)
		return twirp.NewError(twirp.InvalidArgument, "this is no call to apply a bundle")
	}
	call := operatorapi.ApplyRequest{Base: ident.Revision(in.BaseVersion), Digest: in.Digest, Operator: in.Operator}
	if len(in.Patch) > 0 {
		data, err := compression.Decompress(in.Patch)
		call.Patch = &upstream.Patch{}
		if err != nil || json.Unmarshal(data, call.Patch) != nil {
			return nil, garbage()
		}
	} else {
		var err error
		if call.Configuration, err = compression.Decompress(in.Bundle); err != nil {
			return nil, garbage()
		}
	}
	if call.Digest == "" || len(call.Digest) > maxDigestBytes || in.TimeoutMs <= 0 {
		return nil, garbage()
	}
	bounded, cancel := context.WithTimeout(ctx, min(time.Duration(in.TimeoutMs)*time.Millisecond, d.applyLimit))
	defer cancel()
	answer, outcome := d.applyAsLeader(bounded, call)
	return d.submitReply(answer, outcome)
}

// applyAsLeader carries a call out as the leader. Whatever it answers but Unknown is proved by the state. An answer that
// says Unknown is final all the same: no other leader could prove more.
func (d *Daemon) applyAsLeader(ctx context.Context, call operatorapi.ApplyRequest) (operatorapi.ApplyResponse, replica.Outcome) {
	groupMember := d.replica.Load()
	if groupMember == nil || !groupMember.Status().IsLeader {
		return operatorapi.ApplyResponse{}, replica.NotLeader
	}
	if !d.config.DirectApply {
		return operatorapi.ApplyResponse{Outcome: operatorapi.Forbidden, Reason: "this fleet's bundles are reviewed and signed off; propose it instead"}, replica.Applied
	}
	var standing directapply.View
	if outcome := groupMember.Read(ctx, func(state *statemachine.State) { standing = directapply.ViewOf(state, call) }); outcome != replica.Applied {
		return operatorapi.ApplyResponse{}, outcome
	}
	decision, inTime := d.decideApply(ctx, call, standing)
	if !inTime {
		return operatorapi.ApplyResponse{}, replica.Unknown
	}
	answer := decision.Response
	if decision.Submit != nil {
		got := groupMember.Submit(ctx, *decision.Submit)
		if got.Outcome != replica.Applied {
			return operatorapi.ApplyResponse{}, got.Outcome
		}
		answer = directapply.ResponseTo(got.Result)
	}
	switch answer.Outcome {
	case operatorapi.Applied:
		d.awaitContacts(ctx, &answer)
	case operatorapi.Unknown:
		d.counters.appliesUnproven.Add(1)
	}
	return answer, replica.Applied
}

// decideApply works a call out, one at a time: each may hold some megabytes for some tenths of a second. It says
// false when the time ran out.
func (d *Daemon) decideApply(ctx context.Context, call operatorapi.ApplyRequest, standing directapply.View) (directapply.Decision, bool) {
	select {
	case d.applySlot <- struct{}{}:
	case <-ctx.Done():
		return directapply.Decision{}, false
	}
	defer func() { <-d.applySlot }()
	return standing.Decide(call), true
}

// awaitContacts waits a short time until a bundle that is committed is in force at the daemons in contact.
func (d *Daemon) awaitContacts(ctx context.Context, answer *operatorapi.ApplyResponse) {
	limit := d.applyReach
	if until, bounded := ctx.Deadline(); bounded {
		limit = min(limit, time.Until(until)-applyMargin)
	}
	// Only those in contact are waited for: one that is gone must not hold up what is committed.
	reach := d.members.AwaitRollout(ctx, answer.Version, 0, limit, func() []ident.NodeID { return nil })
	answer.Acknowledged, answer.InForceAt, answer.Missing = reach.Complete, reach.Applied, reach.Missing
}

// NewestBundle reads the newest committed bundle through whoever leads. What this daemon itself has in force
// may be older, so without the group's word there is no answer.
func (d *Daemon) NewestBundle(ctx context.Context) (operatorapi.Bundle, bool) {
	bounded, cancel := context.WithTimeout(ctx, d.applyLimit-applyMargin)
	defer cancel()
	var newest directapply.Latest
	data, known := d.Query(bounded, "bundle", "")
	if !known || json.Unmarshal(data, &newest) != nil {
		return operatorapi.Bundle{}, false
	}
	bundle, err := newest.Bundle()
	return bundle, err == nil
}

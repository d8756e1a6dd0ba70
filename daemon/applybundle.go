package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout/directapply"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// applyLimit bounds a call to apply a configuration: operators' tools take a daemon that is silent for a second
	// to be down.
	applyLimit = 850 * time.Millisecond
	// applyReach is how long an answer waits for the daemons in contact to put the configuration in force. The answer
	// rests on the commit by a majority alone, which nothing undoes; the wait only lets an operator who looks at the
	// fleet next see the same configuration everywhere. It is short, since one unresponsive daemon must not make the
	// operator repeat the call.
	applyReach = 600 * time.Millisecond
	// applyMargin is what is left of applyLimit for the answer to travel back.
	applyMargin = 60 * time.Millisecond
	// maxDigestBytes bounds the digest of a call that another daemon forwards.
	maxDigestBytes = 256
	// applyRetryEvery is how often the leader is looked for again.
	applyRetryEvery = 50 * time.Millisecond
)

// ApplyBundle forwards an operator's configuration to the leader until it is answered or applyLimit has passed. The
// call is idempotent, and may reach several leaders: the first one to be committed counts, and the others find it by
// its digest.
func (d *Daemon) ApplyBundle(ctx context.Context, call operatorapi.ApplyRequest) operatorapi.ApplyResponse {
	arrived := d.clock.Elapsed()
	answer := d.applyThroughLeader(ctx, call)
	d.logApply(call, answer, arrived)
	return answer
}

// applyThroughLeader is ApplyBundle without its log line.
func (d *Daemon) applyThroughLeader(ctx context.Context, call operatorapi.ApplyRequest) operatorapi.ApplyResponse {
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
				return withOwnFaults(answer, call)
			}
		}
		select {
		case <-bounded.Done():
			return operatorapi.ApplyResponse{
				Outcome: operatorapi.Unknown,
				Reason:  "the control group gave no answer in time; send the same call again",
			}
		case <-ticker.C:
		}
	}
}

// withOwnFaults names what this daemon found where the operator's bytes can't be read: the leader was sent nothing to read
// but the digest.
func withOwnFaults(answer operatorapi.ApplyResponse, call operatorapi.ApplyRequest) operatorapi.ApplyResponse {
	if answer.Outcome == operatorapi.Invalid && len(call.Faults) > 0 {
		answer.Faults = call.Faults
	}
	return answer
}

func (d *Daemon) applyRequest(call operatorapi.ApplyRequest) *peerapi.ApplyRequest {
	request := &peerapi.ApplyRequest{
		Group:       string(d.Group()),
		BaseVersion: uint64(call.Base),
		Digest:      call.Digest,
		Operator:    call.Operator,
	}
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

// sendApply forwards the call to a daemon that may lead; redirected is where that one says that the leader is.
func (d *Daemon) sendApply(ctx context.Context, address string, request *peerapi.ApplyRequest) (
	answer operatorapi.ApplyResponse, redirected string, outcome replica.Outcome,
) {
	until, _ := ctx.Deadline()
	bounded, cancel := d.whileLeader(ctx, address, time.Until(until))
	defer cancel()
	sent := &peerapi.ApplyRequest{
		Group:       request.Group,
		BaseVersion: request.BaseVersion,
		Digest:      request.Digest,
		Operator:    request.Operator,
		Bundle:      request.Bundle,
		Patch:       request.Patch,
		TimeoutMs:   time.Until(until).Milliseconds(),
	}
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

// Apply serves a forwarded call, if this daemon leads. It is part of the peer protocol.
func (d *Daemon) Apply(ctx context.Context, in *peerapi.ApplyRequest) (*peerapi.SubmitReply, error) {
	if err := d.checkGroup(in.Group); err != nil {
		return nil, err
	}
	if !d.IsLeader() {
		return d.notLeaderReply(), nil
	}
	garbage := func() error {
		d.counters.malformedMessages.Add(1)
		return twirp.NewError(twirp.InvalidArgument, "malformed request to apply a configuration")
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
	if len(call.Configuration) == 0 && call.Patch == nil {
		// The daemon that was called could not read what the operator sent, and names the faults itself.
		call.Faults = []document.Fault{{Reason: "there is nothing to read"}}
	}
	if call.Digest == "" || len(call.Digest) > maxDigestBytes || in.TimeoutMs <= 0 {
		return nil, garbage()
	}
	bounded, cancel := context.WithTimeout(ctx, min(time.Duration(in.TimeoutMs)*time.Millisecond, d.applyLimit))
	defer cancel()
	answer, outcome := d.applyAsLeader(bounded, call)
	return d.submitReply(answer, outcome)
}

// applyAsLeader carries a call out as the leader. Each answer but Unknown is proved by the replicated state. An
// Unknown that comes with the outcome Applied is final as well: no other leader could prove more.
func (d *Daemon) applyAsLeader(ctx context.Context, call operatorapi.ApplyRequest) (operatorapi.ApplyResponse, replica.Outcome) {
	groupMember := d.replica.Load()
	if groupMember == nil || !groupMember.Status().IsLeader {
		return operatorapi.ApplyResponse{}, replica.NotLeader
	}
	if !d.config.DirectApply {
		return operatorapi.ApplyResponse{
			Outcome: operatorapi.Forbidden,
			Reason:  "this fleet's bundles are reviewed and signed off; propose it instead",
		}, replica.Applied
	}
	var standing directapply.View
	if outcome := groupMember.Read(ctx, func(state *statemachine.State) { standing = directapply.ViewOf(state, call) }); outcome != replica.Applied {
		return operatorapi.ApplyResponse{}, outcome
	}
	standing.Upgrade = d.sectionUpgrade
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

// decideApply works out what a call asks for. One call is worked out at a time, since each may take some megabytes
// for some tenths of a second. It returns false if ctx ended first.
func (d *Daemon) decideApply(ctx context.Context, call operatorapi.ApplyRequest, standing directapply.View) (directapply.Decision, bool) {
	select {
	case d.applySlot <- struct{}{}:
	case <-ctx.Done():
		return directapply.Decision{}, false
	}
	defer func() { <-d.applySlot }()
	return standing.Decide(call), true
}

// awaitContacts waits a short time until a committed configuration is in force at the daemons in contact.
func (d *Daemon) awaitContacts(ctx context.Context, answer *operatorapi.ApplyResponse) {
	limit := d.applyReach
	if until, bounded := ctx.Deadline(); bounded {
		limit = min(limit, time.Until(until)-applyMargin)
	}
	// Daemons out of contact are not waited for: what is committed must not wait for a machine that is down.
	reach := d.members.AwaitRollout(ctx, answer.Version, 0, limit, func() []ident.NodeID { return nil })
	answer.Acknowledged, answer.InForceAt, answer.Missing = reach.Complete, reach.Applied, reach.Missing
}

// NewestBundle reads the newest committed configuration from the leader. This daemon may have an older one in force,
// so it returns false where the group doesn't answer in time.
func (d *Daemon) NewestBundle(ctx context.Context) (operatorapi.Bundle, bool) {
	bounded, cancel := context.WithTimeout(ctx, d.applyLimit-applyMargin)
	defer cancel()
	var newest directapply.Latest
	reading, err := d.Query(bounded, "bundle", "")
	if err != nil || json.Unmarshal(reading.Data, &newest) != nil {
		return operatorapi.Bundle{}, false
	}
	bundle, err := newest.Bundle()
	return bundle, err == nil
}

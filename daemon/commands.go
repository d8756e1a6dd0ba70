package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// lostAfter is how long a daemon must have been out of contact before an operator may declare it lost.
const lostAfter = 10 * time.Second

// submitLimit is how long a leader's answer is waited for. Commands are idempotent, so one that may have gone to a
// partitioned leader is better sent again soon.
const submitLimit = 1200 * time.Millisecond

// reachLimit is how long an acknowledgement waits for a change to be in force at the daemons that may be serving.
const reachLimit = 1800 * time.Millisecond

// forwardableOps lists the commands that another daemon may forward to the leader.
var forwardableOps = map[statemachine.Op]bool{
	statemachine.OpAcquire:        true,
	statemachine.OpRenew:          true,
	statemachine.OpRelease:        true,
	statemachine.OpPropose:        true,
	statemachine.OpReview:         true,
	statemachine.OpSignOff:        true,
	statemachine.OpRollOut:        true,
	statemachine.OpClosure:        true,
	statemachine.OpProtect:        true,
	statemachine.OpRegister:       true,
	statemachine.OpDeclareLost:    true,
	statemachine.OpAcquirePlanner: true,
	statemachine.OpReleasePlanner: true,
	statemachine.OpEngineDeparted: true,
}

// Command submits an operator's command to the leader. It fails with ErrNoAnswer when ctx ends, and with ErrNoContact
// once this daemon turns out to be cut off from a majority of the control group.
func (d *Daemon) Command(ctx context.Context, command statemachine.Command) (rollout.Response, error) {
	bounded, cancel := d.whileInContact(ctx)
	defer cancel()
	answer, err := d.submitCall(bounded, command)
	if err == nil && answer.Outcome == statemachine.Unproven {
		// Nothing was changed. The group's time that is known here may have been that of the oldest call remembered, as it
		// is at rest right after the group began to remember calls; the command itself has moved it on.
		answer, err = d.submitCall(bounded, command)
	}
	return answer, err
}

// submitCall submits an operator's command with the group's time of its arrival, if it bears a call's id.
func (d *Daemon) submitCall(ctx context.Context, command statemachine.Command) (rollout.Response, error) {
	if command.CallID != "" {
		calledAt, err := d.groupTime(ctx)
		if err != nil {
			return rollout.Response{}, err
		}
		command.CalledAt = calledAt
	}
	answer, ok := d.submit(ctx, command)
	if !ok {
		return rollout.Response{}, outcomeUnknown(ctx)
	}
	return answer, nil
}

// submit submits a command to the leader over and over until it is answered or ctx ends. All commands are idempotent:
// a repeated one finds what it did before.
func (d *Daemon) submit(ctx context.Context, command statemachine.Command) (rollout.Response, bool) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		if answer, ok := d.submitOnce(ctx, command); ok {
			return answer, true
		}
		select {
		case <-ctx.Done():
			return rollout.Response{}, false
		case <-ticker.C:
		}
	}
}

// submitOnce submits a command to the leader, following one redirect.
func (d *Daemon) submitOnce(ctx context.Context, command statemachine.Command) (rollout.Response, bool) {
	if answer, outcome := d.submitAsLeader(ctx, command); outcome != replica.NotLeader {
		return answer, outcome == replica.Applied
	}
	data, err := json.Marshal(command)
	if err != nil {
		panic("broken invariant: a command cannot be encoded: " + err.Error())
	}
	address := d.leaderAddress()
	for range 2 {
		if address == "" || address == d.config.AdvertisedPeerAddress() {
			return rollout.Response{}, false
		}
		limit := submitLimit
		if command.Op.Propagates() {
			// The leader answers these once they are in force everywhere, or once it has waited long enough for that.
			limit += reachLimit
		}
		bounded, cancel := d.whileLeader(ctx, address, limit)
		reply, err := d.links.Client(address).Submit(bounded, &peerapi.SubmitRequest{
			Group:   string(d.Group()),
			Command: data,
		})
		cancel()
		if err != nil {
			return rollout.Response{}, false
		}
		if reply.Outcome == string(replica.NotLeader) {
			address = reply.LeaderAddress
			continue
		}
		var answer rollout.Response
		if json.Unmarshal(reply.Result, &answer) != nil {
			return rollout.Response{}, false
		}
		return answer, reply.Outcome == string(replica.Applied)
	}
	return rollout.Response{}, false
}

// Submit serves a forwarded command, if this daemon leads. It is part of the peer protocol.
func (d *Daemon) Submit(ctx context.Context, in *peerapi.SubmitRequest) (*peerapi.SubmitReply, error) {
	if err := d.checkGroup(in.Group); err != nil {
		return nil, err
	}
	var command statemachine.Command
	if err := json.Unmarshal(in.Command, &command); err != nil || !forwardableOps[command.Op] {
		d.counters.malformedMessages.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "malformed command")
	}
	answer, outcome := d.submitAsLeader(ctx, command)
	return d.submitReply(answer, outcome)
}

// submitReply encodes what the leader answered, or who leads.
func (d *Daemon) submitReply(answer any, outcome replica.Outcome) (*peerapi.SubmitReply, error) {
	if outcome == replica.NotLeader {
		return d.notLeaderReply(), nil
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerapi.SubmitReply{Outcome: string(outcome), Result: data}, nil
}

// submitAsLeader carries a command out as the leader, and waits until the changes that have to be in force everywhere
// are.
func (d *Daemon) submitAsLeader(ctx context.Context, command statemachine.Command) (rollout.Response, replica.Outcome) {
	groupMember := d.replica.Load()
	if groupMember == nil || !groupMember.Status().IsLeader {
		return rollout.Response{}, replica.NotLeader
	}
	if command.Op == statemachine.OpPropose {
		// A configuration with faults never gets into the log.
		parsed, faults := document.Parse(command.Configuration)
		if len(faults) > 0 {
			return rollout.Response{
				Result: statemachine.Result{Outcome: statemachine.Malformed, Reason: "the bundle has faults"},
				Faults: faults,
			}, replica.Applied
		}
		if parsed.Forward != nil {
			command.Revision = ident.Revision(parsed.Forward.Revision)
		}
	}
	if _, refused := d.refusal(command); refused {
		return d.refuseAsLeader(ctx, groupMember, command)
	}
	began := d.clock.Elapsed()
	got := groupMember.Submit(ctx, command)
	answer := rollout.Response{Result: got.Result}
	if command.Op == statemachine.OpEngineDeparted && got.Outcome == replica.Applied {
		d.awaitDepartureKnown(ctx, command.Engine)
		return answer, got.Outcome
	}
	if got.Outcome != replica.Applied || got.Result.Outcome != statemachine.Done {
		return answer, got.Outcome
	}
	var configurationVersion, closureVersion ident.Version
	switch command.Op {
	case statemachine.OpRollOut:
		configurationVersion = got.Result.Proposal.Version
	case statemachine.OpClosure, statemachine.OpProtect, statemachine.OpDeclareLost:
		closureVersion = got.Result.Closures.Version
	default:
		return answer, got.Outcome
	}
	// Acknowledged means that a change is on a majority's disks and in force at every daemon that may be serving.
	reach := d.members.AwaitRollout(ctx, configurationVersion, closureVersion, reachLimit-d.clock.Elapsed().Since(began),
		func() []ident.NodeID { return groupMember.Status().ServingDaemons })
	answer.InForceAt, answer.Missing, answer.Acknowledged = reach.Applied, reach.Missing, reach.Complete
	return answer, got.Outcome
}

// refusal returns why a command is rejected by what this daemon knows beside the log, if it is.
func (d *Daemon) refusal(command statemachine.Command) (rollout.Response, bool) {
	refuse := func(outcome statemachine.Outcome, reason string) (rollout.Response, bool) {
		return rollout.Response{Result: statemachine.Result{Outcome: outcome, Reason: reason}}, true
	}
	switch table := d.rollout.Table(); {
	case command.Op == statemachine.OpClosure && command.Closed && table != nil:
		// A name that is not in the configuration is a typing error, and closing it would close nothing. Engines that
		// register themselves are in no configuration, and one for them need not name zones.
		_, engineKnown := table.Engine(command.Engine)
		engineKnown = engineKnown || table.Forward != nil
		zoneKnown := table.HasZone(command.Zone) || table.Forward != nil && len(table.Configuration.Zones) == 0
		if command.Engine != "" && !engineKnown || command.Zone != "" && !zoneKnown {
			return refuse(statemachine.Missing, "the bundle in force has no such zone or engine")
		}
	case command.Op == statemachine.OpDeclareLost:
		peer, known := d.members.View().Members[command.LostDaemon]
		if !known {
			break
		}
		// A daemon in contact is not lost: it can be stopped as planned, and needn't be declared lost then.
		if ago := d.clock.Elapsed().Since(peer.LastContact); ago < lostAfter {
			return refuse(statemachine.Conflict, fmt.Sprintf("%s was heard %d ms ago; stop it instead", command.LostDaemon, ago.Milliseconds()))
		}
	}
	return rollout.Response{}, false
}

// refuseAsLeader rejects a command for good if a majority confirms that this daemon leads, and if what it has in
// force is not older than what is committed. Otherwise the outcome is unknown: a newer leader may accept the command.
func (d *Daemon) refuseAsLeader(ctx context.Context, groupMember *replica.Replica, command statemachine.Command) (rollout.Response, replica.Outcome) {
	var committed ident.Version
	if outcome := groupMember.Read(ctx, func(state *statemachine.State) { committed = state.Version() }); outcome != replica.Applied {
		return rollout.Response{}, outcome
	}
	answer, refused := d.refusal(command)
	if inForce, _ := d.InForce(); !refused || inForce < committed {
		return rollout.Response{}, replica.Unknown
	}
	return answer, replica.Applied
}

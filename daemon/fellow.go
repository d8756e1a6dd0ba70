package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/cluster/raftcodec"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/process/rollout/directapply"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// lostAfter is how long a daemon must have been silent before it may be declared lost.
const lostAfter = 10 * time.Second

// submitLimit is how long a leader's answer is waited for; a command that is sent again finds itself, so one
// that may have gone to a leader who is cut off is better sent again soon.
const submitLimit = 1200 * time.Millisecond

// readLimit is how long a leader's answer to a read is waited for.
const readLimit = 700 * time.Millisecond

// whileLeader bounds a question to the leader by a time, and by another being known to lead.
func (d *Daemon) whileLeader(ctx context.Context, address string, limit time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	go func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-bounded.Done():
				return
			case <-ticker.C:
				if leader := d.leaderAddress(); leader != "" && leader != address {
					cancel()
				}
			}
		}
	}()
	return bounded, cancel
}

// reachLimit is how long an acknowledgement waits for daemons in contact.
const reachLimit = 1800 * time.Millisecond

// ours says whether a message is of this daemon's group; one that names none is from a fresh daemon.
func (d *Daemon) ours(group string) error {
	known := d.Group()
	if ident.GroupID(group).Succeeds(known) {
		// The group was recovered after its majority was lost: this is its next generation.
		d.learnGroup(ident.GroupID(group))
		return nil
	}
	if group != "" && known != "" && group != string(known) {
		d.counters.foreignGroup.Add(1)
		return twirp.NewError(twirp.FailedPrecondition, "this daemon belongs to another group")
	}
	return nil
}

// Raft takes raft messages.
func (d *Daemon) Raft(_ context.Context, in *peerapi.RaftBatch) (*peerapi.Empty, error) {
	messages, sound := raftcodec.Decode(in.Messages)
	if !sound || in.Group == "" {
		d.counters.garbage.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "these are no raft messages")
	}
	if err := d.ours(in.Group); err != nil {
		return nil, err
	}
	if !d.config.Serves(daemonconfig.Control) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this daemon does not serve control")
	}
	held := d.replica.Load()
	if held == nil {
		folder := d.held()
		for _, message := range messages {
			// Only a group that was told this folder's identity can name it.
			if folder != nil && message.To == folder.Member {
				select {
				case d.adopted <- ident.GroupID(in.Group):
				default:
				}
				break
			}
		}
		return &peerapi.Empty{}, nil
	}
	held.Receive(ident.GroupID(in.Group), in.Address, messages)
	return &peerapi.Empty{}, nil
}

func (d *Daemon) identity() *peerapi.Identity {
	out := &peerapi.Identity{NodeId: string(d.nodeID), Group: string(d.Group()), ServesControl: d.config.Serves(daemonconfig.Control), JoinOnly: d.config.JoinOnly}
	if folder := d.held(); folder != nil {
		out.MemberId = uint64(folder.Member)
		if remembered, err := folder.Group(); err == nil && remembered != "" {
			out.Group = string(remembered)
		}
	}
	if t := d.keeper.Table(); t != nil {
		out.ConfigurationVersion, out.ClosureVersion = uint64(t.Epoch), uint64(t.Closures.Epoch)
	}
	out.LeaderMsAgo = -1
	if heard := d.members.View().HeardLeader; heard > 0 {
		out.LeaderMsAgo = d.clock.Elapsed().Since(heard).Milliseconds()
	}
	out.LeaseUntilMs = int64(d.generator.Ceiling())
	if d.config.Serves(daemonconfig.Place) {
		out.Claim = uint64(max(d.placer.Condition().Claim, d.pools.condition().Claim))
	}
	return out
}

// Identify says who this is.
func (d *Daemon) Identify(context.Context, *peerapi.Empty) (*peerapi.Identity, error) {
	return d.identity(), nil
}

// Recall gives back a bundle that was in force here.
func (d *Daemon) Recall(_ context.Context, in *peerapi.RecallRequest) (*peerapi.RecallReply, error) {
	raw, _ := d.keeper.Recall(ident.Epoch(in.Version))
	out := &peerapi.RecallReply{Configuration: raw}
	if t := d.keeper.Table(); t != nil {
		out.Closures = rollout.EncodeClosures(t.Closures)
	}
	return out, nil
}

// Join takes a new data folder into the group, if this daemon leads.
func (d *Daemon) Join(ctx context.Context, in *peerapi.JoinRequest) (*peerapi.SubmitReply, error) {
	if err := d.ours(in.Group); err != nil {
		return nil, err
	}
	held := d.replica.Load()
	if held == nil || !held.Condition().Leads {
		return d.redirect(), nil
	}
	if in.MemberId == 0 || in.Name == "" || in.Address == "" || in.Group == "" {
		return nil, twirp.NewError(twirp.InvalidArgument, "a member needs an identity, a name and an address")
	}
	if in.Leaving {
		if held.Leave(ctx, raft.MemberID(in.MemberId)) {
			return &peerapi.SubmitReply{Outcome: string(replica.Applied)}, nil
		}
		// It was heard, and is not to end yet.
		return &peerapi.SubmitReply{Outcome: string(replica.Unknown)}, nil
	}
	held.Join(raft.Member{ID: raft.MemberID(in.MemberId), Name: in.Name, Address: in.Address})
	return &peerapi.SubmitReply{Outcome: string(replica.Applied)}, nil
}

func (d *Daemon) redirect() *peerapi.SubmitReply {
	return &peerapi.SubmitReply{Outcome: string(replica.NotLeader), LeaderAddress: d.leaderAddress()}
}

// leaderAddress is where the leader is, as far as this daemon knows.
func (d *Daemon) leaderAddress() string {
	address, _ := d.leaderAndTerm()
	return address
}

// leaderAndTerm is where the leader is and in which term it leads, as far as this daemon knows.
func (d *Daemon) leaderAndTerm() (string, uint64) {
	if held := d.replica.Load(); held != nil {
		if condition := held.Condition(); condition.Leader.Address != "" {
			return condition.Leader.Address, uint64(condition.Term)
		}
	}
	view := d.members.View()
	return view.LeaderAddress, view.LeaderTerm
}

// Leads says whether this daemon leads the group.
func (d *Daemon) Leads() bool {
	held := d.replica.Load()
	return held != nil && held.Condition().Leads
}

// FirstRollAgo is, where this daemon leads, how long any bundle has been in force: negative while none
// was, and zero where this daemon can't tell.
func (d *Daemon) FirstRollAgo() time.Duration {
	held := d.replica.Load()
	if held == nil {
		return 0
	}
	condition := held.Condition()
	// A recovered group may have lost its first bundles, so it can't tell when the first came.
	if !condition.Leads || condition.Group.Recovered() {
		return 0
	}
	return condition.FirstRollAgo
}

// Plans says whether this daemon plans.
func (d *Daemon) Plans() bool {
	return d.config.Serves(daemonconfig.Place) && (d.placer.Condition().Held || d.pools.condition().Held)
}

// ops lists the commands that may come from outside the leader.
var ops = map[statemachine.Op]bool{
	statemachine.OpAcquire: true, statemachine.OpRenew: true, statemachine.OpRelease: true,
	statemachine.OpPropose: true, statemachine.OpReview: true, statemachine.OpSign: true, statemachine.OpRoll: true,
	statemachine.OpClosure: true, statemachine.OpKeep: true, statemachine.OpEnlist: true, statemachine.OpLost: true, statemachine.OpClaim: true, statemachine.OpDropClaim: true,
	statemachine.OpLeave: true,
}

// Submit takes a command, if this daemon leads.
func (d *Daemon) Submit(ctx context.Context, in *peerapi.SubmitRequest) (*peerapi.SubmitReply, error) {
	if err := d.ours(in.Group); err != nil {
		return nil, err
	}
	var command statemachine.Command
	if err := json.Unmarshal(in.Command, &command); err != nil || !ops[command.Op] {
		d.counters.garbage.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "this is no command")
	}
	answer, outcome := d.lead(ctx, command)
	return d.submitReply(answer, outcome)
}

// submitReply tells another daemon what the leader answered, or who leads.
func (d *Daemon) submitReply(answer any, outcome replica.Outcome) (*peerapi.SubmitReply, error) {
	if outcome == replica.NotLeader {
		return d.redirect(), nil
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerapi.SubmitReply{Outcome: string(outcome), Result: data}, nil
}

// lead carries a command out as the leader.
func (d *Daemon) lead(ctx context.Context, command statemachine.Command) (operatorapi.Answer, replica.Outcome) {
	held := d.replica.Load()
	if held == nil || !held.Condition().Leads {
		return operatorapi.Answer{}, replica.NotLeader
	}
	if command.Op == statemachine.OpPropose {
		// A bundle with faults never gets into the log.
		parsed, faults := document.Parse(command.Spec)
		if len(faults) > 0 {
			return operatorapi.Answer{Result: statemachine.Result{Verdict: statemachine.Malformed, Reason: "the bundle has faults"}, Faults: faults}, replica.Applied
		}
		if parsed.Forward != nil {
			command.Revision = ident.Revision(parsed.Forward.Revision)
		}
	}
	if _, refused := d.refusal(command); refused {
		return d.refuseAsLeader(ctx, held, command)
	}
	began := d.clock.Elapsed()
	got := held.Submit(ctx, command)
	answer := operatorapi.Answer{Result: got.Result}
	if command.Op == statemachine.OpLeave && got.Outcome == replica.Applied {
		d.awaitLeave(ctx, command.Engine)
		return answer, got.Outcome
	}
	if got.Outcome != replica.Applied || got.Result.Verdict != statemachine.Done {
		return answer, got.Outcome
	}
	var specEpoch, closureEpoch ident.Epoch
	switch command.Op {
	case statemachine.OpRoll:
		specEpoch = got.Result.Proposal.Epoch
	case statemachine.OpClosure, statemachine.OpKeep, statemachine.OpLost:
		closureEpoch = got.Result.Closures.Epoch
	default:
		return answer, got.Outcome
	}
	// Acknowledged means: on a majority's disks, and in force at every daemon that may be serving.
	reach := d.members.AwaitReach(ctx, specEpoch, closureEpoch, reachLimit-d.clock.Elapsed().Since(began),
		func() []ident.NodeID { return held.Condition().Serving })
	answer.InForceAt, answer.Missing, answer.Acknowledged = reach.Have, reach.Lack, reach.All
	return answer, got.Outcome
}

// refusal says why a command is refused by what this daemon knows beside the log, if it is.
func (d *Daemon) refusal(command statemachine.Command) (operatorapi.Answer, bool) {
	refuse := func(verdict statemachine.Verdict, reason string) (operatorapi.Answer, bool) {
		return operatorapi.Answer{Result: statemachine.Result{Verdict: verdict, Reason: reason}}, true
	}
	switch t := d.keeper.Table(); {
	case command.Op == statemachine.OpClosure && command.Closed && t != nil:
		// A name that the bundle does not know is a slip: called closed, it would shut nothing. Engines that
		// register themselves stand in no bundle, and a bundle on them need not name zones.
		_, engineKnown := t.Engine(command.Engine)
		engineKnown = engineKnown || t.Forward != nil
		zoneKnown := t.HasZone(command.Zone) || t.Forward != nil && len(t.Spec.Zones) == 0
		if command.Engine != "" && !engineKnown || command.Zone != "" && !zoneKnown {
			return refuse(statemachine.Missing, "the bundle in force has no such zone or engine")
		}
	case command.Op == statemachine.OpLost:
		fellow, known := d.members.View().Fellows[command.Lost]
		if !known {
			break
		}
		// One that speaks is not lost: it can be stopped as planned, and then needs no such word.
		if ago := d.clock.Elapsed().Since(fellow.Heard); ago < lostAfter {
			return refuse(statemachine.Conflict, fmt.Sprintf("%s was heard %d ms ago; stop it instead", command.Lost, ago.Milliseconds()))
		}
	}
	return operatorapi.Answer{}, false
}

// refuseAsLeader refuses a command for good, if a majority confirms that this daemon leads and what it knows is not
// older than what is committed. Otherwise nothing is said: whoever leads by now may take the command.
func (d *Daemon) refuseAsLeader(ctx context.Context, held *replica.Replica, command statemachine.Command) (operatorapi.Answer, replica.Outcome) {
	var committed ident.Epoch
	if outcome := held.Read(ctx, func(state *statemachine.State) { committed = state.Epoch() }); outcome != replica.Applied {
		return operatorapi.Answer{}, outcome
	}
	answer, refused := d.refusal(command)
	if inForce, _ := d.InForce(); !refused || inForce < committed {
		return operatorapi.Answer{}, replica.Unknown
	}
	return answer, replica.Applied
}

// submitOnce brings a command to the leader, following one redirect.
func (d *Daemon) submitOnce(ctx context.Context, command statemachine.Command) (operatorapi.Answer, bool) {
	if answer, outcome := d.lead(ctx, command); outcome != replica.NotLeader {
		return answer, outcome == replica.Applied
	}
	data, err := json.Marshal(command)
	if err != nil {
		panic("broken invariant: a command cannot be encoded: " + err.Error())
	}
	address := d.leaderAddress()
	for range 2 {
		if address == "" || address == d.config.ReachedAt() {
			return operatorapi.Answer{}, false
		}
		limit := submitLimit
		if command.Op.Spreads() {
			// The leader answers these when they are everywhere, or when it has waited long enough for that.
			limit += reachLimit
		}
		bounded, cancel := d.whileLeader(ctx, address, limit)
		reply, err := d.links.To(address).Submit(bounded, &peerapi.SubmitRequest{Group: string(d.Group()), Command: data})
		cancel()
		if err != nil {
			return operatorapi.Answer{}, false
		}
		if reply.Outcome == string(replica.NotLeader) {
			address = reply.LeaderAddress
			continue
		}
		var answer operatorapi.Answer
		if json.Unmarshal(reply.Result, &answer) != nil {
			return operatorapi.Answer{}, false
		}
		return answer, reply.Outcome == string(replica.Applied)
	}
	return operatorapi.Answer{}, false
}

// submit brings a command to the leader, again and again until ctx ends. All commands may be sent
// again: each finds what it did before.
func (d *Daemon) submit(ctx context.Context, command statemachine.Command) (operatorapi.Answer, bool) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		if answer, ok := d.submitOnce(ctx, command); ok {
			return answer, true
		}
		select {
		case <-ctx.Done():
			return operatorapi.Answer{}, false
		case <-ticker.C:
		}
	}
}

// Read answers a linearizable read, if this daemon leads.
func (d *Daemon) Read(ctx context.Context, in *peerapi.ReadRequest) (*peerapi.ReadReply, error) {
	if err := d.ours(in.Group); err != nil {
		return nil, err
	}
	if in.What == nodesRead {
		return d.readNodes(ctx, in.Key), nil
	}
	result, outcome := d.look(ctx, in.What, in.Key)
	return &peerapi.ReadReply{Outcome: string(outcome), Result: result, LeaderAddress: d.leaderAddress()}, nil
}

// look reads part of the state at a linearizable point; a result of nothing means that it isn't there.
func (d *Daemon) look(ctx context.Context, what, key string) ([]byte, replica.Outcome) {
	held := d.replica.Load()
	if held == nil || !held.Condition().Leads {
		return nil, replica.NotLeader
	}
	var result []byte
	outcome := held.Read(ctx, func(state *statemachine.State) { result = lookUp(state, what, key) })
	if what == "trace" && outcome == replica.Applied {
		result = d.trace(key, result)
	}
	return result, outcome
}

// newest is what a trace needs of the state.
type newest struct {
	Spec    uint64         `json:"spec"`
	Closure uint64         `json:"closure"`
	Serving []ident.NodeID `json:"serving"`
}

func lookUp(state *statemachine.State, what, key string) []byte {
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		if err != nil {
			panic("broken invariant: the state cannot be encoded: " + err.Error())
		}
		return data
	}
	switch what {
	case "spec":
		epoch, err := strconv.ParseUint(key, 10, 64)
		if err != nil {
			return nil
		}
		if epoch == 0 {
			epoch = uint64(state.Epoch())
		}
		if found, ok := state.At(ident.Epoch(epoch)); ok {
			return encode(found)
		}
	case "history":
		list := []statemachine.Proposal{}
		for epoch := ident.Epoch(1); epoch <= state.Epoch(); epoch++ {
			// Of bundles that were applied in one step only so many are known.
			if found, ok := state.At(epoch); ok {
				brief := *found
				brief.Spec = nil
				list = append(list, brief)
			}
		}
		return encode(list)
	case "proposal":
		if found := state.Proposals[key]; found != nil {
			return encode(found)
		}
	case "bundle":
		return encode(directapply.NewestOf(state))
	case "closures":
		return encode(state.Closures)
	case "trace":
		return encode(newest{Spec: uint64(state.Epoch()), Closure: uint64(state.Closures.Epoch), Serving: state.ServingNow()})
	}
	return nil
}

// Look reads part of the state through whoever leads.
func (d *Daemon) Look(ctx context.Context, what, key string) ([]byte, bool) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		result, outcome := d.look(ctx, what, key)
		if outcome == replica.Applied {
			return result, true
		}
		if address := d.leaderAddress(); address != "" && address != d.config.ReachedAt() {
			bounded, cancel := d.whileLeader(ctx, address, readLimit)
			reply, err := d.links.To(address).Read(bounded, &peerapi.ReadRequest{Group: string(d.Group()), What: what, Key: key})
			cancel()
			if err == nil && reply.Outcome == string(replica.Applied) {
				return reply.Result, true
			}
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-ticker.C:
		}
	}
}

// InForce is what this daemon has in force.
func (d *Daemon) InForce() (spec, closure ident.Epoch) {
	if t := d.keeper.Table(); t != nil {
		return t.Epoch, t.Closures.Epoch
	}
	return 0, 0
}

// Describe is this daemon's own row, as told in each pull.
func (d *Daemon) Describe() *peerapi.PullRequest {
	request := &peerapi.PullRequest{
		Group: string(d.Group()), NodeId: string(d.nodeID), Address: d.config.ReachedAt(), Zone: string(d.config.Zone), Roles: d.serve(),
		Ready: !d.draining.Load(), AcceptsCompressed: true,
	}
	spec, closure := d.InForce()
	request.ConfigurationVersion, request.ClosureVersion = uint64(spec), uint64(closure)
	for _, step := range d.keeper.Steps() {
		request.Steps = append(request.Steps, &peerapi.RolloutStep{Change: step.Change, Step: step.Step, UnixMs: step.At.UnixMilli()})
	}
	request.Draining = d.drainingEngines()
	return request
}

// Wants adds what this daemon holds and asks for, for whoever plans; it says whether anything waits. Where only
// what waits is worth a question, nothing is added if nothing does.
func (d *Daemon) Wants(request *peerapi.PullRequest, onlyWaiting bool) (waits bool) {
	if !d.config.Serves(daemonconfig.Route) {
		return false
	}
	var all []*peerapi.Demand
	var seated []*peerapi.EngineSessions
	snapshot := d.dispatch.Snapshot()
	for _, demand := range snapshot.Demands {
		all = append(all, &peerapi.Demand{Model: demand.Model, Adapter: demand.Adapter, Value: demand.Worth, Queued: int64(demand.Queued), Running: int64(demand.Running)})
	}
	all = append(all, d.forwardDemands()...)
	for _, seat := range snapshot.Seats {
		seated = append(seated, &peerapi.EngineSessions{Engine: string(seat.Engine), Model: seat.Model, Adapter: seat.Adapter, Sessions: int64(seat.Sessions)})
	}
	waits = slices.ContainsFunc(all, func(demand *peerapi.Demand) bool { return demand.Queued > 0 })
	if onlyWaiting && !waits {
		return false
	}
	message := d.wants.Next(d.clock.Elapsed(), request.PlannerAddress, all, seated)
	request.DemandVersion, request.DemandBaseVersion, request.Demand, request.Sessions = message.Seq, message.Base, message.Demand, message.Seats
	for _, one := range d.forwardOutcomes() {
		request.Outcomes = append(request.Outcomes, &peerapi.EngineOutcomes{Engine: string(one.Engine), Attempts: int64(one.Attempts), Failures: int64(one.Failures),
			Refusals: int64(one.Refusals), Overdue: int64(one.Overdue)})
	}
	if !onlyWaiting {
		request.Nodes = d.nodes.tell()
	}
	return waits
}

func (d *Daemon) drainingEngines() []*peerapi.DrainingEngine {
	var out []*peerapi.DrainingEngine
	now := d.clock.Elapsed()
	for id, engine := range d.watcher.View().Engines {
		if engine.Draining {
			out = append(out, &peerapi.DrainingEngine{Engine: string(id), Address: engine.Address, KnownMsAgo: now.Since(engine.DrainKnown).Milliseconds()})
		}
	}
	return out
}

// Pull serves a peer's question; what is asked with every_ms may be held back until something is new.
func (d *Daemon) Pull(ctx context.Context, in *peerapi.PullRequest) (*peerapi.PullReply, error) {
	// One that still follows the lost generation of a recovered group is served, and so learns of this one.
	if !d.Group().Succeeds(ident.GroupID(in.Group)) {
		if err := d.ours(in.Group); err != nil {
			return nil, err
		}
	}
	if in.NodeId == "" || in.Address == "" {
		d.counters.garbage.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "a pull says who asks")
	}
	arrived := d.clock.Elapsed()
	rowKnown := d.members.Served(in)
	wantsLost := !d.hearWants(in)
	d.nodes.hear(in)
	d.hearOutcomes(in)
	d.registry.Saw(ident.NodeID(in.NodeId), cursorOf(in))
	d.hearDraining(in.Draining)
	if !wantsLost {
		d.holdBack(ctx, in)
	}
	leader, term := d.leaderAndTerm()
	// The confirmation is read before what it vouches for, which can only be newer.
	confirmation := membership.ConfirmationOf(d.confirmed(), arrived)
	reply := &peerapi.PullReply{Confirmation: confirmation, Group: string(d.Group()), NodeId: string(d.nodeID), LeaderAddress: leader, LeaderTerm: term, IsLeader: d.Leads(), FirstRolloutMsAgo: d.FirstRollAgo().Milliseconds(),
		KnownAttributesVersion: rowKnown, DemandBaseUnknown: wantsLost, IsPlanner: d.Plans(), PlannerAddress: d.members.View().PlannerAddress}
	if t := d.keeper.Table(); t != nil {
		reply.ConfigurationVersion, reply.ClosureVersion = uint64(t.Epoch), uint64(t.Closures.Epoch)
		if d.tellsBundle(t.Epoch, in) {
			reply.Configuration = t.Raw
			if t.Bundle.Packed && in.AcceptsCompressed {
				reply.Configuration, reply.ConfigurationCompressed = t.Bundle.Data, true
			}
		}
		if in.ClosureVersion < uint64(t.Closures.Epoch) {
			reply.Closures = rollout.EncodeClosures(t.Closures)
		}
	}
	if membership.WantsMembers(in) {
		reply.MemberAddresses = d.memberAddresses()
	}
	d.members.Tell(in, reply)
	reply.Draining, reply.DrainingVersion = d.drainingEngines(), d.toldNews.draining.Load()
	d.tellRegistry(in, reply)
	d.tellLacks(in, reply)
	return reply, nil
}

func (d *Daemon) hearDraining(leaving []*peerapi.DrainingEngine) {
	for _, engine := range leaving {
		d.watcher.HeardDraining(ident.EngineID(engine.Engine), engine.Address, time.Duration(engine.KnownMsAgo)*time.Millisecond)
	}
}

// Learn takes over what a reply brought.
func (d *Daemon) Learn(reply *peerapi.PullReply) {
	if !d.learnGroup(ident.GroupID(reply.Group)) {
		// What another group confirmed proves nothing here.
		reply.Confirmation = &peerapi.Confirmation{}
		return
	}
	if len(reply.Configuration) > 0 || len(reply.Closures) > 0 {
		d.keeper.Offer(ident.Epoch(reply.ConfigurationVersion), compression.Bundle{Data: reply.Configuration, Packed: reply.ConfigurationCompressed}, rollout.DecodeClosures(reply.Closures))
	}
	d.hearDraining(reply.Draining)
	d.heardNews.draining.Store(reply.DrainingVersion)
	d.learnLacks(reply)
}

// Seat answers for the sessions whose home this daemon is.
func (d *Daemon) Seat(_ context.Context, in *peerapi.SeatRequest) (*peerapi.SeatReply, error) {
	if in.Session == "" {
		return nil, twirp.NewError(twirp.InvalidArgument, "a seat belongs to a session")
	}
	if in.Ended {
		d.home.End(in.Session)
		return &peerapi.SeatReply{}, nil
	}
	if in.Engine == "" {
		// Only asked for: nothing is claimed, nor does it count as used.
		engine, used, found := d.home.Find(d.clock.Elapsed(), d.seatIdle(), in.Session)
		return &peerapi.SeatReply{Engine: string(engine), Found: found, UsedMsAgo: used.Milliseconds()}, nil
	}
	engine, found, fresh := d.home.Claim(d.clock.Elapsed(), d.seatIdle(), in.Session, ident.EngineID(in.Engine), ident.EngineID(in.Replaces))
	return &peerapi.SeatReply{Engine: string(engine), Found: found, Fresh: fresh}, nil
}

func (d *Daemon) seatIdle() time.Duration {
	if t := d.keeper.Table(); t != nil {
		return t.SeatIdle()
	}
	return time.Minute
}

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Command brings an operator's command to the leader, and gives up when ctx ends.
func (d *Daemon) Command(ctx context.Context, command statemachine.Command) (rollout.Response, bool) {
	return d.submit(ctx, command)
}

// Status is this daemon's own word.
func (d *Daemon) Status() operatorapi.Status {
	now := d.clock.Elapsed()
	ready, why := d.Ready()
	out := operatorapi.Status{NodeID: d.nodeID, Version: d.version, Zone: d.config.Zone, Serve: d.serve(), Ready: ready, NotReady: why,
		Group: d.Group(), Leader: d.leaderAddress(), Fellows: []operatorapi.Fellow{}, Engines: []operatorapi.Engine{}}
	t := d.keeper.Table()
	if t != nil {
		out.SpecEpoch, out.ClosureEpoch = t.Epoch, t.Closures.Epoch
	}
	if confirmed := d.confirmed(); confirmed > 0 {
		ago := max(0, now.Since(confirmed).Milliseconds())
		out.ConfirmedMsAgo = &ago
	}
	if worker, held := d.generator.Worker(); held {
		number := int64(worker)
		out.WorkerID = &number
	}
	if held := d.replica.Load(); held != nil {
		condition := held.Condition()
		out.Raft = &operatorapi.RaftStatus{Role: condition.Role.String(), Term: uint64(condition.Term), Commit: uint64(condition.Commit), Stalled: condition.Stalled,
			Applied: uint64(condition.Applied), StateDigest: digestText(condition.Digest)}
		if folder := d.held(); folder != nil {
			self, _ := condition.Members.Find(folder.Member)
			out.Raft.Voter = self.Voter
		}
		for _, member := range condition.Members.Members {
			out.Raft.Members = append(out.Raft.Members, operatorapi.RaftMember{Name: member.Name, Address: member.Address, Voter: member.Voter,
				Differs: slices.Contains(condition.Differing, member.ID)})
		}
	}
	if d.config.Serves(daemonconfig.Place) {
		condition := d.placer.Condition()
		out.Planner = &operatorapi.PlannerStatus{Held: condition.Held, Claim: condition.Claim, InFlight: condition.InFlight}
	}
	for _, fellow := range d.members.View().InContact(now, 30*time.Second) {
		out.Fellows = append(out.Fellows, operatorapi.Fellow{NodeID: fellow.NodeID, Address: fellow.Address, Zone: fellow.Zone, Serve: fellow.Serve,
			HeardMsAgo: now.Since(fellow.Heard).Milliseconds(), SpecEpoch: fellow.SpecEpoch, ClosureEpoch: fellow.ClosureEpoch, Ready: fellow.Ready})
	}
	for _, engine := range d.watcher.View().Engines {
		row := operatorapi.Engine{ID: engine.ID, Address: engine.Address, Zone: engine.Zone, Condition: string(engine.Condition), Draining: engine.Draining,
			Open: t != nil && t.Open(engine.ID), CallSeq: engine.Report.CallSeq, Models: []string{}}
		for _, held := range engine.Report.Models {
			row.Models = append(row.Models, held.Model+":"+string(held.State))
		}
		out.Engines = append(out.Engines, row)
	}
	slices.SortFunc(out.Engines, func(a, b operatorapi.Engine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// digestText shows a digest of the state so that two members' can be compared by eye; empty before the first.
func digestText(digest raft.StateDigest) string {
	if digest.Index == 0 {
		return ""
	}
	return fmt.Sprintf("%d:%016x", digest.Index, digest.Sum)
}

// Counters lists this daemon's counters, a line each.
func (d *Daemon) Counters() string {
	var out strings.Builder
	d.EachCounter(func(name string, value uint64) { fmt.Fprintf(&out, "%s %d\n", name, value) })
	for _, loss := range d.Losses() {
		fmt.Fprintf(&out, "opaque_losses{path=%q,model=%q,reason=%q} %d\n", loss.Path, loss.Model, loss.Reason, loss.Count)
	}
	return out.String()
}

// EachCounter gives this daemon's counters and levels by name.
func (d *Daemon) EachCounter(say func(name string, value uint64)) {
	c := &d.counters
	say("fellow_foreign_group", c.foreignGroup.Load())
	say("fellow_garbage", c.garbage.Load())
	t := &d.links.Traffic
	say("fellow_bytes_sent", t.Sent.Load())
	say("fellow_bytes_received", t.Received.Load())
	say("fellow_calls_made", t.Asked.Load())
	say("fellow_calls_served", t.Answered.Load())
	say("fellow_connections_opened", t.Opened.Load())
	say("member_troubles", c.memberTroubles.Load())
	say("listener_troubles", c.listenerTroubles.Load())
	say("orders_unproven", c.ordersUnproven.Load())
	say("stop_not_handed_over", c.notHandedOver.Load())
	say("tenure_acquired", c.acquired.Load())
	say("tenure_renewed", c.renewed.Load())
	say("tenure_lost", c.tenureFailed.Load())
	say("mint_refused", d.generator.Refusals())
	say("pulls", d.members.Pulls.Load())
	say("pulls_failed", d.members.Failed.Load())
	say("sources_left_as_stale", d.members.StaleSources.Load())
	say("turned_stale", c.turnedStale.Load())
	if confirmed := d.confirmed(); confirmed > 0 {
		say("confirmed_ms_ago", uint64(max(0, d.clock.Elapsed().Since(confirmed).Milliseconds())))
	}
	say("raft_sent", d.links.Sent.Load())
	say("raft_dropped", d.links.Dropped.Load())
	say("raft_failed", d.links.Failed.Load())
	if held := d.replica.Load(); held != nil {
		say("raft_refused", held.Refused.Load())
	}
	say("raft_malformed", c.group.MessagesRefused.Load())
	say("snapshots_sent", c.group.SnapshotsSent.Load())
	say("snapshots_taken", c.group.SnapshotsTaken.Load())
	say("snapshots_refused", c.group.SnapshotsRefused.Load())
	say("states_differ", c.group.StatesDiffer.Load())
	say("offers_refused", d.keeper.Refused.Load())
	w := &d.watcher.Counters
	say("engine_reports_failed", w.FailedReports.Load())
	say("engine_reports_junk", w.JunkReports.Load())
	say("engine_lives", w.Lives.Load())
	say("engine_set_aside", w.SetAsides.Load())
	say("engines_registered", uint64(len(d.registry.View().Engines)))
	if d.config.Serves(daemonconfig.Control) {
		say("engine_beats", c.engineBeats.Load())
		say("engine_beats_late", c.engineBeatsLate.Load())
		say("leaves_acknowledged", c.leavesAcknowledged.Load())
		say("leaves_unknown", c.leavesUnknown.Load())
	}
	if d.config.Serves(daemonconfig.Route) {
		s := d.dispatch.Snapshot()
		say("requests_invalid", d.door.Invalid.Load())
		say("requests_let_in", s.Counters.Admitted)
		say("requests_held", s.Counters.Queued)
		say("requests_held_now", uint64(s.Queued))
		say("requests_refused", s.Counters.RefusedHere)
		say("requests_refused_as_hopeless", s.Counters.Hopeless)
		say("requests_replayed", s.Counters.Replays)
		say("requests_whole", s.Counters.Whole)
		say("requests_broken_off", s.Counters.CutOff)
		say("requests_lost", s.Counters.Lost)
		say("callers_left", s.Counters.CallersLeft)
		say("sessions_reseated", s.Counters.Reseated)
		say("goes_first", s.FirstAttempts)
		say("goes_again", s.Retries)
		say("goes_again_denied", s.Denied)
		say("goes_refused_by_engine", s.Counters.EngineRefusals)
		say("goes_held_back", s.Counters.Withdrawn)
		say("attempt_calls", c.attemptCalls.Load())
		say("attempt_doubts", c.attemptDoubts.Load())
		say("attempts_moved", c.attemptsMoved.Load())
		say("permits_unasked", c.permitsUnasked.Load())
		say("goes_stopped_at_last_look", c.lastLookStops.Load())
		say("bytes_own_zone", c.bytesOwnZone.Load())
		say("bytes_other_zone", c.bytesOtherZone.Load())
		say("engines_junk_streams", c.junkEngines.Load())
	}
	d.countForwarding(say)
	d.nodes.count(say)
	if d.config.Serves(daemonconfig.Place) {
		p := d.placer.Condition().Counters
		say("orders", p.Orders)
		say("orders_done", p.Done)
		say("orders_refused", p.Refused)
		say("orders_void", p.Void)
		say("orders_never_arrived", p.NeverArrived)
		say("orders_failed", p.Failed)
		d.pools.count(say)
	}
}

// trace gathers every daemon's steps for one change; state tells the newest epochs of the group.
func (d *Daemon) trace(change string, state []byte) []byte {
	var known newest
	_ = json.Unmarshal(state, &known)
	kind, number := "", uint64(0)
	if before, after, found := strings.Cut(change, ":"); found {
		kind = before
		_, _ = fmt.Sscanf(after, "%d", &number)
	}
	epoch := known.Spec
	if kind == "closure" {
		epoch = known.Closure
	}
	out := operatorapi.Trace{Change: change, Rows: []operatorapi.TraceRow{}, Epoch: ident.Epoch(epoch), Known: number > 0 && number <= epoch}
	now := d.clock.Elapsed()
	unheard := known.Serving
	for _, fellow := range d.members.View().InContact(now, time.Minute) {
		row := operatorapi.TraceRow{NodeID: fellow.NodeID, Zone: fellow.Zone, HeardMsAgo: now.Since(fellow.Heard).Milliseconds()}
		if at := slices.Index(unheard, fellow.NodeID); at >= 0 {
			row.Serving, unheard = true, slices.Delete(unheard, at, at+1)
		}
		for _, step := range fellow.Steps {
			if step.Change != change {
				continue
			}
			switch step.Step {
			case rollout.Learned:
				row.LearnedMs = step.UnixMs
			case rollout.Built:
				row.BuiltMs = step.UnixMs
			case rollout.InForce:
				row.InForceMs = step.UnixMs
			}
		}
		held := fellow.SpecEpoch
		if kind == "closure" {
			held = fellow.ClosureEpoch
		}
		row.Missing = uint64(held) < number
		out.Rows = append(out.Rows, row)
	}
	for _, node := range unheard {
		// It may be serving and has not been heard for long, so the change can't count as in force there.
		out.Rows = append(out.Rows, operatorapi.TraceRow{NodeID: node, HeardMsAgo: -1, Missing: true, Serving: true})
	}
	out.Acknowledged = out.Known && !slices.ContainsFunc(out.Rows, func(row operatorapi.TraceRow) bool { return row.Serving && row.Missing })
	data, err := json.Marshal(out)
	if err != nil {
		panic("broken invariant: a trace cannot be encoded: " + err.Error())
	}
	return data
}

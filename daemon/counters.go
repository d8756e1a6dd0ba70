package daemon

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
	"github.com/cresspond/cresspond/request/forwarding"
)

type counters struct {
	foreignGroup, malformedMessages, leasesAcquired, leasesRenewed, leasesLost        atomic.Uint64
	bytesOwnZone, bytesOtherZone, malformedStreams, finalCheckStops                   atomic.Uint64
	slotRequestsFailed, attemptQueries, attemptsUncertain, attemptsTransferred        atomic.Uint64
	engineHeartbeats, engineHeartbeatsLate, departuresAcknowledged, departuresUnknown atomic.Uint64
	memberFaults, listenerFaults, notHandedOver, turnedStale                          atomic.Uint64
	// appliesUnproven counts operators' calls whose fate the replicated state could not prove any more.
	appliesUnproven atomic.Uint64
	// group counts what this daemon's members of the control group noticed, over all their lives.
	group replica.Counters
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
	say("fellow_garbage", c.malformedMessages.Load())
	t := &d.links.Traffic
	say("fellow_bytes_sent", t.SentBytes.Load())
	say("fellow_bytes_received", t.ReceivedBytes.Load())
	say("fellow_calls_made", t.Requests.Load())
	say("fellow_calls_served", t.Served.Load())
	say("fellow_connections_opened", t.Connections.Load())
	say("member_troubles", c.memberFaults.Load())
	say("listener_troubles", c.listenerFaults.Load())
	say("orders_unproven", c.appliesUnproven.Load())
	say("stop_not_handed_over", c.notHandedOver.Load())
	say("tenure_acquired", c.leasesAcquired.Load())
	say("tenure_renewed", c.leasesRenewed.Load())
	say("tenure_lost", c.leasesLost.Load())
	say("mint_refused", d.generator.Refusals())
	say("pulls", d.members.Pulls.Load())
	say("pulls_failed", d.members.FailedPulls.Load())
	say("sources_left_as_stale", d.members.StaleSources.Load())
	say("turned_stale", c.turnedStale.Load())
	if confirmed := d.confirmed(); confirmed > 0 {
		say("confirmed_ms_ago", uint64(max(0, d.clock.Elapsed().Since(confirmed).Milliseconds())))
	}
	say("raft_sent", d.links.SentMessages.Load())
	say("raft_dropped", d.links.DroppedBatches.Load())
	say("raft_failed", d.links.FailedBatches.Load())
	if held := d.replica.Load(); held != nil {
		say("raft_refused", held.Rejected.Load())
	}
	say("raft_malformed", c.group.MessagesRejected.Load())
	say("snapshots_sent", c.group.SnapshotsSent.Load())
	say("snapshots_taken", c.group.SnapshotsInstalled.Load())
	say("snapshots_refused", c.group.SnapshotsRejected.Load())
	say("states_differ", c.group.StateDivergences.Load())
	say("offers_refused", d.rollout.Refused.Load())
	w := &d.watcher.Counters
	say("engine_reports_failed", w.FailedReports.Load())
	say("engine_reports_junk", w.InvalidReports.Load())
	say("engine_lives", w.Restarts.Load())
	say("engine_set_aside", w.Quarantines.Load())
	say("engines_registered", uint64(len(d.registry.View().Engines)))
	if d.config.Serves(daemonconfig.Control) {
		say("engine_beats", c.engineHeartbeats.Load())
		say("engine_beats_late", c.engineHeartbeatsLate.Load())
		say("leaves_acknowledged", c.departuresAcknowledged.Load())
		say("leaves_unknown", c.departuresUnknown.Load())
	}
	if d.config.Serves(daemonconfig.Route) {
		s := d.dispatch.Snapshot()
		say("requests_invalid", d.sessionAPI.Invalid.Load())
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
		say("attempt_calls", c.attemptQueries.Load())
		say("attempt_doubts", c.attemptsUncertain.Load())
		say("attempts_moved", c.attemptsTransferred.Load())
		say("permits_unasked", c.slotRequestsFailed.Load())
		say("goes_stopped_at_last_look", c.finalCheckStops.Load())
		say("bytes_own_zone", c.bytesOwnZone.Load())
		say("bytes_other_zone", c.bytesOtherZone.Load())
		say("engines_junk_streams", c.malformedStreams.Load())
	}
	d.eachForwardingCounter(say)
	d.nodeRanking.eachCounter(say)
	if d.config.Serves(daemonconfig.Placement) {
		p := d.sessionPlacer.Condition().Counters
		say("orders", p.Orders)
		say("orders_done", p.Done)
		say("orders_refused", p.Refused)
		say("orders_void", p.Void)
		say("orders_never_arrived", p.NeverArrived)
		say("orders_failed", p.Failed)
		d.poolPlanning.eachCounter(say)
	}
}

// eachForwardingCounter lists the counters of opaque requests.
func (d *Daemon) eachForwardingCounter(say func(name string, value uint64)) {
	side := &d.forwarding
	if side.gateway == nil {
		return
	}
	var c forwarding.Counters
	held := 0
	side.actor.Do(func(core *forwarding.Core, _ forwarding.Environment) { c, held = core.Counters, core.QueueLength() })
	say("opaque_read", side.gateway.Counters.Read.Load())
	say("opaque_unreadable", side.gateway.Counters.Unreadable.Load())
	say("opaque_too_large", side.gateway.Counters.TooLarge.Load())
	say("opaque_open", uint64(max(0, side.gateway.Open())))
	say("opaque_no_path", c.NoPath)
	say("opaque_held", c.Queued)
	say("opaque_held_now", uint64(held))
	for place, count := range c.QueuedBy {
		say("opaque_held_for_"+forwarding.BlockReasonNames[place], count)
	}
	for place, count := range c.EndedBy {
		say("opaque_ended_"+strings.ReplaceAll(forwarding.CauseNames[place], "-", "_"), count)
	}
	say("opaque_shed", c.Shed)
	say("opaque_refused", c.Rejected)
	say("opaque_lost", c.EndedAfterLoss)
	say("opaque_broken_off", c.Truncated)
	say("opaque_whole", c.Completed)
	say("opaque_engine_failures", c.EngineErrors)
	say("opaque_callers_left", c.CallersLeft)
	say("opaque_streams", side.gateway.Counters.Streams.Load())
	say("opaque_streams_resumed", c.Resumed)
	say("attempts_moved_off", c.Migrated)
	say("attempts_stayed_at_emptied", c.MigrationsDeclined)
	say("opaque_events", side.gateway.Counters.Events.Load())
	say("opaque_unsealed", side.gateway.Counters.Unsealed.Load())
	say("attempts_first", c.Sent)
	say("attempts_again", c.Retried)
	say("attempts_again_denied", c.RetriesDenied)
	say("attempts_speculative", c.Speculative)
	say("attempts_speculative_refused", c.SpeculativeRejected)
	say("attempts_held_back", c.Withheld)
	say("attempts_never_sent", c.Unreachable)
	say("attempts_refused_by_engine", c.RejectedByEngine)
	say("attempts_misdirected", c.Misdirected)
	say("attempts_lost", c.ResponsesLost)
	say("attempts_junk", c.ProtocolErrors)
	say("attempts_cut", c.StreamsBroken)
	say("choices_of_last_resort", c.LastResort)
	p := &side.pools.Counters
	busy, idle := side.pools.Open()
	say("engine_connections_busy", uint64(max(0, busy)))
	say("engine_connections_idle", uint64(idle))
	say("engine_connections_dialled", p.Dialled.Load())
	say("engine_connections_failed", p.DialsFailed.Load())
	say("engine_connections_reused", p.Reused.Load())
	say("engine_connections_found_stale", p.FoundStale.Load())
	say("engine_connections_dropped_idle", p.DroppedIdle.Load())
	say("engine_answers_surplus", p.Surplus.Load())
	say("engine_answers_foreign", p.Foreign.Load())
	say("engine_answers_junk", p.Junk.Load())
	say("engine_bytes_sent", p.BytesSent.Load())
	say("engine_bytes_received", p.BytesReceived.Load())
}

func (p *poolPlanning) eachCounter(say func(name string, value uint64)) {
	if p == nil || p.placer == nil {
		return
	}
	c := p.condition().Counters
	say("pool_orders", c.Orders)
	say("pool_loads", c.Loads)
	say("pool_unloads", c.Evicts)
	say("pool_adapter_loads", c.AdapterLoads)
	say("pool_adapter_unloads", c.AdapterEvicts)
	say("pool_orders_done", c.Done)
	say("pool_orders_held_already", c.Already)
	say("pool_orders_refused", c.Refused)
	say("pool_orders_never_arrived", c.NeverArrived)
	say("pool_orders_failed", c.Failed)
	say("pool_orders_unsent", c.Unsent)
	say("pool_orders_void", c.Void)
	say("pool_plans_cancelled", c.Cancelled)
	say("pool_reports", c.Reports)
	say("pool_reports_failed", c.FailedReports)
	say("pool_reports_stale", c.StaleReports)
	for obstacle, count := range c.Unplaced {
		say("pool_unplaced_for_"+poolplacement.ObstacleNames[obstacle], count)
	}
	judged := p.condition().Judged
	say("engine_outcomes_heard", judged.Attempts)
	say("engine_outcomes_wrong", judged.Failures)
	say("engine_outcomes_dropped", judged.DigestsDropped)
	say("engines_ejected", judged.Ejections)
	say("engines_ejected_again", judged.Relapses)
	say("engines_slowed", judged.Throttled)
	say("engines_returned", judged.Returns)
	say("engines_spared", judged.Suppressed)
}

// eachCounter lists the counters of the ranking.
func (n *nodeRanking) eachCounter(say func(name string, value uint64)) {
	if !n.on() {
		return
	}
	if n.recorder != nil {
		say("ranking_digests_told", n.digestsSent.Load())
		say("ranking_measurements_dropped", n.recorder.Dropped())
	}
	if !n.plans() {
		return
	}
	state := n.state.Load()
	c := state.counters
	say("ranking_digests_heard", c.Digests)
	say("ranking_digests_dropped", c.DigestsDropped)
	say("ranking_steps", c.Steps)
	say("ranking_step_us", uint64(state.took.Microseconds()))
	say("ranking_suspected", c.Suspected)
	say("ranking_cleared", c.Cleared)
	say("ranking_drains", c.Drains)
	say("ranking_releases", c.Reopened)
	say("ranking_relapses", c.Relapses)
	say("ranking_sounded", c.Recovered)
	for place, count := range c.Refused {
		if why := nodehealth.Refusal(place); why != nodehealth.Allowed {
			say("ranking_refused_"+why.Name(), count)
		}
	}
	say("ranking_acts_done", n.decisionsMade.done.Load())
	say("ranking_acts_refused", n.decisionsMade.refused.Load())
	say("ranking_acts_unknown", n.decisionsMade.unknown.Load())
	say("ranking_acts_unleased", n.decisionsMade.unleased.Load())
	drained := uint64(0)
	for _, row := range state.rows {
		if row.Stage == nodehealth.Drained {
			drained++
		}
	}
	say("ranking_drained_now", drained)
}

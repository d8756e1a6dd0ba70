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
	counts := &d.counters
	say("fellow_foreign_group", counts.foreignGroup.Load())
	say("fellow_garbage", counts.malformedMessages.Load())
	traffic := &d.links.Traffic
	say("fellow_bytes_sent", traffic.SentBytes.Load())
	say("fellow_bytes_received", traffic.ReceivedBytes.Load())
	say("fellow_calls_made", traffic.Requests.Load())
	say("fellow_calls_served", traffic.Served.Load())
	say("fellow_connections_opened", traffic.Connections.Load())
	say("member_troubles", counts.memberFaults.Load())
	say("listener_troubles", counts.listenerFaults.Load())
	say("orders_unproven", counts.appliesUnproven.Load())
	say("stop_not_handed_over", counts.notHandedOver.Load())
	say("tenure_acquired", counts.leasesAcquired.Load())
	say("tenure_renewed", counts.leasesRenewed.Load())
	say("tenure_lost", counts.leasesLost.Load())
	say("mint_refused", d.generator.Rejections())
	say("pulls", d.members.Pulls.Load())
	say("pulls_failed", d.members.FailedPulls.Load())
	say("sources_left_as_stale", d.members.StaleSources.Load())
	say("turned_stale", counts.turnedStale.Load())
	if confirmed := d.confirmed(); confirmed > 0 {
		say("confirmed_ms_ago", uint64(max(0, d.clock.Elapsed().Since(confirmed).Milliseconds())))
	}
	say("raft_sent", d.links.SentMessages.Load())
	say("raft_dropped", d.links.DroppedBatches.Load())
	say("raft_failed", d.links.FailedBatches.Load())
	if groupMember := d.replica.Load(); groupMember != nil {
		say("raft_refused", groupMember.Rejected.Load())
	}
	say("raft_malformed", counts.group.MessagesRejected.Load())
	say("snapshots_sent", counts.group.SnapshotsSent.Load())
	say("snapshots_taken", counts.group.SnapshotsInstalled.Load())
	say("snapshots_refused", counts.group.SnapshotsRejected.Load())
	say("states_differ", counts.group.StateDivergences.Load())
	say("offers_refused", d.rollout.Rejected.Load())
	watched := &d.watcher.Counters
	say("engine_reports_failed", watched.FailedReports.Load())
	say("engine_reports_junk", watched.InvalidReports.Load())
	say("engine_lives", watched.Restarts.Load())
	say("engine_set_aside", watched.Quarantines.Load())
	say("engines_registered", uint64(len(d.registry.View().Engines)))
	if d.config.Serves(daemonconfig.Control) {
		say("engine_beats", counts.engineHeartbeats.Load())
		say("engine_beats_late", counts.engineHeartbeatsLate.Load())
		say("leaves_acknowledged", counts.departuresAcknowledged.Load())
		say("leaves_unknown", counts.departuresUnknown.Load())
	}
	if d.config.Serves(daemonconfig.Route) {
		snapshot := d.dispatch.Snapshot()
		say("requests_invalid", d.sessionAPI.Invalid.Load())
		say("requests_let_in", snapshot.Counters.Admitted)
		say("requests_held", snapshot.Counters.Queued)
		say("requests_held_now", uint64(snapshot.Queued))
		say("requests_refused", snapshot.Counters.RefusedHere)
		say("requests_refused_as_hopeless", snapshot.Counters.Hopeless)
		say("requests_replayed", snapshot.Counters.Replays)
		say("requests_whole", snapshot.Counters.Whole)
		say("requests_broken_off", snapshot.Counters.CutOff)
		say("requests_lost", snapshot.Counters.Lost)
		say("callers_left", snapshot.Counters.CallersLeft)
		say("sessions_reseated", snapshot.Counters.Reseated)
		say("goes_first", snapshot.FirstAttempts)
		say("goes_again", snapshot.Retries)
		say("goes_again_denied", snapshot.Denied)
		say("goes_refused_by_engine", snapshot.Counters.EngineRefusals)
		say("goes_held_back", snapshot.Counters.Withdrawn)
		say("attempt_calls", counts.attemptQueries.Load())
		say("attempt_doubts", counts.attemptsUncertain.Load())
		say("attempts_moved", counts.attemptsTransferred.Load())
		say("permits_unasked", counts.slotRequestsFailed.Load())
		say("goes_stopped_at_last_look", counts.finalCheckStops.Load())
		say("bytes_own_zone", counts.bytesOwnZone.Load())
		say("bytes_other_zone", counts.bytesOtherZone.Load())
		say("engines_junk_streams", counts.malformedStreams.Load())
	}
	d.eachForwardingCounter(say)
	d.nodeRanking.eachCounter(say)
	if d.config.Serves(daemonconfig.Placement) {
		planned := d.sessionPlacer.Condition().Counters
		say("orders", planned.Orders)
		say("orders_done", planned.Done)
		say("orders_refused", planned.Refused)
		say("orders_void", planned.Void)
		say("orders_never_arrived", planned.NeverArrived)
		say("orders_failed", planned.Failed)
		d.poolPlanning.eachCounter(say)
	}
}

// eachForwardingCounter lists the counters of opaque requests.
func (d *Daemon) eachForwardingCounter(say func(name string, value uint64)) {
	side := &d.forwarding
	if side.gateway == nil {
		return
	}
	var counts forwarding.Counters
	queued := 0
	side.actor.Do(func(core *forwarding.Core, _ forwarding.Environment) {
		counts, queued = core.Counters, core.QueueLength()
	})
	say("opaque_read", side.gateway.Counters.Read.Load())
	say("opaque_unreadable", side.gateway.Counters.Unreadable.Load())
	say("opaque_too_large", side.gateway.Counters.TooLarge.Load())
	say("opaque_open", uint64(max(0, side.gateway.OpenRequests())))
	say("opaque_no_path", counts.NoPath)
	say("opaque_held", counts.Queued)
	say("opaque_held_now", uint64(queued))
	for place, count := range counts.QueuedBy {
		say("opaque_held_for_"+forwarding.BlockReasonNames[place], count)
	}
	for place, count := range counts.EndedBy {
		say("opaque_ended_"+strings.ReplaceAll(forwarding.CauseNames[place], "-", "_"), count)
	}
	say("opaque_shed", counts.Shed)
	say("opaque_refused", counts.Rejected)
	say("opaque_lost", counts.EndedAfterLoss)
	say("opaque_broken_off", counts.Truncated)
	say("opaque_whole", counts.Completed)
	say("opaque_engine_failures", counts.EngineErrors)
	say("opaque_callers_left", counts.CallersLeft)
	say("opaque_streams", side.gateway.Counters.Streams.Load())
	say("opaque_streams_resumed", counts.Resumed)
	say("attempts_moved_off", counts.Migrated)
	say("attempts_stayed_at_emptied", counts.MigrationsDeclined)
	say("opaque_events", side.gateway.Counters.Events.Load())
	say("opaque_unsealed", side.gateway.Counters.Unsealed.Load())
	say("attempts_first", counts.Sent)
	say("attempts_again", counts.Retried)
	say("attempts_again_denied", counts.RetriesDenied)
	say("attempts_speculative", counts.Speculative)
	say("attempts_speculative_refused", counts.SpeculativeRejected)
	say("attempts_held_back", counts.Withheld)
	say("attempts_never_sent", counts.Unreachable)
	say("attempts_refused_by_engine", counts.RejectedByEngine)
	say("attempts_misdirected", counts.Misdirected)
	say("attempts_lost", counts.ResponsesLost)
	say("attempts_junk", counts.ProtocolErrors)
	say("attempts_cut", counts.StreamsBroken)
	say("choices_of_last_resort", counts.LastResort)
	connections := &side.pools.Counters
	busy, idle := side.pools.Open()
	say("engine_connections_busy", uint64(max(0, busy)))
	say("engine_connections_idle", uint64(idle))
	say("engine_connections_dialled", connections.Dialed.Load())
	say("engine_connections_failed", connections.DialsFailed.Load())
	say("engine_connections_reused", connections.Reused.Load())
	say("engine_connections_found_stale", connections.FoundStale.Load())
	say("engine_connections_dropped_idle", connections.DroppedWhileIdle.Load())
	say("engine_answers_surplus", connections.SurplusBytes.Load())
	say("engine_answers_foreign", connections.ForeignResponses.Load())
	say("engine_answers_junk", connections.ProtocolErrors.Load())
	say("engine_bytes_sent", connections.BytesSent.Load())
	say("engine_bytes_received", connections.BytesReceived.Load())
}

func (p *poolPlanning) eachCounter(say func(name string, value uint64)) {
	if p == nil || p.placer == nil {
		return
	}
	counts := p.condition().Counters
	say("pool_orders", counts.Orders)
	say("pool_loads", counts.Loads)
	say("pool_unloads", counts.Evicts)
	say("pool_adapter_loads", counts.AdapterLoads)
	say("pool_adapter_unloads", counts.AdapterEvicts)
	say("pool_orders_done", counts.Done)
	say("pool_orders_held_already", counts.Already)
	say("pool_orders_refused", counts.Refused)
	say("pool_orders_never_arrived", counts.NeverArrived)
	say("pool_orders_failed", counts.Failed)
	say("pool_orders_unsent", counts.Unsent)
	say("pool_orders_void", counts.Void)
	say("pool_plans_cancelled", counts.Cancelled)
	say("pool_reports", counts.Reports)
	say("pool_reports_failed", counts.FailedReports)
	say("pool_reports_stale", counts.StaleReports)
	for obstacle, count := range counts.Unplaced {
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
	counts := state.counters
	say("ranking_digests_heard", counts.Digests)
	say("ranking_digests_dropped", counts.DigestsDropped)
	say("ranking_steps", counts.Steps)
	say("ranking_step_us", uint64(state.took.Microseconds()))
	say("ranking_suspected", counts.Suspected)
	say("ranking_cleared", counts.Cleared)
	say("ranking_drains", counts.Drains)
	say("ranking_releases", counts.Reopened)
	say("ranking_relapses", counts.Relapses)
	say("ranking_sounded", counts.Recovered)
	for place, count := range counts.Refused {
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

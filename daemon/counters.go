package daemon

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
	"github.com/cresspond/cresspond/request/forwarding"
)

// reportCounter takes the name and the value of one counter or level. The names are those of the counters page, and
// dashboards rest on them.
type reportCounter = func(name string, value uint64)

// counters are what this daemon itself counts; its actors count the rest.
type counters struct {
	foreignGroup, malformedMessages, leasesAcquired, leasesRenewed, leasesLost atomic.Uint64
	bytesOwnZone, bytesOtherZone, malformedStreams, finalCheckStops            atomic.Uint64
	slotRequestsFailed, attemptQueries, attemptsUncertain, attemptsTransferred atomic.Uint64
	engineHeartbeats, engineHeartbeatsLate, engineHeartbeatsUnacknowledged     atomic.Uint64
	departuresAcknowledged, departuresUnknown                                  atomic.Uint64
	memberFaults, listenerFaults, notHandedOver, turnedStale                   atomic.Uint64
	// appliesUnproven counts operators' calls whose outcome the replicated state could not prove any more.
	appliesUnproven atomic.Uint64
	// group counts what this daemon's members of the control group noticed, over all their incarnations.
	group replica.Counters
}

// Counters returns this daemon's counters as text, one on each line.
func (d *Daemon) Counters() string {
	var out strings.Builder
	d.EachCounter(func(name string, value uint64) { fmt.Fprintf(&out, "%s %d\n", name, value) })
	for _, loss := range d.Losses() {
		fmt.Fprintf(&out, "opaque_losses{path=%q,model=%q,reason=%q} %d\n", loss.Path, loss.Model, loss.Reason, loss.Count)
	}
	for _, tenant := range d.TenantCounts() {
		writeTenantCounts(&out, tenant)
	}
	return out.String()
}

// EachCounter reports this daemon's counters and levels by name, in the order of the page.
func (d *Daemon) EachCounter(report reportCounter) {
	d.eachPeerCounter(report)
	d.eachGroupCounter(report)
	d.eachEngineCounter(report)
	if d.config.Serves(daemonconfig.Route) {
		d.eachSessionCounter(report)
	}
	d.eachForwardingCounter(report)
	d.eachQuotaCounter(report)
	d.nodeRanking.EachCounter(report)
	if d.config.Serves(daemonconfig.Placement) {
		d.eachSessionPlanningCounter(report)
		d.poolPlanning.eachCounter(report)
	}
}

// eachPeerCounter lists the counters of the connections between daemons, and of this daemon's life cycle.
func (d *Daemon) eachPeerCounter(report reportCounter) {
	counts := &d.counters
	report("fellow_foreign_group", counts.foreignGroup.Load())
	report("fellow_garbage", counts.malformedMessages.Load())
	traffic := &d.links.Traffic
	report("fellow_bytes_sent", traffic.SentBytes.Load())
	report("fellow_bytes_received", traffic.ReceivedBytes.Load())
	report("fellow_calls_made", traffic.Requests.Load())
	report("fellow_calls_served", traffic.Served.Load())
	report("fellow_connections_opened", traffic.Connections.Load())
	report("member_troubles", counts.memberFaults.Load())
	report("listener_troubles", counts.listenerFaults.Load())
	report("orders_unproven", counts.appliesUnproven.Load())
	report("stop_not_handed_over", counts.notHandedOver.Load())
	report("tenure_acquired", counts.leasesAcquired.Load())
	report("tenure_renewed", counts.leasesRenewed.Load())
	report("tenure_lost", counts.leasesLost.Load())
	report("mint_refused", d.generator.Rejections())
	report("pulls", d.members.Pulls.Load())
	report("pulls_failed", d.members.FailedPulls.Load())
	report("sources_left_as_stale", d.members.StaleSources.Load())
	report("turned_stale", counts.turnedStale.Load())
	if confirmed := d.confirmed(); confirmed > 0 {
		report("confirmed_ms_ago", uint64(max(0, d.clock.Elapsed().Since(confirmed).Milliseconds())))
	}
}

// eachGroupCounter lists the counters of the control group, as this daemon's member sees it.
func (d *Daemon) eachGroupCounter(report reportCounter) {
	group := &d.counters.group
	report("raft_sent", d.links.SentMessages.Load())
	report("raft_dropped", d.links.DroppedBatches.Load())
	report("raft_failed", d.links.FailedBatches.Load())
	if groupMember := d.replica.Load(); groupMember != nil {
		report("raft_refused", groupMember.Rejected.Load())
		report("feature_level", uint64(groupMember.Status().FeatureLevel))
	}
	report("raft_malformed", group.MessagesRejected.Load())
	report("snapshots_sent", group.SnapshotsSent.Load())
	report("snapshots_taken", group.SnapshotsInstalled.Load())
	report("snapshots_refused", group.SnapshotsRejected.Load())
	report("states_differ", group.StateDivergences.Load())
	report("states_invalid", group.InvalidStates.Load())
	report("offers_refused", d.rollout.Rejected.Load())
}

// eachEngineCounter lists the counters of discovery and of registrations.
func (d *Daemon) eachEngineCounter(report reportCounter) {
	counts := &d.counters
	watched := &d.watcher.Counters
	report("engine_reports_failed", watched.FailedReports.Load())
	report("engine_reports_junk", watched.InvalidReports.Load())
	report("engine_lives", watched.Restarts.Load())
	report("engine_set_aside", watched.Quarantines.Load())
	report("engines_registered", uint64(len(d.registry.View().Engines)))
	if d.config.Serves(daemonconfig.Control) {
		report("engine_beats", counts.engineHeartbeats.Load())
		report("engine_beats_late", counts.engineHeartbeatsLate.Load())
		report("engine_beats_unacknowledged", counts.engineHeartbeatsUnacknowledged.Load())
		report("leaves_acknowledged", counts.departuresAcknowledged.Load())
		report("leaves_unknown", counts.departuresUnknown.Load())
	}
}

// eachSessionCounter lists the counters of session requests, from their arrival to their attempts at engines.
func (d *Daemon) eachSessionCounter(report reportCounter) {
	counts := &d.counters
	snapshot := d.dispatch.Snapshot()
	report("requests_invalid", d.sessionAPI.Invalid.Load())
	report("requests_let_in", snapshot.Counters.Admitted)
	report("requests_held", snapshot.Counters.Queued)
	report("requests_held_now", uint64(snapshot.Queued))
	report("requests_refused", snapshot.Counters.RefusedHere)
	report("requests_refused_as_hopeless", snapshot.Counters.Unplaceable)
	report("requests_replayed", snapshot.Counters.Replays)
	report("requests_whole", snapshot.Counters.Completed)
	report("requests_broken_off", snapshot.Counters.BrokenOff)
	report("requests_lost", snapshot.Counters.Lost)
	report("callers_left", snapshot.Counters.ClientsDisconnected)
	report("sessions_reseated", snapshot.Counters.Reassigned)
	report("goes_first", snapshot.FirstAttempts)
	report("goes_again", snapshot.Retries)
	report("goes_again_denied", snapshot.Denied)
	report("goes_refused_by_engine", snapshot.Counters.EngineRefusals)
	report("goes_held_back", snapshot.Counters.Withdrawn)
	report("attempt_calls", counts.attemptQueries.Load())
	report("attempt_doubts", counts.attemptsUncertain.Load())
	report("attempts_moved", counts.attemptsTransferred.Load())
	report("permits_unasked", counts.slotRequestsFailed.Load())
	report("goes_stopped_at_last_look", counts.finalCheckStops.Load())
	report("bytes_own_zone", counts.bytesOwnZone.Load())
	report("bytes_other_zone", counts.bytesOtherZone.Load())
	report("engines_junk_streams", counts.malformedStreams.Load())
}

// eachSessionPlanningCounter lists the counters of the orders of the planner for sessions.
func (d *Daemon) eachSessionPlanningCounter(report reportCounter) {
	planned := d.sessionPlacer.Status().Counters
	report("orders", planned.Orders)
	report("orders_done", planned.Done)
	report("orders_refused", planned.Refused)
	report("orders_void", planned.Void)
	report("orders_never_arrived", planned.NeverArrived)
	report("orders_failed", planned.Failed)
}

// eachForwardingCounter lists the counters of forwarded requests.
func (d *Daemon) eachForwardingCounter(report reportCounter) {
	side := &d.forwarding
	if side.gateway == nil {
		return
	}
	var counts forwarding.Counters
	queued := 0
	side.actor.Do(func(core *forwarding.Core, _ forwarding.Environment) {
		counts, queued = core.Counters, core.QueueLength()
	})
	eachForwardedRequestCounter(report, side, &counts, queued)
	eachForwardedAttemptCounter(report, &counts)
	eachEngineConnectionCounter(report, side.pools)
}

// eachForwardedRequestCounter lists the counters of requests on the paths of the configuration.
func eachForwardedRequestCounter(report reportCounter, side *forwardingPath, counts *forwarding.Counters, queued int) {
	report("opaque_read", side.gateway.Counters.Read.Load())
	report("opaque_unreadable", side.gateway.Counters.Unreadable.Load())
	report("opaque_too_large", side.gateway.Counters.TooLarge.Load())
	report("opaque_open", uint64(max(0, side.gateway.OpenRequests())))
	report("opaque_no_path", counts.NoPath)
	report("opaque_unknown_keys", counts.UnknownKeys)
	report("opaque_held", counts.Queued)
	report("opaque_held_now", uint64(queued))
	for index, count := range counts.QueuedBy {
		report("opaque_held_for_"+forwarding.BlockReasonNames[index], count)
	}
	for index, count := range counts.EndedBy {
		report("opaque_ended_"+strings.ReplaceAll(forwarding.CauseNames[index], "-", "_"), count)
	}
	report("opaque_shed", counts.Shed)
	report("opaque_refused", counts.Rejected)
	report("opaque_lost", counts.EndedAfterLoss)
	report("opaque_broken_off", counts.Truncated)
	report("opaque_whole", counts.Completed)
	report("opaque_engine_failures", counts.EngineErrors)
	report("opaque_callers_left", counts.CallersLeft)
	report("opaque_streams", side.gateway.Counters.Streams.Load())
	report("opaque_streams_resumed", counts.Resumed)
	report("attempts_moved_off", counts.Migrated)
	report("attempts_stayed_at_emptied", counts.MigrationsDeclined)
	report("opaque_events", side.gateway.Counters.Events.Load())
	report("opaque_unsealed", side.gateway.Counters.Unsealed.Load())
}

// eachForwardedAttemptCounter lists the counters of their attempts at engines.
func eachForwardedAttemptCounter(report reportCounter, counts *forwarding.Counters) {
	report("attempts_first", counts.Sent)
	report("attempts_again", counts.Retried)
	report("attempts_again_denied", counts.RetriesDenied)
	report("attempts_speculative", counts.Speculative)
	report("attempts_speculative_refused", counts.SpeculativeRejected)
	report("attempts_held_back", counts.Withheld)
	report("attempts_never_sent", counts.Unreachable)
	report("attempts_refused_by_engine", counts.RejectedByEngine)
	report("attempts_misdirected", counts.Misdirected)
	report("attempts_lost", counts.ResponsesLost)
	report("attempts_junk", counts.ProtocolErrors)
	report("attempts_cut", counts.StreamsBroken)
	report("choices_of_last_resort", counts.LastResort)
}

// eachEngineConnectionCounter lists the counters of the connections to engines.
func eachEngineConnectionCounter(report reportCounter, pools *connectionpool.Pools) {
	connections := &pools.Counters
	busy, idle := pools.Open()
	report("engine_connections_busy", uint64(max(0, busy)))
	report("engine_connections_idle", uint64(idle))
	report("engine_connections_dialled", connections.Dialed.Load())
	report("engine_connections_failed", connections.DialsFailed.Load())
	report("engine_connections_reused", connections.Reused.Load())
	report("engine_connections_found_stale", connections.FoundStale.Load())
	report("engine_connections_dropped_idle", connections.DroppedWhileIdle.Load())
	report("engine_answers_surplus", connections.SurplusBytes.Load())
	report("engine_answers_foreign", connections.ForeignResponses.Load())
	report("engine_connections_same_id_avoided", connections.SameIDAvoided.Load())
	report("engine_answers_junk", connections.ProtocolErrors.Load())
	report("engine_bytes_sent", connections.BytesSent.Load())
	report("engine_bytes_received", connections.BytesReceived.Load())
}

func (p *poolPlanning) eachCounter(report reportCounter) {
	if p == nil || p.placer == nil {
		return
	}
	counts := p.condition().Counters
	report("pool_orders", counts.Orders)
	report("pool_loads", counts.Loads)
	report("pool_unloads", counts.Evicts)
	report("pool_adapter_loads", counts.AdapterLoads)
	report("pool_adapter_unloads", counts.AdapterEvicts)
	report("pool_orders_done", counts.Done)
	report("pool_orders_held_already", counts.AlreadyDone)
	report("pool_orders_refused", counts.Refused)
	report("pool_orders_never_arrived", counts.NeverArrived)
	report("pool_orders_failed", counts.Failed)
	report("pool_orders_unsent", counts.NotSent)
	report("pool_orders_void", counts.Void)
	report("pool_plans_cancelled", counts.Cancelled)
	report("pool_planner_panics", p.condition().Panics)
	report("pool_reports", counts.Reports)
	report("pool_reports_failed", counts.FailedReports)
	report("pool_reports_stale", counts.StaleReports)
	for obstacle, count := range counts.Unplaced {
		report("pool_unplaced_for_"+poolplacement.ObstacleNames[obstacle], count)
	}
	judged := p.condition().Outliers
	report("engine_outcomes_heard", judged.Attempts)
	report("engine_outcomes_wrong", judged.Failures)
	report("engine_outcomes_dropped", judged.DigestsDropped)
	report("engines_ejected", judged.Ejections)
	report("engines_ejected_again", judged.Relapses)
	report("engines_slowed", judged.Throttled)
	report("engines_returned", judged.Returns)
	report("engines_spared", judged.Suppressed)
}

package daemon

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/registry"
)

const (
	// departureLimit is how long a departing engine waits for its acknowledgement; it then tries the next daemon.
	departureLimit = 800 * time.Millisecond
	// departureReach is how long the acknowledgement waits for all daemons in contact to know.
	departureReach = 300 * time.Millisecond
	// recentDeparture is how recent a departure must be for a control daemon that has just started to pass it on.
	recentDeparture = time.Minute
)

// Registry returns what this daemon knows of the engines that register themselves.
func (d *Daemon) Registry() *registry.Registry { return d.registry }

// Register takes a registration or a heartbeat of an engine. It answers Unknown where it can't be acknowledged; the
// engine then tries another daemon.
func (d *Daemon) Register(ctx context.Context, registration registry.Registration) registry.Response {
	if !d.config.Serves(daemonconfig.Control) {
		return registry.Response{Outcome: registry.Unknown}
	}
	hearing, ok := d.registry.ReceiveHeartbeat(registration)
	if !ok {
		return registry.Response{Outcome: registry.Unknown}
	}
	d.counters.engineHeartbeats.Add(1)
	if hearing.Stale {
		d.counters.engineHeartbeatsLate.Add(1)
	}
	if registration.Draining {
		return d.commitDeparture(ctx, registration.ID, hearing)
	}
	if d.lostGroupContact() {
		// It counts here, and others learn of it once there is contact. The engine calls another daemon meanwhile, which
		// may be on the side that judges its silence.
		d.counters.engineHeartbeatsUnacknowledged.Add(1)
		return registry.Response{Outcome: registry.Unknown}
	}
	return registry.Response{Outcome: registry.Acknowledged}
}

// lostGroupContact reports whether a majority of the control group has confirmed nothing here for
// membership.UnconfirmedAfter. A daemon that never was in contact counts from its start, so that the engines of a fleet
// that starts are not sent away before there is a leader.
func (d *Daemon) lostGroupContact() bool {
	now := d.clock.Elapsed()
	return now.Since(max(d.lastGroupContact(now), d.members.View().Started)) > membership.UnconfirmedAfter
}

// Deregister takes an engine's notice that it is gone.
func (d *Daemon) Deregister(ctx context.Context, id ident.EngineID) registry.Response {
	if !d.config.Serves(daemonconfig.Control) {
		return registry.Response{Outcome: registry.Unknown}
	}
	hearing, ok := d.registry.Deregister(id)
	if !ok {
		return registry.Response{Outcome: registry.Unknown}
	}
	return d.commitDeparture(ctx, id, hearing)
}

// commitDeparture commits an engine's departure. Others may learn of it from here before, which does no harm; the
// acknowledgement rests on the commit, so that it outlives this daemon.
func (d *Daemon) commitDeparture(ctx context.Context, id ident.EngineID, hearing registry.HeartbeatResult) registry.Response {
	bounded, cancel := context.WithTimeout(ctx, departureLimit)
	defer cancel()
	if hearing.DrainCommitted {
		// A repeated notice: the departure is committed, and only needs the time to spread.
		d.awaitPeersInformed(bounded, hearing.Change, departureReach-d.clock.Elapsed().Since(hearing.DrainCommittedAt))
		d.counters.departuresAcknowledged.Add(1)
		return registry.Response{Outcome: registry.Acknowledged}
	}
	answer, ok := d.submit(bounded, statemachine.Command{Op: statemachine.OpEngineDeparted, Engine: id})
	if !ok || answer.Outcome != statemachine.Done {
		d.counters.departuresUnknown.Add(1)
		return registry.Response{Outcome: registry.Unknown}
	}
	d.registry.MarkDraining([]ident.EngineID{id}, false, true)
	d.counters.departuresAcknowledged.Add(1)
	return registry.Response{Outcome: registry.Acknowledged}
}

// awaitDepartureKnown is called at the leader when a departure is committed, and waits until all daemons in contact
// know of it.
func (d *Daemon) awaitDepartureKnown(ctx context.Context, id ident.EngineID) {
	change := d.registry.MarkDraining([]ident.EngineID{id}, false, true)
	d.awaitPeersInformed(ctx, change, departureReach)
}

func (d *Daemon) awaitPeersInformed(ctx context.Context, change uint64, within time.Duration) bool {
	return d.registry.AwaitPropagation(ctx, change, within, func() []ident.NodeID {
		var peers []ident.NodeID
		for _, peer := range d.members.View().InContact(d.clock.Elapsed(), membership.ContactWindow) {
			if peer.NodeID != d.nodeID {
				peers = append(peers, peer.NodeID)
			}
		}
		return peers
	})
}

// applyDepartures passes the departures of the replicated state on to the registry. It runs on the replica's
// goroutine, and so must not block: the registry is told on a goroutine that ends with that.
func (d *Daemon) applyDepartures(state *statemachine.State) {
	lately, before := []ident.EngineID{}, []ident.EngineID{}
	// After a snapshot all departures come again, which changes nothing.
	for _, left := range state.DepartedSince(d.departuresApplied) {
		if left.At.Add(recentDeparture) < state.Now {
			before = append(before, left.Engine)
		} else {
			lately = append(lately, left.Engine)
		}
	}
	d.departuresApplied = state.Departures
	if len(lately) > 0 || len(before) > 0 {
		go func() {
			d.registry.RecordDepartures(before)
			d.registry.MarkDraining(lately, false, true)
		}()
	}
}

// heartbeatPeriod is how often engines that register themselves send a heartbeat.
func (d *Daemon) heartbeatPeriod() time.Duration {
	return time.Duration(d.Bounds().HeartbeatMs) * time.Millisecond
}

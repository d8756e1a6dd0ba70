package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// leaseMargin is taken off the end of each lease for clock-rate error.
const leaseMargin = time.Second

// runWorkerLease acquires the lease of a worker id and renews it. It runs on a goroutine of its own until ctx ends.
func (d *Daemon) runWorkerLease(ctx context.Context) {
	// No request can be queued without a worker id, so a daemon that has just started checks often whether there is a
	// leader to ask.
	const renewCheckEvery, firstCheckEvery = 250 * time.Millisecond, 50 * time.Millisecond
	renewEvery := d.replicaConfig.WorkerLease / 3
	ticker := time.NewTicker(firstCheckEvery)
	defer ticker.Stop()
	var renewed clock.Mark
	for {
		requestedAt := d.clock.Elapsed()
		worker, leased := d.generator.WorkerID()
		if !d.draining.Load() && d.enlistedAt.Load() == 0 {
			d.registerServing(ctx)
		}
		switch {
		case d.draining.Load():
		case !leased:
			result, ok := d.submitOnce(ctx, statemachine.Command{Op: statemachine.OpAcquire, NodeID: d.nodeID})
			if ok && result.Grant != nil {
				d.generator.SetLease(*result.Grant, requestedAt)
				renewed = requestedAt
				ticker.Reset(renewCheckEvery)
				d.counters.leasesAcquired.Add(1)
				d.log.WithField("workerId", int64(result.Grant.WorkerID)).Info("worker id lease acquired")
				d.admitCallers()
			}
		case requestedAt.Since(renewed) >= renewEvery:
			result, ok := d.submitOnce(ctx, statemachine.Command{
				Op:       statemachine.OpRenew,
				NodeID:   d.nodeID,
				WorkerID: worker,
			})
			switch {
			case ok && result.Grant != nil:
				d.generator.SetLease(*result.Grant, requestedAt)
				renewed = requestedAt
				d.counters.leasesRenewed.Add(1)
			case ok && result.Outcome == statemachine.Mismatch:
				// The group no longer knows this lease: no id may be minted under it from now on.
				d.generator.ReleaseLease()
				d.counters.leasesLost.Add(1)
				d.log.Warn("worker id lease lost")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// registerServing has the group record that this incarnation may be serving, so that no change counts as in force
// everywhere without it.
func (d *Daemon) registerServing(ctx context.Context) {
	startedAt, known := d.readStartedAt(ctx)
	if !known {
		return
	}
	answer, ok := d.submitOnce(ctx, statemachine.Command{
		Op:        statemachine.OpRegister,
		NodeID:    d.nodeID,
		Address:   d.config.AdvertisedPeerAddress(),
		StartedAt: startedAt,
	})
	switch {
	case ok && answer.Outcome == statemachine.Done:
		d.enlistedAt.Store(int64(d.clock.Elapsed()))
	case ok && answer.Outcome == statemachine.Forbidden:
		d.abort(eris.New(answer.Reason))
	}
}

// readStartedAt reads the group's time, once in this incarnation: it orders the incarnations of this daemon, since each
// reads it from the leader after it has started. It is zero where the leader is of a build that does not tell it.
func (d *Daemon) readStartedAt(ctx context.Context) (ident.GroupTime, bool) {
	if d.startedAt > 0 {
		return d.startedAt, true
	}
	reading, ok := d.queryOnce(ctx, "time", "")
	if !ok || len(reading.Data) == 0 {
		return 0, ok
	}
	err := json.Unmarshal(reading.Data, &d.startedAt)
	return d.startedAt, err == nil
}

// EnlistedAt is when the group recorded this incarnation as one that may be serving; zero before.
func (d *Daemon) EnlistedAt() clock.Mark { return clock.Mark(d.enlistedAt.Load()) }

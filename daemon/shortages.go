package daemon

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
	"github.com/cresspond/cresspond/process/placement/sessionplacement"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// shortagesValidFor is for how long the planner's last report is believed.
const shortagesValidFor = 1500 * time.Millisecond

// shortageTolerance is by how much a wait must have changed for peers to be sent it.
const shortageTolerance = 400 * time.Millisecond

type receivedShortages struct {
	receivedAt clock.Mark
	waits      map[dispatch.Wanted]time.Duration
}

type receivedPoolShortages struct {
	receivedAt clock.Mark
	waits      map[PoolTarget]time.Duration
}

// PoolTarget names a model, or one adapter of it, of a pool.
type PoolTarget struct{ Pool, Model, Adapter string }

// shortageReport is what the planners here last reported that they can't load soon, as sent to peers.
type shortageReport struct {
	sessions []sessionplacement.Unplaced
	pools    []poolplacement.Unplaced
}

// similarTo says whether two reports are so close that peers needn't be sent the newer one.
func (h *shortageReport) similarTo(other *shortageReport) bool {
	if len(h.sessions) != len(other.sessions) || len(h.pools) != len(other.pools) {
		return false
	}
	near := func(a, b time.Duration) bool { return max(a-b, b-a) <= max(shortageTolerance, b/4) }
	for i, shortage := range h.sessions {
		if known := other.sessions[i]; shortage.Model != known.Model || shortage.Adapter != known.Adapter || !near(shortage.Wait, known.Wait) {
			return false
		}
	}
	for i, shortage := range h.pools {
		if known := other.pools[i]; shortage.Pool != known.Pool || shortage.Model != known.Model || shortage.Adapter != known.Adapter || !near(shortage.Wait, known.Wait) {
			return false
		}
	}
	return true
}

// addShortages adds the shortages to a reply, if this daemon is the planner and the peer doesn't have them.
func (d *Daemon) addShortages(in *peerapi.PullRequest, reply *peerapi.PullReply) {
	report := d.shortageReport.Load()
	if !reply.IsPlanner || report == nil {
		return
	}
	reply.ShortagesVersion = d.sentVersions.shortages.Load()
	if reply.ShortagesVersion == in.ShortagesVersion {
		return
	}
	for _, shortage := range report.sessions {
		reply.Shortages = append(reply.Shortages, &peerapi.Shortage{
			Model:   shortage.Model,
			Adapter: shortage.Adapter,
			WaitMs:  shortage.Wait.Milliseconds(),
		})
	}
	for _, shortage := range report.pools {
		reply.Shortages = append(reply.Shortages, &peerapi.Shortage{
			Pool:    shortage.Pool,
			Model:   shortage.Model,
			Adapter: shortage.Adapter,
			WaitMs:  shortage.Wait.Milliseconds(),
		})
	}
}

// receiveShortages takes the planner's report from a reply.
func (d *Daemon) receiveShortages(reply *peerapi.PullReply) {
	if !reply.IsPlanner || reply.ShortagesVersion == 0 {
		return
	}
	now := d.clock.Elapsed()
	if reply.ShortagesVersion == d.receivedVersions.shortages.Load() {
		// The report is the same as before, and valid for longer.
		if known := d.shortages.Load(); known != nil {
			d.shortages.Store(&receivedShortages{now, known.waits})
		}
		if known := d.poolShortages.Load(); known != nil {
			d.poolShortages.Store(&receivedPoolShortages{now, known.waits})
		}
		return
	}
	shortages := make(map[dispatch.Wanted]time.Duration, len(reply.Shortages))
	for _, shortage := range reply.Shortages {
		if shortage.Pool == "" {
			shortages[dispatch.Wanted{
				Model:   shortage.Model,
				Adapter: shortage.Adapter,
			}] = time.Duration(shortage.WaitMs) * time.Millisecond
		}
	}
	d.receivePoolShortages(reply.Shortages)
	d.shortages.Store(&receivedShortages{now, shortages})
	d.receivedVersions.shortages.Store(reply.ShortagesVersion)
}

// receivePoolShortages takes the pools' part of the planner's report.
func (d *Daemon) receivePoolShortages(shortages []*peerapi.Shortage) {
	waits := map[PoolTarget]time.Duration{}
	for _, shortage := range shortages {
		if shortage.Pool != "" {
			waits[PoolTarget{shortage.Pool, shortage.Model, shortage.Adapter}] = time.Duration(shortage.WaitMs) * time.Millisecond
		}
	}
	d.poolShortages.Store(&receivedPoolShortages{d.clock.Elapsed(), waits})
}

// shortagesNow returns the models that won't be loaded soon, and for how long, by the planner's last report.
func (d *Daemon) shortagesNow() map[dispatch.Wanted]time.Duration {
	if d.IsPlanner() {
		out := map[dispatch.Wanted]time.Duration{}
		for _, shortage := range d.sessionPlacer.Status().Unplaced {
			out[dispatch.Wanted{Model: shortage.Model, Adapter: shortage.Adapter}] = shortage.Wait
		}
		return out
	}
	if received := d.shortages.Load(); received != nil && d.clock.Elapsed().Since(received.receivedAt) < shortagesValidFor {
		return received.waits
	}
	return nil
}

// PoolShortage returns for how long a model or adapter is not likely to be loaded, by the planner's last report. The
// request path checks it before it queues a request.
func (d *Daemon) PoolShortage(pool, model, adapter string) (wait time.Duration, short bool) {
	if condition := d.poolPlanning.condition(); condition.HasLease {
		for _, shortage := range condition.Unplaced {
			if shortage.Pool == pool && shortage.Model == model && (shortage.Adapter == "" || shortage.Adapter == adapter) {
				return shortage.Wait, true
			}
		}
		return 0, false
	}
	received := d.poolShortages.Load()
	if received == nil || d.clock.Elapsed().Since(received.receivedAt) >= shortagesValidFor {
		return 0, false
	}
	if wait, short = received.waits[PoolTarget{pool, model, ""}]; short {
		return wait, true
	}
	wait, short = received.waits[PoolTarget{pool, model, adapter}]
	return wait, short
}

package daemon

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
	"github.com/cresspond/cresspond/process/placement/sessionplacement"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// lacksFresh is for how long the planner's word on what it will not load is believed.
const unplacedValidFor = 1500 * time.Millisecond

// lackSlack is by how much a wait must have changed for others to be told.
const unplacedTolerance = 400 * time.Millisecond

type receivedUnplaced struct {
	receivedAt clock.Mark
	waits      map[dispatch.Wanted]time.Duration
}

type receivedPoolUnplaced struct {
	receivedAt clock.Mark
	waits      map[PoolTarget]time.Duration
}

// PoolTarget names a model, or one adapter of it, of a pool.
type PoolTarget struct{ Pool, Model, Adapter string }

// heldLacks is what the planner here said last that it will not load soon, as told to others.
type unplacedReport struct {
	sessions []sessionplacement.Lack
	pools    []poolplacement.Lack
}

// like says whether two words on what is lacking are so near each other that others need not be told.
func (h *unplacedReport) similarTo(other *unplacedReport) bool {
	if len(h.sessions) != len(other.sessions) || len(h.pools) != len(other.pools) {
		return false
	}
	near := func(a, b time.Duration) bool { return max(a-b, b-a) <= max(unplacedTolerance, b/4) }
	for i, lack := range h.sessions {
		if known := other.sessions[i]; lack.Model != known.Model || lack.Adapter != known.Adapter || !near(lack.Wait, known.Wait) {
			return false
		}
	}
	for i, lack := range h.pools {
		if known := other.pools[i]; lack.Pool != known.Pool || lack.Model != known.Model || lack.Adapter != known.Adapter || !near(lack.Wait, known.Wait) {
			return false
		}
	}
	return true
}

// tellLacks puts what will not be loaded soon into a reply, where this daemon plans and the asker has it not.
func (d *Daemon) addUnplaced(in *peerapi.PullRequest, reply *peerapi.PullReply) {
	held := d.unplacedReport.Load()
	if !reply.IsPlanner || held == nil {
		return
	}
	reply.ShortagesVersion = d.sentVersions.unplaced.Load()
	if reply.ShortagesVersion == in.ShortagesVersion {
		return
	}
	for _, lack := range held.sessions {
		reply.Shortages = append(reply.Shortages, &peerapi.Shortage{Model: lack.Model, Adapter: lack.Adapter, WaitMs: lack.Wait.Milliseconds()})
	}
	for _, lack := range held.pools {
		reply.Shortages = append(reply.Shortages, &peerapi.Shortage{Pool: lack.Pool, Model: lack.Model, Adapter: lack.Adapter, WaitMs: lack.Wait.Milliseconds()})
	}
}

// learnLacks takes the planner's word on what will not be loaded soon.
func (d *Daemon) receiveUnplaced(reply *peerapi.PullReply) {
	if !reply.IsPlanner || reply.ShortagesVersion == 0 {
		return
	}
	now := d.clock.Elapsed()
	if reply.ShortagesVersion == d.receivedVersions.unplaced.Load() {
		// The same as before, said again.
		if known := d.unplaced.Load(); known != nil {
			d.unplaced.Store(&receivedUnplaced{now, known.waits})
		}
		if known := d.poolUnplaced.Load(); known != nil {
			d.poolUnplaced.Store(&receivedPoolUnplaced{now, known.waits})
		}
		return
	}
	lacks := make(map[dispatch.Wanted]time.Duration, len(reply.Shortages))
	for _, lack := range reply.Shortages {
		if lack.Pool == "" {
			lacks[dispatch.Wanted{Model: lack.Model, Adapter: lack.Adapter}] = time.Duration(lack.WaitMs) * time.Millisecond
		}
	}
	d.receivePoolUnplaced(reply.Shortages)
	d.unplaced.Store(&receivedUnplaced{now, lacks})
	d.receivedVersions.unplaced.Store(reply.ShortagesVersion)
}

// hearPoolLacks takes the planner's word on what will not be loaded soon.
func (d *Daemon) receivePoolUnplaced(lacks []*peerapi.Shortage) {
	waits := map[PoolTarget]time.Duration{}
	for _, lack := range lacks {
		if lack.Pool != "" {
			waits[PoolTarget{lack.Pool, lack.Model, lack.Adapter}] = time.Duration(lack.WaitMs) * time.Millisecond
		}
	}
	d.poolUnplaced.Store(&receivedPoolUnplaced{d.clock.Elapsed(), waits})
}

// lacksNow is what will not be loaded soon, by the newest word of whoever plans.
func (d *Daemon) unplacedNow() map[dispatch.Wanted]time.Duration {
	if d.IsPlanner() {
		out := map[dispatch.Wanted]time.Duration{}
		for _, lack := range d.sessionPlacer.Condition().Lacks {
			out[dispatch.Wanted{Model: lack.Model, Adapter: lack.Adapter}] = lack.Wait
		}
		return out
	}
	if heard := d.unplaced.Load(); heard != nil && d.clock.Elapsed().Since(heard.receivedAt) < unplacedValidFor {
		return heard.waits
	}
	return nil
}

// PoolLack is for how long something is not likely to be there, by the planner's newest word; the request
// path asks it before it holds a request.
func (d *Daemon) PoolUnplaced(pool, model, adapter string) (wait time.Duration, lacking bool) {
	if condition := d.poolPlanning.condition(); condition.Held {
		for _, lack := range condition.Lacks {
			if lack.Pool == pool && lack.Model == model && (lack.Adapter == "" || lack.Adapter == adapter) {
				return lack.Wait, true
			}
		}
		return 0, false
	}
	heard := d.poolUnplaced.Load()
	if heard == nil || d.clock.Elapsed().Since(heard.receivedAt) >= unplacedValidFor {
		return 0, false
	}
	if wait, lacking = heard.waits[PoolTarget{pool, model, ""}]; lacking {
		return wait, true
	}
	wait, lacking = heard.waits[PoolTarget{pool, model, adapter}]
	return wait, lacking
}

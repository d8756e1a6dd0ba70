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
const lacksFresh = 1500 * time.Millisecond

// lackSlack is by how much a wait must have changed for others to be told.
const lackSlack = 400 * time.Millisecond

type heardLacks struct {
	heard clock.Mark
	waits map[dispatch.Wanted]time.Duration
}

type heardPoolLacks struct {
	heard clock.Mark
	waits map[PoolTarget]time.Duration
}

// PoolTarget names a model, or one adapter of it, of a pool.
type PoolTarget struct{ Pool, Model, Adapter string }

// heldLacks is what the planner here said last that it will not load soon, as told to others.
type heldLacks struct {
	lacks []sessionplacement.Lack
	pools []poolplacement.Lack
}

// like says whether two words on what is lacking are so near each other that others need not be told.
func (h *heldLacks) like(other *heldLacks) bool {
	if len(h.lacks) != len(other.lacks) || len(h.pools) != len(other.pools) {
		return false
	}
	near := func(a, b time.Duration) bool { return max(a-b, b-a) <= max(lackSlack, b/4) }
	for i, lack := range h.lacks {
		if known := other.lacks[i]; lack.Model != known.Model || lack.Adapter != known.Adapter || !near(lack.Wait, known.Wait) {
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
func (d *Daemon) tellLacks(in *peerapi.PullRequest, reply *peerapi.PullReply) {
	held := d.heldLacks.Load()
	if !reply.IsPlanner || held == nil {
		return
	}
	reply.ShortagesVersion = d.toldNews.lacks.Load()
	if reply.ShortagesVersion == in.ShortagesVersion {
		return
	}
	for _, lack := range held.lacks {
		reply.Shortages = append(reply.Shortages, &peerapi.Shortage{Model: lack.Model, Adapter: lack.Adapter, WaitMs: lack.Wait.Milliseconds()})
	}
	for _, lack := range held.pools {
		reply.Shortages = append(reply.Shortages, &peerapi.Shortage{Pool: lack.Pool, Model: lack.Model, Adapter: lack.Adapter, WaitMs: lack.Wait.Milliseconds()})
	}
}

// learnLacks takes the planner's word on what will not be loaded soon.
func (d *Daemon) learnLacks(reply *peerapi.PullReply) {
	if !reply.IsPlanner || reply.ShortagesVersion == 0 {
		return
	}
	now := d.clock.Elapsed()
	if reply.ShortagesVersion == d.heardNews.lacks.Load() {
		// The same as before, said again.
		if known := d.lacks.Load(); known != nil {
			d.lacks.Store(&heardLacks{now, known.waits})
		}
		if known := d.poolLacks.Load(); known != nil {
			d.poolLacks.Store(&heardPoolLacks{now, known.waits})
		}
		return
	}
	lacks := make(map[dispatch.Wanted]time.Duration, len(reply.Shortages))
	for _, lack := range reply.Shortages {
		if lack.Pool == "" {
			lacks[dispatch.Wanted{Model: lack.Model, Adapter: lack.Adapter}] = time.Duration(lack.WaitMs) * time.Millisecond
		}
	}
	d.hearPoolLacks(reply.Shortages)
	d.lacks.Store(&heardLacks{now, lacks})
	d.heardNews.lacks.Store(reply.ShortagesVersion)
}

// hearPoolLacks takes the planner's word on what will not be loaded soon.
func (d *Daemon) hearPoolLacks(lacks []*peerapi.Shortage) {
	waits := map[PoolTarget]time.Duration{}
	for _, lack := range lacks {
		if lack.Pool != "" {
			waits[PoolTarget{lack.Pool, lack.Model, lack.Adapter}] = time.Duration(lack.WaitMs) * time.Millisecond
		}
	}
	d.poolLacks.Store(&heardPoolLacks{d.clock.Elapsed(), waits})
}

// lacksNow is what will not be loaded soon, by the newest word of whoever plans.
func (d *Daemon) lacksNow() map[dispatch.Wanted]time.Duration {
	if d.Plans() {
		out := map[dispatch.Wanted]time.Duration{}
		for _, lack := range d.placer.Condition().Lacks {
			out[dispatch.Wanted{Model: lack.Model, Adapter: lack.Adapter}] = lack.Wait
		}
		return out
	}
	if heard := d.lacks.Load(); heard != nil && d.clock.Elapsed().Since(heard.heard) < lacksFresh {
		return heard.waits
	}
	return nil
}

// PoolLack is for how long something is not likely to be there, by the planner's newest word; the request
// path asks it before it holds a request.
func (d *Daemon) PoolLack(pool, model, adapter string) (wait time.Duration, lacking bool) {
	if condition := d.pools.condition(); condition.Held {
		for _, lack := range condition.Lacks {
			if lack.Pool == pool && lack.Model == model && (lack.Adapter == "" || lack.Adapter == adapter) {
				return lack.Wait, true
			}
		}
		return 0, false
	}
	heard := d.poolLacks.Load()
	if heard == nil || d.clock.Elapsed().Since(heard.heard) >= lacksFresh {
		return 0, false
	}
	if wait, lacking = heard.waits[PoolTarget{pool, model, ""}]; lacking {
		return wait, true
	}
	wait, lacking = heard.waits[PoolTarget{pool, model, adapter}]
	return wait, lacking
}

package daemon

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// poolPlanning is the planner of pools, where the daemon was put together with one. A nil one plans nothing.
type poolPlanning struct {
	client   poolplacement.EngineClient
	settings poolplacement.Settings
	placer   *poolplacement.Actor
}

// PoolSettings are the planner's settings for a deployment with these bounds.
func PoolSettings(c daemonconfig.Config) poolplacement.Settings {
	settings := poolplacement.DefaultSettings("", time.Duration(c.Bounds.LeaseMs)*time.Millisecond)
	settings.Off = c.Experiments.Off()
	settings.Window = time.Duration(c.Bounds.OriginWindowMs) * time.Millisecond
	return settings
}

// WithPoolPlanning has the daemon place models on engines that register themselves, where it serves that.
// The claim's times are the deployment's, so all members of the group must be put together with the same.
func WithPoolPlanning(client poolplacement.EngineClient, settings poolplacement.Settings) Option {
	return func(d *Daemon) {
		d.pools = &poolPlanning{client: client, settings: settings}
		d.replicaConfig.ClaimSpan, d.replicaConfig.ClaimGap = settings.Span, settings.Gap
	}
}

// make makes the actor, before any other of the daemon's runs.
func (p *poolPlanning) make(d *Daemon) {
	if p == nil {
		return
	}
	if p.settings.Owner == "" {
		p.settings.Owner = string(d.nodeID)
	}
	p.placer = poolplacement.NewActor(poolPlanner{d}, p.client, p.settings, d.clock, d.log)
}

func (p *poolPlanning) run(run func(func(context.Context))) {
	if p != nil && p.placer != nil {
		run(p.placer.Run)
	}
}

func (p *poolPlanning) condition() poolplacement.Condition {
	if p == nil || p.placer == nil {
		return poolplacement.Condition{}
	}
	return p.placer.Condition()
}

func (p *poolPlanning) standDown() {
	if p != nil && p.placer != nil {
		p.placer.StandDown()
	}
}

func (p *poolPlanning) count(say func(name string, value uint64)) {
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
	say("engine_outcomes_wrong", judged.Wrong)
	say("engine_outcomes_dropped", judged.DigestsDropped)
	say("engines_ejected", judged.Ejections)
	say("engines_ejected_again", judged.Relapses)
	say("engines_slowed", judged.Slowed)
	say("engines_returned", judged.Returns)
	say("engines_spared", judged.Spared)
}

// poolPlanner is the daemon as the planner of pools sees it.
type poolPlanner struct{ *Daemon }

// Input gathers what the plan looks at.
func (p poolPlanner) Input() poolplacement.Input {
	now := p.clock.Elapsed()
	in := poolplacement.Input{Now: now, View: p.registry.View()}
	if t := p.keeper.Table(); t != nil && t.Forward != nil {
		in.Section = t.Forward.Section
	}
	in.Demand = p.heardDemand(now, p.forwardDemands())
	in.Shut, in.Emptying = func(engine *registry.Engine) bool { return !p.engineOpen(engine) }, p.nodes.emptying()
	in.Outcomes = p.heardOutcomes()
	return in
}

// heardOutcomes gives what this daemon and others saw of engines since it was last asked for.
func (d *Daemon) heardOutcomes() []outlier.Observation {
	own := d.forwardOutcomes()
	d.fleetMutex.Lock()
	defer d.fleetMutex.Unlock()
	out := d.fleetOutcomes
	d.fleetOutcomes = nil
	if len(own) > 0 {
		out = append(out, outlier.Observation{Zone: d.config.Zone, Digests: own})
	}
	return out
}

// mostOutcomes bounds what is kept of others' outcomes until the planner takes them.
const mostOutcomes = 2000

// hearOutcomes takes what an asker saw of engines, where this daemon plans.
func (d *Daemon) hearOutcomes(in *peerapi.PullRequest) {
	if len(in.Outcomes) == 0 || !d.Plans() {
		return
	}
	told := outlier.Observation{Zone: ident.ZoneID(in.Zone)}
	for _, one := range in.Outcomes {
		told.Digests = append(told.Digests, outlier.Digest{Engine: ident.EngineID(one.Engine), Attempts: int(one.Attempts), Failures: int(one.Failures),
			Refusals: int(one.Refusals), Overdue: int(one.Overdue)})
	}
	d.fleetMutex.Lock()
	defer d.fleetMutex.Unlock()
	if len(d.fleetOutcomes) < mostOutcomes {
		d.fleetOutcomes = append(d.fleetOutcomes, told)
	}
}

// heardDemand adds up what this daemon and all others were lately heard to ask for.
func (d *Daemon) heardDemand(now clock.Mark, own []*peerapi.Demand) []poolplacement.Demand {
	var out []poolplacement.Demand
	take := func(demand *peerapi.Demand, ago time.Duration, share float64) {
		if demand.Pool == "" {
			return
		}
		one := poolplacement.Demand{Pool: demand.Pool, Model: demand.Model, Adapter: demand.Adapter, Held: int(demand.Queued), Running: int(demand.Running),
			Tokens: demand.Tokens * share, Arrivals: demand.Arrivals * share, Rank: int(demand.Rank)}
		if demand.Queued > 0 {
			one.Oldest = time.Duration(demand.OldestMs)*time.Millisecond + ago
		}
		out = append(out, one)
	}
	for _, demand := range own {
		take(demand, 0, 1)
	}
	d.fleetMutex.Lock()
	defer d.fleetMutex.Unlock()
	for node, heard := range d.fleetWants {
		ago := now.Since(heard.At)
		if ago < demandFresh {
			heard.Each(now, take)
		}
		if ago > wantsKept {
			delete(d.fleetWants, node)
		}
	}
	return out
}

// Claim asks the group for the claim.
func (p poolPlanner) Claim(ctx context.Context, told *statemachine.Told, whole bool) poolplacement.ClaimAnswer {
	answer, ok := p.submitOnce(ctx, statemachine.Command{Op: statemachine.OpClaim, NodeID: p.nodeID, Told: told, TellsAll: true, Whole: whole, Resume: true, Above: p.heardClaim()})
	switch {
	case !ok || answer.Claim == nil:
		return poolplacement.ClaimAnswer{}
	case answer.Verdict == statemachine.Done:
		return poolplacement.ClaimAnswer{Granted: answer.Claim}
	}
	return poolplacement.ClaimAnswer{Wait: time.Duration(answer.Claim.FreeAt(p.replicaConfig.ClaimGap)-answer.Claim.Now) * time.Millisecond}
}

// heardClaim is the highest claim number that this daemon has heard of, so that none is ever given out twice.
func (d *Daemon) heardClaim() ident.ClaimNumber {
	var highest ident.ClaimNumber
	if d.pools == nil {
		return 0
	}
	for _, engine := range d.registry.View().Engines {
		if engine.Plan != nil {
			highest = max(highest, engine.Plan.Claim)
		}
	}
	return highest
}

// Mint stamps an order, LeaseHeld says whether the lease it was minted under still holds.
func (p poolPlanner) Mint() (ident.MintedID, snowflake.Outcome) { return p.generator.Mint() }

// LeaseHeld says whether the lease of the worker id still holds.
func (p poolPlanner) LeaseHeld() bool { return p.generator.Held() }

// MayStand says whether this daemon should try to plan.
func (p poolPlanner) MayStand() bool {
	ready, _ := p.members.Ready()
	return ready && !p.draining.Load() && p.generator.Held() && p.config.Serves(daemonconfig.Place)
}

// First says whether this daemon should have the claim before others. One that does not lead: a claim outlasts
// an election, so the loss of either machine alone costs less than the loss of one that is both.
func (p poolPlanner) First() bool { return !p.Leads() }

// Tell spreads the plan.
func (p poolPlanner) Tell(plans map[ident.EngineID]registry.Plan) { p.registry.TellPlan(plans) }

// PoolTarget names a model, or one adapter of it, of a pool.
type PoolTarget struct{ Pool, Model, Adapter string }

type heardPoolLacks struct {
	heard clock.Mark
	waits map[PoolTarget]time.Duration
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

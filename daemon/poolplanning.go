package daemon

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
)

// poolPlanning is the planner of pools. A nil one plans nothing.
type poolPlanning struct {
	client   poolplacement.EngineClient
	settings poolplacement.Settings
	placer   *poolplacement.Actor
}

// PoolSettings returns the planner's settings for a deployment.
func PoolSettings(config daemonconfig.Config) poolplacement.Settings {
	settings := poolplacement.DefaultSettings("", time.Duration(config.Bounds.LeaseMs)*time.Millisecond)
	settings.Off = config.Experiments.DisabledMechanisms()
	settings.Window = time.Duration(config.Bounds.OriginWindowMs) * time.Millisecond
	return settings
}

// WithPoolPlanning has the daemon place models on engines that register themselves, where it serves that. The times
// of the lease are the deployment's, so all members of the group must be made with the same.
func WithPoolPlanning(client poolplacement.EngineClient, settings poolplacement.Settings) Option {
	return func(d *Daemon) {
		d.poolPlanning = &poolPlanning{client: client, settings: settings}
		d.replicaConfig.PlannerLease, d.replicaConfig.PlannerLeaseGap = settings.LeaseSpan, settings.LeaseGap
	}
}

// build makes the actor, before any actor of the daemon runs.
func (p *poolPlanning) build(d *Daemon) {
	if p == nil {
		return
	}
	if p.settings.Owner == "" {
		p.settings.Owner = string(d.nodeID)
	}
	p.placer = poolplacement.NewActor(poolPlanner{d}, p.client, p.settings, d.clock, d.log)
}

func (p *poolPlanning) start(run func(func(context.Context))) {
	if p != nil && p.placer != nil {
		run(p.placer.Run)
	}
}

func (p *poolPlanning) condition() poolplacement.Status {
	if p == nil || p.placer == nil {
		return poolplacement.Status{}
	}
	return p.placer.Status()
}

func (p *poolPlanning) standDown() {
	if p != nil && p.placer != nil {
		p.placer.Resign()
	}
}

// poolPlanner is the daemon as the planner of pools sees it.
type poolPlanner struct{ *Daemon }

// Input returns what the plan is made by.
func (p poolPlanner) Input() poolplacement.Input {
	now := p.clock.Elapsed()
	in := poolplacement.Input{Now: now, View: p.registry.View()}
	if table := p.rollout.Table(); table != nil && table.Forward != nil {
		in.Section = table.Forward.Section
	}
	in.Demand = p.collectDemand(now, p.forwardDemands())
	in.Closed, in.Draining = func(engine *registry.Engine) bool { return !p.engineOpen(engine) }, p.nodeRanking.Emptying()
	in.Outcomes = p.takeOutcomes()
	return in
}

// Claim acquires or renews the planner's lease.
func (p poolPlanner) Claim(ctx context.Context, announced *statemachine.Announcement, complete bool) poolplacement.LeaseReply {
	answer, ok := p.submitOnce(ctx, statemachine.Command{
		Op:            statemachine.OpAcquirePlanner,
		NodeID:        p.nodeID,
		Announcement:  announced,
		AnnouncesAll:  true,
		WithAnnounced: complete,
		Resume:        true,
		TokenAbove:    p.highestClaimSeen(),
	})
	switch {
	case !ok || answer.PlannerLease == nil:
		return poolplacement.LeaseReply{}
	case answer.Outcome == statemachine.Done:
		return poolplacement.LeaseReply{Granted: answer.PlannerLease}
	}
	free := answer.PlannerLease.FreeAt(p.replicaConfig.PlannerLeaseGap)
	return poolplacement.LeaseReply{Wait: time.Duration(free-answer.PlannerLease.Now) * time.Millisecond}
}

// Mint returns an id for an order.
func (p poolPlanner) Mint() (ident.SnowflakeID, snowflake.Outcome) { return p.generator.Next() }

// WorkerLeaseValid says whether the lease of the worker id still holds.
func (p poolPlanner) WorkerLeaseValid() bool { return p.generator.HasLease() }

// MayPlan says whether this daemon should try to plan.
func (p poolPlanner) MayPlan() bool {
	ready, _ := p.members.Ready()
	return ready && !p.draining.Load() && p.generator.HasLease() && p.config.Serves(daemonconfig.Placement)
}

// Preferred says whether this daemon should get the lease before others: one that does not lead. A lease outlasts an
// election, so the loss of either machine alone costs less than the loss of one that is both.
func (p poolPlanner) Preferred() bool { return !p.IsLeader() }

// Publish publishes the plan by way of the registry.
func (p poolPlanner) Publish(plans map[ident.EngineID]registry.Plan) { p.registry.PublishPlans(plans) }

package daemon

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/connection/enginestream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/placement/sessionplacement"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/wire/engineapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// sessionPlanner is the daemon as the placement actor sees it.
type sessionPlanner struct{ *Daemon }

// Input returns what the plan is made by.
func (p sessionPlanner) Input() sessionplacement.Input {
	now := p.clock.Elapsed()
	in := sessionplacement.Input{Now: now, Table: p.rollout.Table(), Engines: p.watcher.View()}
	if p.config.Serves(daemonconfig.Route) {
		snapshot := p.dispatch.Snapshot()
		for _, demand := range snapshot.Demands {
			in.Demand = append(in.Demand, sessionplacement.Demand(demand))
		}
		for _, sessions := range snapshot.Assignments {
			in.Assignments = append(in.Assignments, sessionplacement.Assignments(sessions))
		}
	}
	p.peerDemandMutex.Lock()
	defer p.peerDemandMutex.Unlock()
	for node, receiver := range p.peerDemand {
		// Demand is stale soon; assignments are believed for longer, so that a partitioned daemon keeps them.
		if now.Since(receiver.At) > peerDemandRetained {
			delete(p.peerDemand, node)
			continue
		}
		if now.Since(receiver.At) < demandFresh {
			receiver.Each(now, func(demand *peerapi.Demand, _ time.Duration, _ float64) {
				if demand.Pool == "" {
					in.Demand = append(in.Demand, sessionplacement.Demand{
						Model:   demand.Model,
						Adapter: demand.Adapter,
						Value:   demand.Value,
						Queued:  int(demand.Queued),
						Running: int(demand.Running),
					})
				}
			})
		}
		for _, sessions := range receiver.Sessions {
			in.Assignments = append(in.Assignments, sessionplacement.Assignments{
				Engine:   ident.EngineID(sessions.Engine),
				Model:    sessions.Model,
				Adapter:  sessions.Adapter,
				Sessions: int(sessions.Sessions),
			})
		}
	}
	return in
}

// Claim acquires or renews the planner's lease.
func (p sessionPlanner) Claim(ctx context.Context, orders map[ident.EngineID]uint64, sequence uint64) (*statemachine.PlannerLease, bool) {
	answer, ok := p.submitOnce(ctx, statemachine.Command{
		Op:             statemachine.OpAcquirePlanner,
		NodeID:         p.nodeID,
		Orders:         orders,
		OrdersSequence: sequence,
		TokenAbove:     p.highestClaimSeen(),
	})
	if !ok || answer.Outcome != statemachine.Done || answer.PlannerLease == nil {
		return nil, false
	}
	return answer.PlannerLease, true
}

// Mint returns an id for an order.
func (p sessionPlanner) Mint() (ident.SnowflakeID, snowflake.Outcome) { return p.generator.Next() }

// Order sends an order to an engine, if the worker id lease still holds when the first byte leaves.
func (p sessionPlanner) Order(ctx context.Context, address string, order engineapi.Order, limit time.Duration,
	maySend func() bool,
) (*engineapi.OrderAnswer, bool) {
	return enginestream.SendOrder(ctx, address, order, limit, func() bool { return maySend() && p.generator.HasLease() })
}

// MayPlan says whether this daemon should try to plan.
func (p sessionPlanner) MayPlan() bool {
	ready, _ := p.Ready()
	// A configuration without engines of the platform's list leaves nothing to plan for sessions.
	table := p.rollout.Table()
	return ready && p.generator.HasLease() && (p.poolPlanning == nil || table != nil && len(table.Configuration.Engines) > 0)
}

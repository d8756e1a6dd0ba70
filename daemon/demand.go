package daemon

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/placement/demand"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	peerDemandRetained = 10 * time.Second
	demandFresh        = 2 * time.Second
)

// maxPeerOutcomes bounds how many observations of peers are retained until the planner takes them.
const maxPeerOutcomes = 2000

// AddDemand adds to a pull what this daemon has queued and running, for the planner, and says whether anything is
// queued. With onlyWaiting it adds nothing unless something is.
func (d *Daemon) AddDemand(request *peerapi.PullRequest, onlyWaiting bool) (waits bool) {
	if !d.config.Serves(daemonconfig.Route) {
		return false
	}
	var demands []*peerapi.Demand
	var assigned []*peerapi.EngineSessions
	snapshot := d.dispatch.Snapshot()
	for _, demand := range snapshot.Demands {
		demands = append(demands, &peerapi.Demand{
			Model:   demand.Model,
			Adapter: demand.Adapter,
			Value:   demand.Value,
			Queued:  int64(demand.Queued),
			Running: int64(demand.Running),
		})
	}
	demands = append(demands, d.forwardDemands()...)
	for _, sessions := range snapshot.Assignments {
		assigned = append(assigned, &peerapi.EngineSessions{
			Engine:   string(sessions.Engine),
			Model:    sessions.Model,
			Adapter:  sessions.Adapter,
			Sessions: int64(sessions.Sessions),
		})
	}
	waits = slices.ContainsFunc(demands, func(demand *peerapi.Demand) bool { return demand.Queued > 0 })
	if onlyWaiting && !waits {
		return false
	}
	message := d.demandSender.Next(d.clock.Elapsed(), request.PlannerAddress, demands, assigned)
	request.DemandVersion, request.DemandBaseVersion, request.Demand, request.Sessions = message.Seq, message.Base, message.Demand, message.Sessions
	for _, outcome := range d.forwardOutcomes() {
		request.Outcomes = append(request.Outcomes, &peerapi.EngineOutcomes{
			Engine:   string(outcome.Engine),
			Attempts: int64(outcome.Attempts),
			Failures: int64(outcome.Failures),
			Refusals: int64(outcome.Refusals),
			Overdue:  int64(outcome.Overdue),
		})
	}
	if !onlyWaiting {
		request.Nodes = d.nodeRanking.TakeDigests()
	}
	return waits
}

// forwardDemands lists the demand of forwarded requests here, for the planner.
func (d *Daemon) forwardDemands() []*peerapi.Demand {
	if d.forwarding.actor == nil {
		return nil
	}
	demands := d.forwarding.actor.Demands()
	out := make([]*peerapi.Demand, 0, len(demands))
	for _, one := range demands {
		out = append(out, &peerapi.Demand{
			Pool:     one.Pool,
			Model:    one.Model,
			Adapter:  one.Adapter,
			Queued:   int64(one.Queued),
			Running:  int64(one.Running),
			Tokens:   one.TokensPerSecond,
			Arrivals: one.ArrivalsPerSecond,
			OldestMs: one.OldestQueuedFor.Milliseconds(),
			Rank:     int64(one.Rank),
		})
	}
	return out
}

// receiveDemand takes a peer's demand. It returns false if that is a difference to a message that did not arrive
// here.
func (d *Daemon) receiveDemand(in *peerapi.PullRequest) bool {
	if in.DemandVersion == 0 {
		return true
	}
	d.peerDemandMutex.Lock()
	defer d.peerDemandMutex.Unlock()
	receiver := d.peerDemand[ident.NodeID(in.NodeId)]
	if receiver == nil {
		receiver = &demand.Receiver{}
		d.peerDemand[ident.NodeID(in.NodeId)] = receiver
	}
	return receiver.Apply(d.clock.Elapsed(), demand.Report{
		Seq:      in.DemandVersion,
		Base:     in.DemandBaseVersion,
		Demand:   in.Demand,
		Sessions: in.Sessions,
	})
}

// collectDemand gathers the recent demand of this daemon, as own, and of all others.
func (d *Daemon) collectDemand(now clock.Mark, own []*peerapi.Demand) []poolplacement.Demand {
	var out []poolplacement.Demand
	add := func(demand *peerapi.Demand, age time.Duration, fraction float64) {
		if demand.Pool == "" {
			return
		}
		one := poolplacement.Demand{
			Pool:     demand.Pool,
			Model:    demand.Model,
			Adapter:  demand.Adapter,
			Queued:   int(demand.Queued),
			Running:  int(demand.Running),
			Tokens:   demand.Tokens * fraction,
			Arrivals: demand.Arrivals * fraction,
			Rank:     int(demand.Rank),
		}
		if demand.Queued > 0 {
			one.OldestWait = time.Duration(demand.OldestMs)*time.Millisecond + age
		}
		out = append(out, one)
	}
	for _, demand := range own {
		add(demand, 0, 1)
	}
	d.peerDemandMutex.Lock()
	defer d.peerDemandMutex.Unlock()
	for node, receiver := range d.peerDemand {
		age := now.Since(receiver.At)
		if age < demandFresh {
			receiver.Each(now, add)
		}
		if age > peerDemandRetained {
			delete(d.peerDemand, node)
		}
	}
	return out
}

// forwardOutcomes takes the outcomes of forwarded attempts at engines since the last call.
func (d *Daemon) forwardOutcomes() []outlier.Digest {
	if d.forwarding.actor == nil {
		return nil
	}
	return d.forwarding.actor.Outcomes()
}

// receiveOutcomes takes the outcomes of a peer's attempts at engines, if this daemon is the planner.
func (d *Daemon) receiveOutcomes(in *peerapi.PullRequest) {
	if len(in.Outcomes) == 0 || !d.IsPlanner() {
		return
	}
	observation := outlier.Observation{Zone: ident.ZoneID(in.Zone)}
	for _, outcome := range in.Outcomes {
		observation.Digests = append(observation.Digests, outlier.Digest{
			Engine:   ident.EngineID(outcome.Engine),
			Attempts: int(outcome.Attempts),
			Failures: int(outcome.Failures),
			Refusals: int(outcome.Refusals),
			Overdue:  int(outcome.Overdue),
		})
	}
	d.peerDemandMutex.Lock()
	defer d.peerDemandMutex.Unlock()
	if len(d.peerOutcomes) < maxPeerOutcomes {
		d.peerOutcomes = append(d.peerOutcomes, observation)
	}
}

// takeOutcomes takes the outcomes that this daemon and its peers saw since the last call.
func (d *Daemon) takeOutcomes() []outlier.Observation {
	own := d.forwardOutcomes()
	d.peerDemandMutex.Lock()
	defer d.peerDemandMutex.Unlock()
	out := d.peerOutcomes
	d.peerOutcomes = nil
	if len(own) > 0 {
		out = append(out, outlier.Observation{Zone: d.config.Zone, Digests: own})
	}
	return out
}

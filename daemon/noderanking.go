package daemon

import (
	"context"
	"encoding/json"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/daemon/noderanking"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// nodesRead is the kind of read that returns the ranking; only the planner can answer it.
const nodesRead = "nodes"

// newNodeRanking returns the ranking of engines by the health of their nodes. Only who plans pools can rank.
func newNodeRanking(d *Daemon) *noderanking.Ranking {
	return noderanking.New(noderanking.Config{
		Settings: d.config.Ranking,
		Clock:    d.clock,
		Log:      d.log,
		NodeID:   d.nodeID,
		Zone:     d.config.Zone,
		Measures: d.forwards(),
		Plans:    d.poolPlanning != nil && d.config.Serves(daemonconfig.Placement),
	}, rankingHost{d})
}

// rankingHost is the daemon as the ranking sees it.
type rankingHost struct{ daemon *Daemon }

// PlannerLease returns the token of the lease of the planner of pools, and whether this daemon holds it.
func (h rankingHost) PlannerLease() (ident.FencingToken, bool) {
	condition := h.daemon.poolPlanning.condition()
	return condition.Token, condition.HasLease
}

// RegisteredEngines returns the engines that register themselves.
func (h rankingHost) RegisteredEngines() *registry.View { return h.daemon.registry.View() }

// RoutingTable returns the table in force; nil is none.
func (h rankingHost) RoutingTable() *routingtable.Table { return h.daemon.rollout.Table() }

// FleetDemand returns the recent demand of all daemons.
func (h rankingHost) FleetDemand(now clock.Mark) []poolplacement.Demand {
	return h.daemon.collectDemand(now, h.daemon.forwardDemands())
}

// NextID returns an id, under the lease of the worker id.
func (h rankingHost) NextID() (ident.SnowflakeID, snowflake.Outcome) {
	return h.daemon.generator.Next()
}

// SubmitOnce submits a command to the leader.
func (h rankingHost) SubmitOnce(ctx context.Context, command statemachine.Command) (rollout.Response, bool) {
	return h.daemon.submitOnce(ctx, command)
}

// Nodes returns the ranking page from the planner; false where no planner answers.
func (d *Daemon) Nodes(ctx context.Context, engine ident.EngineID) (operatorapi.Nodes, bool) {
	if page, plansHere := d.nodeRanking.Page(ctx, engine); plansHere {
		return page, true
	}
	address := d.members.View().PlannerAddress
	if address == "" || address == d.config.AdvertisedPeerAddress() {
		return operatorapi.Nodes{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	reply, err := d.links.Client(address).Read(bounded, &peerapi.ReadRequest{
		Group: string(d.Group()),
		What:  nodesRead,
		Key:   string(engine),
	})
	var page operatorapi.Nodes
	if err != nil || reply.Outcome != string(replica.Applied) || json.Unmarshal(reply.Result, &page) != nil {
		return operatorapi.Nodes{}, false
	}
	return page, true
}

// readNodes answers a peer's read of the ranking page.
func (d *Daemon) readNodes(ctx context.Context, engine string) *peerapi.ReadReply {
	page, plansHere := d.nodeRanking.Page(ctx, ident.EngineID(engine))
	if !plansHere {
		return &peerapi.ReadReply{Outcome: string(replica.NotLeader)}
	}
	data, err := json.Marshal(page)
	if err != nil {
		panic("broken invariant: the ranks cannot be encoded: " + err.Error())
	}
	return &peerapi.ReadReply{Outcome: string(replica.Applied), Result: data}
}

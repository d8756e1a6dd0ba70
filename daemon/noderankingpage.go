package daemon

import (
	"context"
	"encoding/json"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// nodesRead is the kind of read that returns the ranking; only the planner can answer it.
const nodesRead = "nodes"

// rankingQuery is a request for the ranking page, and whether engine may be drained.
type rankingQuery struct {
	engine ident.EngineID
	reply  chan operatorapi.Nodes
}

// Nodes returns the ranking page from the planner; false where no planner answers.
func (d *Daemon) Nodes(ctx context.Context, engine ident.EngineID) (operatorapi.Nodes, bool) {
	if page, plansHere := d.nodeRanking.page(ctx, engine); plansHere {
		return page, true
	}
	address := d.members.View().PlannerAddress
	if address == "" || address == d.config.AdvertisedPeerAddress() {
		return operatorapi.Nodes{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	reply, err := d.links.Client(address).Read(bounded, &peerapi.ReadRequest{Group: string(d.Group()), What: nodesRead, Key: string(engine)})
	var page operatorapi.Nodes
	if err != nil || reply.Outcome != string(replica.Applied) || json.Unmarshal(reply.Result, &page) != nil {
		return operatorapi.Nodes{}, false
	}
	return page, true
}

// readNodes answers a peer's read of the ranking page.
func (d *Daemon) readNodes(ctx context.Context, engine string) *peerapi.ReadReply {
	page, plansHere := d.nodeRanking.page(ctx, ident.EngineID(engine))
	if !plansHere {
		return &peerapi.ReadReply{Outcome: string(replica.NotLeader)}
	}
	data, err := json.Marshal(page)
	if err != nil {
		panic("broken invariant: the ranks cannot be encoded: " + err.Error())
	}
	return &peerapi.ReadReply{Outcome: string(replica.Applied), Result: data}
}

// page queries this daemon's own ranker; false where it is not the planner.
func (n *nodeRanking) page(ctx context.Context, engine ident.EngineID) (operatorapi.Nodes, bool) {
	if !n.plans() || !n.poolPlanning.condition().Held {
		return operatorapi.Nodes{}, false
	}
	query := rankingQuery{engine, make(chan operatorapi.Nodes, 1)}
	if !n.mailbox.Send(query) {
		return operatorapi.Nodes{}, false
	}
	select {
	case page := <-query.reply:
		return page, true
	case <-n.mailbox.Done():
	case <-ctx.Done():
	}
	return operatorapi.Nodes{}, false
}

// answerQuery builds the page. It runs on the ranker's goroutine.
func (n *nodeRanking) answerQuery(query rankingQuery) {
	page := operatorapi.Nodes{Mode: string(n.mode()), Token: n.claim, Nodes: []operatorapi.Node{}}
	table := n.rollout.Table()
	if table == nil {
		query.reply <- page
		return
	}
	page.ClosureVersion = table.Closures.Version
	fleet := n.fleet(n.clock.Elapsed(), n.registry.View(), table.Closures, table.OpenRegistered)
	rows := map[ident.EngineID]nodehealth.Row{}
	ranked := n.state.Load().rows
	for _, row := range ranked {
		rows[row.Engine] = row
	}
	add := func(id ident.EngineID) {
		engine, known := fleet[id]
		if !known {
			return
		}
		row := rows[id]
		node := operatorapi.Node{Engine: id, Pool: engine.Pool, Zone: engine.Zone, Stage: row.Stage.String(), SinceMs: row.Since.Milliseconds(), Score: round(row.Score),
			Value: row.Value, Others: row.PeerValue, Samples: row.Samples, Observers: row.Observers, SlowPaths: row.SlowZones, Closed: !engine.Open}
		if row.Samples > 0 {
			node.Kind = row.Kind.String()
		}
		if row.Refusal != nodehealth.Allowed {
			node.Refusal = row.Refusal.String()
		}
		if closure, shut := table.Closures.Engines[id]; shut {
			node.ClosedBy = closure.Operator
			if closure.Ranking != nil {
				node.ClosedReason = closure.Ranking.Reason
			}
		}
		if closure, kept := table.Closures.Protected[id]; kept {
			node.ProtectedBy = closure.Operator
		}
		page.Nodes = append(page.Nodes, node)
	}
	for _, row := range ranked {
		add(row.Engine)
	}
	for _, id := range sortedIDs(fleet) {
		if _, already := rows[id]; !already {
			add(id)
		}
	}
	if query.engine != "" {
		why := nodehealth.CheckDrain(n.limits(), fleet, query.engine)
		page.DrainCheck, page.DrainCheckReason = why.String(), why.Reason()
	}
	query.reply <- page
}

package noderanking

import (
	"context"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// pageQuery is a request for the ranking page, and whether engine may be drained.
type pageQuery struct {
	engine ident.EngineID
	reply  chan operatorapi.Nodes
}

// Page queries this daemon's own ranker; false where it is not the planner.
func (r *Ranking) Page(ctx context.Context, engine ident.EngineID) (operatorapi.Nodes, bool) {
	if !r.config.Plans || !r.holdsLease() {
		return operatorapi.Nodes{}, false
	}
	query := pageQuery{engine, make(chan operatorapi.Nodes, 1)}
	if !r.mailbox.Send(query) {
		return operatorapi.Nodes{}, false
	}
	select {
	case page := <-query.reply:
		return page, true
	case <-r.mailbox.Done():
	case <-ctx.Done():
	}
	return operatorapi.Nodes{}, false
}

// answerQuery builds the page. It runs on the ranker's goroutine.
func (r *Ranking) answerQuery(query pageQuery) {
	page := operatorapi.Nodes{Mode: string(r.mode()), Token: r.token, Nodes: []operatorapi.Node{}}
	table := r.host.RoutingTable()
	if table == nil {
		query.reply <- page
		return
	}
	page.ClosureVersion = table.Closures.Version
	fleet := r.fleet(r.config.Clock.Elapsed(), r.host.RegisteredEngines(), table.Closures, table.OpenRegistered)
	rows := map[ident.EngineID]nodehealth.Row{}
	ranked := r.published.Load().rows
	for _, row := range ranked {
		rows[row.Engine] = row
	}
	add := func(id ident.EngineID) {
		engine, known := fleet[id]
		if !known {
			return
		}
		page.Nodes = append(page.Nodes, pageRow(engine, rows[id], table.Closures))
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
		why := nodehealth.CheckDrain(r.limits(), fleet, query.engine)
		page.DrainCheck, page.DrainCheckReason = why.String(), why.Reason()
	}
	query.reply <- page
}

// pageRow returns the row of one engine; row is empty for an engine that is not ranked.
func pageRow(engine nodehealth.Engine, row nodehealth.Row, closures closure.Set) operatorapi.Node {
	node := operatorapi.Node{
		Engine:    engine.ID,
		Pool:      engine.Pool,
		Zone:      engine.Zone,
		Stage:     row.Stage.String(),
		SinceMs:   row.Since.Milliseconds(),
		Score:     round(row.Score),
		Value:     row.Value,
		Others:    row.PeerValue,
		Samples:   row.Samples,
		Observers: row.Observers,
		SlowPaths: row.SlowZones,
		Closed:    !engine.Open,
	}
	if row.Samples > 0 {
		node.Kind = row.Kind.String()
	}
	if row.Refusal != nodehealth.Allowed {
		node.Refusal = row.Refusal.String()
	}
	if closure, closed := closures.Engines[engine.ID]; closed {
		node.ClosedBy = closure.Operator
		if closure.Ranking != nil {
			node.ClosedReason = closure.Ranking.Reason
		}
	}
	if closure, protected := closures.Protected[engine.ID]; protected {
		node.ProtectedBy = closure.Operator
	}
	return node
}

// holdsLease says whether this daemon is the planner now.
func (r *Ranking) holdsLease() bool {
	_, leased := r.host.PlannerLease()
	return leased
}

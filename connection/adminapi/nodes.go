package adminapi

import (
	"context"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Ranker ranks engines by how their nodes behave.
type Ranker interface {
	// Nodes gives the ranks by whoever plans, and whether one engine may be drained; false where nobody plans now.
	Nodes(ctx context.Context, engine ident.EngineID) (operatorapi.Nodes, bool)
}

// nodes serves the ranks, and takes what operators say of one engine.
func (d *Server) nodes(ctx *fasthttp.RequestCtx) {
	switch {
	case ctx.IsGet() || ctx.IsHead():
		if page, known := d.ranking(ctx, ident.EngineID(ctx.QueryArgs().Peek("engine"))); known {
			respond(ctx, fasthttp.StatusOK, page)
		}
	case ctx.IsPost():
		d.applyNodeAction(ctx)
	default:
		fail(ctx, fasthttp.StatusMethodNotAllowed, operatorapi.Error{Outcome: "invalid", Reason: "this path takes another method"})
	}
}

func (d *Server) ranking(ctx *fasthttp.RequestCtx, engine ident.EngineID) (operatorapi.Nodes, bool) {
	bounded, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	page, known := d.daemon.Nodes(bounded, engine)
	if !known {
		fail(ctx, fasthttp.StatusServiceUnavailable, operatorapi.Error{Outcome: "unknown", Reason: "nobody who plans could be asked; ask again"})
	}
	return page, known
}

func (d *Server) applyNodeAction(ctx *fasthttp.RequestCtx) {
	var body operatorapi.NodeAction
	if !decodeBody(ctx, &body) || !checkRequired(ctx, [2]string{"engine", string(body.Engine)}, [2]string{"operator", body.Operator}) {
		return
	}
	if body.Action != operatorapi.NodeDrain && body.Action != operatorapi.NodeProtect && body.Action != operatorapi.NodeRelease {
		fail(ctx, fasthttp.StatusBadRequest, operatorapi.Error{Outcome: "invalid", Reason: "must be drain, keep or release", Field: "act"})
		return
	}
	page, known := d.ranking(ctx, body.Engine)
	if !known {
		return
	}
	place := slices.IndexFunc(page.Nodes, func(node operatorapi.Node) bool { return node.Engine == body.Engine })
	refuse := func(why nodehealth.Refusal) {
		status := fasthttp.StatusConflict
		if why == nodehealth.Unknown {
			status = fasthttp.StatusNotFound
		}
		fail(ctx, status, operatorapi.Error{Outcome: why.String(), Reason: why.Reason(), Field: "engine"})
	}
	command := statemachine.Command{Op: statemachine.OpProtect, Engine: body.Engine, Operator: body.Operator, Closed: body.Action == operatorapi.NodeProtect,
		// Each act builds on the closures that it was looked up in: a copy of it that comes late finds itself, or others
		// have acted since, and then it must not undo what they did.
		Base: page.ClosureVersion, HasBase: true}
	shutByRank := place >= 0 && page.Nodes[place].ClosedReason != ""
	switch {
	case place < 0 && body.Action != operatorapi.NodeRelease:
		refuse(nodehealth.Unknown)
		return
	case body.Action == operatorapi.NodeDrain:
		// What the ranking shut an operator may shut for good: nothing more goes by that.
		if why := refusalByName(page.DrainCheck); why != nodehealth.Allowed && !(why == nodehealth.AlreadyClosed && shutByRank) {
			refuse(why)
			return
		}
		// It builds on the closures it was checked against: another drain meanwhile has it checked anew.
		command.Op, command.Closed = statemachine.OpClosure, true
	case body.Action == operatorapi.NodeProtect && place >= 0 && page.Nodes[place].Closed && page.Nodes[place].ClosedBy != "" && !shutByRank:
		fail(ctx, fasthttp.StatusConflict, operatorapi.Error{Outcome: "drained", Reason: "an operator drains this engine; release it first", Field: "engine"})
		return
	case body.Action == operatorapi.NodeRelease && place >= 0 && page.Nodes[place].ProtectedBy == "" && page.Nodes[place].ClosedBy == "":
		fail(ctx, fasthttp.StatusConflict, operatorapi.Error{Outcome: "neither", Reason: "this engine is neither drained nor kept", Field: "engine"})
		return
	case body.Action == operatorapi.NodeRelease && (place < 0 || page.Nodes[place].ClosedBy != ""):
		command.Op = statemachine.OpClosure
	}
	if body.Action == operatorapi.NodeRelease && place >= 0 && page.Nodes[place].ProtectedBy != "" && command.Op == statemachine.OpClosure {
		// Both are taken back, the keeping first: then the ranking decides.
		unkeep := statemachine.Command{Op: statemachine.OpProtect, Engine: body.Engine, Operator: body.Operator, Base: page.ClosureVersion, HasBase: true}
		bounded, cancel := context.WithTimeout(context.Background(), commandTimeout)
		got, done := d.daemon.Command(bounded, unkeep)
		cancel()
		if !done {
			fail(ctx, fasthttp.StatusServiceUnavailable, operatorapi.Error{Outcome: "unknown", Reason: "the control group gave no answer in time; ask again"})
			return
		}
		if got.Outcome == statemachine.Done && got.Closures != nil {
			command.Base = got.Closures.Version
		}
	}
	d.command(ctx, command)
}

// refusalByName reads a refusal by its name.
func refusalByName(name string) nodehealth.Refusal {
	for why := nodehealth.Allowed; why <= nodehealth.LastReplica; why++ {
		if why.String() == name {
			return why
		}
	}
	return nodehealth.Unknown
}

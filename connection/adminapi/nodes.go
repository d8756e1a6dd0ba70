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
	// Nodes gives the planner's ranking, and whether one engine may be drained; false where there is no planner now.
	Nodes(ctx context.Context, engine ident.EngineID) (operatorapi.Nodes, bool)
}

// nodes serves the ranking, and accepts operators' actions on one engine.
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
		// Each action builds on the closures that it was checked against: a late retry finds its effect, or others have
		// acted since, and then it must not undo what they did.
		Base: page.ClosureVersion, HasBase: true}
	shutByRank := place >= 0 && page.Nodes[place].ClosedReason != ""
	switch {
	case place < 0 && body.Action != operatorapi.NodeRelease:
		refuse(nodehealth.Unknown)
		return
	case body.Action == operatorapi.NodeDrain:
		// What the ranking drains an operator may drain too: no further engine is taken out by that.
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
		// Both are ended, the protection first: then the ranking decides.
		version, known := d.endProtection(ctx, body, page.ClosureVersion)
		if !known {
			return
		}
		command.Base = version
	}
	d.command(ctx, command)
}

// endProtection ends the protection of an engine, on a version of the closures. It gives the version to build on next;
// false where the outcome is unknown, which it has responded.
func (d *Server) endProtection(ctx *fasthttp.RequestCtx, action operatorapi.NodeAction, base ident.Version) (ident.Version, bool) {
	id, ok := callID(ctx)
	if !ok {
		return 0, false
	}
	bounded, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	// One call of the operator becomes two commands, each with an id of its own.
	got, err := d.daemon.Command(bounded, statemachine.Command{
		Op: statemachine.OpProtect, Engine: action.Engine, Operator: action.Operator, Base: base, HasBase: true, CallID: id + " protection",
	})
	switch {
	case err != nil:
		fail(ctx, fasthttp.StatusServiceUnavailable, operatorapi.Error{Outcome: "unknown", Reason: err.Error() + "; ask again, here or elsewhere"})
		return 0, false
	case got.Outcome == statemachine.Done && got.Closures != nil:
		return got.Closures.Version, true
	}
	return base, true
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

package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// planning is a daemon with a ranking, that records the commands it gets.
type planning struct {
	Daemon
	page        operatorapi.Nodes
	unreachable bool
	commands    []statemachine.Command
}

func (p *planning) Nodes(_ context.Context, engine ident.EngineID) (operatorapi.Nodes, bool) {
	return p.page, !p.unreachable
}

func (p *planning) Command(_ context.Context, command statemachine.Command) (rollout.Response, error) {
	p.commands = append(p.commands, command)
	return rollout.Response{Result: statemachine.Result{Outcome: statemachine.Done}, Acknowledged: true}, nil
}

func post(p *planning, body string) (int, operatorapi.Error) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod("POST")
	ctx.Request.SetBodyString(body)
	New(p).Handle(&ctx, operatorapi.PathNodes)
	var message operatorapi.Error
	_ = json.Unmarshal(ctx.Response.Body(), &message)
	return ctx.Response.StatusCode(), message
}

func ranks(asked nodehealth.Refusal, node operatorapi.Node) operatorapi.Nodes {
	node.Engine = "e"
	return operatorapi.Nodes{ClosureVersion: 9, DrainCheck: asked.String(), Nodes: []operatorapi.Node{node}}
}

func TestNodeActions(t *testing.T) {
	byOperator, byRank := operatorapi.Node{Closed: true, ClosedBy: "ana"}, operatorapi.Node{Closed: true, ClosedBy: "ranking", ClosedReason: "stall"}
	for name, c := range map[string]struct {
		act    string
		page   operatorapi.Nodes
		status int
		op     statemachine.Op
		closed bool
	}{
		"drain":                        {"drain", ranks(nodehealth.Allowed, operatorapi.Node{}), 200, statemachine.OpClosure, true},
		"drain the last holder":        {"drain", ranks(nodehealth.LastReplica, operatorapi.Node{}), 409, "", false},
		"drain past the pool's bound":  {"drain", ranks(nodehealth.PoolLimit, operatorapi.Node{}), 409, "", false},
		"drain past the zone's bound":  {"drain", ranks(nodehealth.ZoneLimit, operatorapi.Node{}), 409, "", false},
		"drain past the holders'":      {"drain", ranks(nodehealth.ReplicaLimit, operatorapi.Node{}), 409, "", false},
		"drain a kept one":             {"drain", ranks(nodehealth.OperatorKeepsOpen, operatorapi.Node{ProtectedBy: "ana"}), 409, "", false},
		"drain a drained one":          {"drain", ranks(nodehealth.AlreadyClosed, byOperator), 409, "", false},
		"drain what the ranking did":   {"drain", ranks(nodehealth.AlreadyClosed, byRank), 200, statemachine.OpClosure, true},
		"drain an unknown one":         {"drain", operatorapi.Nodes{DrainCheck: nodehealth.Unknown.String()}, 404, "", false},
		"keep":                         {"keep", ranks(nodehealth.Allowed, operatorapi.Node{}), 200, statemachine.OpProtect, true},
		"keep what the ranking shut":   {"keep", ranks(nodehealth.AlreadyClosed, byRank), 200, statemachine.OpProtect, true},
		"keep what an operator drains": {"keep", ranks(nodehealth.AlreadyClosed, byOperator), 409, "", false},
		"keep an unknown one":          {"keep", operatorapi.Nodes{}, 404, "", false},
		"release a drain":              {"release", ranks(nodehealth.AlreadyClosed, byOperator), 200, statemachine.OpClosure, false},
		"release a rank's drain":       {"release", ranks(nodehealth.AlreadyClosed, byRank), 200, statemachine.OpClosure, false},
		"release a keeping":            {"release", ranks(nodehealth.OperatorKeepsOpen, operatorapi.Node{ProtectedBy: "ana"}), 200, statemachine.OpProtect, false},
		"release neither":              {"release", ranks(nodehealth.Allowed, operatorapi.Node{}), 409, "", false},
		"release one that is gone":     {"release", operatorapi.Nodes{}, 200, statemachine.OpClosure, false},
		"no such act":                  {"stop", ranks(nodehealth.Allowed, operatorapi.Node{}), 400, "", false},
	} {
		p := &planning{page: c.page}
		status, message := post(p, fmt.Sprintf(`{"engine":"e","act":%q,"operator":"ana"}`, c.act))
		if status != c.status || (c.op == "") != (len(p.commands) == 0) {
			t.Errorf("%s: %d %+v, %+v", name, status, message, p.commands)
			continue
		}
		if status != 200 && message.Reason == "" {
			t.Errorf("%s is refused without a reason", name)
		}
		if c.op == "" {
			continue
		}
		got := p.commands[len(p.commands)-1]
		if got.Op != c.op || got.Closed != c.closed || got.Engine != "e" || got.Operator != "ana" || got.Ranking != nil {
			t.Errorf("%s: %+v", name, got)
		}
		if c.act == "drain" && (!got.HasBase || got.Base != 9) {
			t.Errorf("%s must build on what it was checked against: %+v", name, got)
		}
	}
}

func TestReleaseEndsDrainingAndProtection(t *testing.T) {
	p := &planning{page: ranks(nodehealth.AlreadyClosed, operatorapi.Node{Closed: true, ClosedBy: "ana", ProtectedBy: "ana"})}
	if status, message := post(p, `{"engine":"e","act":"release","operator":"ana"}`); status != 200 || len(p.commands) != 2 || p.commands[0].Op != statemachine.OpProtect || p.commands[1].Op != statemachine.OpClosure {
		t.Fatalf("%d %+v %+v", status, message, p.commands)
	}
}

func TestNodeActionNeedsAPlannerAndACompleteBody(t *testing.T) {
	if status, _ := post(&planning{unreachable: true}, `{"engine":"e","act":"drain","operator":"ana"}`); status != 503 {
		t.Fatal(status)
	}
	for _, body := range []string{``, `{}`, `{"engine":"e","act":"drain"}`, `{"act":"drain","operator":"ana"}`, `{"engine":"e","act":"drain","operator":"ana","force":true}`} {
		if status, _ := post(&planning{page: ranks(nodehealth.Allowed, operatorapi.Node{})}, body); status != 400 {
			t.Errorf("%s: %d", body, status)
		}
	}
}

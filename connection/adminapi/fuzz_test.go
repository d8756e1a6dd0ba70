package adminapi

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// noting is a daemon that records what it is called with and accepts all of it.
type noting struct {
	Daemon
	registrations []registry.Registration
	commands      []statemachine.Command
}

func (n *noting) Register(_ context.Context, message registry.Registration) registry.Response {
	n.registrations = append(n.registrations, message)
	return registry.Response{Outcome: registry.Acknowledged}
}

func (n *noting) Command(_ context.Context, command statemachine.Command) (rollout.Response, error) {
	n.commands = append(n.commands, command)
	return rollout.Response{Result: statemachine.Result{Outcome: statemachine.Done}}, nil
}

func (n *noting) Nodes(context.Context, ident.EngineID) (operatorapi.Nodes, bool) {
	return operatorapi.Nodes{}, true
}

// FuzzServer: whatever body comes to a path that accepts one gets a response, and what is passed on is complete.
func FuzzServer(f *testing.F) {
	paths := []string{operatorapi.PathPropose, operatorapi.PathReview, operatorapi.PathZone, operatorapi.PathDrain, operatorapi.PathDeclareLost, operatorapi.PathNodes, operatorapi.PathEngines + "/e-1"}
	for place, text := range []string{
		`{"proposalId":"p","operator":"ana","spec":{}}`, `{"proposalId":"p","operator":"ana"}`, `{"zone":"z","closed":true,"base":3,"operator":"ana"}`,
		`{"engine":"e","draining":false,"base":0,"operator":"ana"}`, `{"daemon":"d#1","operator":"ana"}`, `{"engine":"e","act":"release","operator":"ana"}`,
		`{"pool":"p","address":"10.0.0.1:1","zone":"z","software":"v1","slots":4,"callSeq":1,"models":[{"model":"m","adapters":["a"]}]}`,
	} {
		f.Add(uint8(place), []byte(text))
		f.Add(uint8(place), []byte("null"))
		f.Add(uint8(place), []byte("{} {}"))
	}
	f.Fuzz(func(t *testing.T, place uint8, body []byte) {
		path := paths[int(place)%len(paths)]
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		if path == paths[len(paths)-1] {
			ctx.Request.Header.SetMethod(fasthttp.MethodPut)
		}
		ctx.Request.SetBody(body)
		daemon := &noting{}
		New(daemon).Handle(&ctx, path)
		status := ctx.Response.StatusCode()
		if taken := len(daemon.registrations)+len(daemon.commands) > 0; taken == (status >= 400) {
			t.Fatalf("%s was answered with %d, and taken: %t", path, status, taken)
		}
		for _, message := range daemon.registrations {
			if message.ID != "e-1" || message.Pool == "" || message.Address == "" || message.Slots < 1 || message.TerminatesInMs < 0 || message.SlowStartMs < 0 {
				t.Fatalf("%+v", message)
			}
		}
		for _, command := range daemon.commands {
			if command.Operator == "" || command.Op == statemachine.OpClosure && command.Zone == "" && command.Engine == "" {
				t.Fatalf("%+v", command)
			}
		}
	})
}

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

// noting is a daemon that notes what it was told and takes all of it.
type noting struct {
	Daemon
	words    []registry.Registration
	commands []statemachine.Command
}

func (n *noting) Register(_ context.Context, word registry.Registration) registry.Response {
	n.words = append(n.words, word)
	return registry.Response{Outcome: registry.Acknowledged}
}

func (n *noting) Command(_ context.Context, command statemachine.Command) (rollout.Response, bool) {
	n.commands = append(n.commands, command)
	return rollout.Response{Result: statemachine.Result{Outcome: statemachine.Done}}, true
}

func (n *noting) Nodes(context.Context, ident.EngineID) (operatorapi.Nodes, bool) {
	return operatorapi.Nodes{}, true
}

// FuzzServer: whatever body comes to a path that takes one, it is answered, and what is passed on is whole.
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
		if taken := len(daemon.words)+len(daemon.commands) > 0; taken == (status >= 400) {
			t.Fatalf("%s was answered with %d, and taken: %t", path, status, taken)
		}
		for _, word := range daemon.words {
			if word.ID != "e-1" || word.Pool == "" || word.Address == "" || word.Slots < 1 || word.TerminatesInMs < 0 || word.SlowStartMs < 0 {
				t.Fatalf("%+v", word)
			}
		}
		for _, command := range daemon.commands {
			if command.Operator == "" || command.Op == statemachine.OpClosure && command.Zone == "" && command.Engine == "" {
				t.Fatalf("%+v", command)
			}
		}
	})
}

package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cresspond/cresspond/testbed/caller"
	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// Load sends the deployment's mix until ctx ends.
func (r *Run) Load(ctx context.Context, scale float64) {
	for k, kind := range r.Fleet.Deployment.Kinds {
		random := rand.New(rand.NewPCG(r.Seed, uint64(100+k)))
		r.calls.Add(1)
		go func() {
			defer r.calls.Done()
			r.loadKind(ctx, k, kind, random, scale)
		}()
	}
}

func (r *Run) loadKind(ctx context.Context, k int, kind deployment.Kind, random *rand.Rand, scale float64) {
	d := r.Fleet.Deployment
	models := d.ModelsFor(k)
	send := func(attempt string, request callerapi.Generate) { r.Call(attempt, request) }
	if r.resending {
		send = r.callAgain
	}
	for n := 0; ; n++ {
		wait := time.Duration(random.ExpFloat64() / (kind.PerSecond * scale / float64(max(1, kind.SessionOf))) * float64(time.Second))
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		// Few models are asked for often, many seldom.
		model := models[int(float64(len(models))*random.Float64()*random.Float64())]
		request := callerapi.Generate{Route: kind.Route, House: kind.Tenant, Model: deployment.ModelName(model), DeadlineMs: kind.DeadlineMs,
			Repeatable: kind.Repeatable, Prefix: fmt.Sprintf("prefix-%d", random.IntN(5))}
		if model < d.Adapters && random.IntN(3) == 0 {
			request.Adapter = deployment.AdapterName(model)
		}
		count := 1
		if kind.SessionOf > 0 {
			count = kind.SessionOf
			request.Session = fmt.Sprintf("%s-%d-%d", kind.Route, r.Seed, n)
		}
		r.calls.Add(1)
		go func() {
			defer r.calls.Done()
			for i := range count {
				request.EndSession = kind.SessionOf > 0 && i == count-1
				send(fmt.Sprintf("%s-%d-%d-%d", kind.Route, r.Seed, n, i), request)
			}
		}()
	}
}

// Call sends one request to a daemon that the platform would hand the connection to.
func (r *Run) Call(attempt string, request callerapi.Generate) caller.Record {
	return r.callFrom(context.Background(), attempt, request, "")
}

// callFrom sends one request to a ready daemon, another than the one named if there is one.
func (r *Run) callFrom(ctx context.Context, attempt string, request callerapi.Generate, not string) caller.Record {
	request.Prompt = "route=" + request.Route + ";" + attempt
	r.mutex.Lock()
	if len(r.ready) == 0 {
		r.mutex.Unlock()
		return caller.Record{}
	}
	daemon := r.ready[r.nextDaemon%len(r.ready)]
	if daemon.Address == not {
		daemon = r.ready[(r.nextDaemon+1)%len(r.ready)]
	}
	r.nextDaemon++
	r.mutex.Unlock()
	record := caller.Send(ctx, daemon.Address, attempt, request)
	r.mutex.Lock()
	r.history.Calls = append(r.history.Calls, record)
	r.mutex.Unlock()
	return record
}

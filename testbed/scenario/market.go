package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// contest sends one class of requests for one model at a steady rate until ctx ends.
func (r *Run) contest(ctx context.Context, class checker.Class, kind deployment.Kind, model int, perSecond float64, deadline time.Duration) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(len(class.Name))*1000+uint64(perSecond)))
	for n := 0; ; n++ {
		timer := time.NewTimer(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		r.calls.Add(1)
		go func() {
			defer r.calls.Done()
			r.Call(fmt.Sprintf("%s%d", class.Prefix, n), callerapi.Generate{Route: kind.Route, House: kind.Tenant, Model: deployment.ModelName(model), DeadlineMs: deadline.Milliseconds()})
		}()
	}
}

// Market overloads the fleet: one tenant bursts on a model that all use, rivals and higher priorities go on as
// usual, a rare model is suddenly requested, and at the end an engine crashes under the overload.
func (r *Run) Market(ctx context.Context, scale float64) (map[string]uint64, error) {
	d := r.Fleet.Deployment
	var classes []checker.Class
	rare := checker.Class{Name: "the rare model", Prefix: "rare-"}
	counters, err := r.underLoad(ctx, scale/4, func() error {
		r.Pause(3 * time.Second)

		highest, burst := 0, 0
		for k, kind := range d.Kinds {
			if kind.Priority > d.Kinds[highest].Priority {
				highest = k
			}
			if kind.PerSecond > d.Kinds[burst].PerSecond {
				burst = k
			}
		}
		classes = []checker.Class{
			{Name: "the highest bid", Tenant: d.Kinds[highest].Tenant, Priority: d.Kinds[highest].Priority, Prefix: "contest-high-"},
			{Name: "the burst", Tenant: d.Kinds[burst].Tenant, Priority: d.Kinds[burst].Priority, Burst: true, Prefix: "contest-burst-"},
		}
		rival := -1
		for k, kind := range d.Kinds {
			if kind.Priority == d.Kinds[burst].Priority && kind.Tenant != d.Kinds[burst].Tenant {
				rival = k
				classes = append(classes, checker.Class{Name: "the rival", Tenant: kind.Tenant, Priority: kind.Priority, Prefix: "contest-rival-"})
			}
		}
		r.history.Contest = classes
		const model = 0
		bursting, stopBurst := context.WithCancel(ctx)
		defer stopBurst()
		r.Say("%s bursts", d.Kinds[burst].Route)
		deadline := 4 * time.Second
		go r.contest(bursting, classes[0], d.Kinds[highest], model, 10, deadline)
		go r.contest(bursting, classes[1], d.Kinds[burst], model, 400, deadline)
		if rival >= 0 {
			go r.contest(bursting, classes[2], d.Kinds[rival], model, 10, deadline)
		}
		r.Pause(8 * time.Second)
		r.Say("a rare model is asked for by the highest bid")
		models := d.ModelsFor(highest)
		asking, stopAsking := context.WithCancel(ctx)
		go r.contest(asking, rare, d.Kinds[highest], models[len(models)-1], 10, 8*time.Second)
		r.Pause(4 * time.Second)
		dying := r.otherThan(r.Fleet.Engines, nil)
		r.Say("%s dies in the thick of it", dying.Name)
		if err := r.replace(dying); err != nil {
			stopAsking()
			return err
		}
		r.Pause(4 * time.Second)
		stopAsking()
		stopBurst()
		// The highest priority goes on, so that there is service to recover.
		after, stopAfter := context.WithCancel(ctx)
		defer stopAfter()
		go r.contest(after, checker.Class{Prefix: "after-"}, d.Kinds[highest], model, 10, deadline)
		r.Pause(4 * time.Second)
		edges := r.Fleet.Edges()
		r.Crash(edges[r.random.IntN(len(edges))])
		if err := r.restartCrashed(edges); err != nil {
			return err
		}
		stopAfter()
		return nil
	})
	for _, class := range append(classes, rare) {
		share, count := r.history.ServedShare(class)
		r.Say("%s: %.3f of %d served", class.Name, share, count)
	}
	return counters, err
}

func (r *Run) restartCrashed(edges []*fleet.Process) error {
	for _, p := range edges {
		if !p.Running() {
			if err := p.Start(); err != nil {
				return err
			}
		}
	}
	return r.Await("all edges are ready", r.AllReady)
}

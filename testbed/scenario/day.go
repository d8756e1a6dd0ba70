package scenario

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/testbed/journal"
)

// Begin starts the fleet, rolls the first bundle out and waits until models are loaded.
func (r *Run) Begin(ctx context.Context) error {
	if err := r.Fleet.Start(); err != nil {
		return err
	}
	if err := r.Await("the group has a leader", func() bool { return r.Fleet.Leader() != nil }); err != nil {
		return err
	}
	r.Say("the group has formed")
	r.Observe(ctx)
	if err := r.Roll("first", 0); err != nil {
		return err
	}
	if err := r.Await("all edges are ready", r.AllReady); err != nil {
		return err
	}
	if err := r.Await("models are loaded", func() bool { return r.Loaded() >= min(r.Fleet.Deployment.Models, r.Fleet.Deployment.Engines) }); err != nil {
		return err
	}
	r.Say("%d models are loaded", r.Loaded())
	return nil
}

// Day is the main scenario, with a fault of each kind.
func (r *Run) Day(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		r.Pause(3 * time.Second)
		killed := r.Fleet.Engines[r.random.IntN(len(r.Fleet.Engines))]
		return inTurn(
			func() error { return r.killEngine(killed) },
			r.killLeaderAndRoll,
			r.refuseAndRace,
			r.crashEdge,
			func() error { return r.closeZoneAndEmptyEngine(killed) },
			r.stopEdge,
		)
	})
}

func (r *Run) killEngine(engine *fleet.Process) error {
	requestedAt := journal.Now()
	engine.Kill()
	r.Record(checker.Action{Kind: checker.EngineKilled, Subject: engine.Name, RequestedAt: requestedAt})
	r.Pause(2 * time.Second)
	r.Record(checker.Action{Kind: checker.EngineStarted, Subject: engine.Name})
	if err := engine.Start(); err != nil {
		return err
	}
	r.Pause(2 * time.Second)
	return nil
}

// killLeaderAndRoll removes the last route while the leader is down: from two seconds after the acknowledgement on, no
// request of it may reach an engine.
func (r *Run) killLeaderAndRoll() error {
	leader := r.Fleet.Leader()
	if leader == nil {
		return errors.New("no leader was found")
	}
	r.Crash(leader)
	last := r.Fleet.Deployment.Kinds[len(r.Fleet.Deployment.Kinds)-1].Route
	r.removedRoutes[last] = true
	if err := r.Roll("second", 1); err != nil {
		return err
	}
	r.Pause(4 * time.Second)
	if err := leader.Start(); err != nil {
		return err
	}
	delete(r.removedRoutes, last)
	return nil
}

func (r *Run) refuseAndRace() error {
	if err := r.RejectInvalid(2); err != nil {
		return err
	}
	if err := r.Race(2); err != nil {
		return err
	}
	r.Pause(2 * time.Second)
	return nil
}

// crashEdge kills an edge and starts it again, where there is more than one.
func (r *Run) crashEdge() error {
	edges := r.Fleet.Edges()
	if len(edges) <= 1 {
		return nil
	}
	crashed := edges[r.random.IntN(len(edges))]
	r.Crash(crashed)
	r.Pause(2 * time.Second)
	return crashed.Start()
}

// closeZoneAndEmptyEngine closes a zone, opens it, drains an engine other than the one killed before, and closes the
// zone again.
func (r *Run) closeZoneAndEmptyEngine(killed *fleet.Process) error {
	zones := r.Fleet.Deployment.Zones
	shut := zones[r.random.IntN(len(zones))]
	if err := r.Zone(shut, true); err != nil {
		return err
	}
	r.Pause(7 * time.Second)
	if err := r.Zone(shut, false); err != nil {
		return err
	}
	r.Pause(2 * time.Second)
	leaving := r.otherThan(r.Fleet.Engines, killed)
	r.Record(checker.Action{Kind: checker.EngineDraining, Subject: leaving.Name})
	r.Fleet.MarkDraining(leaving)
	r.Pause(5 * time.Second)
	leaving.Kill()
	return r.Zone(shut, true)
}

// stopEdge stops an edge as planned and starts it again.
func (r *Run) stopEdge() error {
	if err := r.awaitAllReady(); err != nil {
		return err
	}
	edges := r.Fleet.Edges()
	stopping := edges[r.random.IntN(len(edges))]
	r.StopGracefully(stopping)
	if err := inTurn(stopping.Start, r.awaitAllReady); err != nil {
		return err
	}
	r.Pause(2 * time.Second)
	return nil
}

// underLoad starts the fleet, sends the deployment's mix of requests while body injects faults, and finishes the run.
func (r *Run) underLoad(ctx context.Context, scale float64, body func() error) (map[string]uint64, error) {
	looking, stopLooking := context.WithCancel(ctx)
	defer stopLooking()
	r.following = looking
	if err := r.Begin(looking); err != nil {
		return nil, err
	}
	loading, stopLoading := context.WithCancel(ctx)
	defer stopLoading()
	r.Load(loading, scale)
	if err := body(); err != nil {
		return nil, err
	}
	return r.finishDay(stopLoading, stopLooking)
}

// finishDay ends the load, reads everything back, and stops all daemons gracefully: the edges together, then the cores.
func (r *Run) finishDay(stopLoading, stopLooking func()) (map[string]uint64, error) {
	stopLoading()
	r.calls.Wait()
	// No fault is left, so all that was committed comes in force everywhere.
	acknowledged := make(chan struct{})
	go func() { r.acks.Wait(); close(acknowledged) }()
	if err := r.Await("all changes are acknowledged", func() bool {
		select {
		case <-acknowledged:
			return true
		default:
			return false
		}
	}); err != nil {
		return nil, err
	}
	if err := r.ReadBack(); err != nil {
		return nil, err
	}
	counters := r.Counters()
	stopLooking()
	r.observers.Wait()
	for _, group := range [][]*fleet.Process{r.Fleet.Edges(), r.cores()} {
		var stops sync.WaitGroup
		for _, p := range group {
			stops.Add(1)
			go func() {
				defer stops.Done()
				r.StopGracefully(p)
			}()
		}
		stops.Wait()
	}
	return counters, nil
}

func (r *Run) cores() []*fleet.Process {
	var out []*fleet.Process
	for _, p := range r.Fleet.Daemons {
		if p.Core {
			out = append(out, p)
		}
	}
	return out
}

func (r *Run) otherThan(from []*fleet.Process, not *fleet.Process) *fleet.Process {
	for {
		if one := from[r.random.IntN(len(from))]; one != not {
			return one
		}
	}
}

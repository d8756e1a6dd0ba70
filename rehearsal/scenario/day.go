package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cresspond/cresspond/rehearsal/checker"
	"github.com/cresspond/cresspond/rehearsal/fleet"
	"github.com/cresspond/cresspond/rehearsal/journal"
)

// Begin brings the fleet up, rolls the first bundle and waits until it serves.
func (r *Run) Begin(ctx context.Context) error {
	if err := r.Fleet.Start(); err != nil {
		return err
	}
	if err := r.Await("the group has a leader", func() bool { return r.Fleet.Leader() != nil }); err != nil {
		return err
	}
	r.Say("the group has formed")
	r.Look(ctx)
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

// Day is the main rehearsal: a whole day in short, with a failure of each kind.
func (r *Run) Day(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		r.Pause(3 * time.Second)

		engines, edges := r.Fleet.Engines, r.Fleet.Edges()
		killed := engines[r.random.IntN(len(engines))]
		asked := journal.Now()
		killed.Kill()
		r.Act(checker.Act{Kind: checker.EngineKilled, Subject: killed.Name, Asked: asked})
		r.Pause(2 * time.Second)
		r.Act(checker.Act{Kind: checker.EngineStarted, Subject: killed.Name})
		if err := killed.Start(); err != nil {
			return err
		}
		r.Pause(2 * time.Second)

		leader := r.Fleet.Leader()
		if leader == nil {
			return fmt.Errorf("no leader was found")
		}
		r.Crash(leader)
		// The last route goes away: from two seconds after the word on, nothing of it may reach an engine.
		last := r.Fleet.Deployment.Kinds[len(r.Fleet.Deployment.Kinds)-1].Route
		r.without[last] = true
		if err := r.Roll("second", 1); err != nil {
			return err
		}
		r.Pause(4 * time.Second)
		if err := leader.Start(); err != nil {
			return err
		}
		delete(r.without, last)
		if err := r.RefuseOnes(2); err != nil {
			return err
		}
		if err := r.Race(2); err != nil {
			return err
		}
		r.Pause(2 * time.Second)

		if len(edges) > 1 {
			crashed := edges[r.random.IntN(len(edges))]
			r.Crash(crashed)
			r.Pause(2 * time.Second)
			if err := crashed.Start(); err != nil {
				return err
			}
		}
		shut := r.Fleet.Deployment.Zones[r.random.IntN(len(r.Fleet.Deployment.Zones))]
		if err := r.Zone(shut, true); err != nil {
			return err
		}
		r.Pause(7 * time.Second)
		if err := r.Zone(shut, false); err != nil {
			return err
		}
		r.Pause(2 * time.Second)
		leaving := r.pickOther(engines, killed)
		r.Act(checker.Act{Kind: checker.EngineLeaving, Subject: leaving.Name})
		r.Fleet.Leave(leaving)
		r.Pause(5 * time.Second)
		leaving.Kill()
		if err := r.Zone(shut, true); err != nil {
			return err
		}

		if err := r.Await("all edges are ready", r.AllReady); err != nil {
			return err
		}
		stopping := edges[r.random.IntN(len(edges))]
		r.StopGracefully(stopping)
		if err := stopping.Start(); err != nil {
			return err
		}
		if err := r.Await("all edges are ready", r.AllReady); err != nil {
			return err
		}
		r.Pause(2 * time.Second)
		return nil
	})
}

// underLoad brings the fleet up, sends the deployment's mix while body makes things happen, and winds the day up.
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

// finishDay ends the load, reads everything back, and stops all daemons as planned: the edges together, then the cores.
func (r *Run) finishDay(stopLoading, stopLooking func()) (map[string]uint64, error) {
	stopLoading()
	r.calls.Wait()
	// Nothing is broken any more, so whatever was committed comes in force everywhere.
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
	r.looks.Wait()
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

func (r *Run) pickOther(from []*fleet.Process, not *fleet.Process) *fleet.Process {
	for {
		if one := from[r.random.IntN(len(from))]; one != not {
			return one
		}
	}
}

package scenario

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/testbed/journal"
)

// killEngines ends some engines at once; the caller starts them again.
func (r *Run) killEngines(some []*fleet.Process) {
	requestedAt := journal.Now()
	for _, p := range some {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range some {
		p.Wait()
		r.Record(checker.Action{Kind: checker.EngineKilled, Subject: p.Name, RequestedAt: requestedAt})
	}
}

func (r *Run) startEngines(some []*fleet.Process) error {
	for _, p := range some {
		r.Record(checker.Action{Kind: checker.EngineStarted, Subject: p.Name})
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// loseZone ends all machines of a zone at once, and gives back the means to start them again, all at once.
func (r *Run) loseZone(zone ident.ZoneID) (restore func() error) {
	var engines, daemons []*fleet.Process
	for _, p := range r.Fleet.Engines {
		if p.Zone == zone {
			engines = append(engines, p)
		}
	}
	for _, p := range r.Fleet.Daemons {
		if p.Zone == zone {
			daemons = append(daemons, p)
			p.Signal(syscall.SIGKILL)
		}
	}
	r.killEngines(engines)
	for _, p := range daemons {
		p.Wait()
		r.Record(checker.Action{Kind: checker.Crashed, Subject: p.Name})
	}
	return func() error {
		if err := r.startEngines(engines); err != nil {
			return err
		}
		for _, p := range daemons {
			if err := p.Start(); err != nil {
				return err
			}
		}
		if err := r.awaitAllMembers(); err != nil {
			return err
		}
		return r.Await("all edges are ready", r.AllReady)
	}
}

// Storms loses half of the engines at once, and a complete zone; has a rare model requested by all in bursts; and ends
// with a fault.
func (r *Run) Storms(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		r.Pause(2 * time.Second)
		var half []*fleet.Process
		for i, p := range r.Fleet.Engines {
			if i%2 == int(r.Seed%2) {
				half = append(half, p)
			}
		}
		r.Say("%d of %d engines die at once, and are back at once", len(half), len(r.Fleet.Engines))
		r.killEngines(half)
		r.Pause(2 * time.Second)
		if err := r.startEngines(half); err != nil {
			return err
		}
		r.Pause(4 * time.Second)

		zones := r.Fleet.Deployment.Zones
		zone := zones[r.random.IntN(len(zones))]
		r.Say("all machines of %s die at once", zone)
		restore := r.loseZone(zone)
		if err := r.Roll("without-a-zone", 1); err != nil {
			return err
		}
		r.Pause(3 * time.Second)
		if err := restore(); err != nil {
			return err
		}
		r.Pause(2 * time.Second)

		for k, kind := range r.Fleet.Deployment.Kinds {
			models := r.Fleet.Deployment.ModelsFor(k)
			rare := models[len(models)-1]
			bursting, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
			r.Say("%s is suddenly wanted by %s", deployment.ModelName(rare), kind.Route)
			r.contest(bursting, checker.Class{Name: kind.Route, Prefix: fmt.Sprintf("rare-%d-", k)}, kind, rare, 60, time.Duration(kind.DeadlineMs)*time.Millisecond)
			stop()
		}

		r.Say("the day ends with a fault: all machines of %s die as a bundle is rolled", zones[0])
		restore = r.loseZone(zones[0])
		if err := r.Roll("closing", 2); err != nil {
			return err
		}
		if err := restore(); err != nil {
			return err
		}
		r.Pause(time.Second)
		return nil
	})
}

// Planners freezes, partitions, kills and stops the planner, with orders in flight, and restarts engines
// under their orders; reports go stale meanwhile.
func (r *Run) Planners(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		for round, way := range []string{"is frozen", "is cut off", "is killed", "stops as planned", "is frozen"} {
			var planner *fleet.Process
			if err := r.Await("someone plans", func() bool { planner = r.planner(); return planner != nil }); err != nil {
				return err
			}
			// Orders are in flight meanwhile: an engine has just started, empty, and another one's reports do not change.
			dying, stale := r.otherThan(r.Fleet.Engines, nil), r.Fleet.Engines[round%len(r.Fleet.Engines)]
			if err := r.replace(dying); err != nil {
				return err
			}
			if stale != dying {
				if err := r.Fleet.TellEngine(stale, "fault?kind=stale-report"); err != nil {
					return err
				}
			}
			r.Pause(time.Duration(300+r.random.IntN(900)) * time.Millisecond)
			r.Say("%s, who plans, %s", planner.Name, way)
			var restore func() error
			switch way {
			case "is frozen":
				planner.Signal(syscall.SIGSTOP)
				restore = func() error { planner.Signal(syscall.SIGCONT); return nil }
			case "is cut off":
				r.partition([]*fleet.Process{planner}, true, true)
				restore = func() error { r.heal(); return nil }
			case "is killed":
				r.Crash(planner)
				restore = planner.Start
			default:
				r.StopGracefully(planner)
				restore = planner.Start
			}
			if err := r.Await("there is another planner", func() bool { other := r.planner(); return other != nil && other != planner }); err != nil {
				return err
			}
			if err := r.replace(r.otherThan(r.Fleet.Engines, dying)); err != nil {
				return err
			}
			r.Pause(time.Duration(500+r.random.IntN(1000)) * time.Millisecond)
			if err := restore(); err != nil {
				return err
			}
			if err := r.Fleet.TellEngine(stale, "fault?kind="); err != nil {
				return err
			}
			if err := r.awaitAllMembers(); err != nil {
				return err
			}
			r.Pause(2 * time.Second)
		}
		return nil
	})
}

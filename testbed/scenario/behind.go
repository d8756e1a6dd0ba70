package scenario

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Behind rolls bundles out and closes zones while some daemons get no updates and go on: nothing may be
// called acknowledged that is not in force there too.
func (r *Run) Behind(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		edges, zones := r.Fleet.Edges(), r.Fleet.Deployment.Zones
		last := r.Fleet.Deployment.Kinds[len(r.Fleet.Deployment.Kinds)-1].Route
		version := uint64(0)
		// roll removes the last route, or adds it again, so that an old bundle shows in the arrivals.
		roll := func(note string, without bool) error {
			version++
			delete(r.removedRoutes, last)
			if without {
				r.removedRoutes[last] = true
			}
			return r.Roll(note, version)
		}
		heal := func() error {
			r.heal()
			return r.Await("all edges are ready", r.AllReady)
		}
		r.Pause(2 * time.Second)

		together := edges[:len(edges)/2+1]
		r.Say("%d routers are cut off together from all others, and go on", len(together))
		r.partition(together, true, true)
		r.Pause(time.Second)
		if err := roll("behind-their-back", true); err != nil {
			return err
		}
		if err := r.Zone(zones[0], true); err != nil {
			return err
		}
		r.Pause(7 * time.Second)
		r.Say("one of them starts again beside those that are behind: %s", together[0].Name)
		r.Crash(together[0])
		if err := together[0].Start(); err != nil {
			return err
		}
		r.Pause(4 * time.Second)
		if err := heal(); err != nil {
			return err
		}
		if err := r.Zone(zones[0], false); err != nil {
			return err
		}

		frozen := edges[r.random.IntN(len(edges))]
		r.Say("%s freezes during a roll, and wakes", frozen.Name)
		frozen.Signal(syscall.SIGSTOP)
		if err := roll("while-frozen", false); err != nil {
			return err
		}
		r.Pause(3 * time.Second)
		frozen.Signal(syscall.SIGCONT)
		if err := r.Await("all edges are ready", r.AllReady); err != nil {
			return err
		}

		for round := range 3 {
			leader, err := r.awaitLeader()
			if err != nil {
				return err
			}
			r.Say("%s, who leads, dies about when it would have answered a roll", leader.Name)
			wait := time.Duration(r.random.IntN(60)) * time.Millisecond
			dying := time.AfterFunc(wait, leader.Kill)
			err = roll(fmt.Sprint("answer-lost-", round), round%2 == 0)
			dying.Stop()
			leader.Kill()
			if err != nil {
				return err
			}
			if err := leader.Start(); err != nil {
				return err
			}
			if err := r.awaitAllMembers(); err != nil {
				return err
			}
		}

		if err := r.declareLost(edges[0]); err != nil {
			return err
		}
		if err := roll("at-last", false); err != nil {
			return err
		}
		r.Pause(3 * time.Second)
		return nil
	})
}

// declareLost has an operator declare a partitioned router lost while it runs: it must stop once it learns of that.
func (r *Run) declareLost(p *fleet.Process) error {
	status, err := r.Fleet.Status(p)
	if err != nil {
		return err
	}
	word := operatorapi.DeclareLost{Daemon: status.NodeID, Operator: "berta"}
	if code, _ := r.Ask(operatorapi.PathDeclareLost, word, nil); code != http.StatusConflict {
		return fmt.Errorf("a daemon that is heard was declared lost, with status %d", code)
	}
	if code, _ := r.Ask(operatorapi.PathDeclareLost, operatorapi.DeclareLost{Daemon: "nobody#0", Operator: "berta"}, nil); code != http.StatusNotFound {
		return fmt.Errorf("an unknown daemon was declared lost, with status %d", code)
	}
	r.Say("%s is cut off for good, as it seems, and is declared lost", p.Name)
	r.partition([]*fleet.Process{p}, true, true)
	if err := r.Await("it may be declared lost", func() bool {
		code, _ := r.Ask(operatorapi.PathDeclareLost, word, nil)
		return code == http.StatusOK
	}); err != nil {
		return err
	}
	r.heal()
	if err := r.Await("it has stopped", func() bool { return !p.Running() }); err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	return r.Await("all edges are ready", r.AllReady)
}

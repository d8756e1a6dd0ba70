package scenario

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// partition cuts the links from a set of daemons to all others (out), the links to them (in), or both.
func (r *Run) partition(some []*fleet.Process, out, in bool) {
	inside, names := map[string]bool{}, ""
	for _, p := range some {
		inside[p.Name] = true
		names += " " + p.Name
	}
	r.Record(checker.Action{Kind: checker.Split, Subject: names})
	for _, a := range r.Fleet.Daemons {
		for _, b := range r.Fleet.Daemons {
			if inside[a.Name] && !inside[b.Name] {
				if out {
					r.Fleet.Links.Partition(a.Name, b.Name)
				}
				if in {
					r.Fleet.Links.Partition(b.Name, a.Name)
				}
			}
		}
	}
}

// heal ends all partitions.
func (r *Run) heal() {
	r.Fleet.Links.Heal()
	r.Record(checker.Action{Kind: checker.Healed})
}

// Splits partitions the fleet in every way that the fault model names, and heals it again.
func (r *Run) Splits(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		version := uint64(1)
		ways := []struct {
			what    string
			out, in bool
		}{{"the leader is cut off both ways", true, true}, {"the leader hears and is not heard", true, false}, {"the leader is heard and does not hear", false, true}}
		for _, way := range ways {
			leader, err := r.awaitLeader()
			if err != nil {
				return err
			}
			r.Say("%s: %s", way.what, leader.Name)
			r.partition([]*fleet.Process{leader}, way.out, way.in)
			r.Record(checker.Action{Kind: checker.Crashed, Subject: leader.Name + ", cut off"})
			resolve, err := r.raceAtTwoLeaders(leader)
			if err != nil {
				return err
			}
			if err := r.Roll(fmt.Sprint("split-", version), version); err != nil {
				return err
			}
			version++
			r.Pause(2 * time.Second)
			r.heal()
			r.Pause(2 * time.Second)
			if err := resolve(); err != nil {
				return err
			}
		}

		edge := r.Fleet.Edges()[0]
		r.Say("one daemon alone: %s", edge.Name)
		r.partition([]*fleet.Process{edge}, true, true)
		last := r.Fleet.Deployment.Kinds[len(r.Fleet.Deployment.Kinds)-1].Route
		r.removedRoutes[last] = true
		if err := r.Roll("alone", version); err != nil {
			return err
		}
		version++
		if err := r.Await("the lone daemon says that it is not ready", func() bool { return !r.Fleet.Ready(edge) }); err != nil {
			return err
		}
		r.Pause(3 * time.Second)
		r.heal()
		if err := r.Await("all edges are ready", r.AllReady); err != nil {
			return err
		}

		r.Say("the whole core is cut off from the edges, which go on")
		r.partition(r.cores(), true, true)
		r.Record(checker.Action{Kind: checker.Crashed, Subject: "the core is cut off"})
		r.Pause(8 * time.Second)
		r.heal()
		if err := r.Await("all edges are ready", r.AllReady); err != nil {
			return err
		}

		r.Say("one zone is away")
		zone := r.Fleet.Deployment.Zones[len(r.Fleet.Deployment.Zones)-1]
		var away []*fleet.Process
		for _, p := range r.Fleet.Daemons {
			if p.Zone == zone {
				away = append(away, p)
			}
		}
		r.partition(away, true, true)
		r.Pause(6 * time.Second)
		r.heal()
		if err := r.awaitAllMembers(); err != nil {
			return err
		}
		if r.Fleet.Links.Stopped == 0 {
			return fmt.Errorf("no cut stopped anything")
		}
		if err := r.Zone(zone, true); err != nil {
			return err
		}
		if err := r.Roll("healed", version); err != nil {
			return err
		}
		r.Pause(6 * time.Second)
		return nil
	})
}

// raceAtTwoLeaders has one operator close a zone through a leader that is partitioned, and may not know it
// yet, and another close another zone through the rest, both on the same closures. What settle does is for
// after the split: who got no answer asks again, and is told that the other won; then all is opened.
func (r *Run) raceAtTwoLeaders(old *fleet.Process) (resolve func() error, err error) {
	base, err := r.closureVersion()
	if err != nil {
		return nil, err
	}
	zones, yes := r.Fleet.Deployment.Zones, true
	mine := operatorapi.ZoneClosure{Zone: zones[0], Closed: &yes, Base: &base, Operator: "ana"}
	theirs := operatorapi.ZoneClosure{Zone: zones[1], Closed: &yes, Base: &base, Operator: "berta"}
	there := make(chan int, 1)
	go func() {
		status, _ := r.Fleet.Post(old, operatorapi.PathZone, theirs, nil)
		there <- status
	}()
	status, _ := r.Ask(operatorapi.PathZone, mine, nil)
	r.Record(checker.Action{Kind: checker.ZoneClosing, Subject: string(mine.Zone)})
	thereStatus := <-there
	won := func(status int) bool { return status == http.StatusOK || status == http.StatusAccepted }
	r.Say("two operators at two leaders: %d, and %d at the one that is cut off", status, thereStatus)
	if won(status) && won(thereStatus) || !won(status) && status != http.StatusConflict {
		return nil, fmt.Errorf("two operators at two leaders were answered with %d and %d", status, thereStatus)
	}
	return func() error {
		for _, action := range []struct {
			body operatorapi.ZoneClosure
			won  bool
		}{{mine, won(status)}, {theirs, !won(status)}} {
			again, err := r.Ask(operatorapi.PathZone, action.body, nil)
			if won(again) != action.won || !action.won && again != http.StatusConflict {
				return fmt.Errorf("%s, asked for again, was answered with %d: %w", action.body.Zone, again, err)
			}
		}
		for _, zone := range zones[:2] {
			if err := r.Zone(zone, false); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func (r *Run) awaitLeader() (leader *fleet.Process, err error) {
	err = r.Await("the group has a leader", func() bool { leader = r.Fleet.Leader(); return leader != nil })
	return leader, err
}

// Freezes suspends processes for a while: when they go on they must not act on outdated state.
func (r *Run) Freezes(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		r.Pause(2 * time.Second)
		edges := r.Fleet.Edges()

		r.Say("%s freezes for longer than its lease", edges[0].Name)
		edges[0].Signal(syscall.SIGSTOP)
		frozen := time.Now()

		leader, err := r.awaitLeader()
		if err != nil {
			return err
		}
		r.Say("the leader %s freezes", leader.Name)
		leader.Signal(syscall.SIGSTOP)
		r.Record(checker.Action{Kind: checker.Crashed, Subject: leader.Name + ", frozen"})
		// While a routing daemon is frozen a route is removed: it must not forward requests of it when it goes on.
		last := r.Fleet.Deployment.Kinds[len(r.Fleet.Deployment.Kinds)-1].Route
		r.removedRoutes[last] = true
		if err := r.Roll("frozen", 1); err != nil {
			return err
		}
		leader.Signal(syscall.SIGCONT)
		r.Pause(2 * time.Second)

		planner := r.planner()
		if planner == nil {
			return fmt.Errorf("there is no planner")
		}
		r.Say("the planner %s freezes for longer than its lease", planner.Name)
		planner.Signal(syscall.SIGSTOP)
		if err := r.Await("there is another planner", func() bool { other := r.planner(); return other != nil && other != planner }); err != nil {
			return err
		}
		r.Pause(2 * time.Second)
		planner.Signal(syscall.SIGCONT)
		r.Pause(3 * time.Second)

		r.Say("%s freezes for a moment, and a zone closes meanwhile", edges[1].Name)
		edges[1].Signal(syscall.SIGSTOP)
		if err := r.Zone(r.Fleet.Deployment.Zones[0], true); err != nil {
			return err
		}
		r.Pause(5500 * time.Millisecond)
		edges[1].Signal(syscall.SIGCONT)
		if left := 33*time.Second - time.Since(frozen); left > 0 {
			r.Pause(left)
		}
		edges[0].Signal(syscall.SIGCONT)
		if err := r.Await("all edges are ready", r.AllReady); err != nil {
			return err
		}
		r.Pause(4 * time.Second)
		return nil
	})
}

// planner finds the daemon with the planner's lease; a frozen one does not answer.
func (r *Run) planner() *fleet.Process {
	for _, p := range r.cores() {
		if status, err := r.Fleet.Status(p); err == nil && status.Planner != nil && status.Planner.HasLease {
			return p
		}
	}
	return nil
}

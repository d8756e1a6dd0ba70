package scenario

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"syscall"
	"time"

	"github.com/cresspond/cresspond/testbed/caller"
	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// mostTries is how often a caller sends one attempt, to another daemon each time.
const mostTries = 4

// settled says that a caller knows the outcome of its attempt.
func settled(record caller.Record) bool {
	return record.Complete() || record.Outcome == callerapi.Refused || record.Outcome == callerapi.Invalid || record.Outcome == callerapi.Replay
}

// callAgain sends an attempt and, where its outcome stays open, sends it again at once elsewhere. One in
// five of the first tries is given up by the caller itself, at a moment that follows from the attempt's id.
func (r *Run) callAgain(attempt string, request callerapi.Generate) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(attempt))
	draw := hash.Sum32()
	patience := 1500 * time.Millisecond
	if draw%5 == 0 {
		patience = time.Duration(draw/5%400) * time.Millisecond
	}
	last := ""
	for try := range mostTries {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		record := r.callFrom(ctx, attempt, request, last)
		cancel()
		if settled(record) || record.Status == http.StatusOK && record.Final {
			return
		}
		last, patience = record.Daemon, time.Duration(try+2)*1500*time.Millisecond
	}
}

// Resend breaks daemons under callers that send the same attempt again at once, through another daemon.
func (r *Run) Resend(ctx context.Context, scale float64) (map[string]uint64, error) {
	r.resending = true
	return r.underLoad(ctx, scale, func() error {
		r.Pause(2 * time.Second)
		for round := range 3 {
			r.Say("round %d: a router is killed, and is back at once", round)
			if err := inTurn(r.killRouter, r.freezeRouter, r.cutOffRouter, r.killCoreAndRouter, r.stopRouter); err != nil {
				return err
			}
		}
		return inTurn(r.killRouters, r.awaitAllMembers, r.flood)
	})
}

// pickEdges draws so many routers, but never all.
func (r *Run) pickEdges(n int) []*fleet.Process {
	edges := r.Fleet.Edges()
	places := r.random.Perm(len(edges))
	var out []*fleet.Process
	for _, place := range places[:min(n, len(edges)-1)] {
		out = append(out, edges[place])
	}
	return out
}

// restart starts routers and waits until all are ready.
func (r *Run) restart(some []*fleet.Process) error {
	return inTurn(func() error { return startAll(some) }, r.awaitAllReady)
}

func (r *Run) killRouter() error {
	killed := r.pickEdges(1)
	r.Crash(killed[0])
	if err := r.restart(killed); err != nil {
		return err
	}
	r.Pause(time.Second)
	return nil
}

func (r *Run) freezeRouter() error {
	r.Say("a router freezes, and wakes with all that it had in hand")
	for _, p := range r.pickEdges(1) {
		p.Signal(syscall.SIGSTOP)
		r.Pause(4 * time.Second)
		p.Signal(syscall.SIGCONT)
	}
	return r.awaitAllReady()
}

func (r *Run) cutOffRouter() error {
	r.Say("a router is cut off from all peers, and not from callers and engines")
	r.partition(r.pickEdges(1), true, true)
	r.Pause(4 * time.Second)
	r.heal()
	if err := r.awaitAllReady(); err != nil {
		return err
	}
	r.Pause(time.Second)
	return nil
}

func (r *Run) killCoreAndRouter() error {
	r.Say("a core daemon dies, and then a router")
	cores := r.cores()
	core := cores[r.random.IntN(len(cores))]
	r.Crash(core)
	r.Pause(500 * time.Millisecond)
	killed := r.pickEdges(1)
	r.Crash(killed[0])
	r.Pause(time.Second)
	if err := core.Start(); err != nil {
		return err
	}
	return r.restart(killed)
}

func (r *Run) stopRouter() error {
	r.Say("a router stops as planned")
	stopping := r.pickEdges(1)
	r.StopGracefully(stopping[0])
	return r.restart(stopping)
}

func (r *Run) killRouters() error {
	r.Say("three routers die at once")
	killed := r.pickEdges(3)
	for _, p := range killed {
		p.Kill()
	}
	for _, p := range killed {
		r.Record(checker.Action{Kind: checker.Crashed, Subject: p.Name})
	}
	return r.restart(killed)
}

// flood sends hundreds of attempts within two seconds.
func (r *Run) flood() error {
	r.Say("a flood of attempt ids")
	kind := r.Fleet.Deployment.Kinds[0]
	for i := range 600 {
		r.calls.Add(1)
		go func() {
			defer r.calls.Done()
			r.callAgain(fmt.Sprintf("flood-%d-%d", r.Seed, i), callerapi.Generate{Route: kind.Route, House: kind.Tenant, Model: "model-00", DeadlineMs: 3000})
		}()
		if i%10 == 9 {
			r.Pause(30 * time.Millisecond)
		}
	}
	r.Pause(3 * time.Second)
	return nil
}

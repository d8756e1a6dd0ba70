package scenario

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"syscall"
	"time"

	"github.com/cresspond/cresspond/rehearsal/caller"
	"github.com/cresspond/cresspond/rehearsal/checker"
	"github.com/cresspond/cresspond/rehearsal/fleet"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// mostTries is how often a caller sends one attempt, to another daemon each time.
const mostTries = 4

// settled says that a caller knows what became of its attempt.
func settled(record caller.Record) bool {
	return record.Whole() || record.Outcome == callerapi.Refused || record.Outcome == callerapi.Invalid || record.Outcome == callerapi.Replay
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
		edges, cores := r.Fleet.Edges(), r.cores()
		pick := func(n int) []*fleet.Process {
			places := r.random.Perm(len(edges))
			var out []*fleet.Process
			for _, place := range places[:min(n, len(edges)-1)] {
				out = append(out, edges[place])
			}
			return out
		}
		restart := func(some []*fleet.Process) error {
			for _, p := range some {
				if err := p.Start(); err != nil {
					return err
				}
			}
			return r.Await("all edges are ready", r.AllReady)
		}
		r.Pause(2 * time.Second)
		for round := range 3 {
			r.Say("round %d: a router is killed, and is back at once", round)
			killed := pick(1)
			r.Crash(killed[0])
			if err := restart(killed); err != nil {
				return err
			}
			r.Pause(time.Second)
			r.Say("a router freezes, and wakes with all that it had in hand")
			for _, p := range pick(1) {
				p.Signal(syscall.SIGSTOP)
				r.Pause(4 * time.Second)
				p.Signal(syscall.SIGCONT)
			}
			if err := r.Await("all edges are ready", r.AllReady); err != nil {
				return err
			}
			r.Say("a router is cut off from all fellows, and not from callers and engines")
			r.cutOff(pick(1), true, true)
			r.Pause(4 * time.Second)
			r.heal()
			if err := r.Await("all edges are ready", r.AllReady); err != nil {
				return err
			}
			r.Pause(time.Second)
			r.Say("a core daemon dies, and then a router")
			core := cores[r.random.IntN(len(cores))]
			r.Crash(core)
			r.Pause(500 * time.Millisecond)
			killed = pick(1)
			r.Crash(killed[0])
			r.Pause(time.Second)
			if err := core.Start(); err != nil {
				return err
			}
			if err := restart(killed); err != nil {
				return err
			}
			r.Say("a router stops as planned")
			stopping := pick(1)
			r.StopGracefully(stopping[0])
			if err := restart(stopping); err != nil {
				return err
			}
		}
		r.Say("three routers die at once")
		killed := pick(3)
		for _, p := range killed {
			p.Kill()
		}
		for _, p := range killed {
			r.Act(checker.Act{Kind: checker.Crashed, Subject: p.Name})
		}
		if err := restart(killed); err != nil {
			return err
		}
		if err := r.awaitWhole(); err != nil {
			return err
		}
		r.Say("a flood of attempt ids")
		kind := r.Fleet.Deployment.Kinds[0]
		for i := range 600 {
			r.calls.Add(1)
			go func() {
				defer r.calls.Done()
				r.callAgain(fmt.Sprintf("flood-%d-%d", r.Seed, i), callerapi.Generate{Route: kind.Route, House: kind.House, Model: "model-00", DeadlineMs: 3000})
			}()
			if i%10 == 9 {
				r.Pause(30 * time.Millisecond)
			}
		}
		r.Pause(3 * time.Second)
		return nil
	})
}

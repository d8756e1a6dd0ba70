// Package scenario drives a fleet through a day with failures, and gathers its history.
package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/testbed/journal"
)

// Run is one rehearsal in hand.
type Run struct {
	Fleet  *fleet.Fleet
	Seed   uint64
	Say    func(format string, args ...any)
	random *rand.Rand

	mutex         sync.Mutex
	history       checker.History
	ready         []*fleet.Process
	removedRoutes map[string]bool
	nextDaemon    int
	calls         sync.WaitGroup
	observers     sync.WaitGroup
	// acks are the changes that are followed until they are acknowledged, or the run's end.
	acks      sync.WaitGroup
	following context.Context
	closed    map[string]bool
	// resending says that callers send an attempt again elsewhere where its outcome stays open.
	resending bool
	// unresponsiveSince is when a daemon last gave an operator no answer.
	unresponsiveSince map[*fleet.Process]time.Time
}

// New prepares a run.
func New(f *fleet.Fleet, seed uint64, say func(string, ...any)) *Run {
	r := &Run{Fleet: f, Seed: seed, Say: say, random: rand.New(rand.NewPCG(seed, 1)), removedRoutes: map[string]bool{}, closed: map[string]bool{}, unresponsiveSince: map[*fleet.Process]time.Time{}}
	r.following = context.Background()
	r.history.ZoneOf = map[string]string{}
	for _, engine := range f.Engines {
		r.history.ZoneOf[engine.Name] = string(engine.Zone)
	}
	r.history.LoadsAtOnce, r.history.LoadGap = deployment.LoadsAtOnce, deployment.LoadGap
	r.history.Slots, r.history.RetryShare = f.Deployment.Slots, 0.1
	return r
}

// waitTimeout ends a wait that will never end; no finding rests on shorter times.
const waitTimeout = 60 * time.Second

// Await waits until something holds.
func (r *Run) Await(what string, holds func() bool) error {
	guard := time.After(waitTimeout)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-guard:
			return fmt.Errorf("waited %v in vain until %s", waitTimeout, what)
		case <-tick.C:
		}
	}
	return nil
}

// Pause lets the load go on for a while.
func (r *Run) Pause(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	<-timer.C
}

// Record notes what was done.
func (r *Run) Record(action checker.Action) {
	if action.At == 0 {
		action.At = journal.Now()
	}
	r.mutex.Lock()
	r.history.Actions = append(r.history.Actions, action)
	r.mutex.Unlock()
	r.Say("%s %s", action.Kind, action.Subject)
}

// StopGracefully asks a daemon to stop and waits until it has. Where the fleet has two builds its next start is with
// the other one, as an upgrade would do it.
func (r *Run) StopGracefully(p *fleet.Process) {
	r.Record(checker.Action{Kind: checker.StopRequested, Subject: p.Address})
	p.Signal(syscall.SIGTERM)
	code := p.Wait()
	r.Record(checker.Action{Kind: checker.Stopped, Subject: p.Address})
	r.mutex.Lock()
	r.history.Exits = append(r.history.Exits, checker.Exit{Daemon: p.Name, Code: code})
	r.mutex.Unlock()
	r.Fleet.SwapBuild(p)
}

// Crash kills a daemon.
func (r *Run) Crash(p *fleet.Process) {
	p.Kill()
	r.Record(checker.Action{Kind: checker.Crashed, Subject: p.Name})
}

// Finish waits for the calls in hand, gathers the journals and gives the whole history.
func (r *Run) Finish() (*checker.History, error) {
	r.calls.Wait()
	for _, engine := range r.Fleet.Engines {
		entries, err := journal.Read(engine.Journal)
		if err != nil {
			return nil, err
		}
		r.history.Journals = append(r.history.Journals, entries...)
	}
	return &r.history, nil
}

// Package scenario drives a fleet of the product's own deployments through named scenarios with faults, and gathers the
// history that package checker checks. cmd/testbed calls it.
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

// Run is one run in progress.
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
	// acks waits for changes that are followed until their acknowledgement, or the run's end.
	acks      sync.WaitGroup
	following context.Context
	closed    map[string]bool
	// resending has callers resend an attempt to another daemon where its outcome is unknown.
	resending bool
	// unresponsiveSince is when a daemon last did not answer an operator.
	unresponsiveSince map[*fleet.Process]time.Time
}

// New prepares a run; nothing is started.
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

// waitTimeout fails a run that does not get on; no finding depends on shorter times.
const waitTimeout = 60 * time.Second

// Await polls a condition until it holds; what names it in the error.
func (r *Run) Await(what string, holds func() bool) error {
	guard := time.After(waitTimeout)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-guard:
			return fmt.Errorf("timed out after %v waiting until %s", waitTimeout, what)
		case <-tick.C:
		}
	}
	return nil
}

// Pause waits while the load continues.
func (r *Run) Pause(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	<-timer.C
}

// Record records an action in the history, at the present time unless it has one.
func (r *Run) Record(action checker.Action) {
	if action.At == 0 {
		action.At = journal.Now()
	}
	r.mutex.Lock()
	r.history.Actions = append(r.history.Actions, action)
	r.mutex.Unlock()
	r.Say("%s %s", action.Kind, action.Subject)
}

// StopGracefully stops a daemon by SIGTERM and waits for its end. Where the fleet has two builds its next start is with
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

// Finish waits for the requests in flight, gathers the engines' journals and returns the history.
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

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

	mutex   sync.Mutex
	history checker.History
	ready   []*fleet.Process
	without map[string]bool
	next    int
	calls   sync.WaitGroup
	looks   sync.WaitGroup
	// acks are the changes that are followed until they are acknowledged, or the run's end.
	acks      sync.WaitGroup
	following context.Context
	shut      map[string]bool
	// resending says that callers send an attempt again elsewhere where its outcome stays open.
	resending bool
	// silent is when a daemon last gave an operator no answer.
	silent map[*fleet.Process]time.Time
}

// New prepares a run.
func New(f *fleet.Fleet, seed uint64, say func(string, ...any)) *Run {
	r := &Run{Fleet: f, Seed: seed, Say: say, random: rand.New(rand.NewPCG(seed, 1)), without: map[string]bool{}, shut: map[string]bool{}, silent: map[*fleet.Process]time.Time{}}
	r.following = context.Background()
	r.history.ZoneOf = map[string]string{}
	for _, engine := range f.Engines {
		r.history.ZoneOf[engine.Name] = string(engine.Zone)
	}
	r.history.LoadsAtOnce, r.history.LoadGap = deployment.LoadsAtOnce, deployment.LoadGap
	r.history.Slots, r.history.RetryShare = f.Deployment.Slots, 0.1
	return r
}

// hangGuard ends a wait that will never end; no finding rests on shorter times.
const hangGuard = 60 * time.Second

// Await waits until something holds.
func (r *Run) Await(what string, holds func() bool) error {
	guard := time.After(hangGuard)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-guard:
			return fmt.Errorf("waited %v in vain until %s", hangGuard, what)
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

// Act notes what was done.
func (r *Run) Act(act checker.Act) {
	if act.At == 0 {
		act.At = journal.Now()
	}
	r.mutex.Lock()
	r.history.Acts = append(r.history.Acts, act)
	r.mutex.Unlock()
	r.Say("%s %s", act.Kind, act.Subject)
}

// StopGracefully asks a daemon to stop and waits until it has. Where the fleet has two builds its next start is with
// the other one, as an upgrade would do it.
func (r *Run) StopGracefully(p *fleet.Process) {
	r.Act(checker.Act{Kind: checker.StopAsked, Subject: p.Address})
	p.Signal(syscall.SIGTERM)
	code := p.Wait()
	r.Act(checker.Act{Kind: checker.Stopped, Subject: p.Address})
	r.mutex.Lock()
	r.history.Exits = append(r.history.Exits, checker.Exit{Daemon: p.Name, Code: code})
	r.mutex.Unlock()
	r.Fleet.SwapBuild(p)
}

// Crash kills a daemon.
func (r *Run) Crash(p *fleet.Process) {
	p.Kill()
	r.Act(checker.Act{Kind: checker.Crashed, Subject: p.Name})
}

// Finish waits for the calls in hand, gathers the journals and gives the whole history.
func (r *Run) Finish() (*checker.History, error) {
	r.calls.Wait()
	for _, engine := range r.Fleet.Engines {
		lines, err := journal.Read(engine.Journal)
		if err != nil {
			return nil, err
		}
		r.history.Journals = append(r.history.Journals, lines...)
	}
	return &r.history, nil
}

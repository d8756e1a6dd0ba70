// Package scenario runs a fleet on the users' platform with faults: processes as they are deployed, simulated engines,
// clients and operators around them, and faults in an order drawn from a seed. It returns the history of the run, which
// package checker holds against the rules. cmd/testbed calls it for `testbed run platform`.
package scenario

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/checker"
	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/operator"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

const ms = time.Millisecond

// Bounds are those of the users' deployments.
var Bounds = checker.Bounds{Contact: 3000 * ms, Drain: 2000 * ms, Grace: 8000 * ms, LossSlack: 200 * ms, Apply: 2000 * ms, Revert: 250 * ms, StretchMax: 5000 * ms,
	Recovery: 12 * time.Second, Ack: 4000 * ms, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 58, Lease: 3000 * ms, Unfreeze: 300 * ms,
	OriginWindow: 5 * time.Second, OriginExcess: 1.1, QuotaWindow: 5 * time.Second, QuotaExcess: 0.1, QuotaMargin: 20, Floor: 0.5}

// Options select a run.
type Options struct {
	Seed uint64
	// Program is the path of the daemon, Folder holds settings, logs and disks; it must be empty.
	Program, Folder string
	// OtherProgram is another build of the daemon; empty is none. Every second machine starts with it, and machines
	// change from one to the other under way.
	OtherProgram string
	// Faults are played in this order; empty draws Count of them from the seed.
	Faults []string
	Count  int
	// Scale multiplies the usual rate of requests; zero is one.
	Scale float64
	// Ranking is what the processes rank engines for; empty is their default.
	Ranking string
	Say     func(format string, args ...any)
}

// Run is one run in progress.
type Run struct {
	Options
	Recorder *history.Recorder
	Fleet    *fleet.Fleet
	Entry    *fleet.Entry
	random   *rand.Rand
	// rival sends configurations that conflict with those of operator, tenantOperator changes tenants only.
	operator, rival, tenantOperator *operator.Operator
	nextAttemptID                   func() string
	store                           *engine.Store

	// changing is held while a configuration is changed on the newest one, so that changes only conflict where they mean to.
	changing sync.Mutex

	// machineLocks has a mutex for each machine that something was done to.
	machineLocks sync.Map

	mutex     sync.Mutex
	engines   []*engine.Engine
	nameCount int
	// current is the newest configuration that was acknowledged.
	current *protocol.Config
	// addedPaths and removedPaths are of routes that were added to, or removed from, the first configuration.
	addedPaths, removedPaths []string
	// revoked are the keys that were taken away, in order.
	revoked []tenantKey
	// modelOffset shifts which models are requested most, loadFactor multiplies the rate of requests.
	modelOffset  int
	loadFactor   float64
	idleClients  map[string][]*client.Client
	sending      sync.WaitGroup
	watching     sync.WaitGroup
	requestCount int
}

// catchUp is how long a machine that starts with an empty disk counts as down.
const catchUp = 4 * time.Second

// waitTimeout fails a run that does not get on; no check of a rule depends on it.
const waitTimeout = 60 * time.Second

// Play executes a run to its end and returns its history.
func Play(ctx context.Context, options Options) (*history.History, error) {
	r, plan, err := newRun(options)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	watching, stopWatching := context.WithCancel(ctx)
	defer r.watching.Wait()
	defer stopWatching()
	r.watchTestbed(watching)
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	r.startTraffic(traffic)
	r.startOpenTraffic(traffic)
	r.pause(ctx, 4*time.Second)
	for _, planned := range plan {
		r.Say("%s", planned.name)
		if err := planned.play(r, ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", planned.name, err)
		}
		r.pause(ctx, planned.rest)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err := r.crashAll(ctx); err != nil {
		return nil, err
	}
	stopTraffic()
	r.sending.Wait()
	return r.Recorder.Snapshot(), ctx.Err()
}

// newRun lays out the fleet of a run and plans its faults; nothing is started.
func newRun(options Options) (*Run, []fault, error) {
	r := &Run{Options: options, Recorder: history.NewRecorder(clock.System{}), random: rand.New(rand.NewPCG(options.Seed, 9)), nextAttemptID: client.NewAttemptIDs(options.Seed), store: &engine.Store{AtOnce: 3},
		loadFactor: 1, idleClients: map[string][]*client.Client{}}
	if r.Scale == 0 {
		r.Scale = 1
	}
	plan, err := r.planFaults()
	if err != nil {
		return nil, nil, err
	}
	if len(options.Faults) == 0 && r.hasTenants() {
		plan = withTenantFaults(plan, rand.New(rand.NewPCG(options.Seed, 11)))
	}
	if r.Fleet, err = fleet.New(fleet.Plan{Environment: environment(options.Ranking, plan), Program: options.Program, OtherProgram: options.OtherProgram, Folder: options.Folder, Zones: zones, Cores: 3, Edges: 3, Bounds: Bounds, CatchUp: catchUp,
		HeartbeatPeriod: 1200 * ms, Staleness: 3 * time.Second, Tenants: r.hasTenants(), Recorder: r.Recorder}); err != nil {
		return nil, nil, err
	}
	r.Entry = fleet.NewEntry(r.Fleet, time.Second)
	r.operator, r.rival = operator.New("one", options.Seed, r.Recorder, r.Fleet.Controls), operator.New("two", options.Seed+1, r.Recorder, r.Fleet.Controls)
	r.tenantOperator = operator.New("three", options.Seed+2, r.Recorder, r.Fleet.Controls)
	return r, plan, nil
}

// environment is what the processes get beside the testbed's own. Without a ranking of the run it is that of the first
// fault that needs one.
func environment(ranking string, plan []fault) []string {
	for _, planned := range plan {
		if planned.ranking != "" && ranking == "" {
			ranking = planned.ranking
		}
	}
	if ranking == "" {
		return nil
	}
	return []string{"CRESSPOND_RANKING=" + ranking}
}

// planFaults lists the faults of the run, in order.
func (r *Run) planFaults() (plan []fault, err error) {
	if len(r.Faults) > 0 {
		for _, name := range r.Faults {
			found := false
			for _, one := range allFaults() {
				if one.name == name {
					plan, found = append(plan, one), true
				}
			}
			if !found {
				return nil, fmt.Errorf("there is no fault %q", name)
			}
		}
		return plan, nil
	}
	order := r.random.Perm(len(drawnFaults))
	for _, index := range order[:min(len(order), max(1, r.Count))] {
		plan = append(plan, drawnFaults[index])
	}
	if r.OtherProgram != "" {
		plan = withUpgrade(plan)
	}
	return plan, nil
}

// start starts machines and engines, and waits until all routers are ready.
func (r *Run) start(ctx context.Context) error {
	if err := r.Fleet.Start(); err != nil {
		return err
	}
	for n := range 4 {
		if _, err := r.newModel(zones[n%len(zones)], initialModels(n), ""); err != nil {
			return err
		}
	}
	for n := range 2 {
		if _, err := r.newPlain(zones[n%len(zones)], "notes", ""); err != nil {
			return err
		}
	}
	if _, err := r.newPlain(zones[2], "spare", ""); err != nil {
		return err
	}
	first, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	config := firstConfig()
	if r.hasTenants() {
		config = withTenants(config)
	}
	if change := r.operator.Put(first, 0, config, ""); change.Outcome != history.Acknowledged {
		return fmt.Errorf("the first configuration was not accepted: status %d", change.Status)
	}
	r.current = config
	r.Entry.Watch(ctx)
	err := r.await(ctx, "all routers are ready", func() bool {
		for _, m := range r.Fleet.OfClass(fleet.Edge) {
			if !r.Entry.Eligible(m) {
				return false
			}
		}
		return true
	})
	// Only what happens under traffic is checked.
	r.Recorder.Record(func(h *history.History) { h.ReadinessChecks = nil })
	return err
}

// stop ends all processes, engines and connections.
func (r *Run) stop() {
	r.mutex.Lock()
	engines := r.engines
	r.mutex.Unlock()
	for _, e := range engines {
		e.Stop()
	}
	r.Fleet.KillAll()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, list := range r.idleClients {
		for _, c := range list {
			c.Close()
		}
	}
}

// pause waits while the traffic continues.
func (r *Run) pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// await polls a condition until it holds; what names it in the error.
func (r *Run) await(ctx context.Context, what string, holds func() bool) error {
	guard := time.NewTimer(waitTimeout)
	defer guard.Stop()
	tick := time.NewTicker(20 * ms)
	defer tick.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-guard.C:
			return fmt.Errorf("timed out after %v waiting until %s", waitTimeout, what)
		case <-tick.C:
		}
	}
	return nil
}

// draw gives a random number below n from the run's seed.
func (r *Run) draw(n int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.IntN(n)
}

// lockMachines keeps all else from killing, stopping or freezing machines until unlock is called, so that what is done to
// one follows one after the other. Signals that end nothing go on.
func (r *Run) lockMachines(machines ...*fleet.Machine) (unlock func()) {
	var locks []*sync.Mutex
	for _, m := range slices.SortedFunc(slices.Values(machines), func(a, b *fleet.Machine) int { return cmp.Compare(a.Name, b.Name) }) {
		lock, _ := r.machineLocks.LoadOrStore(m, &sync.Mutex{})
		locks = append(locks, lock.(*sync.Mutex))
	}
	locks = slices.Compact(locks)
	for _, lock := range locks {
		lock.Lock()
	}
	return func() {
		for _, lock := range locks {
			lock.Unlock()
		}
	}
}

// anyMachine draws a machine of a class.
func (r *Run) anyMachine(class string) *fleet.Machine {
	machines := r.Fleet.OfClass(class)
	return machines[r.draw(len(machines))]
}

// Package scenario plays a short day on the users' platform: a fleet of processes as they are deployed, stand-ins
// for engines, clients and operators around them, troubles at times drawn from a seed, and the judge at the end.
package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/checker"
	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/loopback"
	"github.com/cresspond/cresspond/testbed/platformtest/operator"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

const ms = time.Millisecond

// Bounds are those of the deployments the users have.
var Bounds = checker.Bounds{Contact: 3000 * ms, Drain: 2000 * ms, Grace: 8000 * ms, LossSlack: 200 * ms, Apply: 2000 * ms, Revert: 250 * ms, StretchMax: 5000 * ms,
	Recovery: 12 * time.Second, Ack: 4000 * ms, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 58, Lease: 3000 * ms, Unfreeze: 300 * ms,
	OriginWindow: 5 * time.Second, OriginExcess: 1.1, Floor: 0.5}

// Options say which day it is.
type Options struct {
	Seed            uint64
	Program, Folder string
	// OtherProgram is another build of the daemon; empty is none. Every second machine starts with it, and machines
	// change from one to the other under way.
	OtherProgram string
	// Acts are the troubles, in this order; empty draws Count of them from the seed.
	Faults []string
	Count  int
	// Scale is the share of the usual requests.
	Scale float64
	// Ranking is what the processes rank engines for; empty is their default.
	Ranking string
	Say     func(format string, args ...any)
}

// Day is one day under way.
type Run struct {
	Options
	Recorder *history.Recorder
	Fleet    *fleet.Fleet
	Entry    *fleet.Entry
	random   *rand.Rand
	// one and two are operators; two races against one.
	operator, rival *operator.Operator
	nextAttemptID   func() string
	store           *engine.Store

	mutex     sync.Mutex
	engines   []*engine.Engine
	nameCount int
	// current is the newest configuration that was acknowledged.
	current *protocol.Config
	// added are paths of routes that were added later, gone those of routes that were removed.
	addedPaths, removedPaths []string
	// favourite shifts which models are asked for most; rush multiplies what is sent.
	modelShift   int
	loadFactor   float64
	idleClients  map[string][]*client.Client
	sending      sync.WaitGroup
	watching     sync.WaitGroup
	requestCount int
}

// catchUp is how long a machine counts as down after an empty disk.
const catchUp = 4 * time.Second

// waitMost ends a wait that will never end; no verdict rests on it.
const waitTimeout = 60 * time.Second

// Play plays a day whole and gives its history.
func Play(ctx context.Context, options Options) (*history.History, error) {
	d := &Run{Options: options, Recorder: history.NewRecorder(clock.System{}), random: rand.New(rand.NewPCG(options.Seed, 9)), nextAttemptID: client.NewAttemptIDs(options.Seed), store: &engine.Store{AtOnce: 3},
		loadFactor: 1, idleClients: map[string][]*client.Client{}}
	if d.Scale == 0 {
		d.Scale = 1
	}
	plan, err := d.planFaults()
	if err != nil {
		return nil, err
	}
	var environment []string
	for _, one := range plan {
		if one.ranking != "" && options.Ranking == "" {
			options.Ranking = one.ranking
		}
	}
	if options.Ranking != "" {
		environment = append(environment, "CRESSPOND_RANKING="+options.Ranking)
	}
	if d.Fleet, err = fleet.New(fleet.Plan{Environment: environment, Program: options.Program, OtherProgram: options.OtherProgram, Folder: options.Folder, Zones: zones, Cores: 3, Edges: 3, Bounds: Bounds, CatchUp: catchUp,
		HeartbeatPeriod: 1200 * ms, Staleness: 3 * time.Second, Recorder: d.Recorder}); err != nil {
		return nil, err
	}
	d.Entry = fleet.NewEntry(d.Fleet, time.Second)
	d.operator, d.rival = operator.New("one", options.Seed, d.Recorder, d.Fleet.Controls), operator.New("two", options.Seed+1, d.Recorder, d.Fleet.Controls)
	defer d.stop()
	machine, leave := context.WithCancel(ctx)
	defer d.watching.Wait()
	defer leave()
	d.watchTestbed(machine)
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	d.startTraffic(traffic)
	d.pause(ctx, 4*time.Second)
	for _, act := range plan {
		d.Say("%s", act.name)
		if err := act.play(d, ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", act.name, err)
		}
		d.pause(ctx, act.rest)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err := d.crashAll(ctx); err != nil {
		return nil, err
	}
	stop()
	d.sending.Wait()
	return d.Recorder.Snapshot(), ctx.Err()
}

// plan lists the acts of the day.
func (d *Run) planFaults() (plan []fault, err error) {
	if len(d.Faults) > 0 {
		for _, name := range d.Faults {
			found := false
			for _, one := range allFaults() {
				if one.name == name {
					plan, found = append(plan, one), true
				}
			}
			if !found {
				return nil, fmt.Errorf("there is no act %q", name)
			}
		}
		return plan, nil
	}
	order := d.random.Perm(len(drawnFaults))
	for _, place := range order[:min(len(order), max(1, d.Count))] {
		plan = append(plan, drawnFaults[place])
	}
	if d.OtherProgram != "" {
		plan = withUpgrade(plan)
	}
	return plan, nil
}

// begin starts everything, and waits until it serves.
func (d *Run) start(ctx context.Context) error {
	if err := d.Fleet.Start(); err != nil {
		return err
	}
	for n := range 4 {
		if _, err := d.newModel(zones[n%len(zones)], initialModels(n), ""); err != nil {
			return err
		}
	}
	for n := range 2 {
		if _, err := d.newPlain(zones[n%len(zones)], "notes", ""); err != nil {
			return err
		}
	}
	if _, err := d.newPlain(zones[2], "spare", ""); err != nil {
		return err
	}
	first, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	config := firstConfig()
	if change := d.operator.Put(first, 0, config, ""); change.Outcome != history.Acknowledged {
		return fmt.Errorf("the first configuration was not taken: status %d", change.Status)
	}
	d.current = config
	d.Entry.Watch(ctx)
	err := d.await(ctx, "all routers are ready", func() bool {
		for _, m := range d.Fleet.OfClass(fleet.Edge) {
			if !d.Entry.Eligible(m) {
				return false
			}
		}
		return true
	})
	// The day begins with its traffic.
	d.Recorder.Record(func(h *history.History) { h.ReadinessChecks = nil })
	return err
}

// end stops everything that runs.
func (d *Run) stop() {
	d.mutex.Lock()
	engines := d.engines
	d.mutex.Unlock()
	for _, e := range engines {
		e.Stop()
	}
	d.Fleet.KillAll()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, list := range d.idleClients {
		for _, c := range list {
			c.Close()
		}
	}
}

// pause lets the day go on for a while.
func (d *Run) pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// await waits for a condition.
func (d *Run) await(ctx context.Context, what string, holds func() bool) error {
	guard := time.NewTimer(waitTimeout)
	defer guard.Stop()
	tick := time.NewTicker(20 * ms)
	defer tick.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-guard.C:
			return fmt.Errorf("waited %v in vain until %s", waitTimeout, what)
		case <-tick.C:
		}
	}
	return nil
}

var zones = []string{"north", "middle", "south"}

// models are few that are asked for often, and more that are asked for seldom.
const models = 6

func modelName(n int) string { return fmt.Sprintf("model-%d", n) }

func catalogue() protocol.EngineID {
	c := protocol.EngineID{Slots: 8, KVCapacity: 12000, KVTokenBytes: 1000, LinkMbps: 1000, Stride: 2, WeightsMb: 100, AdapterCapacity: 4, LoadsPerS: 2}
	for n := range models {
		c.Models = append(c.Models, protocol.CatalogModel{Label: modelName(n), WeightsMb: []float64{30, 45}[n%2], LoadTimeS: []float64{0.3, 0.5}[n%2], Adapters: 3, AdapterSizeMb: 1})
	}
	return c
}

// initially spreads the models over the engines of the first start, the busy ones on more of them.
func initialModels(n int) []protocol.Holding {
	holding := func(model int) protocol.Holding { return protocol.Holding{Label: modelName(model), Generation: 1} }
	return [][]protocol.Holding{{holding(0), holding(1)}, {holding(0), holding(2)}, {holding(1), holding(4)}, {holding(3), holding(5)}}[n%4]
}

func firstConfig() *protocol.Config {
	models := catalogue()
	return &protocol.Config{Generation: 1,
		Backends: []protocol.Backend{{Label: "lm", HealthPath: "/health", MaxConns: 100, Protocol: "h1", Engine: &models},
			{Label: "notes", HealthPath: "/health", MaxConns: 60, Protocol: "h1"}, {Label: "spare", HealthPath: "/health", MaxConns: 60, Protocol: "h1"}},
		Routes: []protocol.Route{
			{Label: "triage", Authority: "ci.example", PathPrefix: "/triage/", Class: protocol.Streaming, DeadlineMs: 6000, TargetMs: 1500, Urgency: 1, Backend: "lm", Tries: 2, Affine: true, GapTargetMs: 400},
			{Label: "draft", Authority: "ci.example", PathPrefix: "/draft/", Class: protocol.Streaming, DeadlineMs: 10000, TargetMs: 4000, Urgency: 2, Backend: "lm", Tries: 3, Affine: true, Resumable: true, GapTargetMs: 400},
			{Label: "note", Authority: "ci.example", PathPrefix: "/note/", Class: protocol.Idempotent, DeadlineMs: 3000, TargetMs: 500, Urgency: 1, Backend: "notes", Tries: 3},
			{Label: "mail", Authority: "ci.example", PathPrefix: "/mail/", Class: protocol.Mutating, DeadlineMs: 3000, TargetMs: 500, Urgency: 0, Backend: "notes", Tries: 3}},
		Limits: protocol.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}}
}

// newEngine starts an engine at an address, or at one of its own.
func (d *Run) newEngine(c engine.Config, zone, address string) (*engine.Engine, error) {
	d.mutex.Lock()
	d.nameCount++
	number := d.nameCount
	d.mutex.Unlock()
	if address == "" {
		address = loopback.Host() + ":0"
	}
	c.Name, c.Zone, c.Address, c.Software, c.HealthPath = fmt.Sprintf("e%d", number), zone, address, "v1", "/health"
	c.IdleClose, c.AdvertiseIdle, c.CloseEach, c.ReportLag, c.Seed = 5*time.Second, number%2 == 0, 40, 300*ms, d.Seed*1000+uint64(number)
	c.HeartbeatPeriod, c.Controls, c.DrainBound, c.DrainPatience, c.WarmUp = 1200*ms, d.Fleet.Controls, Bounds.Drain, 6*time.Second, 500*ms
	if number%3 == 0 {
		c.LateEach, c.LateBy = 4, 2500*ms
	}
	e := engine.New(c, d.Recorder)
	if err := e.Start(); err != nil {
		return nil, err
	}
	d.mutex.Lock()
	d.engines = append(d.engines, e)
	d.mutex.Unlock()
	return e, nil
}

func (d *Run) newModel(zone string, holds []protocol.Holding, address string) (*engine.Engine, error) {
	models := catalogue()
	return d.newEngine(engine.Config{Service: "lm", MaxConns: 100, Model: true, InitialModels: holds, Store: d.store,
		Pace:     engine.Pace{Slots: models.Slots, Waiting: 6, Memory: models.KVCapacity, StepTime: 3 * ms, PerRequest: 300 * time.Microsecond, PrefillPerMs: 20, PrefillAtOnce: 400, Stride: models.Stride},
		Capacity: engine.Capacity{Catalogue: models, DiskShare: 0.4, AdapterTime: 30 * ms}}, zone, address)
}

func (d *Run) newPlain(zone, service, address string) (*engine.Engine, error) {
	return d.newEngine(engine.Config{Service: service, MaxConns: 60, Slots: 6, Waiting: 4, Work: 25 * ms, SlowFull: 2, AnswerBytes: 800, Chunked: d.nameCount%2 == 0}, zone, address)
}

// of lists the engines of a service that live and do not leave.
func (d *Run) enginesOf(service string) (out []*engine.Engine) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, e := range d.engines {
		if e.Config.Service == service && e.Current() != "" && !e.Draining() {
			out = append(out, e)
		}
	}
	return out
}

func (d *Run) draw(n int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.random.IntN(n)
}

func (d *Run) anyEngine(service string) (*engine.Engine, error) {
	list := d.enginesOf(service)
	if len(list) == 0 {
		return nil, fmt.Errorf("no engine of %s lives", service)
	}
	return list[d.draw(len(list))], nil
}

func (d *Run) anyMachine(class string) *fleet.Machine {
	list := d.Fleet.OfClass(class)
	return list[d.draw(len(list))]
}

// Logs gives the processes' logs that hold something that must not be there.
func Logs(folder string) (bad []string) {
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil && (contains(text, "panic:") || contains(text, "DATA RACE") || contains(text, "broken invariant")) {
			bad = append(bad, file)
		}
	}
	return bad
}

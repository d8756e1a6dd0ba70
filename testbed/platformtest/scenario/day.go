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
	Acts  []string
	Count int
	// Scale is the share of the usual requests.
	Scale float64
	// Ranking is what the processes rank engines for; empty is their default.
	Ranking string
	Say     func(format string, args ...any)
}

// Day is one day under way.
type Day struct {
	Options
	Book   *history.Book
	Fleet  *fleet.Fleet
	Entry  *fleet.Entry
	random *rand.Rand
	// one and two are operators; two races against one.
	one, two *operator.Operator
	attempts func() string
	store    *engine.Store

	mutex   sync.Mutex
	engines []*engine.Engine
	named   int
	// current is the newest configuration that was acknowledged.
	current *protocol.Config
	// added are paths of routes that were added later, gone those of routes that were removed.
	added, gone []string
	// favourite shifts which models are asked for most; rush multiplies what is sent.
	favourite int
	rush      float64
	idle      map[string][]*client.Client
	sending   sync.WaitGroup
	watching  sync.WaitGroup
	requests  int
}

// catchUp is how long a machine counts as down after an empty disk.
const catchUp = 4 * time.Second

// waitMost ends a wait that will never end; no verdict rests on it.
const waitMost = 60 * time.Second

// Play plays a day whole and gives its history.
func Play(ctx context.Context, options Options) (*history.History, error) {
	d := &Day{Options: options, Book: history.NewBook(clock.System{}), random: rand.New(rand.NewPCG(options.Seed, 9)), attempts: client.NewAttempts(options.Seed), store: &engine.Store{AtOnce: 3},
		rush: 1, idle: map[string][]*client.Client{}}
	if d.Scale == 0 {
		d.Scale = 1
	}
	plan, err := d.plan()
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
		BeatPeriod: 1200 * ms, Staleness: 3 * time.Second, Book: d.Book}); err != nil {
		return nil, err
	}
	d.Entry = fleet.NewEntry(d.Fleet, time.Second)
	d.one, d.two = operator.New("one", options.Seed, d.Book, d.Fleet.Controls), operator.New("two", options.Seed+1, d.Book, d.Fleet.Controls)
	defer d.end()
	machine, leave := context.WithCancel(ctx)
	defer d.watching.Wait()
	defer leave()
	d.watchMachine(machine)
	if err := d.begin(ctx); err != nil {
		return nil, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	d.send(traffic)
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
	if err := d.close(ctx); err != nil {
		return nil, err
	}
	stop()
	d.sending.Wait()
	return d.Book.Read(), ctx.Err()
}

// plan lists the acts of the day.
func (d *Day) plan() (plan []act, err error) {
	if len(d.Acts) > 0 {
		for _, name := range d.Acts {
			found := false
			for _, one := range allActs() {
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
	order := d.random.Perm(len(acts))
	for _, place := range order[:min(len(order), max(1, d.Count))] {
		plan = append(plan, acts[place])
	}
	if d.OtherProgram != "" {
		plan = withUpgrade(plan)
	}
	return plan, nil
}

// begin starts everything, and waits until it serves.
func (d *Day) begin(ctx context.Context) error {
	if err := d.Fleet.Start(); err != nil {
		return err
	}
	for n := range 4 {
		if _, err := d.newModel(zones[n%len(zones)], initially(n), ""); err != nil {
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
	first, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	config := firstConfig()
	if change := d.one.Put(first, 0, config, ""); change.Outcome != history.Acknowledged {
		return fmt.Errorf("the first configuration was not taken: status %d", change.Status)
	}
	d.current = config
	d.Entry.Watch(ctx)
	err := d.await(ctx, "all routers are ready", func() bool {
		for _, m := range d.Fleet.Of(fleet.Edge) {
			if !d.Entry.In(m) {
				return false
			}
		}
		return true
	})
	// The day begins with its traffic.
	d.Book.Note(func(h *history.History) { h.Looks = nil })
	return err
}

// end stops everything that runs.
func (d *Day) end() {
	d.mutex.Lock()
	engines := d.engines
	d.mutex.Unlock()
	for _, e := range engines {
		e.Stop()
	}
	d.Fleet.End()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, list := range d.idle {
		for _, c := range list {
			c.Close()
		}
	}
}

// pause lets the day go on for a while.
func (d *Day) pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// await waits for a condition.
func (d *Day) await(ctx context.Context, what string, holds func() bool) error {
	guard := time.NewTimer(waitMost)
	defer guard.Stop()
	tick := time.NewTicker(20 * ms)
	defer tick.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-guard.C:
			return fmt.Errorf("waited %v in vain until %s", waitMost, what)
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
func initially(n int) []protocol.Holding {
	holding := func(model int) protocol.Holding { return protocol.Holding{Label: modelName(model), Generation: 1} }
	return [][]protocol.Holding{{holding(0), holding(1)}, {holding(0), holding(2)}, {holding(1), holding(4)}, {holding(3), holding(5)}}[n%4]
}

func firstConfig() *protocol.Config {
	rooms := catalogue()
	return &protocol.Config{Generation: 1,
		Backends: []protocol.Backend{{Label: "lm", HealthPath: "/health", MaxConns: 100, Protocol: "h1", Engine: &rooms},
			{Label: "notes", HealthPath: "/health", MaxConns: 60, Protocol: "h1"}, {Label: "spare", HealthPath: "/health", MaxConns: 60, Protocol: "h1"}},
		Routes: []protocol.Route{
			{Label: "triage", Authority: "ci.example", PathPrefix: "/triage/", Class: protocol.Streaming, DeadlineMs: 6000, TargetMs: 1500, Urgency: 1, Backend: "lm", Tries: 2, Affine: true, GapTargetMs: 400},
			{Label: "draft", Authority: "ci.example", PathPrefix: "/draft/", Class: protocol.Streaming, DeadlineMs: 10000, TargetMs: 4000, Urgency: 2, Backend: "lm", Tries: 3, Affine: true, Resumable: true, GapTargetMs: 400},
			{Label: "note", Authority: "ci.example", PathPrefix: "/note/", Class: protocol.Idempotent, DeadlineMs: 3000, TargetMs: 500, Urgency: 1, Backend: "notes", Tries: 3},
			{Label: "mail", Authority: "ci.example", PathPrefix: "/mail/", Class: protocol.Mutating, DeadlineMs: 3000, TargetMs: 500, Urgency: 0, Backend: "notes", Tries: 3}},
		Limits: protocol.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}}
}

// newEngine starts an engine at an address, or at one of its own.
func (d *Day) newEngine(c engine.Config, zone, address string) (*engine.Engine, error) {
	d.mutex.Lock()
	d.named++
	number := d.named
	d.mutex.Unlock()
	if address == "" {
		address = loopback.Host() + ":0"
	}
	c.Name, c.Zone, c.Address, c.Software, c.HealthPath = fmt.Sprintf("e%d", number), zone, address, "v1", "/health"
	c.IdleClose, c.TellIdle, c.CloseEach, c.ReportLag, c.Seed = 5*time.Second, number%2 == 0, 40, 300*ms, d.Seed*1000+uint64(number)
	c.BeatPeriod, c.Controls, c.DrainBound, c.DrainPatience, c.Cold = 1200*ms, d.Fleet.Controls, Bounds.Drain, 6*time.Second, 500*ms
	if number%3 == 0 {
		c.LateEach, c.LateBy = 4, 2500*ms
	}
	e := engine.New(c, d.Book)
	if err := e.Start(); err != nil {
		return nil, err
	}
	d.mutex.Lock()
	d.engines = append(d.engines, e)
	d.mutex.Unlock()
	return e, nil
}

func (d *Day) newModel(zone string, holds []protocol.Holding, address string) (*engine.Engine, error) {
	rooms := catalogue()
	return d.newEngine(engine.Config{Service: "lm", MaxConns: 100, Model: true, Initially: holds, Store: d.store,
		Pace: engine.Pace{Slots: rooms.Slots, Waiting: 6, Memory: rooms.KVCapacity, Step: 3 * ms, PerRun: 300 * time.Microsecond, ReadPerMs: 20, ReadAtOnce: 400, Stride: rooms.Stride},
		Room: engine.Room{Catalogue: rooms, DiskShare: 0.4, AdapterTime: 30 * ms}}, zone, address)
}

func (d *Day) newPlain(zone, service, address string) (*engine.Engine, error) {
	return d.newEngine(engine.Config{Service: service, MaxConns: 60, Slots: 6, Waiting: 4, Work: 25 * ms, SlowFull: 2, AnswerBytes: 800, Chunked: d.named%2 == 0}, zone, address)
}

// of lists the engines of a service that live and do not leave.
func (d *Day) of(service string) (out []*engine.Engine) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, e := range d.engines {
		if e.Config.Service == service && e.Current() != "" && !e.Leaving() {
			out = append(out, e)
		}
	}
	return out
}

func (d *Day) draw(n int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.random.IntN(n)
}

func (d *Day) anyEngine(service string) (*engine.Engine, error) {
	list := d.of(service)
	if len(list) == 0 {
		return nil, fmt.Errorf("no engine of %s lives", service)
	}
	return list[d.draw(len(list))], nil
}

func (d *Day) any(class string) *fleet.Machine {
	list := d.Fleet.Of(class)
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

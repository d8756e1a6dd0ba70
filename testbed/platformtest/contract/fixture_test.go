package contract

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
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

// host is what clients ask for.
const host = "front.example"

// services is the number of tests that can have engines of their own.
const services = 40

// testFleet is a fleet that many tests share; each has a service of its own on it.
type testFleet struct {
	name     string
	fleet    *fleet.Fleet
	recorder *history.Recorder
	taken    atomic.Int64
}

// shared serves tests of configurations without tenants, tenants those with. Tests on tenants change the configuration;
// they take turns by change, and each changes only its own tenants.
var (
	shared  = &testFleet{name: "shared"}
	tenants = struct {
		*testFleet
		change  sync.Mutex
		current *protocol.Config
	}{testFleet: &testFleet{name: "tenants"}, current: tenantConfig()}
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "contract-")
	if err != nil {
		panic(err)
	}
	program := filepath.Join(folder, "cresspond-platform")
	if out, err := exec.Command("go", "build", "-race", "-o", program, "github.com/cresspond/cresspond/cmd/cresspond-platform").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	all := []*testFleet{shared, tenants.testFleet}
	shared.start(program, folder, config(), false)
	tenants.start(program, folder, tenants.current, true)
	code := m.Run()
	for _, one := range all {
		code = max(code, one.end())
	}
	if code == 0 {
		os.RemoveAll(folder)
	} else {
		fmt.Println("logs in", folder)
	}
	return code
}

// start starts the fleet with its first configuration and waits until its router is ready.
func (s *testFleet) start(program, folder string, first *protocol.Config, withTenants bool) {
	s.recorder = history.NewRecorder(clock.System{})
	f, err := fleet.New(fleet.Plan{Program: program, Folder: filepath.Join(folder, s.name), Zones: []string{"a"}, Cores: 1, Edges: 1, Bounds: bounds, CatchUp: 4 * time.Second,
		HeartbeatPeriod: 200 * time.Millisecond, Staleness: 0, Tenants: withTenants, Recorder: s.recorder})
	if err != nil {
		panic(err)
	}
	s.fleet = f
	if err := f.Start(); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	o := operator.New("first", 1, s.recorder, f.Controls)
	if change := o.Put(ctx, 0, first, ""); change.Outcome != history.Acknowledged {
		f.KillAll()
		panic(fmt.Sprintf("the first configuration was not accepted: %+v; logs in %s", change, folder))
	}
	entry := fleet.NewEntry(f, time.Second)
	for !entry.Ready(ctx, f.OfClass(fleet.Edge)[0]) {
		if ctx.Err() != nil {
			f.KillAll()
			panic("the router was never ready; logs in " + folder)
		}
	}
}

// end stops the fleet; it returns 1 if its processes raced, panicked or ended by themselves.
func (s *testFleet) end() (code int) {
	s.fleet.KillAll()
	for _, machine := range s.fleet.Machines {
		log, _ := os.ReadFile(machine.Log())
		if bytes.Contains(log, []byte("DATA RACE")) || bytes.Contains(log, []byte("panic:")) {
			fmt.Printf("%s:\n%s\n", machine.Name, log)
			code = 1
		}
	}
	if ends := s.recorder.Snapshot().Disruptions; len(ends) > 0 {
		fmt.Println("processes ended by themselves")
		return 1
	}
	return code
}

const ms = time.Millisecond

var bounds = checker.Bounds{Contact: 3000 * ms, Drain: 2000 * ms, Grace: 8000 * ms, LossSlack: 200 * ms, Apply: 2000 * ms, Revert: 250 * ms, StretchMax: 5000 * ms,
	Recovery: 12 * time.Second, Ack: 4000 * ms, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 100000, Lease: 3000 * ms, Unfreeze: 300 * ms,
	OriginWindow: 5 * time.Second, OriginExcess: 1.1, QuotaWindow: 5 * time.Second, QuotaExcess: 0.1, QuotaMargin: 10}

// config has a plain pool, a model pool and a route of each class for each service.
func config() *protocol.Config {
	c := &protocol.Config{Generation: 1, Limits: protocol.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 30000}}
	for n := range services {
		plain, model := fmt.Sprintf("plain-%d", n), fmt.Sprintf("model-%d", n)
		c.Backends = append(c.Backends, protocol.Backend{Label: plain, HealthPath: "/health", MaxConns: 60, Protocol: "h1"},
			protocol.Backend{Label: model, HealthPath: "/health", MaxConns: 60, Protocol: "h1", Engine: &protocol.EngineID{Slots: 8, KVCapacity: 4000, KVTokenBytes: 1000, LinkMbps: 1000, Stride: 2,
				Models: []protocol.CatalogModel{{Label: "m", WeightsMb: 50, LoadTimeS: 0.05, Adapters: 2, AdapterSizeMb: 1}}, WeightsMb: 100, AdapterCapacity: 2, LoadsPerS: 5}})
		route := func(name, class, backend string, resumable bool) {
			c.Routes = append(c.Routes, protocol.Route{Label: fmt.Sprintf("%s-%d", name, n), Authority: host, PathPrefix: fmt.Sprintf("/%s/%d/", name, n), Class: class, DeadlineMs: 20000, TargetMs: 1000, Backend: backend,
				Tries: 3, Affine: class == protocol.Streaming, Resumable: resumable, GapTargetMs: 400})
		}
		route("again", protocol.Idempotent, plain, false)
		route("once", protocol.Mutating, plain, false)
		route("stream", protocol.Streaming, model, false)
		route("resume", protocol.Streaming, model, true)
	}
	return c
}

// fixture is one test's own service on the shared fleet.
type fixture struct {
	t        *testing.T
	number   int
	engines  []*engine.Engine
	fleet    *fleet.Fleet
	recorder *history.Recorder
	// key and tenant are what the test's requests carry; empty is none.
	key, tenant string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	t.Parallel()
	return shared.newFixture(t)
}

// newFixture gives a test the next service of the fleet.
func (s *testFleet) newFixture(t *testing.T) *fixture {
	t.Helper()
	number := int(s.taken.Add(1)) - 1
	if number >= services {
		t.Fatal("there are more tests than services")
	}
	return &fixture{t: t, number: number, fleet: s.fleet, recorder: s.recorder}
}

// plain starts a plain engine of the test's service, model one that has loaded the model m.
func (f *fixture) plain(change func(*engine.Config)) *engine.Engine {
	f.t.Helper()
	return f.start(engine.Config{Service: fmt.Sprintf("plain-%d", f.number), Slots: 8, Waiting: 8, Work: 100 * time.Microsecond, AnswerBytes: 60}, change)
}

func (f *fixture) model(change func(*engine.Config)) *engine.Engine {
	f.t.Helper()
	c := config().Backend(fmt.Sprintf("model-%d", f.number))
	return f.start(engine.Config{Service: c.Label, Model: true, Pace: engine.Pace{Slots: 8, Waiting: 8, Memory: 4000, StepTime: 300 * time.Microsecond, PrefillPerMs: 1000, PrefillAtOnce: 500, Stride: 2},
		Capacity: engine.Capacity{Catalogue: *c.Engine, DiskShare: 0.5, AdapterTime: ms}, Store: &engine.Store{}, InitialModels: []protocol.Holding{{Label: "m", Generation: 1}}}, change)
}

func (f *fixture) start(c engine.Config, change func(*engine.Config)) *engine.Engine {
	f.t.Helper()
	c.Name, c.Zone, c.Software, c.HealthPath, c.MaxConns = fmt.Sprintf("%s-%d", c.Service, len(f.engines)), "a", "v1", "/health", 60
	c.Address, c.IdleClose, c.ReportLag, c.Seed = loopback.Host()+":0", 20*time.Second, 50*ms, uint64(f.number)
	c.HeartbeatPeriod, c.Controls, c.DrainBound, c.DrainPatience = 200*ms, f.fleet.Controls, bounds.Drain, 10*time.Second
	if change != nil {
		change(&c)
	}
	e := engine.New(c, f.recorder)
	if err := e.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(e.Stop)
	f.engines = append(f.engines, e)
	return e
}

// path is the path of the test's own route of a class.
func (f *fixture) path(class string) string { return fmt.Sprintf("/%s/%d/x", class, f.number) }

// request makes a request of a class: again (idempotent), once, stream or resume.
func (f *fixture) request(class string) *client.Request {
	r := &client.Request{ID: fmt.Sprintf("%s-%d", class, f.number), Kind: class, Zone: "a", Host: host, Method: http.MethodPost, URI: f.path(class), Body: []byte("the body"),
		Deadline: 15 * time.Second, Target: 2 * time.Second, Gap: time.Second, Key: f.key, Tenant: f.tenant}
	switch class {
	case "again", "open":
		r.Class = protocol.Idempotent
	case "once":
		r.Class = protocol.Mutating
	default:
		r.Class, r.Resumable = protocol.Streaming, class == "resume"
		r.Prompt = protocol.Prompt{Model: "m", TokensIn: 100, TokensOut: 12, Parts: []protocol.Part{{ID: "aa", Tokens: 60}, {ID: fmt.Sprintf("%x", f.number), Tokens: 40}}}
	}
	return r
}

var nextAttemptID = client.NewAttemptIDs(uint64(os.Getpid()))

// newClient makes a client of the one router.
func (f *fixture) newClient() *client.Client {
	c := &client.Client{Recorder: f.recorder, NextAttemptID: nextAttemptID, PickDaemon: func(string) (client.Daemon, bool) {
		return client.Daemon{Name: "edge-0", Address: f.front()}, true
	}}
	f.t.Cleanup(c.Close)
	return c
}

func (f *fixture) front() string { return f.fleet.OfClass(fleet.Edge)[0].Front() }

// ask sends a request once and returns the attempt.
func (f *fixture) ask(r *client.Request) *history.Attempt {
	f.t.Helper()
	attempts := f.newClient().Do(context.Background(), r)
	if len(attempts) == 0 {
		f.t.Fatal("no attempt was made")
	}
	return attempts[0]
}

// askUntilExecuted sends a request and resends it as long as it has not run, as the platform's protocol lets clients do.
// It returns the attempt with another answer.
func (f *fixture) askUntilExecuted(r *client.Request) (attempt *history.Attempt) {
	f.t.Helper()
	f.await(r.ID+" is no longer refused", func() bool {
		attempt = f.ask(r)
		return !attempt.PromisesNotRun()
	})
	return attempt
}

// requestsPerEngine is how many concurrent requests awaitEngines sends for each engine but the first.
const requestsPerEngine = 8

// awaitEngines waits until the router sends requests of a class to count engines.
func (f *fixture) awaitEngines(class string, count int) {
	f.t.Helper()
	asked := 0
	f.await(fmt.Sprintf("%d engines serve %s", count, class), func() bool {
		// Concurrent requests: sequential ones would stay on the engine with the idle connection.
		var batch sync.WaitGroup
		for range requestsPerEngine*(count-1) + 1 {
			r := f.request(class)
			if asked++; count > 1 && len(r.Prompt.Parts) > 0 {
				// Prompts with the same prefix would go to the same engine.
				r.Prompt.Parts[0].ID, r.Prompt.Parts[1].ID = fmt.Sprintf("a%x", asked), fmt.Sprintf("%x%x", f.number, asked)
			}
			batch.Go(func() { f.newClient().Do(context.Background(), r) })
		}
		batch.Wait()
		served := map[string]bool{}
		for _, arrival := range f.arrivals() {
			if arrival.Ran() {
				served[arrival.Engine] = true
			}
		}
		return len(served) >= count
	})
}

// arrivals are those at the test's own engines.
func (f *fixture) arrivals() []*history.Arrival { return f.arrivalsOf("") }

// arrivalsOf are the arrivals of one attempt at the test's own engines; empty takes all.
func (f *fixture) arrivalsOf(attempt string) []*history.Arrival {
	plain, model := fmt.Sprintf("plain-%d", f.number), fmt.Sprintf("model-%d", f.number)
	return f.recorder.Arrivals(func(a *history.Arrival) bool {
		return !a.HealthCheck && (a.Service == plain || a.Service == model) && (attempt == "" || a.AttemptID == attempt)
	})
}

// await waits for a condition; the guard only ends a hang.
func (f *fixture) await(what string, holds func() bool) {
	f.t.Helper()
	guard := time.After(60 * time.Second)
	tick := time.NewTicker(5 * ms)
	defer tick.Stop()
	for !holds() {
		select {
		case <-guard:
			f.t.Fatal("timed out waiting until " + what)
		case <-tick.C:
		}
	}
}

// answerRules are the rules that hold whatever an engine does.
var answerRules = []string{"MIXED", "UNASKED", "TWICE", "REFUSED", "ROUTE", "ORDER", "CONFIG refused or invalid in force"}

// checkRules holds what this test's engines and clients saw against the rules on answers, and others by name.
func (f *fixture) checkRules(others ...string) {
	f.t.Helper()
	h := f.recorder.Snapshot()
	mine := fmt.Sprintf("/%d/", f.number)
	h.Attempts = slices.DeleteFunc(h.Attempts, func(attempt *history.Attempt) bool { return !strings.Contains(attempt.URI, mine) })
	h.Arrivals = slices.DeleteFunc(h.Arrivals, func(a *history.Arrival) bool { return !strings.Contains(a.URI, mine) })
	checked := 0
	for _, finding := range checker.CheckAll(h, bounds) {
		if slices.Contains(answerRules, finding.Rule) || slices.Contains(others, finding.Rule) {
			checked += finding.Checked
			for _, violation := range finding.Violations {
				f.t.Errorf("%s: %s", finding.Rule, violation)
			}
		}
	}
	if checked == 0 {
		f.t.Error("nothing was checked")
	}
}

// dial opens a raw connection to the router.
func (f *fixture) dial() *net.TCPConn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.front())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(60 * time.Second))
	return conn.(*net.TCPConn)
}

// response reads one answer off a raw connection.
func (f *fixture) response(reader *bufio.Reader) *http.Response {
	f.t.Helper()
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}

// wire encodes a request, and records that a client sent it.
func (f *fixture) wire(r *client.Request) (attempt string, data []byte) {
	attempt = nextAttemptID()
	f.recorder.Record(func(h *history.History) {
		h.Attempts = append(h.Attempts, &history.Attempt{Request: r.ID, Kind: r.Kind, AttemptID: attempt, Host: r.Host, Method: r.Method, URI: r.URI, BodyDigest: protocol.Digest(r.Body), Prompt: r.Prompt, Class: r.Class, Resumable: r.Resumable, Key: r.Key, Tenant: r.Tenant,
			Daemon: "edge-0", Began: f.recorder.Now()})
	})
	return attempt, client.Wire(r, attempt, r.Deadline, "")
}

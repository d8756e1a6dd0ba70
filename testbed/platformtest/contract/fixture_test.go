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

// services is how many tests can have engines of their own.
const services = 40

// shared is the one fleet that all tests of this package speak to; each test has a service of its own on it.
var shared struct {
	fleet *fleet.Fleet
	book  *history.Recorder
	entry *fleet.Entry
	taken atomic.Int64
}

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
	shared.book = history.NewRecorder(clock.System{})
	f, err := fleet.New(fleet.Plan{Program: program, Folder: filepath.Join(folder, "fleet"), Zones: []string{"a"}, Cores: 1, Edges: 1, Bounds: bounds, CatchUp: 4 * time.Second,
		HeartbeatPeriod: 200 * time.Millisecond, Staleness: 0, Recorder: shared.book})
	if err != nil {
		panic(err)
	}
	shared.fleet, shared.entry = f, fleet.NewEntry(f, time.Second)
	if err := f.Start(); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	o := operator.New("first", 1, shared.book, f.Controls)
	if change := o.Put(ctx, 0, config(), ""); change.Outcome != history.Acknowledged {
		f.KillAll()
		panic(fmt.Sprintf("the first configuration was not taken: %+v; logs in %s", change, folder))
	}
	for !shared.entry.Ready(ctx, f.OfClass(fleet.Edge)[0]) {
		if ctx.Err() != nil {
			f.KillAll()
			panic("the router was never ready; logs in " + folder)
		}
	}
	code := m.Run()
	f.KillAll()
	for _, machine := range f.Machines {
		log, _ := os.ReadFile(machine.Log())
		if bytes.Contains(log, []byte("DATA RACE")) || bytes.Contains(log, []byte("panic:")) {
			fmt.Printf("%s:\n%s\n", machine.Name, log)
			code = 1
		}
	}
	if ends := f.Plan.Recorder.Snapshot().Disruptions; len(ends) > 0 {
		fmt.Println("processes ended by themselves; logs in", folder)
		return 1
	}
	if code == 0 {
		os.RemoveAll(folder)
	} else {
		fmt.Println("logs in", folder)
	}
	return code
}

const ms = time.Millisecond

var bounds = checker.Bounds{Contact: 3000 * ms, Drain: 2000 * ms, Grace: 8000 * ms, LossSlack: 200 * ms, Apply: 2000 * ms, Revert: 250 * ms, StretchMax: 5000 * ms,
	Recovery: 12 * time.Second, Ack: 4000 * ms, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 100000, Lease: 3000 * ms, Unfreeze: 300 * ms,
	OriginWindow: 5 * time.Second, OriginExcess: 1.1}

// config has for each service a plain pool and a model pool, and a path of each class.
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

// bench is one test's own service.
type bench struct {
	t        *testing.T
	number   int
	engines  []*engine.Engine
	recorder *history.Recorder
}

func newBench(t *testing.T) *bench {
	t.Helper()
	t.Parallel()
	number := int(shared.taken.Add(1)) - 1
	if number >= services {
		t.Fatal("there are more tests than services")
	}
	return &bench{t: t, number: number, recorder: shared.book}
}

// plain starts a plain engine of the test's service, and model one that holds the model m.
func (b *bench) plain(change func(*engine.Config)) *engine.Engine {
	b.t.Helper()
	return b.start(engine.Config{Service: fmt.Sprintf("plain-%d", b.number), Slots: 8, Waiting: 8, Work: 100 * time.Microsecond, AnswerBytes: 60}, change)
}

func (b *bench) model(change func(*engine.Config)) *engine.Engine {
	b.t.Helper()
	c := config().Backend(fmt.Sprintf("model-%d", b.number))
	return b.start(engine.Config{Service: c.Label, Model: true, Pace: engine.Pace{Slots: 8, Waiting: 8, Memory: 4000, StepTime: 300 * time.Microsecond, PrefillPerMs: 1000, PrefillAtOnce: 500, Stride: 2},
		Capacity: engine.Capacity{Catalogue: *c.Engine, DiskShare: 0.5, AdapterTime: ms}, Store: &engine.Store{}, InitialModels: []protocol.Holding{{Label: "m", Generation: 1}}}, change)
}

func (b *bench) start(c engine.Config, change func(*engine.Config)) *engine.Engine {
	b.t.Helper()
	c.Name, c.Zone, c.Software, c.HealthPath, c.MaxConns = fmt.Sprintf("%s-%d", c.Service, len(b.engines)), "a", "v1", "/health", 60
	c.Address, c.IdleClose, c.ReportLag, c.Seed = loopback.Host()+":0", 20*time.Second, 50*ms, uint64(b.number)
	c.HeartbeatPeriod, c.Controls, c.DrainBound, c.DrainPatience = 200*ms, shared.fleet.Controls, bounds.Drain, 10*time.Second
	if change != nil {
		change(&c)
	}
	e := engine.New(c, b.recorder)
	if err := e.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(e.Stop)
	b.engines = append(b.engines, e)
	return e
}

// path gives the path of the test's own route of a class.
func (b *bench) path(class string) string { return fmt.Sprintf("/%s/%d/x", class, b.number) }

// request makes one of a class: again, once, stream or resume.
func (b *bench) request(class string) *client.Request {
	r := &client.Request{ID: fmt.Sprintf("%s-%d", class, b.number), Kind: class, Zone: "a", Host: host, Method: http.MethodPost, URI: b.path(class), Body: []byte("the body"),
		Deadline: 15 * time.Second, Target: 2 * time.Second, Gap: time.Second}
	switch class {
	case "again":
		r.Class = protocol.Idempotent
	case "once":
		r.Class = protocol.Mutating
	default:
		r.Class, r.Resumable = protocol.Streaming, class == "resume"
		r.Prompt = protocol.Prompt{Model: "m", TokensIn: 100, TokensOut: 12, Parts: []protocol.Part{{ID: "aa", Tokens: 60}, {ID: fmt.Sprintf("%x", b.number), Tokens: 40}}}
	}
	return r
}

var attempts = client.NewAttemptIDs(uint64(os.Getpid()))

// newClient makes a client that enters at the one router.
func (b *bench) newClient() *client.Client {
	c := &client.Client{Recorder: b.recorder, NextAttemptID: attempts, PickDaemon: func(string) (client.Daemon, bool) {
		return client.Daemon{Name: "edge-0", Address: b.front()}, true
	}}
	b.t.Cleanup(c.Close)
	return c
}

func (b *bench) front() string { return shared.fleet.OfClass(fleet.Edge)[0].Front() }

// ask sends a request once and gives its try.
func (b *bench) ask(r *client.Request) *history.Attempt {
	b.t.Helper()
	attempts := b.newClient().Do(context.Background(), r)
	if len(attempts) == 0 {
		b.t.Fatal("nothing was tried")
	}
	return attempts[0]
}

// answered sends a request and, as long as it is promised not to have run, again, as the page lets clients do. It
// gives the try that had another answer, which must be there in the end.
func (b *bench) answered(r *client.Request) (attempt *history.Attempt) {
	b.t.Helper()
	b.await(r.ID+" is no longer put off", func() bool {
		attempt = b.ask(r)
		return !attempt.PromisesNotRun()
	})
	return attempt
}

// atOnce is how many requests for each further engine known sends at once.
const atOnce = 8

// known waits until the router sends requests of a class to that many engines.
func (b *bench) known(class string, count int) {
	b.t.Helper()
	asked := 0
	b.await(fmt.Sprintf("%d engines serve %s", count, class), func() bool {
		// Several at once: one after the other they would keep to the engine that a connection is kept to.
		var batch sync.WaitGroup
		for range atOnce*(count-1) + 1 {
			r := b.request(class)
			if asked++; count > 1 && len(r.Prompt.Parts) > 0 {
				// What begins in the same way would go to the same engine.
				r.Prompt.Parts[0].ID, r.Prompt.Parts[1].ID = fmt.Sprintf("a%x", asked), fmt.Sprintf("%x%x", b.number, asked)
			}
			batch.Go(func() { b.newClient().Do(context.Background(), r) })
		}
		batch.Wait()
		served := map[string]bool{}
		for _, arrival := range b.arrivals() {
			if arrival.Ran() {
				served[arrival.Engine] = true
			}
		}
		return len(served) >= count
	})
}

// arrivals are those at the test's own engines.
func (b *bench) arrivals() []*history.Arrival { return b.of("") }

// of are the arrivals of one attempt at the test's own engines; empty takes all.
func (b *bench) of(attempt string) []*history.Arrival {
	plain, model := fmt.Sprintf("plain-%d", b.number), fmt.Sprintf("model-%d", b.number)
	return b.recorder.Arrivals(func(a *history.Arrival) bool {
		return !a.HealthCheck && (a.Service == plain || a.Service == model) && (attempt == "" || a.AttemptID == attempt)
	})
}

// await waits for a condition; the guard only ends a hang.
func (b *bench) await(what string, holds func() bool) {
	b.t.Helper()
	guard := time.After(60 * time.Second)
	tick := time.NewTicker(5 * ms)
	defer tick.Stop()
	for !holds() {
		select {
		case <-guard:
			b.t.Fatal("waited in vain until " + what)
		case <-tick.C:
		}
	}
}

// onAnswers are the rules that hold whatever an engine does.
var onAnswers = []string{"MIXED", "UNASKED", "TWICE", "REFUSED", "ROUTE", "ORDER", "CONFIG refused or invalid in force"}

// sound holds what this test's engines and clients saw against the rules on answers.
func (b *bench) sound() {
	b.t.Helper()
	h := b.recorder.Snapshot()
	mine := fmt.Sprintf("/%d/", b.number)
	h.Attempts = slices.DeleteFunc(h.Attempts, func(attempt *history.Attempt) bool { return !strings.Contains(attempt.URI, mine) })
	h.Arrivals = slices.DeleteFunc(h.Arrivals, func(a *history.Arrival) bool { return !strings.Contains(a.URI, mine) })
	checked := 0
	for _, finding := range checker.CheckAll(h, bounds) {
		if slices.Contains(onAnswers, finding.Rule) {
			checked += finding.Checked
			for _, violation := range finding.Violations {
				b.t.Errorf("%s: %s", finding.Rule, violation)
			}
		}
	}
	if checked == 0 {
		b.t.Error("nothing was checked")
	}
}

// dial opens a raw connection to the router.
func (b *bench) dial() *net.TCPConn {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.front())
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(60 * time.Second))
	return conn.(*net.TCPConn)
}

// response reads one answer off a raw connection.
func (b *bench) response(reader *bufio.Reader) *http.Response {
	b.t.Helper()
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		b.t.Fatal(err)
	}
	return response
}

// wire gives a request's bytes, and notes that a client sent it.
func (b *bench) wire(r *client.Request) (attempt string, data []byte) {
	attempt = attempts()
	b.recorder.Record(func(h *history.History) {
		h.Attempts = append(h.Attempts, &history.Attempt{Request: r.ID, Kind: r.Kind, AttemptID: attempt, Host: r.Host, Method: r.Method, URI: r.URI, BodyDigest: protocol.Digest(r.Body), Prompt: r.Prompt, Class: r.Class, Resumable: r.Resumable,
			Daemon: "edge-0", Began: b.recorder.Now()})
	})
	return attempt, client.Wire(r, attempt, r.Deadline, "")
}

package forwarding

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/wire/dialect"
)

// coreFixture is a core in an environment that a test controls.
type coreFixture struct {
	t    testing.TB
	core *Core
	now  clock.Mark
	// hasWorkerID and current are those of the environment.
	hasWorkerID, current bool
	index                *upstream.Index
	view                 *registry.View
	routers              int
	minted               ident.SnowflakeID
	notLoadedFor         map[string]time.Duration
	made                 int
}

func ms(n int) clock.Mark { return clock.Mark(time.Duration(n) * time.Millisecond) }

func pathOf(name string, class upstream.Class, pools ...string) upstream.Path {
	path := upstream.Path{Name: name, Host: "h", Prefix: "/" + name + "/", Class: class, DeadlineMs: 4000, TargetMs: 600, Attempts: 3}
	for _, pool := range pools {
		path.Shares = append(path.Shares, upstream.Share{Pool: pool, Weight: 1})
	}
	return path
}

func routingTable(paths ...upstream.Path) *upstream.Index {
	catalogue := &upstream.Catalogue{Slots: 64, MemoryTokens: 100_000, CapacityMb: 100, AdapterSlots: 4, LoadsPerSecond: 1,
		Models: []upstream.Model{{Name: "m", SizeMb: 10, LoadMs: 1500, Adapters: 3, AdapterSizeMb: 1}}}
	return upstream.NewIndex(&upstream.Section{Revision: 1, Paths: paths, Pools: []upstream.Pool{{Name: "plain"}, {Name: "other"}, {Name: "batch", Catalogue: catalogue}}})
}

func newCoreFixture(t testing.TB, paths ...upstream.Path) *coreFixture {
	return &coreFixture{t: t, core: NewCore(DefaultSettings()), now: ms(1_000_000), hasWorkerID: true, current: true, index: routingTable(paths...), view: &registry.View{}, routers: 1, notLoadedFor: map[string]time.Duration{}}
}

func (fixture *coreFixture) world() Environment {
	return Environment{Now: fixture.now, Index: fixture.index, IndexCurrent: fixture.current, View: fixture.view, Routers: fixture.routers,
		HasWorkerID: fixture.hasWorkerID,
		MintID:      func() (ident.SnowflakeID, bool) { fixture.minted++; return fixture.minted, fixture.hasWorkerID },
		NotLoadedFor: func(_, model, adapter string) (time.Duration, bool) {
			wait, unavailable := fixture.notLoadedFor[model+"/"+adapter]
			return wait, unavailable
		}}
}

// register replaces the engines.
func (fixture *coreFixture) register(engines ...*registry.Engine) {
	view := &registry.View{Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}
	for _, engine := range engines {
		view.Engines[engine.ID] = engine
		view.Pools[engine.Pool] = append(view.Pools[engine.Pool], engine)
	}
	fixture.view = view
}

func engineOf(pool string, n, slots int, models ...string) *registry.Engine {
	engine := &registry.Engine{Registration: registry.Registration{ID: ident.EngineID(fmt.Sprintf("%s-%d", pool, n)), Pool: pool, Address: "a", Slots: slots}}
	for _, model := range models {
		engine.Registration.Models = append(engine.Registration.Models, registry.LoadedModel{Model: model})
	}
	return engine
}

func enginesOf(pool string, count, slots int, models ...string) []*registry.Engine {
	var out []*registry.Engine
	for n := range count {
		out = append(out, engineOf(pool, n, slots, models...))
	}
	return out
}

// record makes a request on a path.
func (fixture *coreFixture) record(path string, change ...func(*Request)) *Request {
	fixture.made++
	found, _ := fixture.index.Lookup("h", "/"+path+"/")
	request := Request{Attributes: dialect.Ask{Attempt: fmt.Sprintf("a%d", fixture.made)}, Path: found, Host: "h", URLPath: "/" + path + "/", ArrivedAt: fixture.now, Deadline: fixture.now + ms(4000)}
	for _, option := range change {
		option(&request)
	}
	return NewRequest(request)
}

func (fixture *coreFixture) admit(path string, change ...func(*Request)) *Request {
	request := fixture.record(path, change...)
	fixture.core.Admit(request, fixture.world())
	return request
}

// pendingStep gives a request's next step, if there is one.
func pendingStep(request *Request) (Step, bool) {
	select {
	case step := <-request.steps:
		return step, true
	default:
		return Step{}, false
	}
}

func (fixture *coreFixture) sent(request *Request) *Attempt {
	fixture.t.Helper()
	step, _ := pendingStep(request)
	if step.Attempt == nil {
		fixture.t.Fatalf("not sent: %+v", step.Answer)
	}
	return step.Attempt
}

func (fixture *coreFixture) ended(request *Request, status int, cause Cause) Answer {
	fixture.t.Helper()
	step, there := pendingStep(request)
	if step.Answer == nil || step.Answer.Status != status || step.Answer.Cause != cause {
		fixture.t.Fatalf("%t: %+v, want %d %s", there, step, status, cause)
	}
	return *step.Answer
}

func prompt(model string, tokens int, parts ...string) func(*Request) {
	return func(request *Request) {
		request.Attributes.Model, request.Attributes.TokensIn, request.Attributes.TokensOut = model, tokens, 30
		for _, part := range parts {
			request.Attributes.Parts = append(request.Attributes.Parts, dialect.Part{ID: part, Tokens: tokens / len(parts)})
		}
	}
}

func partOf(id string, tokens int) dialect.Part { return dialect.Part{ID: id, Tokens: tokens} }

func TestUnknownPathIsNotFoundOnlyWhenTableIsCurrent(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Once, "plain"))
	fixture.ended(fixture.admit("none"), fasthttp.StatusNotFound, CauseNoPath)
	fixture.current = false
	fixture.ended(fixture.admit("none"), fasthttp.StatusServiceUnavailable, CauseNoTable)
	fixture.index = nil
	request := NewRequest(Request{Attributes: dialect.Ask{Attempt: "x"}, Host: "h", URLPath: "/p/", ArrivedAt: fixture.now, Deadline: fixture.now + ms(4000)})
	fixture.core.Admit(request, fixture.world())
	fixture.ended(request, fasthttp.StatusServiceUnavailable, CauseNoTable)
}

// TestRequestReadByAnOlderTableIsAdmittedByTheNewest guards against a 404 for a route that is in force: the gateway found
// no path in the table that was in force when the request was read, and a newer one has it by the time of its admission.
func TestRequestReadByAnOlderTableIsAdmittedByTheNewest(t *testing.T) {
	for _, c := range []struct {
		name           string
		client, expect clock.Mark
	}{{"the path's deadline", 0, ms(4000)}, {"the client's deadline", ms(700), ms(700)}, {"a client that waits longer than the path", ms(9000), ms(4000)}} {
		fixture := newCoreFixture(t)
		fixture.register(enginesOf("plain", 1, 6)...)
		request := fixture.record("p", func(request *Request) {
			request.Attributes.Deadline = time.Duration(c.client)
			request.Deadline = request.ArrivedAt + ms(3_600_000)
		})
		fixture.index = routingTable(pathOf("p", upstream.Once, "plain"))
		fixture.core.Admit(request, fixture.world())
		if attempt := fixture.sent(request); attempt.TimeLeft != time.Duration(c.expect) {
			t.Errorf("%s: %v left, want %v", c.name, attempt.TimeLeft, time.Duration(c.expect))
		}
	}
}

// TestClosedEngineReceivesNoNewRequests: a queued request is sent there as soon as operators open the engine again.
func TestClosedEngineReceivesNoNewRequests(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Idempotent, "plain"))
	fixture.register(enginesOf("plain", 2, 6)...)
	closed := map[ident.EngineID]bool{"plain-0": true}
	environment := func() Environment {
		env := fixture.world()
		env.EngineOpen = func(engine *registry.Engine) bool { return !closed[engine.ID] }
		return env
	}
	for range 6 {
		request := fixture.record("p")
		fixture.core.Admit(request, environment())
		if send := fixture.sent(request); send.Engine != "plain-1" {
			t.Fatalf("sent to %s, which is closed", send.Engine)
		}
	}
	closed["plain-1"] = true
	request := fixture.record("p")
	fixture.core.Admit(request, environment())
	if step, there := pendingStep(request); there {
		t.Fatalf("all engines are closed: %+v", step)
	}
	closed["plain-0"] = false
	fixture.core.DispatchQueued(environment())
	if send := fixture.sent(request); send.Engine != "plain-0" {
		t.Fatalf("sent to %s, which is closed", send.Engine)
	}
}

func TestWithoutWorkerIDNothingIsQueuedOrRetried(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Idempotent, "plain"))
	fixture.hasWorkerID = false
	fixture.ended(fixture.admit("p"), fasthttp.StatusServiceUnavailable, CauseNoWorkerID)
	fixture.register(enginesOf("plain", 2, 6)...)
	request := fixture.admit("p")
	fixture.sent(request)
	fixture.core.AttemptEnded(request, OutcomeRejected, fixture.world())
	fixture.ended(request, fasthttp.StatusServiceUnavailable, CauseNoWorkerID)
	request = fixture.admit("p")
	fixture.sent(request)
	fixture.core.AttemptEnded(request, OutcomeResponseLost, fixture.world())
	fixture.ended(request, fasthttp.StatusBadGateway, CauseNoWorkerID)
}

func TestQueuedRequestsAreOrderedByRankThenArrivalWithoutStarvation(t *testing.T) {
	urgent, later := pathOf("urgent", upstream.Once, "plain"), pathOf("later", upstream.Once, "plain")
	later.Rank = 2
	fixture := newCoreFixture(t, urgent, later)
	old := fixture.admit("later")
	fixture.now += ms(100)
	first, second := fixture.admit("urgent"), fixture.admit("urgent")
	fixture.now += ms(1)
	fixture.routers = 6
	fixture.register(engineOf("plain", 0, 6))
	fixture.core.DispatchQueued(fixture.world())
	fixture.sent(first)
	fixture.sent(second)
	if old.stage != StageQueued {
		t.Fatal(old.stage)
	}
	// A request that arrived early in its time gives way, one that has waited long does not.
	third := fixture.admit("urgent", func(request *Request) { request.Deadline = fixture.now + ms(20_000) })
	fixture.now += ms(1_400)
	fixture.core.AttemptEnded(first, OutcomeCompleted, fixture.world())
	fixture.sent(old)
	if third.stage != StageQueued {
		t.Fatal(third.stage)
	}
	fixture.core.AttemptEnded(second, OutcomeCompleted, fixture.world())
	fixture.sent(third)
}

func TestRequestThatCannotBeServedInTimeIsRejectedAtOnce(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
	fixture.register(enginesOf("batch", 3, 64)...)
	fixture.notLoadedFor["m/"] = 10 * time.Second
	answer := fixture.ended(fixture.admit("p", prompt("m", 100)), fasthttp.StatusServiceUnavailable, CauseNoCapacity)
	if answer.RetryAfter <= 0 || answer.RetryAfter > 4*time.Second {
		t.Error(answer.RetryAfter)
	}
	// A model that no catalogue has can't be loaded by anybody.
	fixture.ended(fixture.admit("p", prompt("unknown", 100)), fasthttp.StatusServiceUnavailable, CauseNoCapacity)
	// One that will be loaded in time is waited for, and the request is sent when it is.
	delete(fixture.notLoadedFor, "m/")
	coming := engineOf("batch", 0, 64)
	coming.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: fixture.now + ms(300)}}, Received: fixture.now}
	fixture.register(coming)
	request := fixture.admit("p", prompt("m", 100))
	if request.stage != StageQueued {
		t.Fatal(request.stage)
	}
	fixture.now += ms(450)
	fixture.register(engineOf("batch", 0, 64, "m"))
	fixture.core.DispatchQueued(fixture.world())
	fixture.sent(request)
	if demands := fixture.core.Demands(fixture.now); len(demands) == 0 {
		t.Error("nothing is asked for")
	}
}

// TestRequestForSlowLoadIsRejectedWithRetryAfter: a model that is loaded only after the target, while the client can
// retry by then, rejects with a time to retry, and still counts as demand.
func TestRequestForSlowLoadIsRejectedWithRetryAfter(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
	coming := engineOf("batch", 0, 64)
	coming.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: fixture.now + ms(1000)}}, Received: fixture.now}
	fixture.register(coming)
	answer := fixture.ended(fixture.admit("p", prompt("m", 100)), fasthttp.StatusServiceUnavailable, CauseNoCapacity)
	if answer.RetryAfter < time.Second || answer.RetryAfter > 4*time.Second/3 {
		t.Error(answer.RetryAfter)
	}
	if demands := fixture.core.Demands(fixture.now + ms(900)); len(demands) != 1 || demands[0].Queued != 1 {
		t.Errorf("%+v", demands)
	}
	if demands := fixture.core.Demands(fixture.now + ms(2000)); demands[0].Queued != 0 {
		t.Errorf("%+v", demands)
	}
}

func TestQueuedRequestIsRejectedBeforeHalfOfItsTime(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Once, "plain"))
	fixture.routers = 3
	fixture.register(engineOf("plain", 0, 1))
	for range 2 {
		fixture.sent(fixture.admit("p"))
	}
	request := fixture.admit("p")
	for step := 0; request.stage == StageQueued; step++ {
		next, due := fixture.core.NextWake(fixture.now)
		if !due || next <= fixture.now {
			t.Fatal("no wake is due", next, due)
		}
		fixture.now = next
		fixture.core.DispatchQueued(fixture.world())
		if fixture.now.Since(request.ArrivedAt) > 2100*time.Millisecond {
			t.Fatal("still queued")
		}
	}
	fixture.ended(request, fasthttp.StatusServiceUnavailable, CauseNoCapacity)
}

func TestQueuedRequestFollowsNewestRoutingTable(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Once, "plain"))
	request := fixture.admit("p")
	if request.stage != StageQueued {
		t.Fatal(request.stage)
	}
	fixture.index = routingTable(pathOf("p", upstream.Once, "other"))
	fixture.register(append(enginesOf("plain", 1, 6), enginesOf("other", 1, 6)...)...)
	fixture.core.DispatchQueued(fixture.world())
	if send := fixture.sent(request); send.Pool != "other" {
		t.Error(send)
	}
	// A withheld request follows the newest table too, or ends.
	fixture.index = routingTable()
	fixture.core.AttemptEnded(request, OutcomeWithheld, fixture.world())
	fixture.ended(request, fasthttp.StatusNotFound, CauseNoPath)
	for _, demand := range fixture.core.Demands(fixture.now) {
		if demand.Queued != 0 || demand.Running != 0 {
			t.Errorf("%+v", demand)
		}
	}
}

func TestEngineErrorIsPassedOnUnlessRequestCanBeRetried(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("again", upstream.Idempotent, "plain"), pathOf("once", upstream.Once, "plain"))
	fixture.register(enginesOf("plain", 2, 6)...)
	request := fixture.admit("once")
	fixture.sent(request)
	fixture.core.AttemptEnded(request, OutcomeEngineError, fixture.world())
	if step, _ := pendingStep(request); !step.PassEngineError {
		t.Errorf("%+v", step)
	}
	request = fixture.admit("again")
	first := fixture.sent(request)
	fixture.core.AttemptEnded(request, OutcomeEngineError, fixture.world())
	if second := fixture.sent(request); second.Engine == first.Engine {
		t.Error("the same engine again")
	}
	fixture.core.AttemptEnded(request, OutcomeEngineError, fixture.world())
	if step, _ := pendingStep(request); !step.PassEngineError {
		t.Errorf("%+v", step)
	}
}

func TestStreamResumesAfterItsLastEvent(t *testing.T) {
	path := pathOf("p", upstream.Stream, "plain")
	path.Resumable = true
	fixture := newCoreFixture(t, path, pathOf("stream", upstream.Stream, "plain"))
	fixture.register(enginesOf("plain", 3, 6)...)
	request := fixture.admit("p", func(request *Request) { request.Attributes.LastEvent, request.Attributes.Resumes = "3", true })
	if send := fixture.sent(request); send.LastEvent != "3" || !send.Resume {
		t.Errorf("%+v", send)
	}
	fixture.core.ResponseBegun(request, fixture.world())
	request.lastEvent = "7"
	fixture.core.AttemptEnded(request, OutcomeStreamBroken, fixture.world())
	if send := fixture.sent(request); send.LastEvent != "7" || !send.Resume || send.NotRepeatable {
		t.Errorf("%+v", send)
	}
	fixture.core.AttemptEnded(request, OutcomeCompleted, fixture.world())
	// One that may not be taken up is broken off.
	request = fixture.admit("stream")
	fixture.sent(request)
	fixture.core.ResponseBegun(request, fixture.world())
	request.lastEvent = "7"
	fixture.core.AttemptEnded(request, OutcomeStreamBroken, fixture.world())
	fixture.ended(request, 0, CauseResponseLost)
}

// simulatedRequest is what the simulated engines know of one request.
type simulatedRequest struct {
	record   *Request
	path     *upstream.Path
	class    upstream.Class
	ran      int
	arrivals int
	// sends counts arrivals and those that were refused ahead of the news of a load, engines where they were.
	sends    int
	engines  []ident.EngineID
	send     *Attempt
	ended    bool
	promised bool
	deadline clock.Mark
}

// TestInvariantsHoldUnderRandomInterleavings drives the core through random orders of arrivals, outcomes, tables,
// engines, worker ids and times, and checks the invariants in each.
func TestInvariantsHoldUnderRandomInterleavings(t *testing.T) {
	tooSoon := 0
	defer func() {
		if tooSoon < 100 {
			t.Errorf("only %d attempts came before a load had ended", tooSoon)
		}
	}()
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 7))
		resumable := pathOf("resume", upstream.Stream, "plain")
		resumable.Resumable = true
		paths := []upstream.Path{pathOf("once", upstream.Once, "plain"), pathOf("again", upstream.Idempotent, "plain", "other"), pathOf("stream", upstream.Stream, "batch"), resumable}
		for index := range paths {
			paths[index].Attempts = 1 + random.IntN(3)
			paths[index].Rank = random.IntN(3)
		}
		fixture := newCoreFixture(t, paths...)
		fixture.core.settings.RetrySlack = float64(random.IntN(40))
		fixture.routers = 1 + random.IntN(4)
		complete := fixture.index
		fewer := routingTable(paths[:2]...)
		moved := pathOf("once", upstream.Once, "other")
		moved.Attempts = paths[0].Attempts
		elsewhere := routingTable(append([]upstream.Path{moved}, paths[1:]...)...)
		all := append(append(enginesOf("plain", 3, 2), enginesOf("other", 2, 2)...), enginesOf("batch", 2, 3, "m")...)
		// One more engine is to load the model at some time, and no report shows it.
		loading := engineOf("batch", 2, 3)
		loading.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: fixture.now + ms(random.IntN(3000))}}}
		all = append(all, loading)
		fixture.register(all...)
		runs := []*simulatedRequest{}
		fail := func(request *simulatedRequest, what string) {
			t.Fatalf("seed %d: %s: %+v of %s", seed, what, request, request.class)
		}
		read := func(request *simulatedRequest) {
			for {
				step, there := pendingStep(request.record)
				if !there {
					return
				}
				if request.ended {
					fail(request, "a step after the end")
				}
				switch {
				case step.Attempt != nil:
					if request.send != nil {
						fail(request, "two attempts at a time")
					}
					if request.promised {
						fail(request, "sent after a rejection")
					}
					request.send = step.Attempt
				case step.Answer != nil:
					request.ended = true
					if status := step.Answer.Status; status == 503 || status == 404 || status == 429 {
						request.promised = true
						if request.ran > 0 {
							fail(request, "refused what ran")
						}
					}
				default:
					request.ended = true
				}
			}
		}
		for step := 0; step < 300; step++ {
			switch kind := random.IntN(20); {
			case kind < 5:
				names := []string{"once", "again", "stream", "resume"}
				name := names[random.IntN(len(names))]
				change := func(*Request) {}
				if name == "stream" {
					change = prompt("m", 1000, "s", fmt.Sprint(random.IntN(3)), fmt.Sprint(step))
				}
				record := fixture.record(name, change)
				if record.Path == nil {
					break
				}
				request := &simulatedRequest{record: record, path: record.Path, class: record.Path.Class, deadline: record.Deadline}
				runs = append(runs, request)
				fixture.core.Admit(record, fixture.world())
			case kind < 13:
				open := slices.DeleteFunc(slices.Clone(runs), func(request *simulatedRequest) bool { return request.send == nil })
				if len(open) == 0 {
					break
				}
				request := open[random.IntN(len(open))]
				send := request.send
				request.send = nil
				if request.record.responseBegun && random.IntN(2) == 0 {
					request.record.lastEvent = fmt.Sprint(step)
				}
				outcome := Outcome(random.IntN(int(OutcomeCallerLeft) + 1))
				if request.record.responseBegun && outcome == OutcomeEngineError {
					outcome = OutcomeStreamBroken
				}
				if outcome == OutcomeStreamBroken && !request.record.responseBegun {
					outcome = OutcomeResponseLost
				}
				if outcome != OutcomeWithheld && outcome != OutcomeUnreachable {
					if !slices.Contains(request.engines, send.Engine) {
						request.engines = append(request.engines, send.Engine)
					}
					if request.record.speculative && (outcome == OutcomeRejected || outcome == OutcomeMisdirected) {
						tooSoon++
					} else {
						request.arrivals++
					}
					request.sends++
				}
				if outcome == OutcomeResponseLost || outcome == OutcomeProtocolError || outcome == OutcomeStreamBroken || outcome == OutcomeEngineError || outcome == OutcomeCompleted {
					request.ran++
				}
				if outcome == OutcomeCompleted {
					request.ended = true
				}
				fixture.core.AttemptEnded(request.record, outcome, fixture.world())
			case kind < 14:
				open := slices.DeleteFunc(slices.Clone(runs), func(request *simulatedRequest) bool { return request.send == nil })
				if len(open) > 0 {
					fixture.core.ResponseBegun(open[random.IntN(len(open))].record, fixture.world())
				}
			case kind < 15:
				if len(runs) > 0 {
					request := runs[random.IntN(len(runs))]
					fixture.core.CallerLeft(request.record, fixture.world())
				}
			case kind < 16:
				fixture.hasWorkerID = random.IntN(4) > 0
			case kind < 17:
				fixture.index = []*upstream.Index{complete, complete, fewer, elsewhere}[random.IntN(4)]
				fixture.core.DispatchQueued(fixture.world())
			case kind < 18:
				some := slices.DeleteFunc(slices.Clone(all), func(*registry.Engine) bool { return random.IntN(3) == 0 })
				if random.IntN(2) == 0 {
					// Nobody else holds it.
					some = slices.DeleteFunc(some, func(engine *registry.Engine) bool { return engine.Holds("m", "") })
				}
				fixture.register(some...)
				fixture.core.DispatchQueued(fixture.world())
				fixture.core.Forget(fixture.view)
			default:
				fixture.now += ms(random.IntN(200))
				fixture.core.DispatchQueued(fixture.world())
			}
			for _, request := range runs {
				read(request)
				if request.class != upstream.Idempotent && !(request.class == upstream.Stream && request.path.Resumable) && request.ran > 1 {
					fail(request, "ran twice")
				}
				if request.record.stage == StageQueued && fixture.now > request.deadline {
					fixture.core.DispatchQueued(fixture.world())
					if read(request); !request.ended {
						fail(request, "queued past its deadline")
					}
				}
				if request.arrivals > request.path.Attempts || len(request.engines) > request.path.Attempts {
					fail(request, "went to more engines than the path allows")
				}
				if request.record.stage == StageQueued && len(request.record.mintedIDs) == 0 {
					fail(request, "queued without a minted id")
				}
			}
		}
		// All that is under way ends, and leaves nothing counted.
		fixture.index, fixture.hasWorkerID = complete, true
		for _, request := range runs {
			if request.send != nil {
				request.send = nil
				fixture.core.AttemptEnded(request.record, OutcomeCompleted, fixture.world())
			}
		}
		fixture.core.Stop(fixture.world())
		for _, request := range runs {
			read(request)
			for request.send != nil {
				request.send = nil
				fixture.core.AttemptEnded(request.record, OutcomeCallerLeft, fixture.world())
				read(request)
			}
			if request.record.stage != StageEnded {
				fail(request, "without an end: "+request.record.stage.String())
			}
		}
		for id, state := range fixture.core.engines {
			if state.inFlight != 0 || state.awaitingCount != 0 || state.prefillTokens != 0 || state.memoryTokens != 0 || len(state.awaitingSince) != 0 {
				t.Fatalf("seed %d: %s: %+v", seed, id, state)
			}
		}
		for key, demand := range fixture.core.demands {
			if demand.queued != 0 || demand.running != 0 {
				t.Fatalf("seed %d: %+v: %+v", seed, key, demand)
			}
		}
		if fixture.core.QueueLength() != 0 {
			t.Fatalf("seed %d: %d queued", seed, fixture.core.QueueLength())
		}
	}
}

// TestRetriesStayWithinBudget: in every window the fleet's retries stay within the share of first sends, counted in that
// window, the one before or the one half a window before.
func TestRetriesStayWithinBudget(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("budget", prop.ForAll(func(seed uint64, routers int, burst int) bool {
		random := rand.New(rand.NewPCG(seed, 3))
		settings := DefaultSettings()
		settings.RetryRatio, settings.RetrySlack, settings.RetryWindow = 0.2, 58, 10*time.Second
		daemons := make([]retryBudget, routers)
		var firsts, further []clock.Mark
		now := clock.Mark(time.Hour)
		for range 3000 {
			now += ms(random.IntN(1 + burst))
			if random.IntN(400) == 0 {
				now += clock.Mark(time.Duration(random.IntN(20)) * time.Second)
			}
			daemon := &daemons[random.IntN(routers)]
			// Storms send nothing but further ones for a while.
			if storm := now/clock.Mark(7*time.Second)%2 == 0; !storm && random.IntN(2) == 0 {
				daemon.recordFirstSend(now, now, settings.RetryWindow)
				firsts = append(firsts, now)
			} else if daemon.allowsRetry(now, settings, routers) {
				daemon.recordRetry(now)
				further = append(further, now)
			}
		}
		count := func(times []clock.Mark, from, to clock.Mark) float64 {
			low, _ := slices.BinarySearch(times, from)
			high, _ := slices.BinarySearch(times, to+1)
			return float64(high - low)
		}
		duration := clock.Mark(settings.RetryWindow)
		for _, from := range further {
			requested := max(count(firsts, from, from+duration), count(firsts, from-duration, from), count(firsts, from-duration/2, from+duration/2))
			if count(further, from, from+duration) > settings.RetryRatio*requested+settings.RetrySlack {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.IntRange(1, 12), gen.IntRange(1, 60)))
	properties.TestingRun(t)
}

// TestRequestWithheldAtEveryCheckEnds: a sender and a core that disagree for good don't loop.
func TestRequestWithheldAtEveryCheckEnds(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Once, "plain"))
	fixture.register(enginesOf("plain", 3, 6)...)
	request := fixture.admit("p")
	withheld := 0
	for step, there := pendingStep(request); there && step.Attempt != nil; step, there = pendingStep(request) {
		if withheld++; withheld > 100 {
			t.Fatal("it goes round")
		}
		fixture.core.AttemptEnded(request, OutcomeWithheld, fixture.world())
		if request.stage == StageEnded {
			fixture.ended(request, fasthttp.StatusServiceUnavailable, CauseNoCapacity)
			break
		}
	}
	if request.stage != StageEnded || fixture.core.Counters.Sent != 0 {
		t.Error(request.stage)
	}
}

// TestAttemptsStayWithinConnectionShare: the connections that an engine accepts are divided among the routers.
func TestAttemptsStayWithinConnectionShare(t *testing.T) {
	path := pathOf("p", upstream.Once, "narrow")
	fixture := newCoreFixture(t, path)
	section := *fixture.index.Section
	section.Pools = append(section.Pools, upstream.Pool{Name: "narrow", MaxConnections: 10, Catalogue: &upstream.Catalogue{}})
	fixture.index = upstream.NewIndex(&section)
	fixture.routers = 3
	fixture.register(engineOf("narrow", 0, 64))
	sent := 0
	for range 10 {
		if request := fixture.admit("p"); request.stage == StageSending {
			sent++
		}
	}
	if sent != 3 {
		t.Errorf("%d at once", sent)
	}
}

// TestQueueTimeForModelLoad: a request is queued for a load that is done in time or soon after, rejected with a time to
// retry where that serves it better, and never queued for half of its time.
func TestQueueTimeForModelLoad(t *testing.T) {
	for name, c := range map[string]struct {
		// readyInMs is when the planner announces the load, notLoadedForMs how long it announces none; timeLeftMs is the
		// client's time.
		readyInMs, notLoadedForMs, timeLeftMs int
		queued                                bool
		low, high                             time.Duration
	}{
		// What is told to be ready is known of defaultPropagationTime later.
		"in time":              {readyInMs: 300, timeLeftMs: 4000, queued: true},
		"soon after, told":     {readyInMs: 1000, timeLeftMs: 4000, low: 1300 * time.Millisecond, high: 1300 * time.Millisecond},
		"later, told":          {readyInMs: 1350, timeLeftMs: 4000, low: 1333 * time.Millisecond, high: 1334 * time.Millisecond},
		"late, held":           {readyInMs: 1500, timeLeftMs: 4000, queued: true},
		"too late to be held":  {readyInMs: 2000, timeLeftMs: 4000, low: 1333 * time.Millisecond, high: 1334 * time.Millisecond},
		"never in time":        {notLoadedForMs: 9000, timeLeftMs: 4000, low: 1333 * time.Millisecond, high: 1334 * time.Millisecond},
		"back, soon":           {readyInMs: 1000, timeLeftMs: 2600, queued: true},
		"back, never in time":  {readyInMs: 3000, timeLeftMs: 2600, low: 866 * time.Millisecond, high: 867 * time.Millisecond},
		"nothing is known yet": {timeLeftMs: 4000, queued: true},
	} {
		fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
		engine := engineOf("batch", 0, 64)
		if c.readyInMs > 0 {
			engine.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: fixture.now + ms(c.readyInMs)}}, Received: fixture.now}
		}
		if c.notLoadedForMs > 0 {
			fixture.notLoadedFor["m/"] = time.Duration(c.notLoadedForMs) * time.Millisecond
		}
		fixture.register(engine)
		request := fixture.admit("p", prompt("m", 100), func(request *Request) {
			request.Attributes.Deadline = time.Duration(c.timeLeftMs) * time.Millisecond
			request.Deadline = fixture.now + ms(c.timeLeftMs)
		})
		if (request.stage == StageQueued) != c.queued {
			t.Errorf("%s: %s", name, request.stage)
			continue
		}
		if !c.queued {
			if answer := fixture.ended(request, 503, CauseNoCapacity); answer.RetryAfter < c.low || answer.RetryAfter > c.high {
				t.Errorf("%s: %v", name, answer.RetryAfter)
			}
			continue
		}
		// The planner's word never comes true, and the engine says so to whatever goes ahead of the news.
		for request.stage == StageQueued {
			fixture.now, _ = fixture.core.NextWake(fixture.now)
			fixture.core.DispatchQueued(fixture.world())
			if request.stage == StageSending {
				fixture.sent(request)
				fixture.core.AttemptEnded(request, OutcomeRejected, fixture.world())
			}
			if fixture.now.Since(request.ArrivedAt) >= time.Duration(c.timeLeftMs)*time.Millisecond/2 {
				t.Fatalf("%s: queued for half of its time", name)
			}
		}
		fixture.ended(request, 503, CauseNoCapacity)
	}
}

// TestRequestIsRejectedBeforeItsClientTimesOut: a client that waits for a stream's first byte leaves long before its
// deadline.
func TestRequestIsRejectedBeforeItsClientTimesOut(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.DeadlineMs, path.TargetMs, path.GapTargetMs = 20_000, 800, 500
	fixture := newCoreFixture(t, path)
	fixture.core.settings.ClientTimeout = ClientTimeout{Minimum: 2 * time.Second, TargetFactor: 4, GapFactor: 8}
	fixture.register(engineOf("batch", 0, 64))
	long := func(request *Request) { request.Deadline = fixture.now + ms(20_000) }
	// The model comes in 1.5 s and 0.7 s for the plan: a client that comes back then is in time.
	request := fixture.admit("p", prompt("m", 100), long)
	for request.stage == StageQueued {
		fixture.now, _ = fixture.core.NextWake(fixture.now)
		fixture.core.DispatchQueued(fixture.world())
	}
	answer := fixture.ended(request, 503, CauseNoCapacity)
	if waited := fixture.now.Since(request.ArrivedAt); waited > 250*time.Millisecond || answer.RetryAfter < 1500*time.Millisecond || answer.RetryAfter > 3*time.Second {
		t.Errorf("after %v, come back in %v", waited, answer.RetryAfter)
	}
	// One that was refused before is held, but no longer than for half of its patience of 4 s.
	request = fixture.admit("p", prompt("m", 100), long, func(request *Request) { request.Attributes.Deadline = 15 * time.Second })
	for request.stage == StageQueued {
		fixture.now, _ = fixture.core.NextWake(fixture.now)
		fixture.core.DispatchQueued(fixture.world())
	}
	fixture.ended(request, 503, CauseNoCapacity)
	if waited := fixture.now.Since(request.ArrivedAt); waited >= 2*time.Second || waited < 1500*time.Millisecond {
		t.Errorf("after %v", waited)
	}
}

// TestEngineThatReportsMissingModelIsNotAskedAgain: the engine's periodic report may lag behind.
func TestEngineThatReportsMissingModelIsNotAskedAgain(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
	fixture.register(enginesOf("batch", 1, 64, "m")...)
	request := fixture.admit("p", prompt("m", 100))
	fixture.sent(request)
	fixture.core.AttemptEnded(request, OutcomeMisdirected, fixture.world())
	if request.stage != StageQueued {
		t.Fatal(request.stage)
	}
	if other := fixture.admit("p", prompt("m", 100)); other.stage != StageQueued {
		t.Error(other.stage)
	}
	fixture.now += ms(1100)
	later := fixture.admit("p", prompt("m", 100))
	fixture.sent(later)
}

// TestPlanningTimeIsLearned: queue times follow the measured planning time, shorter or longer than the default.
func TestPlanningTimeIsLearned(t *testing.T) {
	for _, c := range []struct {
		took   int
		queued bool
	}{{100, true}, {900, false}} {
		path := pathOf("p", upstream.Stream, "batch")
		fixture := newCoreFixture(t, path)
		with := engineOf("batch", 0, 64, "m")
		with.Registration.Models[0].Adapters = []string{"a1"}
		withAdapter := func(request *Request) { request.Attributes.Adapter = "a2" }
		for range 20 {
			fixture.register(with)
			request := fixture.admit("p", prompt("m", 100), withAdapter, func(request *Request) { request.Attributes.Deadline = 3 * time.Second })
			if request.stage != StageQueued {
				t.Fatal(request.stage)
			}
			fixture.now += ms(c.took + 250)
			both := engineOf("batch", 0, 64, "m")
			both.Registration.Models[0].Adapters = []string{"a1", "a2"}
			fixture.register(both)
			fixture.core.DispatchQueued(fixture.world())
			fixture.sent(request)
			fixture.core.AttemptEnded(request, OutcomeCompleted, fixture.world())
		}
		fixture.register(with)
		request := fixture.admit("p", prompt("m", 100), withAdapter)
		fixture.now += ms(200)
		fixture.core.DispatchQueued(fixture.world())
		if (request.stage == StageQueued) != c.queued {
			t.Errorf("a plan that takes %d ms: %s", c.took, request.stage)
		}
	}
}

// TestRequestOfDisconnectedCallerIsNeitherQueuedNorRetried: the disconnect may be reported while an attempt is under way
// whose sender has just reported its outcome.
func TestRequestOfDisconnectedCallerIsNeitherQueuedNorRetried(t *testing.T) {
	for _, class := range []upstream.Class{upstream.Once, upstream.Idempotent, upstream.Stream} {
		for outcome := OutcomeWithheld; outcome <= OutcomeEngineError; outcome++ {
			fixture := newCoreFixture(t, pathOf("p", class, "plain"))
			fixture.register(enginesOf("plain", 3, 4)...)
			request := fixture.admit("p")
			fixture.sent(request)
			fixture.core.CallerLeft(request, fixture.world())
			fixture.core.AttemptEnded(request, outcome, fixture.world())
			step, _ := pendingStep(request)
			if step.Answer == nil && !step.PassEngineError || request.Stage() != StageEnded || fixture.core.QueueLength() != 0 {
				t.Errorf("class %v, outcome %d: it is %v, with %+v to do", class, outcome, request.Stage(), step)
			}
		}
	}
}

// Guards against a daemon that ends when a caller disconnects before its request is admitted.
func TestRequestWhoseCallerLeftBeforeItsAdmissionStaysEnded(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("again", upstream.Idempotent, "plain"))
	fixture.register(engineOf("plain", 0, 8))
	request := fixture.record("again")
	fixture.core.CallerLeft(request, fixture.world())
	fixture.core.Admit(request, fixture.world())
	fixture.ended(request, 0, CauseCallerLeft)
	if _, more := pendingStep(request); more {
		t.Error("the request was given another step")
	}
}

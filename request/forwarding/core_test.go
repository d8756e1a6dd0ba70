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

// bench is a core with a world that a test sets.
type bench struct {
	t    testing.TB
	core *Core
	now  clock.Mark
	// lease says whether a worker id is held.
	lease, current bool
	index          *upstream.Index
	view           *registry.View
	edges          int
	minted         ident.SnowflakeID
	lacks          map[string]time.Duration
	made           int
}

func ms(n int) clock.Mark { return clock.Mark(time.Duration(n) * time.Millisecond) }

func pathOf(name string, class upstream.Class, pools ...string) upstream.Path {
	path := upstream.Path{Name: name, Host: "h", Prefix: "/" + name + "/", Class: class, DeadlineMs: 4000, TargetMs: 600, Attempts: 3}
	for _, pool := range pools {
		path.Shares = append(path.Shares, upstream.Share{Pool: pool, Weight: 1})
	}
	return path
}

func sectionOf(paths ...upstream.Path) *upstream.Index {
	catalogue := &upstream.Catalogue{Slots: 64, MemoryTokens: 100_000, CapacityMb: 100, AdapterSlots: 4, LoadsPerSecond: 1,
		Models: []upstream.Model{{Name: "m", SizeMb: 10, LoadMs: 1500, Adapters: 3, AdapterSizeMb: 1}}}
	return upstream.NewIndex(&upstream.Section{Revision: 1, Paths: paths, Pools: []upstream.Pool{{Name: "plain"}, {Name: "other"}, {Name: "batch", Catalogue: catalogue}}})
}

func newBench(t testing.TB, paths ...upstream.Path) *bench {
	return &bench{t: t, core: NewCore(DefaultSettings()), now: ms(1_000_000), lease: true, current: true, index: sectionOf(paths...), view: &registry.View{}, edges: 1, lacks: map[string]time.Duration{}}
}

func (b *bench) world() World {
	return World{Now: b.now, Index: b.index, Current: b.current, View: b.view, Edges: b.edges,
		Leased: b.lease,
		Mint:   func() (ident.SnowflakeID, bool) { b.minted++; return b.minted, b.lease },
		Lacks: func(_, model, adapter string) (time.Duration, bool) {
			wait, lacks := b.lacks[model+"/"+adapter]
			return wait, lacks
		}}
}

// register replaces the engines.
func (b *bench) register(engines ...*registry.Engine) {
	view := &registry.View{Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}
	for _, engine := range engines {
		view.Engines[engine.ID] = engine
		view.Pools[engine.Pool] = append(view.Pools[engine.Pool], engine)
	}
	b.view = view
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
func (b *bench) record(path string, change ...func(*Record)) *Record {
	b.made++
	found, _ := b.index.Lookup("h", "/"+path+"/")
	r := Record{Ask: dialect.Ask{Attempt: fmt.Sprintf("a%d", b.made)}, Path: found, Host: "h", Prefixed: "/" + path + "/", Arrived: b.now, Deadline: b.now + ms(4000)}
	for _, one := range change {
		one(&r)
	}
	return NewRecord(r)
}

func (b *bench) admit(path string, change ...func(*Record)) *Record {
	r := b.record(path, change...)
	b.core.Admit(r, b.world())
	return r
}

// taken gives a record's next step, if there is one.
func taken(r *Record) (Step, bool) {
	select {
	case step := <-r.steps:
		return step, true
	default:
		return Step{}, false
	}
}

func (b *bench) sent(r *Record) *Send {
	b.t.Helper()
	step, _ := taken(r)
	if step.Send == nil {
		b.t.Fatalf("not sent: %+v", step.End)
	}
	return step.Send
}

func (b *bench) ended(r *Record, status int, cause Cause) Answer {
	b.t.Helper()
	step, there := taken(r)
	if step.End == nil || step.End.Status != status || step.End.Cause != cause {
		b.t.Fatalf("%t: %+v, want %d %s", there, step, status, cause)
	}
	return *step.End
}

func prompt(model string, tokens int, parts ...string) func(*Record) {
	return func(r *Record) {
		r.Ask.Model, r.Ask.TokensIn, r.Ask.TokensOut = model, tokens, 30
		for _, part := range parts {
			r.Ask.Parts = append(r.Ask.Parts, dialect.Part{ID: part, Tokens: tokens / len(parts)})
		}
	}
}

func partOf(id string, tokens int) dialect.Part { return dialect.Part{ID: id, Tokens: tokens} }

func TestOnlyACurrentTableSaysThatThereIsNoPath(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Once, "plain"))
	b.ended(b.admit("none"), fasthttp.StatusNotFound, NoPath)
	b.current = false
	b.ended(b.admit("none"), fasthttp.StatusServiceUnavailable, NoTable)
	b.index = nil
	r := NewRecord(Record{Ask: dialect.Ask{Attempt: "x"}, Host: "h", Prefixed: "/p/", Arrived: b.now, Deadline: b.now + ms(4000)})
	b.core.Admit(r, b.world())
	b.ended(r, fasthttp.StatusServiceUnavailable, NoTable)
}

// What operators have closed gets nothing new, and what waits goes there as soon as it is open again.
func TestAClosedEngineGetsNothingNew(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Idempotent, "plain"))
	b.register(enginesOf("plain", 2, 6)...)
	closed := map[ident.EngineID]bool{"plain-0": true}
	world := func() World {
		w := b.world()
		w.Open = func(engine *registry.Engine) bool { return !closed[engine.ID] }
		return w
	}
	for range 6 {
		r := b.record("p")
		b.core.Admit(r, world())
		if send := b.sent(r); send.Engine != "plain-1" {
			t.Fatalf("sent to %s, which is closed", send.Engine)
		}
	}
	closed["plain-1"] = true
	r := b.record("p")
	b.core.Admit(r, world())
	if step, there := taken(r); there {
		t.Fatalf("all engines are closed: %+v", step)
	}
	closed["plain-0"] = false
	b.core.Pass(world())
	if send := b.sent(r); send.Engine != "plain-0" {
		t.Fatalf("sent to %s, which is closed", send.Engine)
	}
}

func TestWithoutALeaseNothingIsHeldOrTriedAgain(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Idempotent, "plain"))
	b.lease = false
	b.ended(b.admit("p"), fasthttp.StatusServiceUnavailable, NoLease)
	b.register(enginesOf("plain", 2, 6)...)
	r := b.admit("p")
	b.sent(r)
	b.core.Attempted(r, EngineRefused, b.world())
	b.ended(r, fasthttp.StatusServiceUnavailable, NoLease)
	r = b.admit("p")
	b.sent(r)
	b.core.Attempted(r, Lost, b.world())
	b.ended(r, fasthttp.StatusBadGateway, NoLease)
}

func TestHeldRequestsGoByRankThenArrivalAndNoRankStarves(t *testing.T) {
	urgent, later := pathOf("urgent", upstream.Once, "plain"), pathOf("later", upstream.Once, "plain")
	later.Rank = 2
	b := newBench(t, urgent, later)
	old := b.admit("later")
	b.now += ms(100)
	first, second := b.admit("urgent"), b.admit("urgent")
	b.now += ms(1)
	b.edges = 6
	b.register(engineOf("plain", 0, 6))
	b.core.Pass(b.world())
	b.sent(first)
	b.sent(second)
	if old.stage != Held {
		t.Fatal(old.stage)
	}
	// One that came early in its time gives way, one that has waited long does not.
	third := b.admit("urgent", func(r *Record) { r.Deadline = b.now + ms(20_000) })
	b.now += ms(1_400)
	b.core.Attempted(first, Whole, b.world())
	b.sent(old)
	if third.stage != Held {
		t.Fatal(third.stage)
	}
	b.core.Attempted(second, Whole, b.world())
	b.sent(third)
}

func TestWhatNothingCanServeInTimeIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Stream, "batch"))
	b.register(enginesOf("batch", 3, 64)...)
	b.lacks["m/"] = 10 * time.Second
	answer := b.ended(b.admit("p", prompt("m", 100)), fasthttp.StatusServiceUnavailable, NoRoom)
	if answer.ComeBack <= 0 || answer.ComeBack > 4*time.Second {
		t.Error(answer.ComeBack)
	}
	// A model that no catalogue has can't be loaded by anybody.
	b.ended(b.admit("p", prompt("unknown", 100)), fasthttp.StatusServiceUnavailable, NoRoom)
	// One that comes in time is waited for, and goes when it is there.
	delete(b.lacks, "m/")
	coming := engineOf("batch", 0, 64)
	coming.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: b.now + ms(300)}}, Received: b.now}
	b.register(coming)
	r := b.admit("p", prompt("m", 100))
	if r.stage != Held {
		t.Fatal(r.stage)
	}
	b.now += ms(450)
	b.register(engineOf("batch", 0, 64, "m"))
	b.core.Pass(b.world())
	b.sent(r)
	if demands := b.core.Demands(b.now); len(demands) == 0 {
		t.Error("nothing is asked for")
	}
}

// TestWhatWillBeLateIsToldWhenToComeBack: where something is there only after the target, and a client may
// come back by then, it is told so, and whoever plans still hears of it.
func TestWhatWillBeLateIsToldWhenToComeBack(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Stream, "batch"))
	coming := engineOf("batch", 0, 64)
	coming.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: b.now + ms(1000)}}, Received: b.now}
	b.register(coming)
	answer := b.ended(b.admit("p", prompt("m", 100)), fasthttp.StatusServiceUnavailable, NoRoom)
	if answer.ComeBack < time.Second || answer.ComeBack > 4*time.Second/3 {
		t.Error(answer.ComeBack)
	}
	if demands := b.core.Demands(b.now + ms(900)); len(demands) != 1 || demands[0].Held != 1 {
		t.Errorf("%+v", demands)
	}
	if demands := b.core.Demands(b.now + ms(2000)); demands[0].Held != 0 {
		t.Errorf("%+v", demands)
	}
}

func TestNothingIsHeldForMoreThanHalfOfItsTimeWithoutAWord(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Once, "plain"))
	b.edges = 3
	b.register(engineOf("plain", 0, 1))
	for range 2 {
		b.sent(b.admit("p"))
	}
	r := b.admit("p")
	for step := 0; r.stage == Held; step++ {
		next, due := b.core.NextLook(b.now)
		if !due || next <= b.now {
			t.Fatal("nobody looks again", next, due)
		}
		b.now = next
		b.core.Pass(b.world())
		if b.now.Since(r.Arrived) > 2100*time.Millisecond {
			t.Fatal("held on")
		}
	}
	b.ended(r, fasthttp.StatusServiceUnavailable, NoRoom)
}

func TestARecordGoesWhereTheNewestTableSendsIt(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Once, "plain"))
	r := b.admit("p")
	if r.stage != Held {
		t.Fatal(r.stage)
	}
	b.index = sectionOf(pathOf("p", upstream.Once, "other"))
	b.register(append(enginesOf("plain", 1, 6), enginesOf("other", 1, 6)...)...)
	b.core.Pass(b.world())
	if send := b.sent(r); send.Pool != "other" {
		t.Error(send)
	}
	// What was held back at the last look goes by the newest too, or not at all.
	b.index = sectionOf()
	b.core.Attempted(r, HeldBack, b.world())
	b.ended(r, fasthttp.StatusNotFound, NoPath)
	for _, demand := range b.core.Demands(b.now) {
		if demand.Held != 0 || demand.Running != 0 {
			t.Errorf("%+v", demand)
		}
	}
}

func TestAnEnginesOwnFailureGoesOnUnlessItMayBeTriedElsewhere(t *testing.T) {
	b := newBench(t, pathOf("again", upstream.Idempotent, "plain"), pathOf("once", upstream.Once, "plain"))
	b.register(enginesOf("plain", 2, 6)...)
	r := b.admit("once")
	b.sent(r)
	b.core.Attempted(r, Failed, b.world())
	if step, _ := taken(r); !step.Pass {
		t.Errorf("%+v", step)
	}
	r = b.admit("again")
	first := b.sent(r)
	b.core.Attempted(r, Failed, b.world())
	if second := b.sent(r); second.Engine == first.Engine {
		t.Error("the same engine again")
	}
	b.core.Attempted(r, Failed, b.world())
	if step, _ := taken(r); !step.Pass {
		t.Errorf("%+v", step)
	}
}

func TestAStreamIsTakenUpBehindItsLastEvent(t *testing.T) {
	path := pathOf("p", upstream.Stream, "plain")
	path.Resumable = true
	b := newBench(t, path, pathOf("stream", upstream.Stream, "plain"))
	b.register(enginesOf("plain", 3, 6)...)
	r := b.admit("p", func(r *Record) { r.Ask.LastEvent, r.Ask.Resumes = "3", true })
	if send := b.sent(r); send.LastEvent != "3" || !send.Resumes {
		t.Errorf("%+v", send)
	}
	b.core.Begun(r, b.world())
	r.lastEvent = "7"
	b.core.Attempted(r, Cut, b.world())
	if send := b.sent(r); send.LastEvent != "7" || !send.Resumes || send.Careful {
		t.Errorf("%+v", send)
	}
	b.core.Attempted(r, Whole, b.world())
	// One that may not be taken up is broken off.
	r = b.admit("stream")
	b.sent(r)
	b.core.Begun(r, b.world())
	r.lastEvent = "7"
	b.core.Attempted(r, Cut, b.world())
	b.ended(r, 0, Broken)
}

// run is what a simulated engine side knows of one record.
type run struct {
	record   *Record
	path     *upstream.Path
	class    upstream.Class
	ran      int
	arrivals int
	// sends counts arrivals and those that were refused ahead of the news of a load, engines where they were.
	sends    int
	engines  []ident.EngineID
	send     *Send
	ended    bool
	promised bool
	deadline clock.Mark
}

// TestNoInterleavingBreaksAPromise drives the core through random orders of arrivals, outcomes, tables,
// engines, leases and times, and checks what must hold in each.
func TestNoInterleavingBreaksAPromise(t *testing.T) {
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
		for place := range paths {
			paths[place].Attempts = 1 + random.IntN(3)
			paths[place].Rank = random.IntN(3)
		}
		b := newBench(t, paths...)
		b.core.settings.RetrySlack = float64(random.IntN(40))
		b.edges = 1 + random.IntN(4)
		whole := b.index
		fewer := sectionOf(paths[:2]...)
		moved := pathOf("once", upstream.Once, "other")
		moved.Attempts = paths[0].Attempts
		elsewhere := sectionOf(append([]upstream.Path{moved}, paths[1:]...)...)
		all := append(append(enginesOf("plain", 3, 2), enginesOf("other", 2, 2)...), enginesOf("batch", 2, 3, "m")...)
		// One more is to hold the model at some time, and no report says so.
		loading := engineOf("batch", 2, 3)
		loading.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: b.now + ms(random.IntN(3000))}}}
		all = append(all, loading)
		b.register(all...)
		runs := []*run{}
		fail := func(r *run, what string) {
			t.Fatalf("seed %d: %s: %+v of %s", seed, what, r, r.class)
		}
		read := func(r *run) {
			for {
				step, there := taken(r.record)
				if !there {
					return
				}
				if r.ended {
					fail(r, "a step after the end")
				}
				switch {
				case step.Send != nil:
					if r.send != nil {
						fail(r, "two attempts at a time")
					}
					if r.promised {
						fail(r, "sent after a promise")
					}
					r.send = step.Send
				case step.End != nil:
					r.ended = true
					if status := step.End.Status; status == 503 || status == 404 || status == 429 {
						r.promised = true
						if r.ran > 0 {
							fail(r, "refused what ran")
						}
					}
				default:
					r.ended = true
				}
			}
		}
		for step := 0; step < 300; step++ {
			switch kind := random.IntN(20); {
			case kind < 5:
				names := []string{"once", "again", "stream", "resume"}
				name := names[random.IntN(len(names))]
				change := func(*Record) {}
				if name == "stream" {
					change = prompt("m", 1000, "s", fmt.Sprint(random.IntN(3)), fmt.Sprint(step))
				}
				record := b.record(name, change)
				if record.Path == nil {
					break
				}
				r := &run{record: record, path: record.Path, class: record.Path.Class, deadline: record.Deadline}
				runs = append(runs, r)
				b.core.Admit(record, b.world())
			case kind < 13:
				open := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return r.send == nil })
				if len(open) == 0 {
					break
				}
				r := open[random.IntN(len(open))]
				send := r.send
				r.send = nil
				if r.record.begun && random.IntN(2) == 0 {
					r.record.lastEvent = fmt.Sprint(step)
				}
				outcome := Outcome(random.IntN(int(Left) + 1))
				if r.record.begun && outcome == Failed {
					outcome = Cut
				}
				if outcome == Cut && !r.record.begun {
					outcome = Lost
				}
				if outcome != HeldBack && outcome != NeverSent {
					if !slices.Contains(r.engines, send.Engine) {
						r.engines = append(r.engines, send.Engine)
					}
					if r.record.speculative && (outcome == EngineRefused || outcome == Misdirected) {
						tooSoon++
					} else {
						r.arrivals++
					}
					r.sends++
				}
				if outcome == Lost || outcome == Junk || outcome == Cut || outcome == Failed || outcome == Whole {
					r.ran++
				}
				if outcome == Whole {
					r.ended = true
				}
				b.core.Attempted(r.record, outcome, b.world())
			case kind < 14:
				open := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return r.send == nil })
				if len(open) > 0 {
					b.core.Begun(open[random.IntN(len(open))].record, b.world())
				}
			case kind < 15:
				if len(runs) > 0 {
					r := runs[random.IntN(len(runs))]
					b.core.CallerLeft(r.record, b.world())
				}
			case kind < 16:
				b.lease = random.IntN(4) > 0
			case kind < 17:
				b.index = []*upstream.Index{whole, whole, fewer, elsewhere}[random.IntN(4)]
				b.core.Pass(b.world())
			case kind < 18:
				some := slices.DeleteFunc(slices.Clone(all), func(*registry.Engine) bool { return random.IntN(3) == 0 })
				if random.IntN(2) == 0 {
					// Nobody else holds it.
					some = slices.DeleteFunc(some, func(engine *registry.Engine) bool { return engine.Holds("m", "") })
				}
				b.register(some...)
				b.core.Pass(b.world())
				b.core.Forget(b.view)
			default:
				b.now += ms(random.IntN(200))
				b.core.Pass(b.world())
			}
			for _, r := range runs {
				read(r)
				if r.class != upstream.Idempotent && !(r.class == upstream.Stream && r.path.Resumable) && r.ran > 1 {
					fail(r, "ran twice")
				}
				if r.record.stage == Held && b.now > r.deadline {
					b.core.Pass(b.world())
					if read(r); !r.ended {
						fail(r, "held past its deadline")
					}
				}
				if r.arrivals > r.path.Attempts || len(r.engines) > r.path.Attempts {
					fail(r, "went to more engines than the path allows")
				}
				if r.record.stage == Held && len(r.record.stamps) == 0 {
					fail(r, "held without a stamp")
				}
			}
		}
		// All that is under way ends, and leaves nothing counted.
		b.index, b.lease = whole, true
		for _, r := range runs {
			if r.send != nil {
				r.send = nil
				b.core.Attempted(r.record, Whole, b.world())
			}
		}
		b.core.Stop(b.world())
		for _, r := range runs {
			read(r)
			for r.send != nil {
				r.send = nil
				b.core.Attempted(r.record, Left, b.world())
				read(r)
			}
			if r.record.stage != Ended {
				fail(r, "without an end: "+r.record.stage.String())
			}
		}
		for id, state := range b.core.engines {
			if state.inFlight != 0 || state.waiting != 0 || state.reading != 0 || state.memory != 0 || len(state.awaiting) != 0 {
				t.Fatalf("seed %d: %s: %+v", seed, id, state)
			}
		}
		for key, demand := range b.core.demands {
			if demand.held != 0 || demand.running != 0 {
				t.Fatalf("seed %d: %+v: %+v", seed, key, demand)
			}
		}
		if b.core.HeldNow() != 0 {
			t.Fatalf("seed %d: %d held", seed, b.core.HeldNow())
		}
	}
}

// TestFurtherSendsStayWithinTheBudget: whatever comes when, in every window the fleet's further sends stay
// within the share of first ones, counted in the window, the one before or the one half a window before.
func TestFurtherSendsStayWithinTheBudget(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("budget", prop.ForAll(func(seed uint64, edges int, burst int) bool {
		random := rand.New(rand.NewPCG(seed, 3))
		settings := DefaultSettings()
		settings.RetryRatio, settings.RetrySlack, settings.RetryWindow = 0.2, 58, 10*time.Second
		daemons := make([]window, edges)
		var firsts, further []clock.Mark
		now := clock.Mark(time.Hour)
		for range 3000 {
			now += ms(random.IntN(1 + burst))
			if random.IntN(400) == 0 {
				now += clock.Mark(time.Duration(random.IntN(20)) * time.Second)
			}
			daemon := &daemons[random.IntN(edges)]
			// Storms send nothing but further ones for a while.
			if storm := now/clock.Mark(7*time.Second)%2 == 0; !storm && random.IntN(2) == 0 {
				daemon.first(now, now, settings.RetryWindow)
				firsts = append(firsts, now)
			} else if daemon.allows(now, settings, edges) {
				daemon.again(now)
				further = append(further, now)
			}
		}
		count := func(marks []clock.Mark, from, to clock.Mark) float64 {
			low, _ := slices.BinarySearch(marks, from)
			high, _ := slices.BinarySearch(marks, to+1)
			return float64(high - low)
		}
		span := clock.Mark(settings.RetryWindow)
		for _, from := range further {
			asked := max(count(firsts, from, from+span), count(firsts, from-span, from), count(firsts, from-span/2, from+span/2))
			if count(further, from, from+span) > settings.RetryRatio*asked+settings.RetrySlack {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.IntRange(1, 12), gen.IntRange(1, 60)))
	properties.TestingRun(t)
}

// TestWhatIsStoppedAtEveryLastLookComesToAnEnd: a sender and a core that disagree for good do not go round.
func TestWhatIsStoppedAtEveryLastLookComesToAnEnd(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Once, "plain"))
	b.register(enginesOf("plain", 3, 6)...)
	r := b.admit("p")
	rounds := 0
	for step, there := taken(r); there && step.Send != nil; step, there = taken(r) {
		if rounds++; rounds > 100 {
			t.Fatal("it goes round")
		}
		b.core.Attempted(r, HeldBack, b.world())
		if r.stage == Ended {
			b.ended(r, fasthttp.StatusServiceUnavailable, NoRoom)
			break
		}
	}
	if r.stage != Ended || b.core.Counters.Sent != 0 {
		t.Error(r.stage)
	}
}

// TestAttemptsStayWithinTheShareOfConnections: what an engine takes from all daemons is divided over them.
func TestAttemptsStayWithinTheShareOfConnections(t *testing.T) {
	path := pathOf("p", upstream.Once, "narrow")
	b := newBench(t, path)
	section := *b.index.Section
	section.Pools = append(section.Pools, upstream.Pool{Name: "narrow", MaxConnections: 10, Catalogue: &upstream.Catalogue{}})
	b.index = upstream.NewIndex(&section)
	b.edges = 3
	b.register(engineOf("narrow", 0, 64))
	sent := 0
	for range 10 {
		if r := b.admit("p"); r.stage == Sending {
			sent++
		}
	}
	if sent != 3 {
		t.Errorf("%d at once", sent)
	}
}

// TestHowLongAModelIsWaitedFor: what will be there in time or soon after is waited for, what comes back when
// it is there is told when, and nothing is held for half of its time.
func TestHowLongAModelIsWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		// ready is when the planner says it is there, or when it says that it is not; left the client's time.
		coming, lack, left int
		held               bool
		low, high          time.Duration
	}{
		// What is told to be ready is known of spreadTime later.
		"in time":              {coming: 300, left: 4000, held: true},
		"soon after, told":     {coming: 1000, left: 4000, low: 1300 * time.Millisecond, high: 1300 * time.Millisecond},
		"later, told":          {coming: 1350, left: 4000, low: 1333 * time.Millisecond, high: 1334 * time.Millisecond},
		"late, held":           {coming: 1500, left: 4000, held: true},
		"too late to be held":  {coming: 2000, left: 4000, low: 1333 * time.Millisecond, high: 1334 * time.Millisecond},
		"never in time":        {lack: 9000, left: 4000, low: 1333 * time.Millisecond, high: 1334 * time.Millisecond},
		"back, soon":           {coming: 1000, left: 2600, held: true},
		"back, never in time":  {coming: 3000, left: 2600, low: 866 * time.Millisecond, high: 867 * time.Millisecond},
		"nothing is known yet": {left: 4000, held: true},
	} {
		b := newBench(t, pathOf("p", upstream.Stream, "batch"))
		engine := engineOf("batch", 0, 64)
		if c.coming > 0 {
			engine.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: b.now + ms(c.coming)}}, Received: b.now}
		}
		if c.lack > 0 {
			b.lacks["m/"] = time.Duration(c.lack) * time.Millisecond
		}
		b.register(engine)
		r := b.admit("p", prompt("m", 100), func(r *Record) {
			r.Ask.Deadline = time.Duration(c.left) * time.Millisecond
			r.Deadline = b.now + ms(c.left)
		})
		if (r.stage == Held) != c.held {
			t.Errorf("%s: %s", name, r.stage)
			continue
		}
		if !c.held {
			if answer := b.ended(r, 503, NoRoom); answer.ComeBack < c.low || answer.ComeBack > c.high {
				t.Errorf("%s: %v", name, answer.ComeBack)
			}
			continue
		}
		// The planner's word never comes true, and the engine says so to whatever goes ahead of the news.
		for r.stage == Held {
			b.now, _ = b.core.NextLook(b.now)
			b.core.Pass(b.world())
			if r.stage == Sending {
				b.sent(r)
				b.core.Attempted(r, EngineRefused, b.world())
			}
			if b.now.Since(r.Arrived) >= time.Duration(c.left)*time.Millisecond/2 {
				t.Fatalf("%s: held for half of its time", name)
			}
		}
		b.ended(r, 503, NoRoom)
	}
}

// TestNothingIsHeldUntilItsCallerHasLostPatience: a stream's client leaves in silence long before its deadline.
func TestNothingIsHeldUntilItsCallerHasLostPatience(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.DeadlineMs, path.TargetMs, path.GapTargetMs = 20_000, 800, 500
	b := newBench(t, path)
	b.core.settings.Patience = Patience{Least: 2 * time.Second, Targets: 4, Gaps: 8}
	b.register(engineOf("batch", 0, 64))
	long := func(r *Record) { r.Deadline = b.now + ms(20_000) }
	// The model comes in 1.5 s and 0.7 s for the plan: a client that comes back then is in time.
	r := b.admit("p", prompt("m", 100), long)
	for r.stage == Held {
		b.now, _ = b.core.NextLook(b.now)
		b.core.Pass(b.world())
	}
	answer := b.ended(r, 503, NoRoom)
	if waited := b.now.Since(r.Arrived); waited > 250*time.Millisecond || answer.ComeBack < 1500*time.Millisecond || answer.ComeBack > 3*time.Second {
		t.Errorf("after %v, come back in %v", waited, answer.ComeBack)
	}
	// One that was refused before is held, but no longer than for half of its patience of 4 s.
	r = b.admit("p", prompt("m", 100), long, func(r *Record) { r.Ask.Deadline = 15 * time.Second })
	for r.stage == Held {
		b.now, _ = b.core.NextLook(b.now)
		b.core.Pass(b.world())
	}
	b.ended(r, 503, NoRoom)
	if waited := b.now.Since(r.Arrived); waited >= 2*time.Second || waited < 1500*time.Millisecond {
		t.Errorf("after %v", waited)
	}
}

// TestWhatAnEngineSaysItLacksIsNotAskedOfItAgain: its report may lag behind.
func TestWhatAnEngineSaysItLacksIsNotAskedOfItAgain(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Stream, "batch"))
	b.register(enginesOf("batch", 1, 64, "m")...)
	r := b.admit("p", prompt("m", 100))
	b.sent(r)
	b.core.Attempted(r, Misdirected, b.world())
	if r.stage != Held {
		t.Fatal(r.stage)
	}
	if other := b.admit("p", prompt("m", 100)); other.stage != Held {
		t.Error(other.stage)
	}
	b.now += ms(1100)
	later := b.admit("p", prompt("m", 100))
	b.sent(later)
}

// TestHowLongThePlanTakesIsLearned: where it is quicker or slower than usual, holding goes by that.
func TestHowLongThePlanTakesIsLearned(t *testing.T) {
	for _, c := range []struct {
		took int
		held bool
	}{{100, true}, {900, false}} {
		path := pathOf("p", upstream.Stream, "batch")
		b := newBench(t, path)
		with := engineOf("batch", 0, 64, "m")
		with.Registration.Models[0].Adapters = []string{"a1"}
		asks := func(r *Record) { r.Ask.Adapter = "a2" }
		for range 20 {
			b.register(with)
			r := b.admit("p", prompt("m", 100), asks, func(r *Record) { r.Ask.Deadline = 3 * time.Second })
			if r.stage != Held {
				t.Fatal(r.stage)
			}
			b.now += ms(c.took + 250)
			both := engineOf("batch", 0, 64, "m")
			both.Registration.Models[0].Adapters = []string{"a1", "a2"}
			b.register(both)
			b.core.Pass(b.world())
			b.sent(r)
			b.core.Attempted(r, Whole, b.world())
		}
		b.register(with)
		r := b.admit("p", prompt("m", 100), asks)
		b.now += ms(200)
		b.core.Pass(b.world())
		if (r.stage == Held) != c.held {
			t.Errorf("a plan that takes %d ms: %s", c.took, r.stage)
		}
	}
}

// TestNothingIsHeldOrTriedAgainForACallerThatLeftMeanwhile: that the caller left may be heard while an attempt is
// under way whose sender has just reported how it ended.
func TestNothingIsHeldOrTriedAgainForACallerThatLeftMeanwhile(t *testing.T) {
	for _, class := range []upstream.Class{upstream.Once, upstream.Idempotent, upstream.Stream} {
		for outcome := HeldBack; outcome <= Failed; outcome++ {
			b := newBench(t, pathOf("p", class, "plain"))
			b.register(enginesOf("plain", 3, 4)...)
			r := b.admit("p")
			b.sent(r)
			b.core.CallerLeft(r, b.world())
			b.core.Attempted(r, outcome, b.world())
			step, _ := taken(r)
			if step.End == nil && !step.Pass || r.Stage() != Ended || b.core.HeldNow() != 0 {
				t.Errorf("class %v, outcome %d: it is %v, with %+v to do", class, outcome, r.Stage(), step)
			}
		}
	}
}

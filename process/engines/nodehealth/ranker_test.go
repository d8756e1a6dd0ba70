package nodehealth

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// node is one engine of a test, by how its node behaves.
type node struct {
	id    ident.EngineID
	zone  ident.ZoneID
	model string
	// load is how many requests it has, prompt how many prompt tokens are processed before a first byte.
	load, prompt int
	// slow makes its pauses longer, late its first bytes, lateFrom those on the path from one zone only.
	slow     float64
	late     time.Duration
	lateFrom map[ident.ZoneID]time.Duration
	loaded   []Target
	shut     bool
	keptOpen bool
	ranked   bool
}

// site is a fleet of nodes, and the zones of the daemons.
type site struct {
	nodes []*node
	zones []ident.ZoneID
	now   clock.Mark
	// noise is the relative spread of the measurements.
	noise  float64
	random *rand.Rand
	ranker *Ranker
	drains []ident.EngineID
	opened []ident.EngineID
	last   Decision
}

func newSite(engines int, change func(*Settings)) *site {
	settings := DefaultSettings()
	settings.Mode = Drain
	if change != nil {
		change(&settings)
	}
	s := &site{zones: []ident.ZoneID{"a", "b", "c"}, now: clock.Mark(time.Hour), noise: 0.1, random: rand.New(rand.NewPCG(1, 2)), ranker: NewRanker(settings)}
	for index := range engines {
		s.nodes = append(s.nodes, &node{id: ident.EngineID(fmt.Sprintf("engine-%02d", index)), zone: s.zones[index%3], model: "model", load: 8, prompt: 2000, slow: 1,
			loaded: []Target{{Model: "model"}}})
	}
	return s
}

func (s *site) near(value float64) float64 {
	return value * (1 + s.noise*(2*s.random.Float64()-1))
}

// pause is how long a node takes for an event: more with more requests at once.
func (n *node) pause() float64 { return 10 * (1 + float64(n.load)/16) * n.slow }

// first is how long a node takes for a first byte, in ms.
func (n *node) first(from ident.ZoneID) float64 {
	return 5 + float64(n.prompt)/25 + float64(n.late+n.lateFrom[from])/float64(time.Millisecond)
}

const targetMs = 100

// measure has daemons of all zones measure all engines that are open for a second.
func (s *site) measure() {
	for _, zone := range s.zones {
		recorder := NewRecorder()
		for _, n := range s.nodes {
			if n.shut {
				continue
			}
			stalls := recorder.Cell(n.id, Class{Kind: Stall, Pool: "pool", Model: n.model, TargetMs: targetMs, Load: LoadBand(n.load)})
			for range 20 {
				stalls.RecordPause(time.Duration(s.near(n.pause()) * float64(time.Millisecond)))
			}
			firsts := recorder.Cell(n.id, Class{Kind: Transfer, Pool: "pool", Model: n.model, Load: LoadBand(n.load), Size: SizeBand(n.prompt)})
			for range 4 {
				firsts.RecordDelay(time.Duration(s.near(n.first(zone)) * float64(time.Millisecond)))
			}
		}
		s.ranker.AddDigests(s.now, zone, recorder.TakeDigests())
	}
}

func (s *site) fleet() Fleet {
	out := Fleet{}
	for _, n := range s.nodes {
		out[n.id] = Engine{ID: n.id, Pool: "pool", Zone: n.zone, Open: !n.shut, DrainedByRanking: n.ranked, KeptOpen: n.keptOpen, Loaded: n.loaded}
	}
	return out
}

func (s *site) node(id ident.EngineID) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// run lets seconds pass, and carries out the decisions.
func (s *site) run(seconds int) {
	for range seconds {
		s.second()
	}
}

func (s *site) second() {
	s.measure()
	s.now += clock.Mark(time.Second)
	s.last = s.ranker.Step(s.now, s.fleet())
	for _, act := range s.last.Actions {
		n := s.node(act.Engine)
		n.shut, n.ranked = act.Drain, act.Drain
		if act.Drain {
			s.drains = append(s.drains, act.Engine)
		} else {
			s.opened = append(s.opened, act.Engine)
		}
	}
}

// seenDraining runs for some seconds and returns the engines that were drained, in order.
func (s *site) seenDraining(seconds int) []ident.EngineID {
	s.run(seconds)
	return s.drains
}

func TestHealthyEnginesAreNotDrained(t *testing.T) {
	for _, noise := range []float64{0, 0.1, 0.9} {
		s := newSite(9, nil)
		s.noise = noise
		if got := s.seenDraining(60); len(got) > 0 {
			t.Fatalf("with noise %v no engine is unhealthy, and %v was drained", noise, got)
		}
	}
}

func TestSlowestEngineIsDrainedFirst(t *testing.T) {
	oneUnhealthy := func() *site {
		s := newSite(9, nil)
		s.nodes[2].slow, s.nodes[4].slow, s.nodes[6].slow = 20, 60, 25
		return s
	}
	s := oneUnhealthy()
	if got := s.seenDraining(12); len(got) != 2 || got[0] != "engine-04" || got[1] != "engine-06" {
		t.Fatalf("not the slowest quarter of nine was drained, the slowest first: %v", got)
	}
	// The broken variant orders by id.
	s = oneUnhealthy()
	s.ranker.rules.compare = func(a, b Assessment) int { return cmp.Compare(a.Engine, b.Engine) }
	if got := s.seenDraining(12); got[0] == "engine-04" {
		t.Fatal("an order that ignores the score was not detected")
	}
}

// An engine stalls whose pauses are normal but for a long one now and then.
func TestRareLongPausesAreDetected(t *testing.T) {
	s := newSite(5, nil)
	stutter := func() {
		recorder := NewRecorder()
		cell := recorder.Cell("engine-03", Class{Kind: Stall, Pool: "pool", Model: "model", TargetMs: targetMs, Load: LoadBand(8)})
		for range 60 {
			cell.RecordPause(15 * time.Millisecond)
		}
		cell.RecordPause(2 * time.Second)
		s.ranker.AddDigests(s.now, "a", recorder.TakeDigests())
		s.ranker.AddDigests(s.now, "b", []Digest{{"engine-03", Class{Kind: Stall, Pool: "pool", Model: "model", TargetMs: targetMs, Load: LoadBand(8)}, []Bucket{{150, 60}, {20000, 1}}}})
		s.ranker.AddDigests(s.now, "c", []Digest{{"engine-03", Class{Kind: Stall, Pool: "pool", Model: "model", TargetMs: targetMs, Load: LoadBand(8)}, []Bucket{{150, 60}, {20000, 1}}}})
	}
	for range 10 {
		stutter()
		s.second()
	}
	if len(s.drains) != 1 || s.drains[0] != "engine-03" {
		t.Fatalf("one pause of two seconds in sixty events was not detected: %v", s.drains)
	}
}

func TestFullBatchIsNotUnhealthy(t *testing.T) {
	busy := func() *site {
		s := newSite(9, func(s *Settings) { s.StallFloor, s.DrainAt, s.ClearAt = 0.1, 2, 1.5 })
		// With 64 at once it takes more than three times as long as with 8.
		s.nodes[3].load = 64
		return s
	}
	s := busy()
	if got := s.seenDraining(30); len(got) > 0 {
		t.Fatalf("drained, though a full batch explains the pauses: %v", got)
	}
	s = busy()
	s.ranker.rules.workFactor = func(Kind, int) float64 { return 1 }
	if got := s.seenDraining(30); len(got) == 0 {
		t.Fatal("a rule that ignores the batch was not detected")
	}
	// An unhealthy engine can't hide behind the batch that its slowness causes.
	s = busy()
	s.nodes[3].slow = 20
	if got := s.seenDraining(12); len(got) != 1 || got[0] != "engine-03" {
		t.Fatalf("twenty times slower is more than eight times the batch explains, and not drained: %v", got)
	}
}

func TestLongPromptIsNotUnhealthy(t *testing.T) {
	big := func() *site {
		s := newSite(9, nil)
		s.nodes[5].prompt = 15_000
		return s
	}
	s := big()
	if got := s.seenDraining(30); len(got) > 0 {
		t.Fatalf("drained, though a long prompt explains the delay: %v", got)
	}
	s = big()
	s.ranker.rules.workFactor = func(Kind, int) float64 { return 1 }
	if got := s.seenDraining(30); len(got) == 0 {
		t.Fatal("a rule that ignores the prompt was not detected")
	}
	s = big()
	s.nodes[5].late = 4 * time.Second
	if got := s.seenDraining(12); len(got) != 1 || got[0] != "engine-05" {
		t.Fatalf("not drained, though four seconds later than its prompt explains: %v", got)
	}
}

func TestSlowPathIsNotAttributedToEngine(t *testing.T) {
	one := func() *site {
		s := newSite(9, nil)
		s.nodes[5].lateFrom = map[ident.ZoneID]time.Duration{"b": 2 * time.Second}
		return s
	}
	s := one()
	if got := s.seenDraining(30); len(got) > 0 {
		t.Fatalf("drained, though two of three zones reach it in time: %v", got)
	}
	paths := []ident.ZoneID(nil)
	for _, row := range s.ranker.Rows() {
		if row.Engine == "engine-05" {
			paths = row.SlowZones
		}
	}
	if !slices.Equal(paths, []ident.ZoneID{"b"}) {
		t.Fatalf("the slow path is not named: %v", paths)
	}
	s = one()
	s.ranker.rules.combineZones = func(scores []float64) float64 { return scores[len(scores)-1] }
	if got := s.seenDraining(30); len(got) == 0 {
		t.Fatal("a rule that believes a single zone was not detected")
	}
	// Most paths are slow: then it is the engine, or all of its paths.
	s = one()
	s.nodes[5].lateFrom["c"] = 2 * time.Second
	if got := s.seenDraining(12); len(got) != 1 || got[0] != "engine-05" {
		t.Fatalf("not drained, though two of three zones measure it late: %v", got)
	}
}

func TestExtremeOutlierDoesNotHideAnother(t *testing.T) {
	two := func() *site {
		s := newSite(9, nil)
		s.nodes[1].slow, s.nodes[6].slow = 20, 500
		return s
	}
	score := func(s *site) float64 {
		s.run(2)
		for _, row := range s.ranker.Rows() {
			if row.Engine == "engine-01" {
				return row.Score
			}
		}
		return 0
	}
	if got := score(two()); got < 3 {
		t.Fatalf("the median of the others is not the healthy one: %v", got)
	}
	s := two()
	s.ranker.rules.baseline = func(values []float64) float64 {
		sum := 0.0
		for _, value := range values {
			sum += value
		}
		return sum / float64(len(values))
	}
	if got := score(s); got >= 3 {
		t.Fatalf("a mean, which the extreme value moves, was not detected: %v", got)
	}
}

// Where all engines differ widely, one that differs no more than they do is no outlier.
func TestSpreadOfWideFleetIsTolerated(t *testing.T) {
	wide := func() *site {
		s := newSite(9, func(s *Settings) { s.MostOfPool = 0.5 })
		for index, n := range s.nodes {
			n.slow = 4 + 4*float64(index)
		}
		return s
	}
	s := wide()
	if got := s.seenDraining(20); len(got) > 0 {
		t.Fatalf("drained, though they are spread evenly: %v", got)
	}
	s = wide()
	s.ranker.rules.isOutlier = func(value, others, _ float64) bool { return value > others }
	s.ranker.settings.DrainAt = 1.7
	if got := s.seenDraining(20); len(got) == 0 {
		t.Fatal("a rule that ignores the spread was not detected")
	}
}

func TestFlappingEngineIsNotDrained(t *testing.T) {
	flap := func(confirm int64, incidents int) []ident.EngineID {
		s := newSite(9, func(s *Settings) { s.ConfirmMs = confirm })
		s.ranker.rules.minIncidents = incidents
		for interval := range 60 {
			// One second slow, ten healthy.
			s.nodes[3].slow = 1
			if interval%11 < 1 {
				s.nodes[3].slow = 30
			}
			s.second()
		}
		return s.drains
	}
	// Either rule alone is enough here: the engine is healthy again before it is confirmed, and it is slow too rarely.
	if got := flap(10_000, 1); len(got) > 0 {
		t.Fatalf("drained, though healthy again before it is confirmed: %v", got)
	}
	if got := flap(0, minIncidents); len(got) > 0 {
		t.Fatalf("drained, though slow too rarely: %v", got)
	}
	if got := flap(0, 1); len(got) == 0 {
		t.Fatal("a rule that confirms nothing was not detected")
	}
}

// A score between the two thresholds neither starts the slow time nor ends it.
func TestScoreBetweenThresholdsKeepsSlowTime(t *testing.T) {
	r := NewRanker(DefaultSettings())
	fleet := Fleet{"x": {ID: "x", Open: true}}
	var out Decision
	r.reconcile(1, fleet, &out)
	s := r.engines["x"]
	for index, score := range []float64{5, 2, 2, 5, 1.2} {
		s.assessment.Score = score
		r.evaluate(clock.Mark(index+1)*clock.Mark(time.Second), "x", &out)
		want := Suspect
		if index == 4 {
			want = Healthy
		}
		if s.stage != want {
			t.Fatalf("at %v it is %v", score, s.stage)
		}
	}
}

// without takes one rule away.
func without(s *site, name string) {
	remaining := []refusal{}
	for index, rule := range defaultRefusals() {
		if []string{"shut", "kept", "pool", "zone", "holders", "last"}[index] != name {
			remaining = append(remaining, rule)
		}
	}
	s.ranker.rules.refusals = remaining
}

func TestDrainLimitsHold(t *testing.T) {
	cases := []struct {
		rule    string
		refusal Refusal
		site    func() *site
		most    int
	}{
		{"pool", PoolLimit, func() *site {
			s := newSite(9, func(s *Settings) { s.MostOfPool, s.MostOfZone = 0.12, 0.5 })
			s.nodes[0].slow, s.nodes[1].slow = 30, 40
			return s
		}, 1},
		{"zone", ZoneLimit, func() *site {
			s := newSite(9, func(s *Settings) { s.MostOfPool, s.MostOfZone = 0.5, 0.34 })
			s.nodes[0].slow, s.nodes[3].slow = 30, 40
			return s
		}, 1},
		{"holders", ReplicaLimit, func() *site {
			s := newSite(9, func(s *Settings) { s.MostOfPool = 0.5 })
			for _, index := range []int{0, 1, 2} {
				s.nodes[index].loaded = append(s.nodes[index].loaded, Target{"rare", "adapter"})
			}
			s.nodes[0].slow, s.nodes[1].slow = 30, 40
			return s
		}, 1},
		{"last", LastReplica, func() *site {
			s := newSite(9, nil)
			s.nodes[4].slow = 30
			s.nodes[4].loaded = append(s.nodes[4].loaded, Target{Model: "lone"})
			return s
		}, 0},
		{"kept", OperatorKeepsOpen, func() *site {
			s := newSite(9, nil)
			s.nodes[4].slow, s.nodes[4].keptOpen = 30, true
			return s
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			s := c.site()
			if got := s.seenDraining(12); len(got) != c.most {
				t.Fatalf("%d may be drained: %v", c.most, got)
			}
			if s.ranker.Counters.Refused[c.refusal] == 0 {
				t.Fatalf("the refusal is not counted: %v", s.ranker.Counters.Refused)
			}
			s = c.site()
			without(s, c.rule)
			if got := s.seenDraining(12); len(got) <= c.most {
				t.Fatal("without the rule no more engines were drained")
			}
		})
	}
}

func TestOperatorClosuresCountTowardsLimits(t *testing.T) {
	s := newSite(9, nil)
	s.nodes[0].shut, s.nodes[1].shut = true, true
	s.nodes[2].slow = 30
	if got := s.seenDraining(12); len(got) > 0 {
		t.Fatalf("drained, though two of nine are closed already: %v", got)
	}
}

func TestLastReplicaIsDrainedOnceLoadedElsewhere(t *testing.T) {
	s := newSite(9, nil)
	lone := Target{"lone", "adapter"}
	s.nodes[4].loaded = append(s.nodes[4].loaded, lone)
	s.nodes[4].slow, s.nodes[5].slow, s.nodes[8].slow = 40, 30, 25
	s.run(12)
	if len(s.last.Relocations) != 1 || s.last.Relocations[0] != (Relocation{"engine-04", "pool", lone}) {
		t.Fatalf("its only replica is not to be loaded elsewhere: %v", s.last.Relocations)
	}
	if !slices.Equal(s.drains, []ident.EngineID{"engine-05"}) {
		t.Fatalf("the third engine was drained in place of the worst: %v", s.drains)
	}
	s.nodes[0].loaded = append(s.nodes[0].loaded, lone)
	s.run(3)
	if !slices.Equal(s.drains, []ident.EngineID{"engine-05", "engine-04"}) || len(s.last.Relocations) > 0 {
		t.Fatalf("it is not drained now: %v, %v", s.drains, s.last.Relocations)
	}
}

func TestDrainedEngineReturnsThroughTrial(t *testing.T) {
	s := newSite(9, nil)
	s.nodes[3].slow = 30
	s.run(30)
	first := len(s.drains)
	if first != 2 || len(s.opened) != 1 {
		t.Fatalf("it is not drained, on trial, and drained again: %v, %v", s.drains, s.opened)
	}
	s.run(20)
	if len(s.opened) != 1 {
		t.Fatalf("the second drain is not twice as long: %v", s.opened)
	}
	s.nodes[3].slow = 1
	s.run(30)
	if len(s.opened) != 2 || len(s.drains) != 2 {
		t.Fatalf("it is healthy, and drained or not opened: %v, %v", s.drains, s.opened)
	}
	if stage := s.ranker.engines["engine-03"].stage; stage != Healthy {
		t.Fatalf("it did not pass its trial: %v", stage)
	}
}

func TestOneEngineOfAPoolIsOnTrialAtATime(t *testing.T) {
	s := newSite(12, nil)
	s.nodes[0].slow, s.nodes[4].slow, s.nodes[8].slow = 30, 30, 30
	for range 120 {
		s.second()
		trying := 0
		for _, state := range s.ranker.engines {
			if state.stage == Trial {
				trying++
			}
		}
		if trying > 1 {
			t.Fatal("two engines are on trial at once")
		}
	}
	if len(s.opened) < 3 {
		t.Fatalf("not each engine got its trial: %v", s.opened)
	}
}

func TestNewPlannerTakesOverDrains(t *testing.T) {
	s := newSite(9, nil)
	s.nodes[3].slow = 30
	s.run(8)
	if len(s.drains) != 1 {
		t.Fatalf("not drained by the first planner: %v", s.drains)
	}
	// The planner fails; another begins with what the fleet shows.
	s.ranker = NewRanker(s.ranker.settings)
	s.nodes[3].slow = 1
	s.run(10)
	if s.ranker.engines["engine-03"].stage != Drained || len(s.drains) != 1 || len(s.opened) != 0 {
		t.Fatalf("it does not stay drained: %v, %v", s.drains, s.opened)
	}
	s.run(30)
	if len(s.opened) != 1 || s.ranker.engines["engine-03"].stage != Healthy {
		t.Fatalf("the second planner does not open it: %v", s.opened)
	}
}

func TestDisabledRankingDrainsNothingAndOpensAll(t *testing.T) {
	s := newSite(9, func(s *Settings) { s.Mode = ObserveOnly })
	s.nodes[3].slow = 30
	s.nodes[5].shut, s.nodes[5].ranked = true, true
	s.run(10)
	if len(s.drains) != 0 || !slices.Equal(s.opened, []ident.EngineID{"engine-05"}) {
		t.Fatalf("%v, %v", s.drains, s.opened)
	}
	if rows := s.ranker.Rows(); rows[0].Engine != "engine-03" || rows[0].Score < 3 {
		t.Fatalf("it is not ranked: %+v", rows[0])
	}
}

func TestDrainWithoutEffectIsRequestedAgain(t *testing.T) {
	s := newSite(9, nil)
	s.nodes[3].slow = 30
	requests := 0
	for range 12 {
		s.measure()
		s.now += clock.Mark(time.Second)
		requests += len(s.ranker.Step(s.now, s.fleet()).Actions)
	}
	if requests < 3 || requests > 5 {
		t.Fatalf("requested %d times", requests)
	}
}

func TestTwoEnginesAreNotCompared(t *testing.T) {
	s := newSite(2, func(s *Settings) { s.MostOfPool = 0.5 })
	s.nodes[1].slow = 100
	if got := s.seenDraining(20); len(got) > 0 {
		t.Fatalf("drained, though of two engines it can't be told which one is slow: %v", got)
	}
}

func TestRareModelIsComparedAcrossPool(t *testing.T) {
	s := newSite(9, nil)
	for index, n := range s.nodes {
		n.model = fmt.Sprintf("model-%d", index)
	}
	s.nodes[3].slow = 30
	if got := s.seenDraining(10); len(got) != 1 || got[0] != "engine-03" {
		t.Fatalf("engines with a model of their own are not compared across the pool: %v", got)
	}
}

func TestSlowZoneIsDrainedWithinItsLimit(t *testing.T) {
	s := newSite(12, nil)
	for _, n := range s.nodes {
		if n.zone == "a" {
			n.slow = 30
		}
	}
	s.run(14)
	if len(s.drains) > 2 {
		t.Fatalf("more than half of a zone's engines were drained: %v", s.drains)
	}
}

// Random fleets with random faults: the limits hold at all times, and the engine drained is the worst of those that may be.
func TestDrainLimitsHoldInRandomFleets(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("bounds hold", prop.ForAll(func(seed uint64) string {
		random := rand.New(rand.NewPCG(seed, 7))
		s := newSite(4+random.IntN(14), func(s *Settings) { s.RestMs = 4000 })
		s.random = random
		for _, n := range s.nodes {
			for _, model := range []string{"m1", "m2", "m3"} {
				if random.IntN(3) == 0 {
					n.loaded = append(n.loaded, Target{Model: model})
				}
			}
		}
		for range 40 {
			if random.IntN(4) == 0 {
				s.nodes[random.IntN(len(s.nodes))].slow = []float64{1, 1, 20, 60}[random.IntN(4)]
			}
			before := s.fleet()
			s.second()
			for _, act := range s.last.Actions {
				if !act.Drain {
					continue
				}
				if len(before.soleReplicas(before[act.Engine])) > 0 {
					return fmt.Sprintf("%v was drained as a last holder", act.Engine)
				}
				for _, row := range s.ranker.Rows() {
					if row.Engine != act.Engine && row.Score > act.Assessment.Score && s.ranker.confirmed(s.now, row.Engine) && row.Refusal == Allowed {
						return fmt.Sprintf("%v was drained before %v", act.Engine, row.Engine)
					}
				}
			}
			shut, all := s.fleet().countClosed(func(Engine) bool { return true })
			if shut > all/4 {
				return fmt.Sprintf("%d of %d are shut", shut, all)
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// request is one request as its client and its route see it. Only what its node does is recorded.
type request struct {
	tenant, route string
	value         float64
	engine        int
	pauses        []time.Duration
	first         time.Duration
	load, prompt  int
}

// record is how a daemon records a request: nothing says whose it is.
func record(recorder *Recorder, r request) {
	id := ident.EngineID(fmt.Sprintf("engine-%02d", r.engine))
	stalls := recorder.Cell(id, Class{Kind: Stall, Pool: "pool", Model: "model", TargetMs: targetMs, Load: LoadBand(r.load)})
	for _, pause := range r.pauses {
		stalls.RecordPause(pause)
	}
	recorder.Cell(id, Class{Kind: Transfer, Pool: "pool", Model: "model", Load: LoadBand(r.load), Size: SizeBand(r.prompt)}).RecordDelay(r.first)
}

// partial is a broken variant: it records the first tenant only.
func partial(recorder *Recorder, r request) {
	if r.tenant == "tenant-0" {
		record(recorder, r)
	}
}

// order gives the ranks after a number of requests.
func order(requests []request, record func(*Recorder, request)) string {
	settings := DefaultSettings()
	settings.StallFloor, settings.DelayFloorMs = 0, 1
	ranker := NewRanker(settings)
	fleet := Fleet{}
	recorder := NewRecorder()
	for _, r := range requests {
		id := ident.EngineID(fmt.Sprintf("engine-%02d", r.engine))
		fleet[id] = Engine{ID: id, Pool: "pool", Open: true}
		record(recorder, r)
	}
	now := clock.Mark(time.Hour)
	ranker.AddDigests(now, "a", recorder.TakeDigests())
	ranker.Step(now+1, fleet)
	var out strings.Builder
	for _, row := range ranker.Rows() {
		fmt.Fprintf(&out, "%s %.6f %v\n", row.Engine, row.Score, row.Stage)
	}
	return out.String()
}

// Tenants and routes may be exchanged: the order stays the same.
func TestOrderDependsOnNodesOnly(t *testing.T) {
	differed := false
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("the order is the same", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 3))
		slow := make([]float64, 8)
		for index := range slow {
			slow[index] = 1 + 20*random.Float64()*float64(random.IntN(2))
		}
		var requests []request
		for range 400 {
			r := request{tenant: fmt.Sprintf("tenant-%d", random.IntN(4)), route: fmt.Sprintf("route-%d", random.IntN(4)), value: random.Float64(), engine: random.IntN(8),
				load: 1 + random.IntN(60), prompt: random.IntN(9000)}
			r.first = time.Duration(float64(r.prompt)*slow[r.engine]) * 40 * time.Microsecond
			for range 1 + random.IntN(8) {
				r.pauses = append(r.pauses, time.Duration(float64(10*time.Millisecond)*slow[r.engine]*(1+random.Float64()/5)))
			}
			requests = append(requests, r)
		}
		tenants, routes := random.Perm(4), random.Perm(4)
		changed := slices.Clone(requests)
		for index, r := range changed {
			var tenant, route int
			fmt.Sscanf(r.tenant, "tenant-%d", &tenant)
			fmt.Sscanf(r.route, "route-%d", &route)
			changed[index].tenant, changed[index].route = fmt.Sprintf("tenant-%d", tenants[tenant]), fmt.Sprintf("route-%d", routes[route])
			changed[index].value = 1 - r.value
		}
		random.Shuffle(len(changed), func(i, j int) { changed[i], changed[j] = changed[j], changed[i] })
		differed = differed || order(requests, partial) != order(changed, partial)
		return order(requests, record) == order(changed, record)
	}, gen.UInt64()))
	properties.TestingRun(t)
	if !differed {
		t.Fatal("a recorder of one tenant only was not detected")
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	if faults := DefaultSettings().Check(); len(faults) > 0 {
		t.Fatalf("the default settings are invalid: %v", faults)
	}
	if DefaultSettings().Mode != Off {
		t.Fatal("draining is on by default")
	}
	for field, change := range map[string]func(*Settings){
		"mode":          func(s *Settings) { s.Mode = "on" },
		"drainAt":       func(s *Settings) { s.DrainAt, s.ClearAt = 1.2, 1.1 },
		"clearAt":       func(s *Settings) { s.ClearAt = s.DrainAt },
		"spanMs":        func(s *Settings) { s.SpanMs = 0 },
		"confirmMs":     func(s *Settings) { s.ConfirmMs = 0 },
		"restMs":        func(s *Settings) { s.RestMs = 0 },
		"restMostMs":    func(s *Settings) { s.RestMostMs = s.RestMs - 1 },
		"trialMs":       func(s *Settings) { s.TrialMs = -1 },
		"stallFloor":    func(s *Settings) { s.StallFloor = -0.1 },
		"delayFloorMs":  func(s *Settings) { s.DelayFloorMs = 0 },
		"mostOfPool":    func(s *Settings) { s.MostOfPool = 0.6 },
		"mostOfZone":    func(s *Settings) { s.MostOfZone = 1 },
		"mostOfHolders": func(s *Settings) { s.MostOfHolders = -1 },
	} {
		settings := DefaultSettings()
		change(&settings)
		if faults := settings.Check(); len(faults) != 1 || faults[0].Field != field {
			t.Errorf("%s: %v", field, faults)
		}
	}
}

func TestEachRefusalHasNameAndReason(t *testing.T) {
	fleet := newSite(9, nil).fleet()
	if why := CheckDrain(DefaultSettings(), fleet, "nobody"); why != Unknown {
		t.Fatal(why)
	}
	if why := CheckDrain(DefaultSettings(), fleet, "engine-00"); why != Allowed {
		t.Fatal(why)
	}
	for why := Allowed; why < refusalCount; why++ {
		if why.String() == "" || why.Reason() == "" {
			t.Fatal(uint8(why))
		}
	}
}

// An engine that is avoided because it is slow has few measurements, and fast connections: this does not clear it.
func TestMissingMeasurementsClearNoEngine(t *testing.T) {
	s := newSite(9, nil)
	oneUnhealthy := s.nodes[3]
	oneUnhealthy.shut = true
	stalls := func() {
		for _, zone := range s.zones {
			recorder := NewRecorder()
			cell := recorder.Cell(oneUnhealthy.id, Class{Kind: Stall, Pool: "pool", Model: "model", TargetMs: targetMs, Load: LoadBand(2)})
			for range 2 {
				cell.RecordPause(700 * time.Millisecond)
			}
			for _, n := range s.nodes {
				connects := recorder.Cell(n.id, Class{Kind: Connect, Pool: "pool"})
				for range 4 {
					connects.RecordDelay(time.Millisecond)
				}
			}
			s.ranker.AddDigests(s.now, zone, recorder.TakeDigests())
		}
	}
	fleet := func() Fleet {
		out := s.fleet()
		one := out[oneUnhealthy.id]
		one.Open = true
		out[oneUnhealthy.id] = one
		return out
	}
	var drained []ident.EngineID
	for second := range 9 {
		s.measure()
		if second < 6 {
			stalls()
		}
		s.now += clock.Mark(time.Second)
		for _, act := range s.ranker.Step(s.now, fleet()).Actions {
			drained = append(drained, act.Engine)
		}
	}
	if len(drained) == 0 || drained[0] != oneUnhealthy.id {
		t.Fatalf("twelve pauses of seven times the gap target, and then nothing: %v", drained)
	}
	// After a long time without measurements it is no longer suspect.
	for range 50 {
		s.measure()
		s.now += clock.Mark(time.Second)
		s.ranker.Step(s.now, fleet())
	}
	if stage := s.ranker.engines[oneUnhealthy.id].stage; stage != Healthy {
		t.Fatal(stage)
	}
}

// Where no single zone has sufficient measurements they are combined; still it takes more than half of the zones.
func TestZonesWithFewSamplesAreCombined(t *testing.T) {
	sparse := func(slowFrom int) *site {
		s := newSite(5, func(s *Settings) { s.MostOfPool = 0.5 })
		s.zones = []ident.ZoneID{"a", "b", "c"}
		for range 10 {
			for index, zone := range s.zones {
				recorder := NewRecorder()
				for at, n := range s.nodes {
					cell := recorder.Cell(n.id, Class{Kind: Transfer, Pool: "pool", Model: n.model, Load: LoadBand(8), Size: SizeBand(2000)})
					delay := 80 * time.Millisecond
					if at == 2 && index < slowFrom {
						delay = 3 * time.Second
					}
					if int(s.now/clock.Mark(time.Second))%4 == 0 {
						cell.RecordDelay(delay)
					}
				}
				s.ranker.AddDigests(s.now, zone, recorder.TakeDigests())
			}
			s.now += clock.Mark(time.Second)
			s.last = s.ranker.Step(s.now, s.fleet())
			for _, act := range s.last.Actions {
				s.drains = append(s.drains, act.Engine)
			}
		}
		return s
	}
	if s := sparse(3); len(s.drains) == 0 || s.drains[0] != "engine-02" {
		t.Fatalf("two measurements of each zone within the span were not combined: %v", s.drains)
	}
	if s := sparse(1); len(s.drains) > 0 {
		t.Fatalf("drained for one zone of three: %v", s.drains)
	}
}

// One long pause, in all streams of an engine at once, is one incident.
func TestSingleLongPauseIsNotUnhealthy(t *testing.T) {
	once := func(change func(*Ranker)) []ident.EngineID {
		s := newSite(9, nil)
		change(s.ranker)
		s.run(4)
		for _, zone := range s.zones {
			recorder := NewRecorder()
			cell := recorder.Cell("engine-03", Class{Kind: Stall, Pool: "pool", Model: "model", TargetMs: targetMs, Load: LoadBand(8)})
			for range 8 {
				cell.RecordPause(4 * time.Second)
			}
			s.ranker.AddDigests(s.now, zone, recorder.TakeDigests())
		}
		return s.seenDraining(20)
	}
	if got := once(func(*Ranker) {}); len(got) > 0 {
		t.Fatalf("drained, though it paused once: %v", got)
	}
	if got := once(func(r *Ranker) { r.rules.minIncidents = 1 }); len(got) == 0 {
		t.Fatal("a rule that needs one incident only was not detected")
	}
}

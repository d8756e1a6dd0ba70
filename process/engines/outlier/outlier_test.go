package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// fleet is daemons of four zones that report to a detector what they observe, some of them each fifth of a second.
type fleet struct {
	detector *Detector
	now      clock.Mark
	engines  []ident.EngineID
	random   *rand.Rand
	// rate is the attempts a second that each engine gets at weight 1.
	rate float64
	// outcome says how an attempt at an engine from a zone ends.
	outcome func(engine int, zone ident.ZoneID) Outcome
	busy    func(ident.EngineID) bool
	count   []int
}

func newFleet(engines int, rate float64) *fleet {
	f := &fleet{detector: NewDetector(DefaultSettings()), now: clock.Mark(time.Hour), random: rand.New(rand.NewPCG(7, uint64(engines))), rate: rate,
		outcome: func(int, ident.ZoneID) Outcome { return Success }, busy: func(ident.EngineID) bool { return false }, count: make([]int, engines)}
	for n := range engines {
		f.engines = append(f.engines, ident.EngineID(fmt.Sprintf("e%02d", n)))
	}
	f.detector.SetPools(map[string][]ident.EngineID{"p": f.engines})
	return f
}

func zone(n int) ident.ZoneID { return ident.ZoneID(fmt.Sprint("z", n%4)) }

// run lets time pass; inspect is called after each step.
func (f *fleet) run(span time.Duration, inspect func()) {
	for end := f.now + clock.Mark(span); f.now < end; f.now += clock.Mark(100 * time.Millisecond) {
		for z := range 4 {
			recorder := NewRecorder()
			for n, id := range f.engines {
				fraction := WeightFor(f.detector.Weights(f.now, id), zone(z))
				if f.random.Float64() < f.rate*fraction/40 {
					f.count[n]++
					recorder.Record(id, f.outcome(n, zone(z)))
				}
			}
			f.detector.Observe(f.now, Observation{Zone: zone(z), Digests: recorder.TakeDigests()}, f.busy)
		}
		f.detector.Step(f.now)
		if inspect != nil {
			inspect()
		}
	}
}

// reduced counts the engines that get less than their usual requests from some zone, other than those in slow start.
func (f *fleet) reduced() (out int) {
	for _, id := range f.engines {
		if f.detector.engines[id].ejected() {
			out++
		}
	}
	return out
}

func (f *fleet) withProbability(probability float64, outcome Outcome) Outcome {
	if f.random.Float64() < probability {
		return outcome
	}
	return Success
}

func TestPartlyFailingEngineIsEjectedAndReturnsThroughTrialAndSlowStart(t *testing.T) {
	for _, outcome := range []Outcome{Failure, Refusal, Overdue} {
		f := newFleet(20, 3)
		f.outcome = func(engine int, _ ident.ZoneID) Outcome {
			if engine == 4 {
				return f.withProbability(0.45, outcome)
			}
			return Success
		}
		ejectedAt := clock.Mark(0)
		began := f.now
		f.run(10*time.Second, func() {
			if ejectedAt == 0 && f.detector.Stage("e04", "") == Ejected {
				ejectedAt = f.now
			}
		})
		if ejectedAt == 0 || ejectedAt.Since(began) > 6*time.Second {
			t.Errorf("%d: ejected after %v", outcome, ejectedAt.Since(began))
		}
		// Once it is healthy it comes back, in steps none of which more than doubles its fraction.
		f.outcome = func(int, ident.ZoneID) Outcome { return Success }
		last := 0.0
		f.run(40*time.Second, func() {
			fraction := WeightFor(f.detector.Weights(f.now, "e04"), "z0")
			if last > 0 && fraction > 2*last+1e-9 || last == 0 && fraction > DefaultSettings().TrialWeight {
				t.Errorf("%d: from %.2f to %.2f at once", outcome, last, fraction)
			}
			last = fraction
		})
		if last != 1 {
			t.Errorf("%d: still at %.2f", outcome, last)
		}
		if c := f.detector.Counters; c.Returns == 0 || c.Ejections == 0 {
			t.Errorf("%+v", c)
		}
	}
}

// Failures everywhere, by chance, or at a saturated engine eject no engine.
func TestChanceLoadAndCommonFaultsEjectNoEngine(t *testing.T) {
	for name, c := range map[string]struct {
		wrong func(f *fleet) func(int, ident.ZoneID) Outcome
		busy  bool
	}{
		"one in a hundred": {func(f *fleet) func(int, ident.ZoneID) Outcome {
			return func(int, ident.ZoneID) Outcome { return f.withProbability(0.01, Failure) }
		}, false},
		"three in a hundred of half": {func(f *fleet) func(int, ident.ZoneID) Outcome {
			return func(engine int, _ ident.ZoneID) Outcome {
				if engine%2 == 0 {
					return f.withProbability(0.03, Failure)
				}
				return Success
			}
		}, false},
		"all full": {func(f *fleet) func(int, ident.ZoneID) Outcome {
			return func(int, ident.ZoneID) Outcome { return f.withProbability(0.6, Refusal) }
		}, true},
	} {
		f := newFleet(30, 5)
		f.outcome = c.wrong(f)
		f.busy = func(ident.EngineID) bool { return c.busy }
		out := 0
		f.run(60*time.Second, func() { out = max(out, f.reduced()) })
		// Thirty engines for a minute, 9,000 attempts, of which some 130 fail in the second case: a few ejections are chance.
		if out > 1 || f.detector.Counters.Ejections > 4 {
			t.Errorf("%s: %d out at once, %+v", name, out, f.detector.Counters)
		}
	}
}

// A saturated engine that is late gets half, and half of that, and never nothing; one that is late because it is slow ends
// with what it can do.
func TestLateSaturatedEngineIsThrottledAndNotEjected(t *testing.T) {
	f := newFleet(20, 5)
	f.busy = func(id ident.EngineID) bool { return id == "e03" }
	f.outcome = func(engine int, _ ident.ZoneID) Outcome {
		if engine == 3 {
			return f.withProbability(0.9, Overdue)
		}
		return Success
	}
	least := 1.0
	f.run(20*time.Second, func() { least = min(least, WeightFor(f.detector.Weights(f.now, "e03"), "z0")) })
	if c := f.detector.Counters; c.Ejections > 0 || c.Throttled < 2 || least > 0.5 || least < minThrottledFraction {
		t.Errorf("down to %.3f, %+v", least, c)
	}
	f.outcome = func(int, ident.ZoneID) Outcome { return Success }
	f.run(10*time.Second, nil)
	if fraction := WeightFor(f.detector.Weights(f.now, "e03"), "z0"); fraction != 1 {
		t.Errorf("still at %.2f", fraction)
	}
}

func TestEngineFailingForOneZoneIsEjectedForThatZoneOnly(t *testing.T) {
	f := newFleet(20, 12)
	f.outcome = func(engine int, z ident.ZoneID) Outcome {
		if engine == 2 && z == "z1" {
			return f.withProbability(0.6, Failure)
		}
		return Success
	}
	there, elsewhere := 0, 0
	f.run(12*time.Second, func() {
		if WeightFor(f.detector.Weights(f.now, "e02"), "z1") < 1 {
			there++
		}
		if WeightFor(f.detector.Weights(f.now, "e02"), "z2") < 1 {
			elsewhere++
		}
	})
	if there < 60 || elsewhere > 0 {
		t.Errorf("ejected for %d steps there and %d elsewhere", there, elsewhere)
	}
}

// A partitioned daemon sees all engines fail, and its observations are dropped; an engine that flaps is ejected for longer.
func TestObservationsOfPartitionedDaemonAreDropped(t *testing.T) {
	f := newFleet(20, 1)
	for range 50 {
		recorder := NewRecorder()
		for _, id := range f.engines[:6] {
			recorder.Record(id, Failure)
		}
		f.detector.Observe(f.now, Observation{Zone: "z0", Digests: recorder.TakeDigests()}, f.busy)
		f.detector.Step(f.now)
		f.now += clock.Mark(100 * time.Millisecond)
	}
	if f.reduced() > 0 || f.detector.Counters.DigestsDropped != 50 {
		t.Errorf("%d out, %+v", f.reduced(), f.detector.Counters)
	}
}

func TestEjectionTimeGrowsForFlappingEngineAndDecays(t *testing.T) {
	f := newFleet(20, 5)
	affected := true
	f.outcome = func(engine int, _ ident.ZoneID) Outcome {
		if engine == 1 && affected {
			return Failure
		}
		return Success
	}
	f.run(60*time.Second, nil)
	s := f.detector.engines["e01"].in("")
	if s.ejectionTime != DefaultSettings().MaxEjectionTime || f.detector.Counters.Relapses < 3 {
		t.Errorf("rests %v, %+v", s.ejectionTime, f.detector.Counters)
	}
	before := f.count[1]
	f.run(60*time.Second, nil)
	if spent := f.count[1] - before; spent > 25 {
		t.Errorf("%d attempts in a minute at an engine that fails all", spent)
	}
	affected = false
	f.run(60*time.Second, nil)
	if f.detector.Stage("e01", "") != Healthy {
		t.Error(f.detector.Stage("e01", ""))
	}
	affected = true
	rest := s.ejectionTime
	f.run(5*time.Second, nil)
	if s.ejectionTime > rest {
		t.Errorf("rests %v after a minute, before %v", s.ejectionTime, rest)
	}
}

// Whatever daemons report, no more engines than the limit are ejected, never all, and fractions are between 0 and 1; once
// nothing fails any more all come back.
func TestEjectedFractionIsBoundedAndAllEnginesReturn(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("bound and return", prop.ForAll(func(engines int, seed int64, rates []int) string {
		f := newFleet(engines, 8)
		f.random = rand.New(rand.NewPCG(uint64(seed), 3))
		f.busy = func(id ident.EngineID) bool { return f.random.IntN(3) == 0 }
		f.outcome = func(engine int, _ ident.ZoneID) Outcome {
			outcome := Outcome(1 + (engine+int(seed))%3)
			if len(rates) == 0 {
				return Success
			}
			return f.withProbability(float64(rates[engine%len(rates)])/100, outcome)
		}
		failed := ""
		inspect := func() {
			if out, most := f.reduced(), f.detector.mostEjected(engines); out > most || out >= engines && engines > 0 {
				failed = fmt.Sprintf("%d of %d out, %d may be", out, engines, most)
			}
			for _, id := range f.engines {
				for _, one := range f.detector.Weights(f.now, id) {
					if one.Fraction < 0 || one.Fraction >= 1 {
						failed = fmt.Sprintf("a fraction of %f", one.Fraction)
					}
				}
			}
		}
		f.run(15*time.Second, inspect)
		f.outcome = func(int, ident.ZoneID) Outcome { return Success }
		f.run(90*time.Second, inspect)
		for _, id := range f.engines {
			if weights := f.detector.Weights(f.now, id); len(weights) > 0 {
				failed += fmt.Sprintf("; %s has not come back: %v", id, weights)
			}
		}
		return failed
	}, gen.IntRange(1, 40), gen.Int64Range(0, 1<<40), gen.SliceOf(gen.IntRange(0, 100))))
	properties.TestingRun(t)
}

func TestRecorderReportsEachAttemptOnceAndKeepsReadings(t *testing.T) {
	l := NewRecorder()
	l.Record("a", Success)
	l.Record("a", Failure)
	l.Record("b", Overdue)
	l.RecordTruncated("a")
	observation := l.TakeDigests()
	if len(observation) != 2 || observation[0] != (Digest{Engine: "a", Attempts: 2, Failures: 2}) || observation[1] != (Digest{Engine: "b", Attempts: 1, Overdue: 1}) {
		t.Errorf("%+v", observation)
	}
	if l.TakeDigests() != nil {
		t.Error("reported twice")
	}
	// An attempt that was reported as a success and then broke off is reported again, since the first report is gone.
	l.RecordTruncated("b")
	if observation := l.TakeDigests(); len(observation) != 1 || observation[0] != (Digest{Engine: "b", Attempts: 1, Failures: 1}) {
		t.Errorf("%+v", observation)
	}
	for range 100 {
		l.RecordFirstByteExcess("a", 80*time.Millisecond)
		l.RecordGapExcess("a", 40*time.Millisecond)
		l.RecordConnect("a", 3*time.Millisecond)
	}
	l.RecordFirstByteExcess("b", -time.Second)
	near := func(a, b time.Duration) bool { return max(a-b, b-a) < time.Millisecond }
	if a := l.Reading("a"); a.Attempts != 2 || a.Failures != 2 || a.Truncated != 1 || !near(a.FirstByteExcess, 80*time.Millisecond) || !near(a.GapExcess, 40*time.Millisecond) || !near(a.Connect, 3*time.Millisecond) {
		t.Errorf("%+v", a)
	}
	if b := l.Reading("b"); b.FirstByteExcess != 0 {
		t.Errorf("%+v", b)
	}
	l.Prune(func(id ident.EngineID) bool { return id == "a" })
	if b := l.Reading("b"); b != (Reading{}) || l.Reading("a") == (Reading{}) {
		t.Errorf("%+v", b)
	}
}

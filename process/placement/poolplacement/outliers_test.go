package poolplacement

import (
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// TestPlanRepublishesWeightOfUnhealthyEngine: what daemons saw ends in the plan of the engine that stands
// out, is published again before it expires, and ends when the engine is healthy.
func TestPlanRepublishesWeightOfUnhealthyEngine(t *testing.T) {
	f := newFleet(1, sharedCatalogue(), 9)
	f.run(5 * time.Second)
	f.planner.settings.PublishWeights = true
	unhealthy := f.engines[3].id
	wrong := true
	weight, publishedAt, worst := 1.0, clock.Mark(0), 1.0
	for end := f.now + clock.Mark(40*time.Second); f.now < end; {
		var digests []outlier.Digest
		for _, e := range f.engines {
			one := outlier.Digest{Engine: e.id, Attempts: 1}
			if e.id == unhealthy && wrong {
				one.Failures = 1
			}
			digests = append(digests, one)
		}
		f.outcomes = []outlier.Observation{{Zone: "z", Digests: digests}}
		f.step()
		if plan, spoken := f.spoken[unhealthy]; spoken {
			plan.Received = f.now
			weight, publishedAt = plan.Weight("z", f.now), f.now
			delete(f.spoken, unhealthy)
		}
		worst = min(worst, weight)
		if weight < 1 && f.now.Since(publishedAt) > 3*time.Second {
			t.Fatalf("a share of %.2f was told %v ago", weight, f.now.Since(publishedAt))
		}
		if f.now > end-clock.Mark(30*time.Second) {
			wrong = false
		}
	}
	if worst != 0 || weight != 1 {
		t.Errorf("down to %.2f, at last %.2f", worst, weight)
	}
	for _, e := range f.engines {
		if e.id != unhealthy && len(f.planner.outliers.Weights(f.now, e.id)) > 0 {
			t.Errorf("%s is well", e.id)
		}
	}
}

// TestWeightTravelsWithThePlanAndExpires: a weight that was not published for long expires.
func TestWeightTravelsWithThePlanAndExpires(t *testing.T) {
	plan := &registry.Plan{Received: clock.Mark(time.Hour), Weights: []outlier.Weight{{Fraction: 0.5}, {Zone: "a", Fraction: 0}}}
	shares := func(at clock.Mark) (out []float64) {
		for _, zone := range []ident.ZoneID{"a", "b"} {
			out = append(out, plan.Weight(zone, at))
		}
		return out
	}
	if got := shares(plan.Received); !slices.Equal(got, []float64{0, 0.5}) {
		t.Error(got)
	}
	if got := shares(plan.Received + clock.Mark(10*time.Second)); !slices.Equal(got, []float64{1, 1}) {
		t.Error(got)
	}
	if (*registry.Plan)(nil).Weight("a", 0) != 1 {
		t.Error("nothing is known")
	}
}

// TestModelOnlyOnEjectedEngineIsLoadedElsewhere: somebody requests a model that stands on one engine, and all that
// is sent there fails.
func TestModelOnlyOnEjectedEngineIsLoadedElsewhere(t *testing.T) {
	f := newFleet(2, sharedCatalogue(), 9)
	f.run(10 * time.Second)
	f.planner.settings.ReplaceUnhealthy = true
	zipf(f, 45, 1, func(clock.Mark) int { return 0 })
	f.run(15 * time.Second)
	// One that holds something alone which is requested now and then.
	var unhealthy *fakeEngine
	alone := ""
	holders := func(model string) (out []*fakeEngine) {
		for _, e := range f.engines {
			if _, held := e.models[model]; held {
				out = append(out, e)
			}
		}
		return out
	}
	for _, model := range f.truth.Models[8:25] {
		if at := holders(model.Name); len(at) == 1 {
			unhealthy, alone = at[0], model.Name
			break
		}
	}
	if unhealthy == nil {
		t.Fatal("no model stands alone")
	}
	for end := f.now + clock.Mark(12*time.Second); f.now < end && len(holders(alone)) < 2; {
		var digests []outlier.Digest
		for _, e := range f.engines {
			one := outlier.Digest{Engine: e.id, Attempts: 1}
			if e == unhealthy {
				one.Failures = 1
			}
			digests = append(digests, one)
		}
		f.outcomes = []outlier.Observation{{Zone: "z", Digests: digests}}
		f.step()
	}
	if len(holders(alone)) < 2 {
		t.Errorf("%s stands on the ejected engine alone", alone)
	}
	for _, fault := range f.faults {
		t.Error(fault)
	}
}

package forwarding

import (
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// TestEachAttemptIsToldOnceByWhatTheEngineDid: what its own deadline, the caller or this daemon ended says nothing of
// the engine, and a first byte that does not come is told while it does not.
func TestEachAttemptIsToldOnceByWhatTheEngineDid(t *testing.T) {
	const engine = ident.EngineID("batch-0")
	for name, c := range map[string]struct {
		begins bool
		after  int
		// look asks for the outcomes before the end.
		look      bool
		outcome   Outcome
		want      outlier.Digest
		resumable bool
	}{
		"whole":                     {true, 50, false, Whole, outlier.Digest{Attempts: 1}, false},
		"never sent":                {false, 5, false, NeverSent, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"lost":                      {false, 5, false, Lost, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"junk":                      {false, 5, false, Junk, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"its own failure":           {false, 5, false, Failed, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"refused":                   {false, 5, false, EngineRefused, outlier.Digest{Attempts: 1, Refusals: 1}, false},
		"cut after it began":        {true, 50, false, Cut, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"held back":                 {false, 5, false, HeldBack, outlier.Digest{}, false},
		"misdirected":               {false, 5, false, Misdirected, outlier.Digest{}, false},
		"left":                      {false, 5, false, Left, outlier.Digest{}, false},
		"lost at its deadline":      {false, 4000, false, Lost, outlier.Digest{}, false},
		"overdue, and then lost":    {false, 4000, true, Lost, outlier.Digest{Attempts: 1, Overdue: 1}, false},
		"overdue, and then whole":   {true, 3000, true, Whole, outlier.Digest{Attempts: 1, Overdue: 1}, false},
		"late and nobody looked":    {true, 3000, false, Whole, outlier.Digest{Attempts: 1, Overdue: 1}, false},
		"overdue, then its failure": {false, 3500, true, Failed, outlier.Digest{Attempts: 1, Overdue: 1}, false},
	} {
		b := newBench(t, pathOf("p", upstream.Stream, "batch"))
		b.register(enginesOf("batch", 1, 64, "m")...)
		r := b.admit("p", prompt("m", 1500))
		if send := b.sent(r); send.Engine != engine {
			t.Fatal(send.Engine)
		}
		var told []outlier.Digest
		if c.look {
			b.now += ms(c.after / 2)
			told = append(told, b.core.Outcomes(b.now)...)
			b.now += ms(c.after - c.after/2)
		} else {
			b.now += ms(c.after)
		}
		if c.begins {
			b.core.Begun(r, b.world())
		}
		b.core.Attempted(r, c.outcome, b.world())
		told = append(told, b.core.Outcomes(b.now)...)
		sum := outlier.Digest{}
		for _, one := range told {
			sum.Attempts, sum.Failures, sum.Refusals, sum.Overdue = sum.Attempts+one.Attempts, sum.Failures+one.Failures, sum.Refusals+one.Refusals, sum.Overdue+one.Overdue
		}
		if sum != c.want {
			t.Errorf("%s: told %+v, want %+v", name, sum, c.want)
		}
		if r.stage != Sending && len(b.core.awaited) != 0 {
			t.Errorf("%s: %d still awaited", name, len(b.core.awaited))
		}
	}
}

// TestAShareIsADrawAndNoLastResortIsLost: with half of its share an engine gets about half of what it got, with none it
// gets what no other can take, and without the setting it gets all.
func TestAShareIsADrawAndNoLastResortIsLost(t *testing.T) {
	for _, c := range []struct {
		share       float64
		hold        bool
		alone       bool
		least, most int
	}{{0, true, false, 0, 0}, {0.5, true, false, 60, 160}, {0, false, false, 150, 250}, {0, true, true, 400, 400}} {
		b := newBench(t, pathOf("p", upstream.Stream, "batch"))
		b.core.settings.HoldBack = c.hold
		engines := enginesOf("batch", 2, 64, "m")
		if c.alone {
			engines = engines[:1]
		}
		b.register(engines...)
		view := *b.view.Engines["batch-0"]
		came := 0
		for range 400 {
			copied := view
			copied.Plan = planWith(b, c.share)
			b.view.Engines["batch-0"], b.view.Pools["batch"][0] = &copied, &copied
			r := b.admit("p", prompt("m", 1500))
			if b.sent(r).Engine == "batch-0" {
				came++
			}
			b.now += ms(10)
			b.core.Begun(r, b.world())
			b.core.Attempted(r, Whole, b.world())
		}
		if came < c.least || came > c.most {
			t.Errorf("%+v: %d of 400", c, came)
		}
	}
}

func planWith(b *bench, share float64) *registry.Plan {
	return &registry.Plan{Received: b.now, Weights: []outlier.Weight{{Fraction: share}}}
}

package forwarding

import (
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// TestEachAttemptIsReportedOnceByWhatTheEngineDid: an attempt ended by its own deadline, its caller or this daemon says
// nothing about the engine, and an overdue first byte is reported while it is awaited.
func TestEachAttemptIsReportedOnceByWhatTheEngineDid(t *testing.T) {
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
		"whole":                     {true, 50, false, OutcomeCompleted, outlier.Digest{Attempts: 1}, false},
		"never sent":                {false, 5, false, OutcomeUnreachable, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"lost":                      {false, 5, false, OutcomeResponseLost, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"junk":                      {false, 5, false, OutcomeProtocolError, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"its own failure":           {false, 5, false, OutcomeEngineError, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"refused":                   {false, 5, false, OutcomeRejected, outlier.Digest{Attempts: 1, Refusals: 1}, false},
		"cut after it began":        {true, 50, false, OutcomeStreamBroken, outlier.Digest{Attempts: 1, Failures: 1}, false},
		"held back":                 {false, 5, false, OutcomeWithheld, outlier.Digest{}, false},
		"misdirected":               {false, 5, false, OutcomeMisdirected, outlier.Digest{}, false},
		"left":                      {false, 5, false, OutcomeCallerLeft, outlier.Digest{}, false},
		"lost at its deadline":      {false, 4000, false, OutcomeResponseLost, outlier.Digest{}, false},
		"overdue, and then lost":    {false, 4000, true, OutcomeResponseLost, outlier.Digest{Attempts: 1, Overdue: 1}, false},
		"overdue, and then whole":   {true, 3000, true, OutcomeCompleted, outlier.Digest{Attempts: 1, Overdue: 1}, false},
		"late and nobody looked":    {true, 3000, false, OutcomeCompleted, outlier.Digest{Attempts: 1, Overdue: 1}, false},
		"overdue, then its failure": {false, 3500, true, OutcomeEngineError, outlier.Digest{Attempts: 1, Overdue: 1}, false},
	} {
		fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
		fixture.register(enginesOf("batch", 1, 64, "m")...)
		request := fixture.admit("p", prompt("m", 1500))
		if send := fixture.sent(request); send.Engine != engine {
			t.Fatal(send.Engine)
		}
		var reports []outlier.Digest
		if c.look {
			fixture.now += ms(c.after / 2)
			reports = append(reports, fixture.core.Outcomes(fixture.now)...)
			fixture.now += ms(c.after - c.after/2)
		} else {
			fixture.now += ms(c.after)
		}
		if c.begins {
			fixture.core.ResponseBegun(request, fixture.world())
		}
		fixture.core.AttemptEnded(request, c.outcome, fixture.world())
		reports = append(reports, fixture.core.Outcomes(fixture.now)...)
		sum := outlier.Digest{}
		for _, option := range reports {
			sum.Attempts, sum.Failures, sum.Refusals, sum.Overdue = sum.Attempts+option.Attempts, sum.Failures+option.Failures, sum.Refusals+option.Refusals, sum.Overdue+option.Overdue
		}
		if sum != c.want {
			t.Errorf("%s: reported %+v, want %+v", name, sum, c.want)
		}
		if request.stage != StageSending && len(fixture.core.awaitingFirstByte) != 0 {
			t.Errorf("%s: %d still awaited", name, len(fixture.core.awaitingFirstByte))
		}
	}
}

// TestEjectedEngineReceivesItsShareAndServesAsLastResort: with a weight of a half an engine gets about half of its
// requests, with zero those that no other can take, and without the setting all.
func TestEjectedEngineReceivesItsShareAndServesAsLastResort(t *testing.T) {
	for _, c := range []struct {
		share       float64
		ejects      bool
		alone       bool
		least, most int
	}{{0, true, false, 0, 0}, {0.5, true, false, 60, 160}, {0, false, false, 150, 250}, {0, true, true, 400, 400}} {
		fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
		fixture.core.settings.EjectOutliers = c.ejects
		engines := enginesOf("batch", 2, 64, "m")
		if c.alone {
			engines = engines[:1]
		}
		fixture.register(engines...)
		view := *fixture.view.Engines["batch-0"]
		came := 0
		for range 400 {
			copied := view
			copied.Plan = planWith(fixture, c.share)
			fixture.view.Engines["batch-0"], fixture.view.Pools["batch"][0] = &copied, &copied
			request := fixture.admit("p", prompt("m", 1500))
			if fixture.sent(request).Engine == "batch-0" {
				came++
			}
			fixture.now += ms(10)
			fixture.core.ResponseBegun(request, fixture.world())
			fixture.core.AttemptEnded(request, OutcomeCompleted, fixture.world())
		}
		if came < c.least || came > c.most {
			t.Errorf("%+v: %d of 400", c, came)
		}
	}
}

func planWith(fixture *coreFixture, share float64) *registry.Plan {
	return &registry.Plan{Received: fixture.now, Weights: []outlier.Weight{{Fraction: share}}}
}

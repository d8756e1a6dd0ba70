package checker

import (
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/testbed/caller"
	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/callerapi"
)

const ms = time.Millisecond

// validHistory is a short run in which every rule is checked and holds.
func validHistory() *History {
	d, _ := deployment.Named("small")
	first, second := d.Configuration("first", nil), d.Configuration("second", map[string]bool{"other": true})
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	entry := func(s float64, engine string, kind journal.Kind, attempt string) journal.Line {
		return journal.Line{At: at(s), Engine: engine, Kind: kind, Attempt: attempt, Route: "main", Model: "model-00", Run: "run-" + attempt, Session: "s", Chunks: 3}
	}
	order := func(s float64, stamp string, claim uint64) journal.Line {
		return journal.Line{At: at(s), Engine: "engine-0", Kind: journal.Order, Order: "load", Model: "model-00", Stamp: stamp, Claim: claim}
	}
	complete := func(attempt string, began, end float64) caller.Record {
		return caller.Record{Attempt: attempt, Daemon: "d", Began: at(began), End: at(end), Connected: true, Sent: true, Status: 200, Chunks: 3, Final: true, CleanEnd: true, Run: "run-" + attempt}
	}
	return &History{
		Journals: []journal.Line{
			{At: at(1), Engine: "engine-0", Kind: journal.Start},
			order(2, "4096", 1), {At: at(2), Engine: "engine-0", Kind: journal.LoadBegin, Model: "model-00"}, {At: at(3), Engine: "engine-0", Kind: journal.LoadEnd, Model: "model-00"},
			order(9, "8192", 2), {At: at(9), Engine: "engine-0", Kind: journal.LoadBegin, Model: "model-01"},
			entry(4, "engine-0", journal.Arrive, "one"), entry(4, "engine-0", journal.Begin, "one"), entry(5, "engine-0", journal.End, "one"),
			entry(11, "engine-0", journal.Arrive, "two"), entry(11, "engine-0", journal.Begin, "two"), entry(12, "engine-0", journal.End, "two"), entry(5, "engine-0", journal.End, "four"), entry(5, "engine-0", journal.End, "five"),
		},
		Calls: []caller.Record{
			complete("one", 4, 5), complete("two", 11, 12), complete("four", 4, 5), complete("five", 4, 5),
			{Attempt: "three", Daemon: "d", Began: at(4), End: at(5), Sent: true, Status: 503, Outcome: callerapi.Refused, CleanEnd: true},
		},
		Actions: []Action{
			{At: at(0), Kind: Rolled, Version: 1, Body: first}, {At: at(6), Kind: Rolled, Version: 2, Body: second},
			{At: at(5), Kind: Crashed, Subject: "core-0"}, {At: at(7), Kind: Refused, Body: []byte("lost")},
			{At: at(7), Kind: EngineDraining, Subject: "engine-1"}, {At: at(7), Kind: ZoneClosed, Subject: "c"},
			{At: at(11), Kind: StopRequested, Subject: "d"}, {At: at(13), Kind: Stopped, Subject: "d"},
		},
		Observations: []Observation{{At: at(1), Daemon: "d", Incarnation: "d#1", ConfigurationVersion: 1, Ready: true}, {At: at(9), Daemon: "d", Incarnation: "d#1", ConfigurationVersion: 2, ClosureVersion: 1, Ready: true}},
		ReadBacks:    []ReadBack{{Version: 1, Body: first}, {Version: 2, Body: second}},
		Exits:        []Exit{{Daemon: "d"}}, ClosureWanted: []string{"c"}, ClosureSeen: []string{"c"},
		Contest:     []Class{{Name: "high", Tenant: "x", Priority: 9, Prefix: "four"}, {Name: "calm", Tenant: "y", Priority: 5, Prefix: "five"}, {Name: "burst", Tenant: "x", Priority: 5, Burst: true, Prefix: "three"}},
		ZoneOf:      map[string]string{"engine-0": "a", "engine-1": "b", "engine-2": "c"},
		LoadsAtOnce: 1, LoadGap: 150 * ms, Slots: 4, RetryShare: 0.1,
	}
}

func TestAValidHistoryPasses(t *testing.T) {
	for _, finding := range Check(validHistory()) {
		if !finding.OK() {
			t.Errorf("%s: %d checked, %v", finding.Rule, finding.Checked, finding.Violations)
		}
	}
}

func TestAnEmptyHistoryFailsEveryRule(t *testing.T) {
	for _, finding := range Check(&History{}) {
		if finding.OK() {
			t.Errorf("%s passed with nothing checked", finding.Rule)
		}
	}
}

// TestEachRuleDetectsItsViolation breaks the history in one way at a time; the rule named, and only it, must say so.
func TestEachRuleDetectsItsViolation(t *testing.T) {
	arrive := func(h *History, s float64, change func(*journal.Line)) {
		entry := journal.Line{At: time.Duration(s * float64(time.Second)), Engine: "engine-0", Kind: journal.Arrive, Attempt: "extra", Route: "main", Model: "model-00"}
		change(&entry)
		h.Journals = append(h.Journals, entry)
	}
	breaks := map[string]func(*History){
		"an unrepeatable request never runs twice": func(h *History) {
			h.Journals = append(h.Journals, journal.Line{At: 12 * time.Second, Engine: "engine-0", Kind: journal.Begin, Attempt: "two", Session: "t"})
		},
		"a refused request never runs": func(h *History) {
			h.Journals = append(h.Journals, journal.Line{At: 12 * time.Second, Engine: "engine-0", Kind: journal.Begin, Attempt: "three"})
		},
		"no caller gets another's answer":                func(h *History) { h.Calls[0].Faults = []string{"foreign piece"} },
		"no cut-off answer looks whole":                  func(h *History) { h.Calls[0].Final = false },
		"no stream skips, repeats or splices":            func(h *History) { h.Calls[0].Faults = []string{"splice"} },
		"no request reaches a service no bundle allowed": func(h *History) { arrive(h, 1.5, func(l *journal.Line) { l.Model = "model-99" }) },
		"an acknowledged bundle is in force within 2 s": func(h *History) {
			arrive(h, 9.5, func(l *journal.Line) { l.Route, l.Model = "other", "model-01" })
		},
		"no daemon falls back to an older bundle": func(h *History) {
			h.Observations = append(h.Observations, Observation{At: 9500 * ms, Daemon: "d", Incarnation: "d#1", ConfigurationVersion: 2})
		},
		"acknowledged bundles and closures read back whole": func(h *History) { h.ReadBacks[1].Body = []byte("{}") },
		"nothing to a draining engine after 3 s":            func(h *History) { arrive(h, 10.1, func(l *journal.Line) { l.Engine = "engine-1" }) },
		"nothing to a closed zone after 5 s":                func(h *History) { arrive(h, 12.1, func(l *journal.Line) { l.Engine = "engine-2" }) },
		"no read request is dropped in a planned stop": func(h *History) {
			h.Calls = append(h.Calls, caller.Record{Attempt: "dropped", Daemon: "d", Began: 11 * time.Second, End: 12 * time.Second, Sent: true})
			h.Journals = append(h.Journals, journal.Line{At: 11500 * ms, Engine: "engine-0", Kind: journal.Begin, Attempt: "dropped"})
		},
		"one commander of an engine, and no quick turns": func(h *History) { h.Journals[4].At = 3 * time.Second },
		"no engine is ordered past its room": func(h *History) {
			h.Journals[4].Kind, h.Journals[4].Reason = journal.OrderRefused, "no room"
		},
		"loads keep to the store's pace": func(h *History) { h.Journals[5].At = 2500 * ms },
		"retries stay a modest share": func(h *History) {
			for range 40 {
				arrive(h, 13, func(l *journal.Line) {})
			}
		},
		"no cold engine is flooded": func(h *History) {
			for i := range 40 {
				arrive(h, 4.5, func(l *journal.Line) { l.Attempt = string(rune('A' + i)) })
			}
		},
		"service is back within 12 s of a crash": func(h *History) {
			h.Actions = append(h.Actions, Action{At: 30 * time.Second, Kind: Crashed, Subject: "edge-1"})
		},
		"a seated session keeps its engine while it may": func(h *History) { h.Journals[10].Engine, h.Journals[10].Session = "engine-2", "s" },
		"no model is unloaded within 8 s of its loading": func(h *History) {
			h.Journals = append(h.Journals, journal.Line{At: 16 * time.Second, Engine: "engine-0", Kind: journal.Order, Order: "unload", Model: "model-01", Stamp: "8193", Claim: 2})
		},
		"in a contest the higher worth is served first": func(h *History) { h.Contest[0].Prefix, h.Contest[2].Prefix = "three", "none" },
		"in a contest no house's burst takes a rival's room": func(h *History) {
			h.Contest[1].Prefix, h.Contest[2].Prefix = "three", "four"
		},
		"no two orders bear one minted id": func(h *History) { h.Journals[4].Stamp = "4096" },
	}
	findings := Check(validHistory())
	if len(breaks) != len(findings) {
		t.Fatalf("%d rules and %d ways to break them", len(findings), len(breaks))
	}
	for rule, breakIt := range breaks {
		h := validHistory()
		breakIt(h)
		for _, finding := range Check(h) {
			switch {
			case finding.Rule == rule && len(finding.Violations) == 0:
				t.Errorf("%s: its break was not caught", rule)
			case finding.Rule != rule && len(finding.Violations) > 0 && !strings.Contains(rule, "planned stop"):
				t.Errorf("the break of %q was called a break of %q: %v", rule, finding.Rule, finding.Violations)
			}
		}
	}
}

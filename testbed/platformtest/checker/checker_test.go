package checker

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

func at(seconds float64) clock.Mark { return clock.Mark(seconds * float64(time.Second)) }

func bounds() Bounds {
	ms := time.Millisecond
	return Bounds{Contact: 3000 * ms, Drain: 2000 * ms, Grace: 8000 * ms, LossSlack: 200 * ms, Apply: 2000 * ms, Revert: 250 * ms, StretchMax: 5000 * ms,
		Recovery: 12 * time.Second, Ack: 4000 * ms, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 10, Lease: 3000 * ms, Unfreeze: 300 * ms,
		OriginWindow: 5 * time.Second, OriginExcess: 1.1, QuotaWindow: 5 * time.Second, QuotaExcess: 0.1, QuotaMargin: 20, Floor: 0.5}
}

func config(generation uint64, change func(*protocol.Config)) *protocol.Config {
	c := &protocol.Config{Generation: generation, Backends: []protocol.Backend{
		{Label: "lm", HealthPath: "/health", Engine: &protocol.EngineID{LoadsPerS: 1, WeightsMb: 100, Models: []protocol.CatalogModel{{Label: "m", WeightsMb: 10}}}},
		{Label: "plain", HealthPath: "/health"}, {Label: "other", HealthPath: "/health"}},
		Routes: []protocol.Route{
			{Label: "r1", Authority: "h", PathPrefix: "/s/", Class: protocol.Streaming, DeadlineMs: 5000, Backend: "lm", Tries: 1},
			{Label: "r2", Authority: "h", PathPrefix: "/p/", Class: protocol.Idempotent, DeadlineMs: 5000, Backend: "plain", Tries: 2},
			{Label: "r3", Authority: "h", PathPrefix: "/m/", Class: protocol.Mutating, DeadlineMs: 5000, Backend: "plain", Tries: 2},
			{Label: "r5", Authority: "h", PathPrefix: "/split/", Class: protocol.Idempotent, DeadlineMs: 5000, Shares: []protocol.Share{{Backend: "plain", Share: 7}, {Backend: "other", Share: 3}}, Tries: 2},
			{Label: "r6", Authority: "h", PathPrefix: "/open/", Class: protocol.Idempotent, DeadlineMs: 5000, Backend: "plain", Tries: 2, Public: true}},
		Tenants: []protocol.Tenant{
			{Label: "alpha", APIKeys: []string{"key-alpha", "key-moved", "key-dropped"}, RatePerS: 100, Burst: 100},
			{Label: "beta", APIKeys: []string{"key-beta"}, RatePerS: 20, Burst: 20},
			{Label: "gamma", APIKeys: []string{"key-gamma"}}}}
	if change != nil {
		change(c)
	}
	return c
}

// amend makes of the first version the second one: a new route, a new key, a key that moves, one that goes, and a lower
// limit.
func amend(c *protocol.Config) {
	c.Routes = append(c.Routes, protocol.Route{Label: "r4", Authority: "h", PathPrefix: "/new/", Class: protocol.Idempotent, DeadlineMs: 5000, Backend: "other", Tries: 1})
	c.Tenants[0].APIKeys = []string{"key-alpha"}
	c.Tenants[1] = protocol.Tenant{Label: "beta", APIKeys: []string{"key-beta", "key-moved"}, RatePerS: 4, Burst: 4}
	c.Tenants[2].APIKeys = []string{"key-gamma", "key-added"}
}

type day struct {
	*history.History
	number int
}

// stream adds a streamed request that is served whole.
func (d *day) stream(began float64) (*history.Attempt, *history.Arrival) {
	return d.request(began, protocol.Streaming, "/s/x", "lm", "e1")
}

func (d *day) request(began float64, class, uri, service, engine string) (*history.Attempt, *history.Arrival) {
	d.number++
	id, run := fmt.Sprintf("t%d", d.number), fmt.Sprintf("%s-%d", engine, d.number)
	attempt := &history.Attempt{Request: id, Kind: "kind" + class, Session: fmt.Sprint("s", d.number%3), AttemptID: id, AnsweredID: id, Daemon: "edge-0", Host: "h", Method: "POST", URI: uri, BodyDigest: "d",
		Class: class, Key: "key-alpha", Tenant: "alpha", DeadlineMs: 5000, Began: at(began), Connected: true, FirstOnConnection: true, Sent: at(began + 0.01), First: at(began + 0.1), Ended: at(began + 0.2), Status: 200, Complete: true}
	arrival := &history.Arrival{At: at(began + 0.02), Engine: engine, Service: service, AttemptID: id, Method: "POST", URI: uri, Host: "h", BodyDigest: "d",
		DeadlineMs: 4980, Tenants: []string{"alpha"}, Began: at(began + 0.03), Run: run, Ended: at(began + 0.2), Complete: true, Status: 200}
	stamp := protocol.Stamp{Engine: engine, Attempt: id, Run: run, Status: 200, Length: -1}
	if class == protocol.Streaming {
		attempt.Prompt = protocol.Prompt{Model: "m", TokensIn: 10, TokensOut: 3, Parts: []protocol.Part{{ID: "aa", Tokens: 10}}}
		arrival.Prompt = attempt.Prompt
		for n := 1; n <= 3; n++ {
			attempt.Events = append(attempt.Events, history.Event{At: at(began + 0.1), ID: fmt.Sprint(n), Data: protocol.EventData(id, run, n, 3)})
		}
	} else {
		attempt.ResponseBody = protocol.Body(id, run, 20)
		stamp.Length, stamp.Digest = 20, protocol.Digest(attempt.ResponseBody)
	}
	attempt.Seal = stamp.Write()
	d.Attempts, d.Arrivals = append(d.Attempts, attempt), append(d.Arrivals, arrival)
	return attempt, arrival
}

// keyed adds a request with a key that runs under the name of a tenant.
func (d *day) keyed(began float64, key, tenant string) (*history.Attempt, *history.Arrival) {
	attempt, arrival := d.request(began, protocol.Idempotent, "/p/x", "plain", "p1")
	attempt.Key, attempt.Tenant, arrival.Tenants = key, tenant, []string{tenant}
	return attempt, arrival
}

// refusedKey adds a request whose key is refused.
func (d *day) refusedKey(began float64, key string, status int) *history.Attempt {
	attempt, arrival := d.keyed(began, key, "")
	refuse(attempt, status)
	unrun(arrival)
	return attempt
}

// burst adds requests of a tenant within three seconds.
func (d *day) burst(began float64, count int, key, tenant string) {
	for n := range count {
		d.keyed(began+3*float64(n)/float64(count), key, tenant)
	}
}

// at gives the place of the first request on a path from a time on.
func (d *day) at(uri string, from float64) int {
	for i, attempt := range d.Attempts {
		if attempt.URI == uri && attempt.Began >= at(from) {
			return i
		}
	}
	panic("no such request")
}

// refuse makes an answer one of the system's own.
func refuse(attempt *history.Attempt, status int) {
	attempt.Status, attempt.Seal, attempt.ResponseBody, attempt.Events = status, "", nil, nil
}

// leave has a client leave a request, and its engine end the work, each so many seconds after it began.
func leave(attempt *history.Attempt, arrival *history.Arrival, left, ended float64) {
	refuse(attempt, 0)
	attempt.First, attempt.Complete, attempt.ClientClosed, attempt.Early, attempt.ClosedAt, attempt.Ended = 0, false, true, true, attempt.Began+at(left), attempt.Began+at(left)
	arrival.Complete, arrival.CallerClosed, arrival.Ended = false, true, attempt.Began+at(ended)
}

// outlast has a request be answered, by a failure, so many seconds after it began.
func outlast(attempt *history.Attempt, answered, ended float64) {
	refuse(attempt, 504)
	attempt.DeadlineMs, attempt.First, attempt.Ended = 20000, attempt.Began+at(answered), attempt.Began+at(ended)
}

// cutAfter has a request's connection end so many seconds after it began, and its engine work on.
func cutAfter(attempt *history.Attempt, arrival *history.Arrival, ended float64) {
	refuse(attempt, 0)
	attempt.First, attempt.Complete, attempt.Ended, arrival.Ended = 0, false, attempt.Began+at(ended), attempt.Began+at(ended+1)
}

// cutByStopOverChange has a machine stop while the configuration changes, and cut a stream that was sent to it soon after; the
// stream's engine works on it for so many seconds.
func cutByStopOverChange(d *day, worked float64) {
	const stopped = 8
	d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(stopped), Until: at(stopped + 8), Kind: history.Stopped, Machine: "edge-0", Planned: true})
	attempt, arrival := d.request(stopped+0.1, protocol.Mutating, "/m/x", "plain", "p1")
	cutAfter(attempt, arrival, 4.9)
	attempt.DeadlineMs, arrival.Ended = 20000, arrival.At+at(worked)
}

// further adds an arrival of the same request at another engine.
func (d *day) further(first *history.Arrival, engine string, seconds float64) *history.Arrival {
	again := *first
	again.Engine, again.At, again.Began, again.Run, again.Ended = engine, first.At+at(seconds), first.Began+at(seconds), engine+first.Run, first.Ended+at(seconds)
	d.Arrivals = append(d.Arrivals, &again)
	return &again
}

// unrun takes a request's work back.
func unrun(arrival *history.Arrival) {
	arrival.Began, arrival.Run, arrival.Status, arrival.Rejected = 0, "", 503, true
}

func fence(n uint64) *uint64 { return &n }

func (d *day) order(seconds float64, owner string, number uint64) *history.Order {
	order := &history.Order{At: at(seconds), Engine: "e1", Service: "lm", Order: protocol.Order{Operation: protocol.Load, Model: "m", Owner: owner, Fence: fence(number)}, Status: 202, FromStore: true}
	d.Orders = append(d.Orders, order)
	return order
}

// rival acknowledges another change under a number that is taken, on the same version.
func (d *day) rival(generation uint64) {
	overall := config(generation, func(c *protocol.Config) { amend(c); c.Routes[0].Urgency = 4 })
	d.Changes = append(d.Changes, &history.Change{Operator: "b", Base: 1, Generation: generation, Config: overall, Method: "PUT", Body: overall.Encode(), Began: at(10.2), Answered: at(10.5), Outcome: history.Acknowledged})
}

// again sends one of the day's changes again, with the answer that it had.
func (d *day) again(i int, seconds float64) *history.Change {
	change := *d.Changes[i]
	change.Operator, change.Resent, change.Began, change.Answered = "b", true, at(seconds), at(seconds+0.1)
	d.Changes = append(d.Changes, &change)
	return &change
}

// sound is a day in which every rule is checked and holds.
func sound() *day {
	first, second := config(1, nil), config(3, amend)
	d := &day{History: &history.History{Began: at(0), Ended: at(100), Cores: []string{"core-0"}, Edges: []string{"edge-0"},
		Changes: []*history.Change{
			{Operator: "a", Base: 0, Generation: 1, Config: first, Began: at(0.1), Answered: at(0.3), Outcome: history.Acknowledged},
			{Operator: "a", Base: 1, Generation: 3, Config: second, Began: at(10), Answered: at(10.3), Outcome: history.Acknowledged},
			{Operator: "b", Base: 1, Generation: 2, Config: config(2, func(c *protocol.Config) { c.Routes[0].Backend = "plain" }), Began: at(10.1), Answered: at(10.4), Outcome: history.Refused},
			{Operator: "a", Base: 3, Generation: 3, Config: config(3, nil), Fault: "its generation is not above the current one", Began: at(12), Answered: at(12.1), Outcome: history.Refused},
		},
		Incarnations: []*history.Incarnation{{Engine: "e1", Service: "lm", Began: at(0)}, {Engine: "p1", Service: "plain", Began: at(0)}, {Engine: "o1", Service: "other", Began: at(0)},
			{Engine: "e2", Service: "lm", Began: at(0), DrainRequested: at(15), DrainAcked: at(15.1), Ended: at(18)}},
		Disruptions: []*history.Disruption{
			{From: at(30), Until: at(31), Kind: history.Stopped, Machine: "edge-0", Planned: true},
			{From: at(60), Until: at(61), Kind: history.Closing, Core: true}},
		ReadBacks: []history.ReadBack{{Began: at(98.9), At: at(99), Config: second}},
	}}
	for _, change := range d.Changes {
		change.Method, change.Body = "PUT", change.Config.Encode()
	}
	d.Reads = []history.ReadBack{{Began: at(5), At: at(5.1), Config: first}, {Began: at(20), At: at(20.1), Config: second}, {Began: at(21), At: at(21.1), Err: "no answer"}, d.ReadBacks[0]}
	for second := 1; second < 60; second++ {
		d.stream(float64(second))
		d.request(float64(second)+0.2, protocol.Idempotent, "/p/x", "plain", "p1")
		_, arrival := d.request(float64(second)+0.3, protocol.Mutating, "/m/x", "plain", "p1")
		arrival.DeadlineMs = 1
		if second > 13 {
			d.request(float64(second)+0.4, protocol.Idempotent, "/new/x", "other", "o1")
		}
		// It says that it is not ready while it is stopped.
		d.ReadinessChecks = append(d.ReadinessChecks, history.ReadinessCheck{At: at(float64(second)), Machine: "edge-0", Ready: second <= 30 || second > 33})
	}
	for second := 75; second < 95; second++ {
		d.stream(float64(second))
	}
	// A route in two parts, by clients that keep their connections.
	for n := range 220 {
		service, engine := "plain", "p1"
		if n%10 >= 7 {
			service, engine = "other", "o1"
		}
		attempt, _ := d.request(40+float64(n)/20, protocol.Idempotent, "/split/x", service, engine)
		attempt.FirstOnConnection = false
	}
	// One whose client leaves, one that outlasts its route's deadline, and one that is refused and has not run.
	attempt, arrival := d.stream(22.6)
	leave(attempt, arrival, 0.2, 0.4)
	attempt, _ = d.request(50.5, protocol.Idempotent, "/p/x", "plain", "p1")
	outlast(attempt, 5.05, 5.05)
	attempt, arrival = d.request(20.5, protocol.Mutating, "/m/x", "plain", "p1")
	refuse(attempt, 503)
	unrun(arrival)
	d.order(1, "core-0", 1)
	d.order(20, "core-1", 2)
	return d
}

func TestAValidHistoryPassesAndEveryRuleIsChecked(t *testing.T) {
	for _, finding := range CheckAll(sound().History, bounds()) {
		if finding.Checked == 0 || len(finding.Violations) > 0 {
			t.Errorf("%s: %d checked, %v", finding.Rule, finding.Checked, finding.Violations)
		}
	}
}

func TestAnEmptyHistoryChecksNothing(t *testing.T) {
	for _, finding := range CheckAll(&history.History{}, bounds()) {
		if finding.Checked > 0 || len(finding.Violations) > 0 {
			t.Errorf("%s: %d checked, %v", finding.Rule, finding.Checked, finding.Violations)
		}
	}
}

// breaks are ways to break one rule each; where another falls with it by its nature, it is named.
var breaks = []struct {
	rule, what string
	also       []string
	change     func(*day)
}{
	{"MIXED", "a success without a stamp", nil, func(d *day) { d.Attempts[1].Seal = "" }},
	{"MIXED", "a body cut short that looks whole", nil, func(d *day) { d.Attempts[1].ResponseBody = d.Attempts[1].ResponseBody[:7] }},
	{"MIXED", "a failure passed as a success", nil, func(d *day) {
		stamp, _ := protocol.ReadStamp(d.Attempts[1].Seal)
		stamp.Status = 500
		d.Attempts[1].Seal = stamp.Write()
	}},
	{"MIXED", "another's answer", nil, func(d *day) {
		d.Attempts[1].Seal, d.Attempts[1].ResponseBody = d.Attempts[5].Seal, d.Attempts[5].ResponseBody
	}},
	{"MIXED", "another's refusal", nil, func(d *day) { refuse(d.Attempts[1], 503); d.Attempts[1].AnsweredID = "t9" }},
	{"MIXED", "a success where no request waits", nil, func(d *day) { d.Attempts[1].Unsolicited = "HTTP/1.1 200 OK\r\n" }},
	{"MIXED", "bytes that are no answer", nil, func(d *day) {
		attempt := d.Attempts[d.at("/p/x", 25)]
		attempt.Malformed, attempt.Status, attempt.Complete = "malformed", 0, false
	}},
	{"MIXED", "an encoding", nil, func(d *day) { d.Attempts[1].Encoding = "gzip" }},
	{"MIXED", "an event of another", nil, func(d *day) { d.Attempts[0].Events[1].Data = protocol.EventData("t77", "e1-1", 2, 3) }},
	{"MIXED", "a failure under the stamp of a success", nil, func(d *day) { d.Attempts[1].Status = 502 }},
	{"LOST on kept connections", "connections closed on requests that went on", nil, func(d *day) {
		for n := range keepAliveLostFew + 1 {
			i := d.at("/split/x", 40) + n
			cutAfter(d.Attempts[i], d.Arrivals[i], 0.3)
		}
	}},
	{"CONFIG shares", "all goes to one part", nil, func(d *day) {
		for _, arrival := range d.Arrivals {
			if arrival.URI == "/split/x" {
				arrival.Service = "plain"
			}
		}
	}},
	{"UNASKED", "another model", nil, func(d *day) { d.Arrivals[0].Prompt.Model = "n" }},
	{"UNASKED", "other counts of tokens", nil, func(d *day) { d.Arrivals[0].Prompt.TokensOut = 4 }},
	{"UNASKED", "other parts of a prompt", nil, func(d *day) { d.Arrivals[0].Prompt.Parts = nil }},
	{"UNASKED", "an id nobody sent", nil, func(d *day) {
		_, arrival := d.request(5, protocol.Idempotent, "/p/x", "plain", "p1")
		arrival.AttemptID = "smuggled"
	}},
	{"UNASKED", "another path", nil, func(d *day) { d.Arrivals[1].URI = "/p/y" }},
	{"UNASKED", "another query", nil, func(d *day) { d.Arrivals[1].URI = "/p/x?q=1" }},
	{"UNASKED", "another method", nil, func(d *day) { d.Arrivals[1].Method = "GET" }},
	{"UNASKED", "another body", nil, func(d *day) { d.Arrivals[1].BodyDigest = "e" }},
	{"UNASKED", "no tenant is named", nil, func(d *day) { d.Arrivals[1].Tenants = nil }},
	{"UNASKED", "another tenant is named", nil, func(d *day) { d.Arrivals[1].Tenants = []string{"beta"} }},
	{"UNASKED", "two tenants are named", nil, func(d *day) { d.Arrivals[1].Tenants = []string{"alpha", "beta"} }},
	{"UNASKED", "a tenant is named before the key is passed on to it", nil, func(d *day) { d.keyed(5, "key-moved", "beta") }},
	{"UNASKED", "a key reaches an engine", nil, func(d *day) { d.Arrivals[1].Authorized = true }},
	{"UNASKED", "a public route passes a forged tenant on", nil, func(d *day) {
		attempt, arrival := d.request(5, protocol.Idempotent, "/open/x", "plain", "p1")
		attempt.Key, attempt.Tenant, arrival.Tenants = "", "", []string{"beta"}
	}},
	{"UNASKED", "a public route passes a key on", nil, func(d *day) {
		_, arrival := d.request(5, protocol.Idempotent, "/open/x", "plain", "p1")
		arrival.Authorized = true
	}},
	{"ROUTE", "an unknown key is served", []string{"UNASKED"}, func(d *day) {
		attempt, arrival := d.request(25, protocol.Idempotent, "/p/x", "plain", "p1")
		attempt.Key, attempt.Tenant, arrival.Tenants = "key-unknown", "", nil
	}},
	{"ROUTE", "no key is served where one is needed", []string{"UNASKED"}, func(d *day) {
		attempt, arrival := d.request(25, protocol.Idempotent, "/p/x", "plain", "p1")
		attempt.Key, attempt.Tenant, arrival.Tenants = "", "", nil
	}},
	{"CONFIG in force late", "a dropped key runs", []string{"CONFIG goes back"}, func(d *day) { d.keyed(25, "key-dropped", "alpha") }},
	{"CONFIG in force late", "a dropped key runs, and no tenant is named", []string{"CONFIG goes back", "UNASKED"}, func(d *day) {
		_, arrival := d.keyed(25, "key-dropped", "alpha")
		arrival.Tenants = nil
	}},
	{"CONFIG in force late", "a key runs under the tenant that held it before", []string{"CONFIG goes back"}, func(d *day) { d.keyed(25, "key-moved", "alpha") }},
	{"CONFIG in force late", "an added key is refused with 401", []string{"CONFIG goes back"}, func(d *day) { d.refusedKey(25, "key-added", 401) }},
	{"CONFIG in force late", "an added key is refused with 403", []string{"CONFIG goes back"}, func(d *day) { d.refusedKey(25, "key-added", 403) }},
	{"CONFIG goes back", "a dropped key runs just after the effect of its removal", nil, func(d *day) {
		d.request(10.6, protocol.Idempotent, "/new/x", "other", "o1")
		d.keyed(11.1, "key-dropped", "alpha")
	}},
	{"DENIED", "many known keys get a 401", nil, func(d *day) {
		for n := range 8 {
			d.refusedKey(20+float64(n), "key-alpha", 401)
		}
	}},
	{"QUOTA", "a tenant runs more than its limit", nil, func(d *day) { d.burst(5, 160, "key-beta", "beta") }},
	{"QUOTA", "a tenant runs more than its lowered limit", nil, func(d *day) { d.burst(40, 60, "key-beta", "beta") }},
	{"QUOTA", "two keys of a tenant together run more than its limit", nil, func(d *day) {
		d.burst(40, 30, "key-beta", "beta")
		d.burst(40, 30, "key-moved", "beta")
	}},
	{"QUOTA", "the tenant is not named", []string{"UNASKED"}, func(d *day) {
		d.burst(40, 60, "key-beta", "beta")
		for _, arrival := range d.Arrivals[len(d.Arrivals)-60:] {
			arrival.Tenants = nil
		}
	}},
	{"Starved tenants", "one tenant is hardly served", nil, func(d *day) {
		for n := range 12 {
			d.refusedKey(40+float64(n), "key-gamma", 503).Tenant = "gamma"
		}
	}},
	{"TWICE", "a mutating request runs twice", nil, func(d *day) {
		again := *d.Arrivals[2]
		d.Arrivals = append(d.Arrivals, &again)
	}},
	{"TWICE", "a stream that may not be resumed runs twice", nil, func(d *day) {
		again := *d.Arrivals[0]
		d.Arrivals = append(d.Arrivals, &again)
	}},
	{"REFUSED", "a 503 for what ran", nil, func(d *day) { refuse(d.Attempts[2], 503) }},
	{"REFUSED", "a 421 for what runs later", nil, func(d *day) {
		refuse(d.Attempts[2], 421)
		d.Arrivals[2].Began = at(40)
	}},
	{"DENIED", "many proper requests get a 400", nil, func(d *day) {
		for n := range 7 {
			refuse(d.Attempts[1+4*n], 400)
			unrun(d.Arrivals[1+4*n])
		}
	}},
	{"DENIED", "many are not found by one that was out of touch", []string{"CONFIG in force late", "CONFIG goes back"}, func(d *day) {
		d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(39), Until: at(52), Kind: history.Frozen, Machine: "edge-0"})
		for n := range 11 {
			attempt, arrival := d.request(40+float64(n), protocol.Idempotent, "/p/x", "plain", "p1")
			refuse(attempt, 404)
			unrun(arrival)
		}
	}},
	{"GONE", "engines work on for clients that left", nil, func(d *day) {
		attempt, arrival := d.stream(40)
		leave(attempt, arrival, 0.2, 0.8)
	}},
	{"GONE", "an engine never ends its work", nil, func(d *day) {
		attempt, arrival := d.request(40, protocol.Idempotent, "/p/x", "plain", "p1")
		leave(attempt, arrival, 0.2, 0)
		arrival.Ended, arrival.CallerClosed = 0, false
	}},
	{"GONE", "requests are sent once more for clients that left", nil, func(d *day) {
		for n := range 4 {
			attempt, arrival := d.request(40+float64(n), protocol.Idempotent, "/p/x", "plain", "p1")
			leave(attempt, arrival, 0.2, 0.3)
			unrun(d.further(arrival, "p2", 0.8))
		}
	}},
	{"DRAIN readiness", "machines that stop count as ready", nil, func(d *day) {
		for i := range d.ReadinessChecks {
			d.ReadinessChecks[i].Ready = true
		}
		d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(40), Until: at(41), Kind: history.Stopped, Machine: "edge-0", Planned: true})
	}},
	{"BUDGET tries", "requests run on more engines than their route allows", nil, func(d *day) {
		for n := range 4 {
			_, arrival := d.request(40+float64(n), protocol.Idempotent, "/p/x", "plain", "p1")
			d.further(arrival, "p2", 0.01)
			d.further(arrival, "p3", 0.02)
		}
	}},
	{"BUDGET deadlines", "engines are handed none", nil, func(d *day) {
		for n := range 30 {
			_, arrival := d.request(20+float64(n), protocol.Mutating, "/m/x", "plain", "p1")
			arrival.DeadlineMs = 0
		}
	}},
	{"BUDGET deadlines", "engines are handed more than clients give", nil, func(d *day) {
		for n := range 30 {
			_, arrival := d.request(20+float64(n), protocol.Mutating, "/m/x", "plain", "p1")
			arrival.DeadlineMs = 5600
		}
	}},
	{"BUDGET deadlines", "what is sent once more has all of its time again", nil, func(d *day) {
		for n := range 30 {
			_, arrival := d.request(20+float64(n), protocol.Idempotent, "/p/x", "plain", "p1")
			d.further(arrival, "p2", 0.7)
		}
	}},
	{"CONFIG final answer", "a request is unanswered after its route's deadline", nil, func(d *day) {
		for n := range 2 {
			attempt, _ := d.request(40.5+float64(n), protocol.Idempotent, "/p/x", "plain", "p1")
			outlast(attempt, 5.6, 5.6)
		}
	}},
	{"CONFIG final answer", "streams go on after their route's deadline", nil, func(d *day) {
		for n := range 8 {
			attempt, _ := d.stream(40.5 + float64(n)/10)
			attempt.DeadlineMs, attempt.Ended = 20000, attempt.Began+at(6)
		}
	}},
	{"ROUTE", "a service that no configuration names", nil, func(d *day) { d.Arrivals[1].Service = "lm" }},
	{"DRAIN", "a request after the bound", nil, func(d *day) { d.request(17.4, protocol.Streaming, "/s/x", "lm", "e2") }},
	{"LOST around planned work", "a cut while stopping", []string{"LOST around planned work"}, func(d *day) {
		attempt, _ := d.request(30.1, protocol.Mutating, "/m/x", "plain", "p1")
		attempt.Status, attempt.Complete, attempt.Seal = 0, false, ""
	}},
	{"LOST around planned work", "a late request is cut though its engine works on", nil, func(d *day) {
		attempt, arrival := d.request(33.5, protocol.Mutating, "/m/x", "plain", "p1")
		cutAfter(attempt, arrival, 4.9)
	}},
	{"LOST around planned work", "cuts around a change", nil, func(d *day) {
		for n := range 3 {
			attempt, _ := d.request(10.5+0.1*float64(n), protocol.Idempotent, "/p/x", "plain", "p1")
			attempt.Status, attempt.Complete, attempt.Seal = 0, false, ""
		}
	}},
	{"LOST around planned work", "a cut around a change and a stop, long after its engine has finished", nil, func(d *day) {
		cutByStopOverChange(d, 1)
	}},
	{"LOST after the closing fault", "an older version at the end", []string{"CONFIG read back"}, func(d *day) {
		d.ReadBacks = []history.ReadBack{{At: at(99), Config: config(1, nil)}}
	}},
	{"CONFIG in force late", "a route 404s that is there", []string{"CONFIG goes back"}, func(d *day) {
		attempt, arrival := d.request(25, protocol.Idempotent, "/new/x", "other", "o1")
		refuse(attempt, 404)
		unrun(arrival)
	}},
	{"CONFIG in force late", "an old service", []string{"CONFIG goes back", "CONFIG linearizable"}, func(d *day) {
		d.Changes[1].Config = config(3, func(c *protocol.Config) { amend(c); c.Routes[1].Backend = "lm" })
		d.ReadBacks[0].Config = d.Changes[1].Config
		for _, arrival := range d.Arrivals {
			if arrival.URI == "/p/x" && arrival.At > at(10) && arrival.At < at(50) {
				arrival.Service = "lm"
			}
		}
	}},
	{"CONFIG later routes served", "later routes are refused", []string{"Starved kinds"}, func(d *day) {
		for i, attempt := range d.Attempts {
			if attempt.URI == "/new/x" {
				refuse(attempt, 503)
				unrun(d.Arrivals[i])
			}
		}
	}},
	{"CONFIG goes back", "a 404 just after the effect of a version", nil, func(d *day) {
		d.request(10.6, protocol.Idempotent, "/new/x", "other", "o1")
		attempt, arrival := d.request(11.1, protocol.Idempotent, "/new/x", "other", "o1")
		refuse(attempt, 404)
		unrun(arrival)
	}},
	{"CONFIG refused or invalid in force", "the loser of a race", nil, func(d *day) { d.Arrivals[d.at("/s/x", 25)].Service = "plain" }},
	{"CONFIG acknowledged wrongly", "an invalid one", []string{"CONFIG linearizable"}, func(d *day) { d.Changes[3].Outcome = history.Acknowledged }},
	{"CONFIG acknowledged wrongly", "two on one base", []string{"CONFIG linearizable"}, func(d *day) {
		d.Changes[2].Outcome = history.Acknowledged
		d.Changes[2].Config = config(2, nil)
	}},
	{"CONFIG acknowledged wrongly", "two under one number", []string{"CONFIG linearizable"}, func(d *day) {
		d.rival(3)
	}},
	{"CONFIG linearizable", "two under one number", []string{"CONFIG acknowledged wrongly"}, func(d *day) {
		d.rival(3)
	}},
	{"CONFIG linearizable", "an acknowledged change is sent again and refused", nil, func(d *day) { d.again(1, 13).Outcome = history.Refused }},
	{"CONFIG linearizable", "a refused change is sent again and acknowledged", []string{"CONFIG acknowledged wrongly"}, func(d *day) { d.again(2, 13).Outcome = history.Acknowledged }},
	{"CONFIG linearizable", "a valid change on the newest is refused", nil, func(d *day) {
		overall := config(8, amend)
		d.Changes = append(d.Changes, &history.Change{Operator: "b", Base: 3, Generation: 8, Config: overall, Method: "PUT", Body: overall.Encode(), Began: at(13), Answered: at(13.1), Outcome: history.Refused})
	}},
	{"CONFIG linearizable", "a reading goes back", nil, func(d *day) { d.Reads[1].Config = d.Changes[0].Config }},
	{"CONFIG linearizable", "a reading sees other content", nil, func(d *day) { d.Reads[1].Config = config(3, nil) }},
	{"CONFIG read back", "it does not come", []string{"LOST after the closing fault"}, func(d *day) { d.ReadBacks[0] = history.ReadBack{Err: "no answer"} }},
	{"CONFIG read back", "other content under its number", []string{"LOST after the closing fault"}, func(d *day) { d.ReadBacks[0].Config = config(3, nil) }},
	{"BUDGET", "further arrivals past ratio and slack", nil, func(d *day) {
		for n := range 40 {
			_, first := d.request(40+0.1*float64(n), protocol.Idempotent, "/p/x", "plain", "p1")
			again := *first
			unrun(&again)
			d.Arrivals = append(d.Arrivals, &again)
			third := again
			d.Arrivals = append(d.Arrivals, &third)
		}
	}},
	{"ORDER", "an event is missing", nil, func(d *day) { d.Attempts[0].Events = append(d.Attempts[0].Events[:1:1], d.Attempts[0].Events[2]) }},
	{"ORDER", "an event comes twice", nil, func(d *day) {
		d.Attempts[0].Events = append(d.Attempts[0].Events[:2:2], d.Attempts[0].Events[1:]...)
	}},
	{"ORDER", "it ends early as complete", nil, func(d *day) { d.Attempts[0].Events = d.Attempts[0].Events[:2] }},
	{"ORDER", "two runs are joined", nil, func(d *day) { d.Attempts[0].Events[2].Data = protocol.EventData("t1", "e2-9", 3, 3) }},
	{"RECOVER", "little is served after the closing fault", nil, func(d *day) {
		for i, attempt := range d.Attempts {
			if attempt.Began > at(74) && attempt.Began < at(92) {
				refuse(attempt, 503)
				unrun(d.Arrivals[i])
			}
		}
	}},
	{"ONE", "two holders share a fence", nil, func(d *day) { d.order(40, "core-2", 2) }},
	{"ONE", "a lower fence follows", nil, func(d *day) { d.order(40, "core-2", 1).Order.Owner = "core-0" }},
	{"ONE", "holders take turns", nil, func(d *day) { d.order(22, "core-2", 3) }},
	{"LIMIT", "a load over the room", nil, func(d *day) { d.Orders[0].OverCapacity = true }},
	{"CEILING", "loads faster than the store allows", nil, func(d *day) {
		for n := range 9 {
			d.order(40+0.4*float64(n), "core-1", 2)
		}
	}},
	{"Floor", "most is refused", []string{"Starved kinds", "Starved sessions", "CONFIG later routes served"}, func(d *day) {
		for i, attempt := range d.Attempts {
			if i%3 != 0 {
				refuse(attempt, 503)
				unrun(d.Arrivals[i])
			}
		}
	}},
	{"Sizes", "the largest are refused", nil, func(d *day) {
		for i, attempt := range d.Attempts {
			if attempt.Prompt.Model != "" && i%9 == 0 {
				attempt.Prompt.TokensIn = 900
				refuse(attempt, 503)
				unrun(d.Arrivals[i])
			}
		}
	}},
	{"Starved sessions", "some sessions are never served", []string{"Starved kinds"}, func(d *day) {
		for i, attempt := range d.Attempts {
			if i%4 == 1 {
				attempt.Session = fmt.Sprint("poor", i%24)
				refuse(attempt, 503)
				unrun(d.Arrivals[i])
			}
		}
	}},
	{"Starved models", "some models are never served", nil, func(d *day) {
		for i, attempt := range d.Attempts {
			if attempt.Prompt.Model != "" && i%5 == 0 {
				attempt.Prompt.Model = fmt.Sprint("rare", i%3)
				refuse(attempt, 503)
				unrun(d.Arrivals[i])
			}
		}
	}},
	{"Starved kinds", "one kind is hardly served", []string{"Starved sessions"}, func(d *day) {
		for i, attempt := range d.Attempts {
			if attempt.Class == protocol.Mutating {
				refuse(attempt, 503)
				unrun(d.Arrivals[i])
			}
		}
	}},
	{"Acks", "a valid change waits too long", nil, func(d *day) { d.Changes[1].Answered = at(16) }},
	{"Acks of leaving", "an engine is never told", nil, func(d *day) { d.Incarnations[3].DrainAcked = 0 }},
	{"Own ends", "a process ends by itself", nil, func(d *day) {
		d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(50), Until: at(50.1), Kind: history.UnexpectedExit, Machine: "core-0", Core: true})
	}},
	{"Duty", "an edge is not ready", nil, func(d *day) {
		for i := range d.ReadinessChecks {
			d.ReadinessChecks[i].Ready = i%4 != 0
		}
	}},
}

func TestEachRuleDetectsItsViolation(t *testing.T) {
	bitten := map[string]bool{}
	for _, one := range breaks {
		d := sound()
		one.change(d)
		bitten[one.rule] = true
		for _, finding := range CheckAll(d.History, bounds()) {
			may := false
			for _, also := range one.also {
				may = may || finding.Rule == also
			}
			switch {
			case finding.Rule == one.rule && len(finding.Violations) == 0:
				t.Errorf("%s: %s was not caught", one.rule, one.what)
			case finding.Rule != one.rule && !may && len(finding.Violations) > 0:
				t.Errorf("%s: %s was called a break of %s: %v", one.rule, one.what, finding.Rule, finding.Violations[:1])
			}
		}
	}
	for _, finding := range CheckAll(sound().History, bounds()) {
		if !bitten[finding.Rule] {
			t.Errorf("no break of %s is tried", finding.Rule)
		}
	}
}

// TestExcusedDeviationsAreNoViolations brings about what looks like a break and is none.
func TestExcusedDeviationsAreNoViolations(t *testing.T) {
	for _, one := range []struct {
		what   string
		change func(*day)
	}{
		{"an idempotent request runs twice", func(d *day) {
			again := *d.Arrivals[1]
			d.Arrivals = append(d.Arrivals, &again)
		}},
		{"a resumed stream goes on at another engine", func(d *day) {
			attempt, first := d.Attempts[0], d.Arrivals[0]
			attempt.Resumable = true
			second := *first
			second.Run, second.Engine, second.LastEvent, second.From = "e3-9", "e3", "2", 2
			first.Complete, first.Broken = false, true
			d.Arrivals = append(d.Arrivals, &second)
			attempt.Events[2].Data = protocol.EventData(attempt.AttemptID, "e3-9", 3, 3)
		}},
		{"an engine breaks a stream off, and the cut shows", func(d *day) {
			d.Attempts[0].Complete, d.Attempts[0].Events = false, d.Attempts[0].Events[:1]
			d.Arrivals[0].Complete, d.Arrivals[0].Broken = false, true
		}},
		{"a late arrival from a machine that was frozen", func(d *day) {
			d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(17), Until: at(18), Kind: history.Frozen, Machine: "edge-0"})
			d.request(18.5, protocol.Streaming, "/s/x", "lm", "e2")
		}},
		{"an old route just after its change", func(d *day) {
			attempt, arrival := d.request(11, protocol.Idempotent, "/new/x", "other", "o1")
			refuse(attempt, 404)
			unrun(arrival)
		}},
		{"an unclear change that came in force", func(d *day) {
			d.Changes = append(d.Changes, &history.Change{Base: 3, Generation: 9, Config: config(9, nil), Began: at(95), Outcome: history.Unclear})
			d.ReadBacks[0].Config = config(9, nil)
			d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(94), Kind: history.Frozen, Machine: "core-0", Core: true})
		}},
		{"loads while the core is unsettled", func(d *day) {
			d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(39), Until: at(45), Kind: history.Frozen, Machine: "core-0", Core: true})
			for n := range 9 {
				d.order(40+0.4*float64(n), "core-1", 2)
			}
		}},
		{"a request that was sent soon after a stop is cut at its end", func(d *day) {
			attempt, arrival := d.request(32.9, protocol.Mutating, "/m/x", "plain", "p1")
			cutAfter(attempt, arrival, 4.9)
		}},
		{"a stop cuts a stream that its engine works on, while the configuration changes", func(d *day) {
			cutByStopOverChange(d, 4.9)
		}},
		{"a few are not found by one that was out of touch", func(d *day) {
			d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(10), Until: at(12), Kind: history.Frozen, Machine: "edge-0"})
			for n := range 5 {
				attempt, arrival := d.request(10.5+0.1*float64(n), protocol.Idempotent, "/new/x", "other", "o1")
				refuse(attempt, 404)
				unrun(arrival)
			}
		}},
		{"an engine that crashed was one too many", func(d *day) {
			for n := range 4 {
				_, arrival := d.request(40+float64(n), protocol.Idempotent, "/p/x", "plain", "p1")
				d.further(arrival, "p2", 0.01)
				d.further(arrival, "p3", 0.02)
			}
			d.Incarnations = append(d.Incarnations, &history.Incarnation{Engine: "p3", Service: "plain", Ended: at(40.1), Crashed: true})
		}},
		{"work goes on for a client that left a mutating request", func(d *day) {
			attempt, arrival := d.request(40, protocol.Mutating, "/m/x", "plain", "p1")
			leave(attempt, arrival, 0.2, 0.9)
		}},
		{"a frozen engine works on for a client that left", func(d *day) {
			d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(39.5), Until: at(41), Kind: history.Link})
			attempt, arrival := d.stream(40)
			leave(attempt, arrival, 0.2, 1)
		}},
		{"one machine of several counts as ready for long", func(d *day) {
			d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(40), Until: at(41), Kind: history.Stopped, Machine: "edge-0", Planned: true})
		}},
		{"a client leaves at its route's deadline", func(d *day) {
			attempt, arrival := d.request(40.5, protocol.Idempotent, "/p/x", "plain", "p1")
			leave(attempt, arrival, 5.2, 5.3)
		}},
		{"an unknown key is refused", func(d *day) {
			for n := range 30 {
				d.refusedKey(20+float64(n), "key-unknown", 401)
			}
		}},
		{"no key is refused", func(d *day) { d.refusedKey(20, "", 401) }},
		{"a dropped key is refused", func(d *day) { d.refusedKey(20, "key-dropped", 401) }},
		{"a dropped key runs just after its removal", func(d *day) { d.keyed(11, "key-dropped", "alpha") }},
		{"a dropped key runs at a machine that was frozen", func(d *day) {
			d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(10), Until: at(13), Kind: history.Frozen, Machine: "edge-0"})
			d.keyed(13.4, "key-dropped", "alpha")
		}},
		{"a key runs under the tenant that it is passed on to", func(d *day) { d.keyed(25, "key-moved", "beta") }},
		{"an added key is refused just after its version", func(d *day) { d.refusedKey(11, "key-added", 401) }},
		{"a public route needs no key", func(d *day) {
			attempt, arrival := d.request(25, protocol.Idempotent, "/open/x", "plain", "p1")
			attempt.Key, attempt.Tenant, arrival.Tenants = "", "", nil
		}},
		{"a public route names the tenant of a key", func(d *day) { d.request(25, protocol.Idempotent, "/open/x", "plain", "p1") }},
		{"a tenant without a limit runs many", func(d *day) { d.burst(40, 400, "key-gamma", "gamma") }},
		{"a tenant runs up to its limit and the margins", func(d *day) { d.burst(40, 46, "key-beta", "beta") }},
		{"a lowered limit is exceeded just after its version", func(d *day) { d.burst(9, 100, "key-beta", "beta") }},
		{"a lowered limit is exceeded while a front machine is out of touch", func(d *day) {
			d.Disruptions = append(d.Disruptions, &history.Disruption{From: at(11.5), Until: at(37), Kind: history.Frozen, Machine: "edge-1"})
			d.Edges = append(d.Edges, "edge-1")
			d.burst(36.5, 60, "key-beta", "beta")
		}},
		{"a configuration without clients passes on what it is sent", func(d *day) {
			for _, change := range d.Changes {
				change.Config.Tenants = nil
				change.Body = change.Config.Encode()
			}
			for i, attempt := range d.Attempts {
				attempt.Key, attempt.Tenant = "of an application", ""
				d.Arrivals[i].Tenants, d.Arrivals[i].Authorized = []string{"a", "b"}, true
			}
		}},
		{"a few own 4xx", func(d *day) {
			for n := range 5 {
				refuse(d.Attempts[1+4*n], 400)
				unrun(d.Arrivals[1+4*n])
			}
		}},
	} {
		d := sound()
		one.change(d)
		for _, finding := range CheckAll(d.History, bounds()) {
			if len(finding.Violations) > 0 {
				t.Errorf("%s: %s: %v", one.what, finding.Rule, finding.Violations)
			}
		}
	}
}

func TestRefusalsUnderTheLimitAreCounted(t *testing.T) {
	d := sound()
	before := RefusedUnderLimit(d.History, bounds())
	if before.Attempts == 0 || before.Refused != 0 {
		t.Fatalf("%+v", before)
	}
	for n := range 10 {
		d.refusedKey(40+float64(n), "key-beta", 429).Tenant = "beta"
	}
	if after := RefusedUnderLimit(d.History, bounds()); after.Refused != 10 || after.Attempts != before.Attempts+10 {
		t.Errorf("%+v", after)
	}
}

func TestRefusalsBeyondTheLimitAreNotOwed(t *testing.T) {
	d := sound()
	owed := len(newIndex(d.History, bounds()).answers())
	for n := range 300 {
		d.refusedKey(40+float64(n)/100, "key-beta", 429).Tenant = "beta"
	}
	h := newIndex(d.History, bounds())
	// The limit of beta is 4 a second and a burst of 4.
	if more := len(h.answers()) - owed; more < 4 || more > 4+4*3 {
		t.Errorf("%d of 300 requests in 3 s are owed", more)
	}
	if figure := RefusedUnderLimit(d.History, bounds()); figure.Refused > 4+4*3 {
		t.Errorf("%+v", figure)
	}
}

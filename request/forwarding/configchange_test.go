package forwarding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// changedTable is a valid table over a few paths, pools, models and tenants, any of which may be withdrawn, replaced or
// brought back, with bounds and times at the edges of what is valid.
func changedTable(random *rand.Rand) *upstream.Index {
	section := &upstream.Section{Revision: 1}
	for _, name := range []string{"plain", "other", "batch"} {
		pool := upstream.Pool{Name: name, MaxConnections: []int{0, 1, 110, math.MaxInt32}[random.IntN(4)]}
		if name == "batch" && random.IntN(4) > 0 {
			pool.Catalogue = &upstream.Catalogue{Slots: random.IntN(2) * 64, MemoryTokens: []int64{0, 100_000, math.MaxInt64}[random.IntN(3)], CapacityMb: 100}
			for _, model := range []string{"m", "n"} {
				if random.IntN(3) > 0 {
					pool.Catalogue.Models = append(pool.Catalogue.Models, upstream.Model{Name: model, SizeMb: 10, LoadMs: []int64{0, 1500, math.MaxInt64}[random.IntN(3)], Adapters: random.IntN(3), AdapterSizeMb: 1})
				}
			}
		}
		if random.IntN(6) > 0 {
			section.Pools = append(section.Pools, pool)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if len(section.Pools) == 0 || random.IntN(5) == 0 {
			continue
		}
		path := pathOf(name, []upstream.Class{upstream.Once, upstream.Idempotent, upstream.Stream}[random.IntN(3)])
		path.Resumable, path.Public = random.IntN(2) == 0, random.IntN(3) == 0
		path.DeadlineMs = []int64{1, 4000, 86_400_000}[random.IntN(3)]
		path.TargetMs = []int64{0, 600, math.MaxInt64}[random.IntN(3)]
		path.GapTargetMs = []int64{0, 400, math.MaxInt64}[random.IntN(3)]
		path.Rank, path.Attempts = []int{0, 2, 1_000_000}[random.IntN(3)], 1+random.IntN(3)
		for _, pool := range section.Pools {
			path.Shares = append(path.Shares, upstream.Share{Pool: pool.Name, Weight: []int64{0, 1, math.MaxInt64}[random.IntN(3)]})
		}
		path.Shares[random.IntN(len(path.Shares))].Weight = 1
		section.Paths = append(section.Paths, path)
	}
	for _, name := range []string{"ana", "bea"} {
		if random.IntN(2) == 0 {
			section.Tenants = append(section.Tenants, upstream.Tenant{Name: name})
		}
	}
	for _, key := range []string{"key-1", "key-2"} {
		if len(section.Tenants) > 0 && random.IntN(4) > 0 {
			holder := &section.Tenants[random.IntN(len(section.Tenants))]
			holder.Keys = append(holder.Keys, key)
		}
	}
	return upstream.NewIndex(section)
}

// changingRequest is what the sender and the engines know of one request, and what the tables allowed by which it came and was
// sent.
type changingRequest struct {
	record *Request
	send   *Attempt
	ended  bool
	// runs counts the attempts that may have run; runsOnce reports that one of those tables allowed one at most.
	runs     int
	runsOnce bool
}

// configurationPlay drives a core while its table changes.
type configurationPlay struct {
	*coreFixture
	random   *rand.Rand
	requests []*changingRequest
	engines  []*registry.Engine
	fault    string
}

// step does one random thing.
func (p *configurationPlay) step(number int) {
	switch kind := p.random.IntN(16); {
	case kind < 4:
		p.arrive()
	case kind < 9:
		p.endAttempt(number)
	case kind < 10:
		if open := p.open(); len(open) > 0 {
			p.core.ResponseBegun(open[p.random.IntN(len(open))].record, p.world())
		}
	case kind < 12:
		p.index, p.current = changedTable(p.random), p.random.IntN(4) > 0
		if p.random.IntN(20) == 0 {
			p.index = nil
		}
		p.core.DispatchQueued(p.world())
	case kind < 13:
		p.register(slices.DeleteFunc(slices.Clone(p.engines), func(*registry.Engine) bool { return p.random.IntN(3) == 0 })...)
		p.core.DispatchQueued(p.world())
		p.core.Forget(p.view)
	case kind < 14:
		p.core.Demands(p.now)
		p.core.Outcomes(p.now)
		p.core.NextWake(p.now)
	default:
		p.now += ms(p.random.IntN(300))
		p.core.DispatchQueued(p.world())
	}
	for _, request := range p.requests {
		p.read(request)
	}
}

// noteTable notes what a table allows a request.
func (r *changingRequest) noteTable(index *upstream.Index) {
	if index == nil {
		return
	}
	path, found := index.Lookup(r.record.Host, r.record.URLPath)
	r.runsOnce = r.runsOnce || found && path.Class != upstream.Idempotent && !(path.Class == upstream.Stream && path.Resumable)
}

func (p *configurationPlay) arrive() {
	p.made++
	request := Request{Host: "h", URLPath: "/" + []string{"a", "b", "c", "never"}[p.random.IntN(4)] + "/", ArrivedAt: p.now}
	request.Attributes.Attempt = fmt.Sprint("r", p.made)
	request.Attributes.Key = []string{"", "key-1", "key-2", "key-3"}[p.random.IntN(4)]
	if p.random.IntN(2) == 0 {
		request.Attributes.Model = []string{"m", "n", "unknown"}[p.random.IntN(3)]
		request.Attributes.Adapter = []string{"", "a1", "a9"}[p.random.IntN(3)]
		request.Attributes.TokensIn, request.Attributes.TokensOut = p.random.IntN(3000), p.random.IntN(300)
	}
	if p.index != nil {
		if path, found := p.index.Lookup(request.Host, request.URLPath); found {
			request.SetPath(path)
		}
	}
	made := &changingRequest{record: NewRequest(request)}
	made.noteTable(p.index)
	p.requests = append(p.requests, made)
	p.core.Admit(made.record, p.world())
}

// open lists the requests with an attempt under way.
func (p *configurationPlay) open() []*changingRequest {
	return slices.DeleteFunc(slices.Clone(p.requests), func(request *changingRequest) bool { return request.send == nil })
}

// endAttempt ends an attempt in any way.
func (p *configurationPlay) endAttempt(number int) {
	open := p.open()
	if len(open) == 0 {
		return
	}
	request := open[p.random.IntN(len(open))]
	outcome := Outcome(p.random.IntN(int(OutcomeCallerLeft) + 1))
	begun := request.record.responseBegun
	switch {
	case begun && outcome == OutcomeEngineError:
		outcome = OutcomeStreamBroken
	case !begun && outcome == OutcomeStreamBroken:
		outcome = OutcomeResponseLost
	}
	if begun && p.random.IntN(2) == 0 {
		request.record.lastEvent = fmt.Sprint(number)
	}
	p.end(request, outcome)
}

func (p *configurationPlay) end(request *changingRequest, outcome Outcome) {
	request.send = nil
	if outcome.MayHaveRun() {
		request.runs++
	}
	request.ended = outcome == OutcomeCompleted
	p.core.AttemptEnded(request.record, outcome, p.world())
}

// read takes a request's next steps.
func (p *configurationPlay) read(request *changingRequest) {
	for {
		step, there := pendingStep(request.record)
		if !there {
			return
		}
		if request.ended || request.send != nil {
			p.fault = "a step after the end, or beside an attempt"
			return
		}
		if request.send = step.Attempt; step.Attempt != nil {
			if request.noteTable(p.index); request.runs > 0 && request.runsOnce {
				p.fault = fmt.Sprintf("%s was sent again though it may have run, and a table by which it came or was sent allows that once", request.record.Attributes.Attempt)
			}
			continue
		}
		request.ended = true
		if answer := step.Answer; answer != nil && request.runs > 0 && (answer.Status == 503 || answer.Status == 429 || answer.Status == 404 || answer.Status == 401) {
			p.fault = fmt.Sprintf("%s may have run and was answered with %d", request.record.Attributes.Attempt, answer.Status)
		}
	}
}

// finish ends all that is under way, and reports what is left counted.
func (p *configurationPlay) finish() {
	for _, request := range p.open() {
		p.end(request, OutcomeCompleted)
	}
	p.core.Stop(p.world())
	for _, request := range p.requests {
		for p.read(request); request.send != nil; p.read(request) {
			p.end(request, OutcomeCallerLeft)
		}
		if request.record.stage != StageEnded {
			p.fault = "a request without an end: " + request.record.stage.String()
		}
	}
	for id, state := range p.core.engines {
		if state.inFlight != 0 || state.awaitingCount != 0 || state.prefillTokens != 0 || state.memoryTokens != 0 {
			p.fault = fmt.Sprintf("%s is left with %+v", id, state)
		}
	}
	for key, demand := range p.core.demands {
		if demand.queued != 0 || demand.running != 0 {
			p.fault = fmt.Sprintf("%+v is left with %+v", key, demand)
		}
	}
	for pool, count := range p.core.attemptsByPool {
		if count != 0 {
			p.fault = fmt.Sprintf("%d attempts are left at %s", count, pool)
		}
	}
}

// playConfigurationChanges plays a seed, and gives what was broken.
func playConfigurationChanges(t testing.TB, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 43))
	p := &configurationPlay{coreFixture: newCoreFixture(t), random: random}
	p.index = changedTable(random)
	p.engines = slices.Concat(enginesOf("plain", 2, 2), enginesOf("other", 2, 0), enginesOf("batch", 2, 3, "m"), enginesOf("gone", 1, 1))
	loading := engineOf("batch", 2, 3)
	loading.Plan = &registry.Plan{Models: []registry.LoadedModel{{Model: "unknown", Adapters: []string{"a9"}}}, PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "n"}, Ready: p.now + ms(random.IntN(2000))}},
		Retiring: []registry.Target{{Model: "m"}}}
	p.engines = append(p.engines, loading)
	p.register(p.engines...)
	for number := range 300 {
		if p.step(number); p.fault != "" {
			return p.fault
		}
	}
	p.finish()
	return p.fault
}

// Guards against requests that run twice, are refused though they ran, never end, or end the process, because what they go by
// is withdrawn, replaced or brought back while they are under way.
func TestRequestsOutliveChangesOfTheirConfiguration(t *testing.T) {
	for seed := range uint64(1500) {
		if fault := playConfigurationChanges(t, seed); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
}

// FuzzConfigurationChanges plays TestRequestsOutliveChangesOfTheirConfiguration with any seed.
func FuzzConfigurationChanges(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if fault := playConfigurationChanges(t, seed); fault != "" {
			t.Error(fault)
		}
	})
}

// Guards against a valid target beyond the deadline, by which each request was refused at once as too late.
func TestTargetBeyondTheDeadlineRefusesNothing(t *testing.T) {
	for _, target := range []int64{4000, 40_000, 86_400_000, math.MaxInt64} {
		path := pathOf("a", upstream.Stream, "plain")
		path.TargetMs, path.GapTargetMs = target, target
		fixture := newCoreFixture(t, path)
		fixture.register(enginesOf("plain", 1, 2)...)
		fixture.sent(fixture.admit("a"))
	}
}

package nodehealth

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Stage is an engine's stage. Its strings are on pages and in logs.
type Stage uint8

const (
	// Healthy engines are as fast as others with comparable work, or too little is known of them.
	Healthy Stage = iota
	// Suspect engines are slow, but not for long enough, or they may not be drained yet.
	Suspect
	// Drained engines get nothing new, because the ranking closed them.
	Drained
	// Trial engines are open again, and drained again sooner.
	Trial
)

func (s Stage) String() string { return [...]string{"sound", "suspect", "drained", "trial"}[s] }

// transitions lists the stages that may follow each.
var transitions = map[Stage][]Stage{
	Healthy: {Suspect, Drained},
	Suspect: {Healthy, Drained},
	// A drained engine that was opened is on trial, whatever opened it.
	Drained: {Trial},
	Trial:   {Healthy, Drained},
}

// engineState is what the ranker knows of one engine.
type engineState struct {
	stage Stage
	// since is when its stage began, slowSince since when it has been slow without a break; zero is not slow.
	since, slowSince clock.Mark
	// relapses counts how often it was drained without having been healthy for long.
	relapses int
	// requested is when its draining or opening was last requested.
	requested clock.Mark
	// assessment is the newest significant one, measured when it was made.
	assessment Assessment
	measured   clock.Mark
	refusal    Refusal
	// awaitingRelocation says that it is to be drained and has a last replica; it lasts while the engine is suspect.
	awaitingRelocation bool
}

// moveTo changes an engine's stage; nothing else does.
func (s *engineState) moveTo(to Stage, now clock.Mark) {
	if !slices.Contains(transitions[s.stage], to) {
		panic("broken invariant: an engine may not go from " + s.stage.String() + " to " + to.String())
	}
	s.stage, s.since, s.slowSince = to, now, 0
}

// Action is one thing to be done: an engine drained, or opened again.
type Action struct {
	Engine ident.EngineID
	Drain  bool
	// Assessment is the reason.
	Assessment Assessment
}

// Relocation is what must be loaded elsewhere before an engine can be drained.
type Relocation struct {
	Engine ident.EngineID
	Pool   string
	Target Target
}

// Change is one change of an engine's stage.
type Change struct {
	Engine     ident.EngineID
	From, To   Stage
	Assessment Assessment
}

// Decision is the result of one step.
type Decision struct {
	Actions     []Action
	Relocations []Relocation
	Changes     []Change
}

// Row is one engine as operators see it.
type Row struct {
	Assessment
	Pool     string
	Zone     ident.ZoneID
	Stage    Stage
	Since    time.Duration
	KeptOpen bool
	// Refusal is why a slow engine is not drained.
	Refusal Refusal
}

// Counters are counted over one ranker's lifetime.
type Counters struct {
	Digests, DigestsDropped, Steps, Suspected, Cleared, Drains, Reopened, Relapses, Recovered uint64
	// Refused counts by refusal.
	Refused [refusalCount]uint64
}

// Ranker ranks engines and decides which are drained. It is pure and belongs to one goroutine.
type Ranker struct {
	settings Settings
	rules    rules
	evidence *evidence
	engines  map[ident.EngineID]*engineState
	Counters Counters
	rows     []Row
}

// NewRanker makes a ranker without measurements; settings must have passed Check.
func NewRanker(settings Settings) *Ranker {
	return &Ranker{settings: settings, rules: defaultRules(), evidence: newEvidence(milliseconds(settings.SpanMs)), engines: map[ident.EngineID]*engineState{}}
}

// AddDigests adds what a daemon in a zone measured.
func (r *Ranker) AddDigests(now clock.Mark, observer ident.ZoneID, digests []Digest) {
	r.evidence.advance(now)
	r.Counters.Digests += uint64(len(digests))
	r.evidence.add(observer, digests, r.settings.floor)
	r.Counters.DigestsDropped = r.evidence.dropped
}

// retryAfter is when a request is repeated that did not take effect.
const retryAfter = 2 * time.Second

// Step ranks all engines and decides what is to be done.
func (r *Ranker) Step(now clock.Mark, fleet Fleet) Decision {
	r.Counters.Steps++
	r.evidence.advance(now)
	var out Decision
	r.reconcile(now, fleet, &out)
	assessments := r.rules.rank(r.settings, r.evidence)
	for _, assessment := range assessments {
		// A fast connection without any work proves nothing: the engine gets no requests any more.
		significant := assessment.Score > 0 && (assessment.UnderLoad || assessment.Score >= r.settings.DrainAt)
		if s := r.engines[assessment.Engine]; s != nil && significant {
			s.assessment, s.measured = assessment, now
		}
	}
	for _, s := range r.engines {
		if now.Since(s.measured) > milliseconds(r.settings.SpanMs) {
			s.assessment = Assessment{}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.engines)) {
		r.evaluate(now, id, &out)
	}
	r.chooseDrain(now, fleet, &out)
	r.chooseReopened(now, fleet, &out)
	r.updateRows(now, fleet)
	return out
}

// reconcile takes over what the fleet shows: which engines are there, and which were closed and opened meanwhile. A new
// planner learns of its predecessor's drains from it.
func (r *Ranker) reconcile(now clock.Mark, fleet Fleet, out *Decision) {
	for id := range r.engines {
		if _, known := fleet[id]; !known {
			delete(r.engines, id)
			r.evidence.forget(id)
		}
	}
	for id, engine := range fleet {
		s := r.engines[id]
		if s == nil {
			s = &engineState{since: now}
			r.engines[id] = s
		}
		switch {
		case engine.DrainedByRanking && s.stage != Drained:
			r.changeStage(now, id, Drained, out)
			s.relapses++
		case !engine.DrainedByRanking && s.stage == Drained:
			// Its measurements from before the drain say nothing of how it is now.
			r.evidence.forget(id)
			r.changeStage(now, id, Trial, out)
		}
	}
}

func (r *Ranker) changeStage(now clock.Mark, id ident.EngineID, to Stage, out *Decision) {
	s := r.engines[id]
	out.Changes = append(out.Changes, Change{id, s.stage, to, s.assessment})
	s.moveTo(to, now)
	s.requested, s.refusal, s.awaitingRelocation = 0, Allowed, false
	if to == Drained || to == Trial {
		s.assessment, s.measured = Assessment{Engine: id}, 0
	}
}

// maxTrialFactor is how many times TrialMs a trial lasts for an engine that gets no requests.
const maxTrialFactor = 4

// evaluate moves one engine to the stage that its assessment asks for.
func (r *Ranker) evaluate(now clock.Mark, id ident.EngineID, out *Decision) {
	s := r.engines[id]
	score := s.assessment.Score
	switch {
	case score >= r.settings.DrainAt && s.slowSince == 0:
		s.slowSince = now
	case score > 0 && score < r.settings.ClearAt:
		// Only a clearly healthy score ends the slow time; one in between, or none, leaves it.
		s.slowSince = 0
	}
	switch s.stage {
	case Healthy:
		if s.slowSince > 0 {
			slow := s.slowSince
			r.Counters.Suspected++
			r.changeStage(now, id, Suspect, out)
			s.slowSince = slow
		} else if s.relapses > 0 && now.Since(s.since) >= milliseconds(r.settings.RestMostMs) {
			s.relapses = 0
		}
	case Suspect:
		// An engine without measurements for long is no longer suspect either.
		if s.slowSince == 0 || score == 0 && now.Since(s.measured) > maxTrialFactor*milliseconds(r.settings.SpanMs) {
			r.Counters.Cleared++
			r.changeStage(now, id, Healthy, out)
		}
	case Trial:
		span := milliseconds(r.settings.TrialMs)
		tried := now.Since(s.since)
		if s.slowSince == 0 && (tried >= span && score > 0 || tried >= maxTrialFactor*span) {
			r.Counters.Recovered++
			r.changeStage(now, id, Healthy, out)
		}
	}
}

// minIncidents is in how many intervals an engine must have had slow values: one long pause shows for a whole span, in all
// streams of the engine, and is one incident all the same. Reported late it may fall into two intervals.
const minIncidents = 3

// confirmed reports whether an engine has been slow for long enough and repeatedly. On trial half as long is enough.
func (r *Ranker) confirmed(now clock.Mark, id ident.EngineID) bool {
	s := r.engines[id]
	wait, again := milliseconds(r.settings.ConfirmMs), r.rules.minIncidents
	if s.stage == Trial {
		wait, again = wait/2, min(again, minIncidents-1)
	}
	return r.evidence.countSlowIntervals(id) >= again && (s.stage == Suspect || s.stage == Trial) && s.slowSince > 0 && now.Since(s.slowSince) >= wait && s.assessment.Score >= r.settings.DrainAt
}

// chooseDrain chooses the worst engine that may be drained. One is drained at a time: the next when this one is closed.
func (r *Ranker) chooseDrain(now clock.Mark, fleet Fleet, out *Decision) {
	if r.settings.Mode != Drain {
		return
	}
	var slow []Assessment
	for id, s := range r.engines {
		s.refusal = Allowed
		if r.confirmed(now, id) {
			slow = append(slow, s.assessment)
		}
	}
	slices.SortFunc(slow, r.rules.compare)
	defer r.listRelocations(fleet, out)
	for _, assessment := range slow {
		s := r.engines[assessment.Engine]
		if s.refusal = r.rules.checkDrain(r.settings, fleet, assessment.Engine); s.refusal != Allowed {
			r.Counters.Refused[s.refusal]++
			if s.refusal == LastReplica {
				s.awaitingRelocation = true
				// It is drained as soon as it may be, so a better engine must not take its place meanwhile.
				fleet = fleet.withClosed(assessment.Engine)
			}
			continue
		}
		if s.requested > 0 && now.Since(s.requested) < retryAfter {
			return
		}
		s.requested = now
		r.Counters.Drains++
		if s.relapses > 0 {
			r.Counters.Relapses++
		}
		out.Actions = append(out.Actions, Action{Engine: assessment.Engine, Drain: true, Assessment: assessment})
		return
	}
}

// listRelocations lists what must be loaded elsewhere so that engines can be drained.
func (r *Ranker) listRelocations(fleet Fleet, out *Decision) {
	for _, id := range slices.Sorted(maps.Keys(r.engines)) {
		if !r.engines[id].awaitingRelocation {
			continue
		}
		engine := fleet[id]
		for _, target := range fleet.soleReplicas(engine) {
			out.Relocations = append(out.Relocations, Relocation{id, engine.Pool, target})
		}
	}
}

// restDuration is how long an engine stays drained: twice as long each time that it comes back slow.
func (r *Ranker) restDuration(relapses int) time.Duration {
	rest := float64(r.settings.RestMs) * math.Exp2(float64(min(max(relapses-1, 0), 30)))
	return milliseconds(int64(min(rest, float64(r.settings.RestMostMs))))
}

// chooseReopened chooses the engines that get a trial: one of a pool at a time.
func (r *Ranker) chooseReopened(now clock.Mark, fleet Fleet, out *Decision) {
	trying := map[string]bool{}
	var rested []ident.EngineID
	for id, s := range r.engines {
		pool := fleet[id].Pool
		switch {
		case s.stage == Trial:
			trying[pool] = true
		case s.stage != Drained:
		case s.requested > 0 && now.Since(s.requested) < retryAfter:
			trying[pool] = true
		case fleet[id].KeptOpen || r.settings.Mode != Drain || now.Since(s.since) >= r.restDuration(s.relapses):
			rested = append(rested, id)
		}
	}
	// The engine drained longest ago gets its trial first.
	slices.SortFunc(rested, func(a, b ident.EngineID) int {
		if x, y := r.engines[a].since, r.engines[b].since; x != y {
			return int(max(-1, min(1, x-y)))
		}
		if a < b {
			return -1
		}
		return 1
	})
	for _, id := range rested {
		pool := fleet[id].Pool
		if trying[pool] {
			continue
		}
		trying[pool] = true
		r.engines[id].requested = now
		r.Counters.Reopened++
		out.Actions = append(out.Actions, Action{Engine: id, Assessment: r.engines[id].assessment})
	}
}

// updateRows makes the rows that operators see.
func (r *Ranker) updateRows(now clock.Mark, fleet Fleet) {
	r.rows = make([]Row, 0, len(r.engines))
	for id, s := range r.engines {
		engine := fleet[id]
		row := Row{Assessment: s.assessment, Pool: engine.Pool, Zone: engine.Zone, Stage: s.stage, Since: now.Since(s.since), KeptOpen: engine.KeptOpen, Refusal: s.refusal}
		row.Engine = id
		r.rows = append(r.rows, row)
	}
	slices.SortFunc(r.rows, func(a, b Row) int { return r.rules.compare(a.Assessment, b.Assessment) })
}

// AwaitingRelocation lists the engines that are to be drained once their last replicas are loaded elsewhere. Their replicas
// must not count any more, also once all are loaded elsewhere: else they would seem to be needed here again.
func (r *Ranker) AwaitingRelocation() (out []ident.EngineID) {
	for id, s := range r.engines {
		if s.awaitingRelocation {
			out = append(out, id)
		}
	}
	return out
}

// Rows lists the engines as of the newest step, the worst first; the list is never changed.
func (r *Ranker) Rows() []Row { return r.rows }

// CheckDrain returns why an engine may not be drained, for operators who request it.
func CheckDrain(settings Settings, fleet Fleet, id ident.EngineID) Refusal {
	return defaultRules().checkDrain(settings, fleet, id)
}

package nodehealth

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Stage is where an engine stands.
type Stage uint8

const (
	// Sound: as quick as others with like work, or not enough is known.
	Sound Stage = iota
	// Suspect: slow, and not for long enough, or it may not be drained yet.
	Suspect
	// Drained: nothing new goes to it, since the ranking shut it.
	Drained
	// Trial: taken up again, and watched more closely.
	Trial
)

func (s Stage) String() string { return [...]string{"sound", "suspect", "drained", "trial"}[s] }

// ways lists from which stage an engine may come to which.
var ways = map[Stage][]Stage{
	Sound:   {Suspect, Drained},
	Suspect: {Sound, Drained},
	// A drained engine that was opened is on trial, whoever opened it.
	Drained: {Trial},
	Trial:   {Sound, Drained},
}

// state is what the ranker keeps of one engine.
type state struct {
	stage Stage
	// since is when it came to its stage, slowSince since when it has been slow without a break.
	since, slowSince clock.Mark
	// relapses is how often it was drained without having been sound for long.
	relapses int
	// asked is when its draining or opening was last asked for.
	asked clock.Mark
	// standing is the newest that says something, measured when.
	standing Standing
	measured clock.Mark
	refusal  Refusal
	// emptying says that it was to be drained and is a last holder; it stays so for as long as it is suspected.
	emptying bool
}

// move is the one function by which an engine changes its stage.
func (s *state) move(to Stage, now clock.Mark) {
	if !slices.Contains(ways[s.stage], to) {
		panic("broken invariant: an engine may not go from " + s.stage.String() + " to " + to.String())
	}
	s.stage, s.since, s.slowSince = to, now, 0
}

// Act is one thing that is to be done: an engine drained, or opened again.
type Act struct {
	Engine ident.EngineID
	Drain  bool
	// Standing is why.
	Standing Standing
}

// Move is what must be loaded elsewhere before an engine can be drained.
type Move struct {
	Engine ident.EngineID
	Pool   string
	Target Target
}

// Change is one change of an engine's stage.
type Change struct {
	Engine   ident.EngineID
	From, To Stage
	Standing Standing
}

// Decision is what one step comes to.
type Decision struct {
	Acts    []Act
	Moves   []Move
	Changes []Change
}

// Row is one engine as operators see it, the worst first.
type Row struct {
	Standing
	Pool  string
	Zone  ident.ZoneID
	Stage Stage
	Since time.Duration
	Kept  bool
	// Refusal is why a slow one is not drained.
	Refusal Refusal
}

// Counters are counted over one claim.
type Counters struct {
	Digests, DigestsDropped, Steps, Suspected, Cleared, Drains, Releases, Relapses, Sounded uint64
	// Refused counts by refusal.
	Refused [refusals]uint64
}

// Ranker ranks engines and decides which are drained. It belongs to one actor.
type Ranker struct {
	settings Settings
	rules    rules
	evidence *evidence
	engines  map[ident.EngineID]*state
	Counters Counters
	rows     []Row
}

// NewRanker makes a ranker that knows nothing yet; settings must have passed their check.
func NewRanker(settings Settings) *Ranker {
	return &Ranker{settings: settings, rules: usualRules(), evidence: newEvidence(ms(settings.SpanMs)), engines: map[ident.EngineID]*state{}}
}

// Take takes up what a daemon in a zone measured.
func (r *Ranker) Take(now clock.Mark, observer ident.ZoneID, digests []Digest) {
	r.evidence.advance(now)
	r.Counters.Digests += uint64(len(digests))
	r.evidence.take(observer, digests, r.settings.floor)
	r.Counters.DigestsDropped = r.evidence.dropped
}

// againAfter is when something is asked for anew that did not come about.
const againAfter = 2 * time.Second

// Step ranks all engines and says what is to be done.
func (r *Ranker) Step(now clock.Mark, fleet Fleet) Decision {
	r.Counters.Steps++
	r.evidence.advance(now)
	var out Decision
	r.meet(now, fleet, &out)
	standings := r.rules.rank(r.settings, r.evidence)
	for _, standing := range standings {
		// Who is quick to connect to and was not seen at work has shown nothing: one that nobody sends to any more.
		says := standing.Score > 0 && (standing.Worked || standing.Score >= r.settings.DrainAt)
		if s := r.engines[standing.Engine]; s != nil && says {
			s.standing, s.measured = standing, now
		}
	}
	for _, s := range r.engines {
		if now.Since(s.measured) > ms(r.settings.SpanMs) {
			s.standing = Standing{}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.engines)) {
		r.judge(now, id, &out)
	}
	r.drain(now, fleet, &out)
	r.open(now, fleet, &out)
	r.list(now, fleet)
	return out
}

// meet takes up what the fleet shows: who is there, and what was shut and opened meanwhile. Who has just begun to
// plan learns of drains from there.
func (r *Ranker) meet(now clock.Mark, fleet Fleet, out *Decision) {
	for id := range r.engines {
		if _, known := fleet[id]; !known {
			delete(r.engines, id)
			r.evidence.forget(id)
		}
	}
	for id, engine := range fleet {
		s := r.engines[id]
		if s == nil {
			s = &state{since: now}
			r.engines[id] = s
		}
		switch {
		case engine.Ranked && s.stage != Drained:
			r.change(now, id, Drained, out)
			s.relapses++
		case !engine.Ranked && s.stage == Drained:
			// What it showed before says nothing of how it is now.
			r.evidence.forget(id)
			r.change(now, id, Trial, out)
		}
	}
}

func (r *Ranker) change(now clock.Mark, id ident.EngineID, to Stage, out *Decision) {
	s := r.engines[id]
	out.Changes = append(out.Changes, Change{id, s.stage, to, s.standing})
	s.move(to, now)
	s.asked, s.refusal, s.emptying = 0, Allowed, false
	if to == Drained || to == Trial {
		s.standing, s.measured = Standing{Engine: id}, 0
	}
}

// trialsMost is how many times its span a trial lasts for one that gets no requests.
const trialsMost = 4

// judge moves one engine by how it stands.
func (r *Ranker) judge(now clock.Mark, id ident.EngineID, out *Decision) {
	s := r.engines[id]
	score := s.standing.Score
	switch {
	case score >= r.settings.DrainAt && s.slowSince == 0:
		s.slowSince = now
	case score > 0 && score < r.settings.ClearAt:
		// Only what is clearly sound ends the count; what lies between, or shows nothing, keeps it.
		s.slowSince = 0
	}
	switch s.stage {
	case Sound:
		if s.slowSince > 0 {
			slow := s.slowSince
			r.Counters.Suspected++
			r.change(now, id, Suspect, out)
			s.slowSince = slow
		} else if s.relapses > 0 && now.Since(s.since) >= ms(r.settings.RestMostMs) {
			s.relapses = 0
		}
	case Suspect:
		// One that shows nothing for long is no longer suspected either.
		if s.slowSince == 0 || score == 0 && now.Since(s.measured) > trialsMost*ms(r.settings.SpanMs) {
			r.Counters.Cleared++
			r.change(now, id, Sound, out)
		}
	case Trial:
		span := ms(r.settings.TrialMs)
		tried := now.Since(s.since)
		if s.slowSince == 0 && (tried >= span && score > 0 || tried >= trialsMost*span) {
			r.Counters.Sounded++
			r.change(now, id, Sound, out)
		}
	}
}

// incidents is in how many turns something slow must have come: one long pause shows for a whole span, in all streams
// of its engine, and is one incident all the same. Told late it may fall into two turns.
const incidents = 3

// confirmed says whether an engine has been slow for long enough, and again and again. One on trial has half as long.
func (r *Ranker) confirmed(now clock.Mark, id ident.EngineID) bool {
	s := r.engines[id]
	wait, again := ms(r.settings.ConfirmMs), r.rules.incidents
	if s.stage == Trial {
		wait, again = wait/2, min(again, incidents-1)
	}
	return r.evidence.slowTurns(id) >= again && (s.stage == Suspect || s.stage == Trial) && s.slowSince > 0 && now.Since(s.slowSince) >= wait && s.standing.Score >= r.settings.DrainAt
}

// drain chooses, the worst first, who is drained. One goes at a time: the next when this one is seen to be shut.
func (r *Ranker) drain(now clock.Mark, fleet Fleet, out *Decision) {
	if r.settings.Mode != Drain {
		return
	}
	var slow []Standing
	for id, s := range r.engines {
		s.refusal = Allowed
		if r.confirmed(now, id) {
			slow = append(slow, s.standing)
		}
	}
	slices.SortFunc(slow, r.rules.worse)
	defer r.moves(fleet, out)
	for _, standing := range slow {
		s := r.engines[standing.Engine]
		if s.refusal = r.rules.refuse(r.settings, fleet, standing.Engine); s.refusal != Allowed {
			r.Counters.Refused[s.refusal]++
			if s.refusal == LastHolder {
				s.emptying = true
				// It goes as soon as it can, so a better one must not take its place meanwhile.
				fleet = fleet.shutting(standing.Engine)
			}
			continue
		}
		if s.asked > 0 && now.Since(s.asked) < againAfter {
			return
		}
		s.asked = now
		r.Counters.Drains++
		if s.relapses > 0 {
			r.Counters.Relapses++
		}
		out.Acts = append(out.Acts, Act{Engine: standing.Engine, Drain: true, Standing: standing})
		return
	}
}

// moves lists what is to be loaded elsewhere, of all that are to be drained as soon as they can.
func (r *Ranker) moves(fleet Fleet, out *Decision) {
	for _, id := range slices.Sorted(maps.Keys(r.engines)) {
		if !r.engines[id].emptying {
			continue
		}
		engine := fleet[id]
		for _, target := range fleet.alone(engine) {
			out.Moves = append(out.Moves, Move{id, engine.Pool, target})
		}
	}
}

// rest is how long a drained engine stays away: twice as long each time it comes back slow.
func (r *Ranker) rest(relapses int) time.Duration {
	rest := float64(r.settings.RestMs) * math.Exp2(float64(min(max(relapses-1, 0), 30)))
	return ms(int64(min(rest, float64(r.settings.RestMostMs))))
}

// open chooses who is tried again: one of a pool at a time, and all if nothing is to be drained any more.
func (r *Ranker) open(now clock.Mark, fleet Fleet, out *Decision) {
	trying := map[string]bool{}
	var rested []ident.EngineID
	for id, s := range r.engines {
		pool := fleet[id].Pool
		switch {
		case s.stage == Trial:
			trying[pool] = true
		case s.stage != Drained:
		case s.asked > 0 && now.Since(s.asked) < againAfter:
			trying[pool] = true
		case fleet[id].Kept || r.settings.Mode != Drain || now.Since(s.since) >= r.rest(s.relapses):
			rested = append(rested, id)
		}
	}
	// Who has rested longest is tried first.
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
		r.engines[id].asked = now
		r.Counters.Releases++
		out.Acts = append(out.Acts, Act{Engine: id, Standing: r.engines[id].standing})
	}
}

// list notes what operators see.
func (r *Ranker) list(now clock.Mark, fleet Fleet) {
	r.rows = make([]Row, 0, len(r.engines))
	for id, s := range r.engines {
		engine := fleet[id]
		row := Row{Standing: s.standing, Pool: engine.Pool, Zone: engine.Zone, Stage: s.stage, Since: now.Since(s.since), Kept: engine.Kept, Refusal: s.refusal}
		row.Engine = id
		r.rows = append(r.rows, row)
	}
	slices.SortFunc(r.rows, func(a, b Row) int { return r.rules.worse(a.Standing, b.Standing) })
}

// Emptying lists the engines of which nothing counts as held any more, since they are to be drained: also when all of it
// stands elsewhere by now, or it would seem to be needed here again.
func (r *Ranker) Emptying() (out []ident.EngineID) {
	for id, s := range r.engines {
		if s.emptying {
			out = append(out, id)
		}
	}
	return out
}

// Rows lists the engines as the newest step saw them, the worst first; the list is never changed.
func (r *Ranker) Rows() []Row { return r.rows }

// Refuse says why an engine may not be drained, for operators who ask for it.
func Refuse(settings Settings, fleet Fleet, id ident.EngineID) Refusal {
	return usualRules().refuse(settings, fleet, id)
}

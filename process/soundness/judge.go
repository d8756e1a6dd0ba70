package soundness

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
)

// Settings are what a judgement goes by.
type Settings struct {
	// Sick is the share of attempts that go wrong at an engine worth ejecting, Noise what may go wrong at any.
	Sick, Noise float64
	// Alarm is how much likelier it must be, as a logarithm, that an engine is sick than that it is like the others.
	Alarm float64
	// LateAlarm is the same of being late with much to do, which load brings about as well.
	LateAlarm float64
	// MostEjected is the share of a pool that may be ejected, or on trial, at once. One engine of two or more may be.
	MostEjected float64
	// RestFirst and RestMost bound how long an ejected engine gets nothing that another can take; it doubles with
	// each relapse, and halves with each Forgiven spent sound.
	RestFirst, RestMost, Forgiven time.Duration
	// TrialWeight is the share of its usual requests that one on trial gets, TrialPasses how many must go well.
	TrialWeight float64
	TrialPasses int
	// TrialMost is how long a trial takes at most, where hardly anything comes and nothing goes wrong.
	TrialMost time.Duration
	// RampStep is how long each doubling of the weight takes after a trial.
	RampStep time.Duration
	// Half is the time after which an outcome counts half towards what is usual in the pool.
	Half time.Duration
}

// DefaultSettings eject after three failures among six attempts or four among fourteen, where others fail none.
func DefaultSettings() Settings {
	return Settings{Sick: 0.3, Noise: 0.02, Alarm: 7, LateAlarm: 14, MostEjected: 0.3, RestFirst: 2 * time.Second, RestMost: 16 * time.Second, Forgiven: 20 * time.Second,
		TrialWeight: 0.25, TrialPasses: 3, TrialMost: 5 * time.Second, RampStep: time.Second, Half: 5 * time.Second}
}

// Weight is the share of its usual requests that an engine is to get from callers' daemons in a zone; of several
// that fit the least counts. An empty zone is all.
type Weight struct {
	Zone  ident.ZoneID
	Share float64
}

// WeightFor is the share for daemons of a zone.
func WeightFor(weights []Weight, zone ident.ZoneID) float64 {
	share := 1.0
	for _, one := range weights {
		if one.Zone == "" || one.Zone == zone {
			share = min(share, one.Share)
		}
	}
	return share
}

// Stage is where an engine stands with the daemons of a zone, or with all.
type Stage uint8

const (
	// Sound: it gets what is its due.
	Sound Stage = iota
	// Ejected: it gets only what no other can take.
	Ejected
	// Trial: it gets a small share, until enough has gone well.
	Trial
	// Ramp: its share doubles with each step, so that no burst meets cold caches and an engine barely well.
	Ramp
	// Slowed: it is late and no more than that. Its share is halved with each alarm and doubles again while there is
	// none: where it is slow it gets what it can do, and where it only had too much no harm is done.
	Slowed
)

func (s Stage) String() string {
	return [...]string{"sound", "ejected", "trial", "ramp", "slowed"}[s]
}

// ways lists the ways from each stage to the next.
var ways = map[Stage][]Stage{Sound: {Ejected, Slowed}, Ejected: {Trial}, Trial: {Ejected, Ramp}, Ramp: {Ejected, Slowed, Sound}, Slowed: {Ejected, Slowed, Sound}}

// standing is an engine seen from one zone, or from all.
type standing struct {
	stage Stage
	since clock.Mark
	// score is Page's cumulative sum: the logarithm of how much likelier what was seen since it was last zero is
	// with a sick engine than with a sound one.
	score float64
	// late is the same of what came too late at an engine that has much to do.
	late float64
	rest time.Duration
	// cut is the share of a slowed one.
	cut float64
	// passes counts what went well on trial.
	passes int
	// wrong, lates and all are what was seen lately.
	wrong, lates, all faded
}

// move is the one function that changes a stage.
func (s *standing) move(to Stage, now clock.Mark) {
	if !slices.Contains(ways[s.stage], to) {
		panic("broken invariant: an engine may not go from " + s.stage.String() + " to " + to.String())
	}
	s.stage, s.since, s.passes = to, now, 0
}

// faded is a number of which what was added before counts less.
type faded struct {
	sum float64
	at  clock.Mark
}

func (f *faded) value(now clock.Mark, half time.Duration) float64 {
	return f.sum * math.Exp2(-float64(now.Since(f.at))/float64(half))
}

func (f *faded) add(now clock.Mark, half time.Duration, more float64) {
	f.sum, f.at = f.value(now, half)+more, now
}

// judged is one engine; the standing of the empty zone is with all.
type judged struct {
	pool  string
	zones map[ident.ZoneID]*standing
}

func (e *judged) in(zone ident.ZoneID) *standing {
	one := e.zones[zone]
	if one == nil {
		one = &standing{}
		e.zones[zone] = one
	}
	return one
}

func (e *judged) ejected() bool {
	for _, one := range e.zones {
		if one.stage == Ejected || one.stage == Trial || one.stage == Slowed {
			return true
		}
	}
	return false
}

// Counters are counted over a judge's life.
type Counters struct {
	Attempts, Wrong, Ejections, Relapses, Slowed, Returns, DigestsDropped uint64
	// Spared counts the steps in which an engine stood out that the bound left in.
	Spared uint64
}

// Judge weighs what all daemons saw. It belongs to whoever plans.
type Judge struct {
	settings Settings
	Counters Counters
	engines  map[ident.EngineID]*judged
	pools    map[string][]ident.EngineID
	sums     map[string]poolSum
}

// poolSum is what was seen lately of the better engines of a pool.
type poolSum struct {
	at          clock.Mark
	wrong, late share
}

// share is a part of all attempts.
type share struct{ part, all float64 }

// NewJudge makes one that knows nothing yet, and so finds all sound.
func NewJudge(settings Settings) *Judge {
	return &Judge{settings: settings, engines: map[ident.EngineID]*judged{}, sums: map[string]poolSum{}}
}

// Meet takes up which engines each pool has that may be sent to.
func (j *Judge) Meet(pools map[string][]ident.EngineID) {
	j.pools = pools
	known := map[ident.EngineID]bool{}
	for pool, engines := range pools {
		for _, id := range engines {
			known[id] = true
			if j.engines[id] == nil || j.engines[id].pool != pool {
				j.engines[id] = &judged{pool: pool, zones: map[ident.ZoneID]*standing{}}
			}
		}
	}
	// One that left the list and comes back keeps its standing only while it is remembered elsewhere: it does not
	// pay to remember lives that never come back.
	maps.DeleteFunc(j.engines, func(id ident.EngineID, _ *judged) bool { return !known[id] })
}

// Told is what one daemon told.
type Told struct {
	Zone    ident.ZoneID
	Digests []Digest
}

const (
	// ownTrouble is the share of a daemon's attempts, and ownEngines the number of engines, from which on failures
	// are put down to the daemon itself or its links.
	ownTrouble = 0.5
	ownEngines = 3
)

// Hear takes up what a daemon saw. busy says whether an engine is full by its own report, so that it may turn
// requests away.
func (j *Judge) Hear(now clock.Mark, told Told, busy func(ident.EngineID) bool) {
	attempts, wrong, engines := 0, 0, 0
	for _, digest := range told.Digests {
		attempts += digest.Attempts
		if bad := digest.Failures + digest.Overdue; bad > 0 {
			wrong += bad
			engines++
		}
	}
	if engines >= ownEngines && float64(wrong) > ownTrouble*float64(attempts) {
		// A daemon that is cut off finds everybody ill.
		j.Counters.DigestsDropped++
		return
	}
	for _, digest := range told.Digests {
		e := j.engines[digest.Engine]
		if e == nil || digest.Attempts <= 0 {
			continue
		}
		bad, late := digest.Failures, 0
		if busy(digest.Engine) {
			// Who has much to do may turn away, and be late, without being ill.
			late = digest.Overdue
		} else {
			bad += digest.Refusals + digest.Overdue
		}
		bad = min(bad, digest.Attempts)
		late = min(late, digest.Attempts-bad)
		j.Counters.Attempts += uint64(digest.Attempts)
		j.Counters.Wrong += uint64(bad)
		sum := j.sum(now, e.pool)
		j.weigh(now, e.in(""), digest.Attempts, bad, late, sum)
		if told.Zone != "" {
			j.weigh(now, e.in(told.Zone), digest.Attempts, bad, late, sum)
		}
	}
}

// usual is the share that goes wrong of so many, with room for chance.
func (j *Judge) usual(seen share) float64 {
	if seen.all < 1 {
		return j.settings.Noise
	}
	return min(0.5, j.settings.Noise+2*seen.part/seen.all)
}

// likeMost is the share of a pool's engines, the best ones, that say what is usual: in a mean over all, those that are
// ill hide each other.
const likeMost = 0.6

// sum adds up what was seen lately of the pool's better engines, once for each moment. Where all fail, or all are
// late, these do too, and none stands out.
func (j *Judge) sum(now clock.Mark, pool string) poolSum {
	if sum, known := j.sums[pool]; known && sum.at == now {
		return sum
	}
	var wrongs, lates []share
	for _, id := range j.pools[pool] {
		if e := j.engines[id]; e != nil && e.zones[""] != nil {
			one := e.zones[""]
			if all := one.all.value(now, j.settings.Half); all >= 0.5 {
				wrongs = append(wrongs, share{one.wrong.value(now, j.settings.Half), all})
				lates = append(lates, share{one.lates.value(now, j.settings.Half), all})
			}
		}
	}
	sum := poolSum{at: now, wrong: better(wrongs, likeMost), late: better(lates, likeMost)}
	j.sums[pool] = sum
	return sum
}

// better adds up the shares of so many of the engines, the best first.
func better(shares []share, most float64) (sum share) {
	slices.SortFunc(shares, func(a, b share) int { return cmp.Compare(a.part/a.all, b.part/b.all) })
	for _, one := range shares[:max(min(1, len(shares)), int(most*float64(len(shares))))] {
		sum.part += one.part
		sum.all += one.all
	}
	return sum
}

// weigh moves a standing's scores by what went wrong and what went well.
func (j *Judge) weigh(now clock.Mark, s *standing, all, bad, late int, pool poolSum) {
	s.wrong.add(now, j.settings.Half, float64(bad))
	s.lates.add(now, j.settings.Half, float64(late))
	s.all.add(now, j.settings.Half, float64(all))
	j.count(&s.score, bad, all-bad, j.usual(pool.wrong), j.settings.Alarm)
	j.count(&s.late, late, all-late, j.usual(pool.late), j.settings.LateAlarm)
	well := all - bad
	if s.stage == Trial {
		if bad > 0 {
			s.passes = -1
		} else if s.passes >= 0 {
			s.passes += well
		}
	}
}

// count is one step of a cumulative sum. It is bounded above too, or what has recovered would need as long as it
// was ill.
func (j *Judge) count(score *float64, bad, well int, usual, alarm float64) {
	sick := min(0.95, max(j.settings.Sick, 1.8*usual))
	*score += float64(bad)*math.Log(sick/usual) + float64(well)*math.Log((1-sick)/(1-usual))
	*score = min(max(0, *score), 2*alarm)
}

// Step moves engines between stages; it is to be called about each tenth of a second.
func (j *Judge) Step(now clock.Mark) {
	for _, pool := range slices.Sorted(maps.Keys(j.pools)) {
		j.stepPool(now, j.pools[pool])
	}
}

// candidate is an engine that stands out for the daemons of a zone.
type candidate struct {
	engine *judged
	id     ident.EngineID
	zone   ident.ZoneID
	score  float64
}

func (j *Judge) stepPool(now clock.Mark, ids []ident.EngineID) {
	out := 0
	var alarmed []candidate
	for _, id := range ids {
		e := j.engines[id]
		if e == nil {
			continue
		}
		for _, zone := range slices.Sorted(maps.Keys(e.zones)) {
			if one := e.zones[zone]; j.advance(now, one) {
				alarmed = append(alarmed, candidate{e, id, zone, one.score})
			}
		}
		if e.ejected() {
			out++
		}
	}
	// The worst first, since not all may go.
	slices.SortFunc(alarmed, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id), cmp.Compare(a.zone, b.zone))
	})
	most := j.mostEjected(len(ids))
	for _, one := range alarmed {
		if !one.engine.ejected() && out >= most {
			j.Counters.Spared++
			continue
		}
		if !one.engine.ejected() {
			out++
		}
		if s := one.engine.zones[one.zone]; s.score < j.settings.Alarm && s.late >= j.settings.LateAlarm && s.stage != Trial {
			j.slow(now, one)
		} else {
			j.eject(now, one)
		}
	}
}

// mostEjected is how many of a pool may be ejected or on trial at once: never all.
func (j *Judge) mostEjected(engines int) int {
	return min(engines-1, max(1, int(j.settings.MostEjected*float64(engines))))
}

// advance moves a standing that time or its trial moves; it says whether it is to be ejected.
func (j *Judge) advance(now clock.Mark, s *standing) (alarmed bool) {
	switch s.stage {
	case Ejected:
		if now.Since(s.since) >= s.rest {
			s.move(Trial, now)
		}
	case Trial:
		switch {
		case s.passes < 0:
			return true
		case s.passes >= j.settings.TrialPasses, now.Since(s.since) >= j.settings.TrialMost:
			s.move(Ramp, now)
			// Half of the way to the alarm: one that is only well at times needs less to fall out again.
			s.score, s.late = j.settings.Alarm/2, 0
		}
	case Ramp:
		if s.score >= j.settings.Alarm || s.late >= j.settings.LateAlarm {
			return true
		}
		if share := j.share(now, s); share >= 1 {
			s.move(Sound, now)
			j.Counters.Returns++
		}
	case Slowed:
		if s.score >= j.settings.Alarm || s.late >= j.settings.LateAlarm {
			return true
		}
		if now.Since(s.since) >= slowedStep {
			s.since = now
			if s.cut *= 2; s.cut >= 1 {
				s.move(Sound, now)
				j.Counters.Returns++
			}
		}
	case Sound:
		return s.score >= j.settings.Alarm || s.late >= j.settings.LateAlarm
	}
	return false
}

const (
	// slowedStep is how long a slowed engine must be in time for its share to double, leastCut its least share.
	slowedStep = 2 * time.Second
	leastCut   = 0.125
)

// slow halves an engine's share.
func (j *Judge) slow(now clock.Mark, one candidate) {
	s := one.engine.in(one.zone)
	if s.stage != Slowed {
		s.cut = j.share(now, s)
	}
	s.cut = max(leastCut, s.cut/2)
	s.move(Slowed, now)
	for _, other := range one.engine.zones {
		other.late = 0
	}
	j.Counters.Slowed++
}

// eject puts an engine out for those that see it ill: for the daemons of some zones where others get on with it.
func (j *Judge) eject(now clock.Mark, one candidate) {
	zones := []ident.ZoneID{one.zone}
	if one.zone == "" && one.engine.zones[""].stage == Sound {
		zones = j.where(now, one.engine)
	}
	for _, zone := range zones {
		s := one.engine.in(zone)
		if s.stage == Ejected {
			continue
		}
		if s.stage == Sound && now.Since(s.since) >= j.settings.Forgiven {
			s.rest /= 2
		}
		if s.rest >= j.settings.RestFirst {
			j.Counters.Relapses++
			s.rest = min(2*s.rest, j.settings.RestMost)
		} else {
			s.rest = j.settings.RestFirst
		}
		j.Counters.Ejections++
		s.move(Ejected, now)
		s.score, s.late = 0, 0
	}
	// What was seen is in the judgement of its zone and in that of all, and must not be held against it twice.
	for _, s := range one.engine.zones {
		s.score, s.late = 0, 0
	}
}

// where lists the zones whose daemons see an engine ill, if those of another get on with it; else all.
func (j *Judge) where(now clock.Mark, e *judged) []ident.ZoneID {
	const enough = 3
	var ill []ident.ZoneID
	well := false
	for _, zone := range slices.Sorted(maps.Keys(e.zones)) {
		if zone == "" {
			continue
		}
		all, wrong := e.zones[zone].all.value(now, j.settings.Half), e.zones[zone].wrong.value(now, j.settings.Half)
		switch {
		case wrong > 0 && wrong/all > j.settings.Sick/2:
			ill = append(ill, zone)
		case all >= enough:
			well = true
		}
	}
	if !well || len(ill) == 0 {
		return []ident.ZoneID{""}
	}
	return ill
}

// share is the share of its usual requests that an engine gets.
func (j *Judge) share(now clock.Mark, s *standing) float64 {
	switch s.stage {
	case Ejected:
		return 0
	case Slowed:
		return s.cut
	case Trial:
		return j.settings.TrialWeight
	case Ramp:
		steps := int(now.Since(s.since)/j.settings.RampStep) + 1
		return min(1, j.settings.TrialWeight*float64(int(1)<<min(steps, 30)))
	}
	return 1
}

// Weights gives an engine's weights below one, by zone; none is sound everywhere.
func (j *Judge) Weights(now clock.Mark, id ident.EngineID) []Weight {
	e := j.engines[id]
	if e == nil {
		return nil
	}
	var out []Weight
	for _, zone := range slices.Sorted(maps.Keys(e.zones)) {
		if share := j.share(now, e.zones[zone]); share < 1 {
			out = append(out, Weight{zone, share})
		}
	}
	return out
}

// Lost says whether what an engine holds had better stand elsewhere too: nearly all goes wrong there, or it was ejected
// again soon after it came back. For less a load, and what makes way for it, costs more than it saves.
func (j *Judge) Lost(now clock.Mark, id ident.EngineID) bool {
	const nearlyAll = 0.7
	e := j.engines[id]
	if e == nil || e.zones[""] == nil {
		return false
	}
	s := e.zones[""]
	if s.stage != Ejected && s.stage != Trial {
		return false
	}
	return s.rest > j.settings.RestFirst || s.wrong.value(now, j.settings.Half) >= nearlyAll*s.all.value(now, j.settings.Half)
}

// Stage is where an engine stands with the daemons of a zone.
func (j *Judge) Stage(id ident.EngineID, zone ident.ZoneID) Stage {
	if e := j.engines[id]; e != nil && e.zones[zone] != nil {
		return e.zones[zone].stage
	}
	return Sound
}

package nodehealth

import (
	"cmp"
	"math"
	"slices"

	"github.com/cresspond/cresspond/ident"
)

// Assessment is how one engine compares with others at comparable work.
type Assessment struct {
	Engine ident.EngineID
	// Score is how many times slower it is than others: 1 is equal, 0 is too little known.
	Score float64
	// Kind is what it is slowest in, Value and PeerValue what was measured there of it and of the others.
	Kind             Kind
	Value, PeerValue float64
	Samples          int
	// UnderLoad says that it was measured at work, and not only connected to.
	UnderLoad bool
	// Observers is from how many zones it is measured. SlowZones are the zones from which it is slow while it is not slow
	// overall: then the network path is.
	Observers int
	SlowZones []ident.ZoneID
}

// rules are the parts of the assessment. Each is a function, so that a test can show what a broken variant would do.
type rules struct {
	// baseline is what an engine is compared with, from the values of all others, sorted.
	baseline func(values []float64) float64
	// workFactor is how many times slower more work can make an engine, by so many powers of two.
	workFactor func(kind Kind, powers int) float64
	// combineZones makes one score of those from several zones, sorted.
	combineZones func(scores []float64) float64
	// isOutlier reports whether a value is beyond the spread of the others.
	isOutlier func(value, others, spread float64) bool
	// minIncidents is in how many intervals an engine must have had slow values.
	minIncidents int
	// compare orders the engines that are to be drained.
	compare func(a, b Assessment) int
	// refusals are the rules against draining, the most important first.
	refusals []refusal
}

func defaultRules() rules {
	return rules{baseline: median, workFactor: expectedFactor, combineZones: majorityScore, isOutlier: beyondSpread, minIncidents: minIncidents, compare: compareAssessments, refusals: defaultRefusals()}
}

const (
	// minPeers is how many others an engine is compared with at least: of two it can't be told which one is slow.
	minPeers = 2
	// maxBandDistance is how many powers of two of work may lie between measurements that are compared.
	maxBandDistance = 3
)

// median of sorted values.
func median(values []float64) float64 {
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// expectedFactor: with a batch or a prompt twice as large the first byte comes twice as late at most. A decode step of a
// batch twice as large takes less than twice as long, since most of a step is shared by the batch.
func expectedFactor(kind Kind, powers int) float64 {
	if kind == Stall {
		return math.Pow(1.5, float64(powers))
	}
	return float64(uint64(1) << powers)
}

// majorityScore: an engine is as slow as more than half of the zones measure, or else a network path is slow.
func majorityScore(scores []float64) float64 { return scores[(len(scores)-1)/2] }

// beyondSpread is more than three deviations away, and never within a quarter of the baseline, however alike the others are.
func beyondSpread(value, others, spread float64) bool {
	return value > others+max(3*1.4826*spread, others/4)
}

// compareAssessments puts the slowest first; equals are ordered by id, so that all planners agree.
func compareAssessments(a, b Assessment) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Engine, b.Engine))
}

// comparisonGroup is what measurements that are compared have in common, apart from the amount of work.
type comparisonGroup struct {
	observer    ident.ZoneID
	kind        Kind
	pool, model string
	targetMs    int64
}

type band struct{ load, size uint8 }

// distanceTo returns by how many powers of two the work at b was more than at other, and their distance; near is false where
// they are not comparable. More work at the other is not corrected for: with less it could only have been faster.
func (b band) distanceTo(other band) (more, distance int, near bool) {
	load, size := int(b.load)-int(other.load), int(b.size)-int(other.size)
	more, distance = max(0, load)+max(0, size), max(load, -load)+max(size, -size)
	return more, distance, distance <= maxBandDistance
}

type comparison struct {
	score, value, baseline float64
	samples                int
}

// peer is what an engine would show at some amount of work.
type peer struct {
	id    ident.EngineID
	value float64
}

// peersAt gives what each engine would show at an amount of work, by what it showed at the nearest one; the lowest value
// first. Engines without a comparable measurement are left out.
func (r rules) peersAt(kind Kind, b band, ids []ident.EngineID, members map[ident.EngineID]map[band]measure) []peer {
	var peers []peer
	for _, id := range ids {
		best, bestValue := maxBandDistance+1, 0.0
		for other, m := range members[id] {
			more, distance, near := b.distanceTo(other)
			if value := m.value * r.workFactor(kind, more); near && (distance < best || distance == best && value > bestValue) {
				best, bestValue = distance, value
			}
		}
		if best <= maxBandDistance {
			peers = append(peers, peer{id, bestValue})
		}
	}
	slices.SortFunc(peers, func(a, b peer) int { return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.id, b.id)) })
	return peers
}

// compareGroup compares each engine with the others of its group.
func (r rules) compareGroup(s Settings, kind Kind, members map[ident.EngineID]map[band]measure) map[ident.EngineID][]comparison {
	out := map[ident.EngineID][]comparison{}
	if len(members) <= minPeers {
		return out
	}
	ids := make([]ident.EngineID, 0, len(members))
	bands := map[band]bool{}
	for id, list := range members {
		ids = append(ids, id)
		for b := range list {
			bands[b] = true
		}
	}
	slices.Sort(ids)
	for b := range bands {
		peers := r.peersAt(kind, b, ids, members)
		if len(peers) <= minPeers {
			continue
		}
		others := make([]float64, 0, len(peers))
		for _, p := range peers {
			others = append(others, p.value)
		}
		spread := medianDeviation(others)
		for index, p := range peers {
			m, own := members[p.id][b]
			if !own {
				continue
			}
			rest := make([]float64, 0, len(others)-1)
			if len(others) <= 64 {
				rest = append(append(rest, others[:index]...), others[index+1:]...)
			} else {
				// Among so many one value more or less does not move the median.
				rest = others
			}
			against := r.baseline(rest)
			v := comparison{score: 1, value: m.value, baseline: against, samples: m.samples}
			if m.value >= s.floor(kind) && r.isOutlier(m.value, against, spread) {
				// Baselines far below the floor are raised: a change from 1 ms to 20 ms hurts no client.
				v.score = m.value / max(against, s.floor(kind)/4, 1)
			}
			out[p.id] = append(out[p.id], v)
		}
	}
	return out
}

// floor is the value of a kind below which nothing counts as slow.
func (s Settings) floor(kind Kind) float64 {
	if kind == Stall {
		return 1000 * s.StallFloor
	}
	return float64(s.DelayFloorMs)
}

// medianDeviation is the median absolute deviation of sorted values.
func medianDeviation(sorted []float64) float64 {
	middle := median(sorted)
	off := make([]float64, 0, len(sorted))
	for _, value := range sorted {
		off = append(off, math.Abs(value-middle))
	}
	slices.Sort(off)
	return median(off)
}

// weightedMedian is the median of several comparisons, weighted by their samples.
func weightedMedian(views []comparison) comparison {
	slices.SortFunc(views, func(a, b comparison) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.value, b.value), cmp.Compare(a.samples, b.samples))
	})
	total := 0
	for _, v := range views {
		total += v.samples
	}
	reached := 0
	for _, v := range views {
		if reached += v.samples; 2*reached >= total {
			v.samples = total
			return v
		}
	}
	return comparison{}
}

// observationKey is one engine, measured from one zone in one kind.
type observationKey struct {
	engine   ident.EngineID
	observer ident.ZoneID
	kind     Kind
}

// comparisons compares all measures, group by group.
func (r rules) comparisons(s Settings, measures []measure) map[observationKey][]comparison {
	bases := map[comparisonGroup]map[ident.EngineID]map[band]measure{}
	for _, m := range measures {
		c := m.class
		at := comparisonGroup{m.observer, c.Kind, c.Pool, c.Model, c.TargetMs}
		if bases[at] == nil {
			bases[at] = map[ident.EngineID]map[band]measure{}
		}
		if bases[at][m.engine] == nil {
			bases[at][m.engine] = map[band]measure{}
		}
		bases[at][m.engine][band{c.Load, c.Size}] = m
	}
	out := map[observationKey][]comparison{}
	for at, members := range bases {
		for engine, views := range r.compareGroup(s, at.kind, members) {
			key := observationKey{engine, at.observer, at.kind}
			out[key] = append(out[key], views...)
		}
	}
	return out
}

func totalSamples(views []comparison) int {
	total := 0
	for _, v := range views {
		total += v.samples
	}
	return total
}

// zoneScore is one engine as measured from one zone, or from all together.
type zoneScore struct {
	comparison
	kind      Kind
	underLoad bool
}

// with adds another kind of measurement: the kind in which an engine is slowest counts.
func (z zoneScore) with(one comparison, kind Kind) zoneScore {
	worked := z.underLoad || kind != Connect
	if z.samples == 0 || one.score > z.score || one.score == z.score && kind < z.kind {
		z = zoneScore{comparison: one, kind: kind}
	}
	z.underLoad = worked
	return z
}

// scoresByZone gives each engine's score as measured from each zone. Engines are compared at the same model first; where too
// few have it, all models count together.
func (r rules) scoresByZone(s Settings, e *evidence) map[ident.EngineID]map[ident.ZoneID]zoneScore {
	alike, overall := r.comparisons(s, e.measures(false)), r.comparisons(s, e.measures(true))
	byZone := map[ident.EngineID]map[ident.ZoneID]zoneScore{}
	for key, views := range overall {
		if same := alike[key]; 2*totalSamples(same) >= totalSamples(views) {
			views = same
		}
		one := weightedMedian(views)
		if byZone[key.engine] == nil {
			byZone[key.engine] = map[ident.ZoneID]zoneScore{}
		}
		byZone[key.engine][key.observer] = byZone[key.engine][key.observer].with(one, key.kind)
	}
	return byZone
}

// rank assesses each engine, the worst first.
func (r rules) rank(s Settings, e *evidence) []Assessment {
	byZone := r.scoresByZone(s, e)
	few, together := e.acrossZones(r.combineZones)
	jointly := map[ident.EngineID]zoneScore{}
	for key, views := range r.comparisons(s, few) {
		jointly[key.engine] = jointly[key.engine].with(weightedMedian(views), key.kind)
	}
	for engine := range jointly {
		if byZone[engine] == nil {
			byZone[engine] = map[ident.ZoneID]zoneScore{}
		}
	}
	zones := map[ident.ZoneID]bool{}
	for _, list := range byZone {
		for zone := range list {
			zones[zone] = true
		}
	}
	out := make([]Assessment, 0, len(byZone))
	for engine, list := range byZone {
		assessment := Assessment{Engine: engine, Observers: len(list)}
		scores := make([]float64, 0, len(list))
		for _, one := range list {
			scores = append(scores, one.score)
			assessment.Samples += one.samples
			assessment.UnderLoad = assessment.UnderLoad || one.underLoad
		}
		slices.Sort(scores)
		if len(list) > 0 && len(list) >= min(2, len(zones)) {
			// Measurements from one zone alone can't tell a slow engine from a slow path, where other zones measure too.
			assessment.Score = r.combineZones(scores)
		} else if one, any := jointly[engine]; any {
			assessment.Score, assessment.Kind, assessment.Value, assessment.PeerValue, assessment.Samples = one.score, one.kind, one.value, one.baseline, one.samples
			assessment.Observers, assessment.UnderLoad = together[engine], one.underLoad
			out = append(out, assessment)
			continue
		}
		nearest := math.Inf(1)
		for _, zone := range sortedZones(list) {
			one := list[zone]
			if off := math.Abs(one.score - assessment.Score); off < nearest {
				nearest = off
				assessment.Kind, assessment.Value, assessment.PeerValue = one.kind, one.value, one.baseline
			}
			if one.score >= s.DrainAt && assessment.Score < s.DrainAt {
				assessment.SlowZones = append(assessment.SlowZones, zone)
			}
		}
		out = append(out, assessment)
	}
	slices.SortFunc(out, r.compare)
	return out
}

func sortedZones[V any](list map[ident.ZoneID]V) []ident.ZoneID {
	out := make([]ident.ZoneID, 0, len(list))
	for zone := range list {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}

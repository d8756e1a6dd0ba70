package nodehealth

import (
	"cmp"
	"math"
	"slices"

	"github.com/cresspond/cresspond/ident"
)

// Standing is how one engine stands against others with like work.
type Assessment struct {
	Engine ident.EngineID
	// Score is how many times slower it is than others: 1 is as they are, 0 not enough is known.
	Score float64
	// Kind is what it is slow in, Value and Peers what was measured of it and of the others there.
	Kind             Kind
	Value, PeerValue float64
	Samples          int
	// Worked says that it was measured at work, and not only connected to.
	UnderLoad bool
	// Observers is from how many zones it is seen, Paths from which ones alone it is slow.
	Observers int
	SlowZones []ident.ZoneID
}

// rules are the ways of judging. Each is a function, so that a test can show what a broken one would do.
type rules struct {
	// baseline is what an engine is held against, from the values of all others, sorted.
	baseline func(values []float64) float64
	// workFactor is by how many times more work can slow an engine down, by so many powers of two.
	workFactor func(kind Kind, powers int) float64
	// combineZones makes one score of those seen from several zones, sorted.
	combineZones func(scores []float64) float64
	// isOutlier says whether a value is beyond how much the others differ among themselves.
	isOutlier func(value, others, spread float64) bool
	// minIncidents is in how many turns something slow must have come.
	minIncidents int
	// compare orders the engines that are to be drained.
	compare func(a, b Assessment) int
	// refusals say why an engine may not be drained now, the gravest first.
	refusals []refusal
}

func defaultRules() rules {
	return rules{baseline: median, workFactor: expectedFactor, combineZones: majorityScore, isOutlier: beyondSpread, minIncidents: minIncidents, compare: compareAssessments, refusals: defaultRefusals()}
}

const (
	// minPeers is how many others an engine is held against at least: of two nobody can say which one is slow.
	minPeers = 2
	// maxBandDistance is how many powers of two of work may lie between what is compared.
	maxBandDistance = 3
)

// median of sorted values.
func median(values []float64) float64 {
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// expectedFactor: a batch of twice as many, or a prompt twice as long, has its first byte twice as late at most. Steps of
// twice as many take less than twice as long, since most of a step is the same for all that are in it.
func expectedFactor(kind Kind, powers int) float64 {
	if kind == Stall {
		return math.Pow(1.5, float64(powers))
	}
	return float64(uint64(1) << powers)
}

// majorityScore: an engine is as slow as more than half of the zones see it, or it is the path that is slow.
func majorityScore(scores []float64) float64 { return scores[(len(scores)-1)/2] }

// beyondSpread by three deviations, and never within a quarter of the others' value, however alike they are.
func beyondSpread(value, others, spread float64) bool {
	return value > others+max(3*1.4826*spread, others/4)
}

// compareAssessments puts the slowest first; equals go by id, so that all planners agree.
func compareAssessments(a, b Assessment) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Engine, b.Engine))
}

// comparisonGroup is what is the same of all that is compared with each other, but for how much work it was.
type comparisonGroup struct {
	observer    ident.ZoneID
	kind        Kind
	pool, model string
	targetMs    int64
}

type band struct{ load, size uint8 }

// distanceTo is by how many powers of two the work at b was more than at other; false where they are too far apart. Where
// the other had more work it is taken as it is: with less it could only have been quicker.
func (b band) distanceTo(other band) (more, distance int, near bool) {
	load, size := int(b.load)-int(other.load), int(b.size)-int(other.size)
	more, distance = max(0, load)+max(0, size), max(load, -load)+max(size, -size)
	return more, distance, distance <= maxBandDistance
}

type comparison struct {
	score, value, baseline float64
	samples                int
}

// compareGroup holds each engine against the others of its base.
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
	type peer struct {
		id    ident.EngineID
		value float64
	}
	for b := range bands {
		// What each engine would show at this much work, by what it showed at the nearest.
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
		if len(peers) <= minPeers {
			continue
		}
		slices.SortFunc(peers, func(a, b peer) int { return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.id, b.id)) })
		others := make([]float64, 0, len(peers))
		for _, p := range peers {
			others = append(others, p.value)
		}
		spread := medianDeviation(others)
		for place, p := range peers {
			m, own := members[p.id][b]
			if !own {
				continue
			}
			rest := make([]float64, 0, len(others)-1)
			if len(others) <= 64 {
				rest = append(append(rest, others[:place]...), others[place+1:]...)
			} else {
				// Among so many one more or less does not move the middle.
				rest = others
			}
			against := r.baseline(rest)
			v := comparison{score: 1, value: m.value, baseline: against, samples: m.samples}
			if m.value >= s.floor(kind) && r.isOutlier(m.value, against, spread) {
				// What lies below the floor is as good as the floor's half: from 1 ms to 20 is nobody's pain.
				v.score = m.value / max(against, s.floor(kind)/4, 1)
			}
			out[p.id] = append(out[p.id], v)
		}
	}
	return out
}

// floor is the value below which nothing counts as slow.
func (s Settings) floor(kind Kind) float64 {
	if kind == Stall {
		return 1000 * s.StallFloor
	}
	return float64(s.DelayFloorMs)
}

// medianDeviation is the median of how far values lie from their own median.
func medianDeviation(sorted []float64) float64 {
	middle := median(sorted)
	off := make([]float64, 0, len(sorted))
	for _, value := range sorted {
		off = append(off, math.Abs(value-middle))
	}
	slices.Sort(off)
	return median(off)
}

// weightedMedian is the middle of several views, each counted by its measurements.
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

// observationKey is one engine from one zone, in one kind of measurement.
type observationKey struct {
	engine   ident.EngineID
	observer ident.ZoneID
	kind     Kind
}

// comparisons compares all that was measured; overall puts all models of a pool together.
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

// zoneScore is one engine as one zone sees it, or all together.
type zoneScore struct {
	comparison
	kind      Kind
	underLoad bool
}

// with adds another kind of measurement: the one in which an engine is slowest says how slow it is.
func (z zoneScore) with(one comparison, kind Kind) zoneScore {
	worked := z.underLoad || kind != Connect
	if z.samples == 0 || one.score > z.score || one.score == z.score && kind < z.kind {
		z = zoneScore{comparison: one, kind: kind}
	}
	z.underLoad = worked
	return z
}

// rank gives how each engine stands, the worst first.
func (r rules) rank(s Settings, e *evidence) []Assessment {
	// Engines with the same model are compared first. Where too few have it, all models count together.
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
		standing := Assessment{Engine: engine, Observers: len(list)}
		scores := make([]float64, 0, len(list))
		for _, one := range list {
			scores = append(scores, one.score)
			standing.Samples += one.samples
			standing.UnderLoad = standing.UnderLoad || one.underLoad
		}
		slices.Sort(scores)
		if len(list) > 0 && len(list) >= min(2, len(zones)) {
			// One zone alone can't tell an engine from the path to it, where there are more to ask.
			standing.Score = r.combineZones(scores)
		} else if one, any := jointly[engine]; any {
			standing.Score, standing.Kind, standing.Value, standing.PeerValue, standing.Samples = one.score, one.kind, one.value, one.baseline, one.samples
			standing.Observers, standing.UnderLoad = together[engine], one.underLoad
			out = append(out, standing)
			continue
		}
		nearest := math.Inf(1)
		for _, zone := range sortedZones(list) {
			one := list[zone]
			if off := math.Abs(one.score - standing.Score); off < nearest {
				nearest = off
				standing.Kind, standing.Value, standing.PeerValue = one.kind, one.value, one.baseline
			}
			if one.score >= s.DrainAt && standing.Score < s.DrainAt {
				standing.SlowZones = append(standing.SlowZones, zone)
			}
		}
		out = append(out, standing)
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

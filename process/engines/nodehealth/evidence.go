package nodehealth

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// evidence is what daemons reported within the span, by the zones of the daemons.
type evidence struct {
	series   map[seriesKey]*series
	span     time.Duration
	interval int64
	// scratch is reused for computing quantiles.
	scratch *hdrhistogram.Histogram
	// slowIntervals lists, by engine, the intervals in which any value came that is above its floor.
	slowIntervals map[ident.EngineID][]int64
	// dropped counts digests dropped at the limit of series.
	dropped uint64
}

type seriesKey struct {
	observer ident.ZoneID
	engine   ident.EngineID
	class    Class
}

// intervalsPerSpan is in how many intervals the span moves on.
const intervalsPerSpan = 4

// series holds the buckets of each interval of the span.
type series struct {
	intervals [intervalsPerSpan][]Bucket
	samples   [intervalsPerSpan]int
}

// maxSeries bounds the memory: some 0.6 kB each.
const maxSeries = 30_000

func newEvidence(span time.Duration) *evidence {
	return &evidence{series: map[seriesKey]*series{}, slowIntervals: map[ident.EngineID][]int64{}, span: span, scratch: newHistogram()}
}

// advance drops what is older than the span.
func (e *evidence) advance(now clock.Mark) {
	interval := int64(now) / max(1, int64(e.span)/intervalsPerSpan)
	for ; e.interval < interval; e.interval++ {
		if interval-e.interval > intervalsPerSpan {
			e.interval = interval - intervalsPerSpan
		}
		index := (e.interval + 1) % intervalsPerSpan
		for key, s := range e.series {
			s.intervals[index], s.samples[index] = nil, 0
			if s.total() == 0 {
				delete(e.series, key)
			}
		}
	}
}

func (s *series) total() int {
	total := 0
	for _, samples := range s.samples {
		total += samples
	}
	return total
}

// add adds what a daemon in a zone measured.
func (e *evidence) add(observer ident.ZoneID, digests []Digest, floor func(Kind) float64) {
	index := e.interval % intervalsPerSpan
	for _, digest := range digests {
		if last := digest.Buckets; len(last) > 0 && float64(last[len(last)-1].Value) >= floor(digest.Class.Kind) {
			e.recordSlow(digest.Engine)
		}
		key := seriesKey{observer, digest.Engine, digest.Class}
		s := e.series[key]
		if s == nil {
			if len(e.series) >= maxSeries {
				e.dropped++
				continue
			}
			s = &series{}
			e.series[key] = s
		}
		for _, bucket := range digest.Buckets {
			s.intervals[index] = addBucket(s.intervals[index], bucket)
		}
		s.samples[index] += digest.Samples()
	}
}

// recordSlow records that an engine had a slow value in this interval.
func (e *evidence) recordSlow(engine ident.EngineID) {
	list := e.slowIntervals[engine]
	if len(list) > 0 && list[len(list)-1] == e.interval {
		return
	}
	// What is older than two spans does not count.
	list = slices.DeleteFunc(list, func(interval int64) bool { return interval <= e.interval-2*intervalsPerSpan })
	e.slowIntervals[engine] = append(list, e.interval)
}

// countSlowIntervals counts the intervals, within two spans, in which an engine had a slow value.
func (e *evidence) countSlowIntervals(engine ident.EngineID) (count int) {
	for _, interval := range e.slowIntervals[engine] {
		if interval > e.interval-2*intervalsPerSpan {
			count++
		}
	}
	return count
}

// addBucket adds a bucket to a sorted list, so that the list grows with the distinct values and not with the reports.
func addBucket(list []Bucket, bucket Bucket) []Bucket {
	index, found := slices.BinarySearchFunc(list, bucket, func(a, b Bucket) int { return cmp.Compare(a.Value, b.Value) })
	if found {
		list[index].Count += bucket.Count
		return list
	}
	return slices.Insert(list, index, bucket)
}

// forget drops the measurements of one engine.
func (e *evidence) forget(engine ident.EngineID) {
	delete(e.slowIntervals, engine)
	for key := range e.series {
		if key.engine == engine {
			delete(e.series, key)
		}
	}
}

// measure is one engine at one class of work, as seen from one zone.
type measure struct {
	seriesKey
	value   float64
	samples int
}

// sufficient reports whether so many measurements are significant. An engine that stalls has few events, so the total time
// of its pauses counts too, in thousandths of the gap target.
func sufficient(kind Kind, samples int, time int64) bool {
	return samples >= minSamples[kind] || kind == Stall && samples >= minStallSamples && time >= minStallTime
}

const (
	minStallSamples = 4
	minStallTime    = 5000
)

// minSamples is how many measurements are significant.
var minSamples = [kinds]int{Stall: 20, Transfer: 5, Connect: 3}

// quantileOf is the quantile, in percent, that stands for a series. Pauses are weighted by their time, not by their number:
// in a stream of fifty fast events one long pause is all that its caller notices.
var quantileOf = [kinds]float64{Stall: 80, Transfer: 75, Connect: 75}

// measures takes one value of each significant series; overall merges all models of a pool.
func (e *evidence) measures(overall bool) []measure {
	joined := make(map[seriesKey][]*series, len(e.series))
	for key, s := range e.series {
		if overall {
			key.class.Model = ""
		}
		joined[key] = append(joined[key], s)
	}
	out := make([]measure, 0, len(joined))
	for key, list := range joined {
		value, samples, time := e.value(key.class.Kind, list)
		if sufficient(key.class.Kind, samples, time) {
			out = append(out, measure{key, value, samples})
		}
	}
	return out
}

// value takes one value of several series, and returns how many measurements it is based on and their sum.
func (e *evidence) value(kind Kind, list []*series) (value float64, samples int, time int64) {
	e.scratch.Reset()
	for _, s := range list {
		samples += s.total()
		for _, part := range s.intervals {
			for _, bucket := range part {
				// The report comes from another daemon, so it is clamped again.
				one, weight := clamp(int64(bucket.Value)), int64(bucket.Count)
				time += one * weight
				if kind == Stall {
					weight *= one
				}
				_ = e.scratch.RecordValues(one, weight)
			}
		}
	}
	return float64(e.scratch.ValueAtQuantile(quantileOf[kind])), samples, time
}

// acrossZones takes one value of each engine and class of work over all zones, for engines of which no single zone has
// sufficient measurements. It is the value that more than half of the zones measure, each by the little it has.
func (e *evidence) acrossZones(across func([]float64) float64) (out []measure, zones map[ident.EngineID]int) {
	joined := map[seriesKey]map[ident.ZoneID][]*series{}
	for key, s := range e.series {
		zone := key.observer
		key.observer, key.class.Model = "", ""
		if joined[key] == nil {
			joined[key] = map[ident.ZoneID][]*series{}
		}
		joined[key][zone] = append(joined[key][zone], s)
	}
	zones = map[ident.EngineID]int{}
	for key, byZone := range joined {
		var values []float64
		samples, time := 0, int64(0)
		for _, list := range byZone {
			value, some, long := e.value(key.class.Kind, list)
			values, samples, time = append(values, value), samples+some, time+long
		}
		if len(values) > 1 && sufficient(key.class.Kind, samples, time) {
			slices.Sort(values)
			out = append(out, measure{key, across(values), samples})
			zones[key.engine] = max(zones[key.engine], len(values))
		}
	}
	return out, zones
}

package ranking

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
)

// evidence is what daemons told within the span, by the zone they stand in.
type evidence struct {
	series map[seriesKey]*series
	span   time.Duration
	turn   int64
	// scratch is where quantiles are taken.
	scratch *hdrhistogram.Histogram
	// dropped counts digests for which there was no more room.
	dropped uint64
}

type seriesKey struct {
	observer ident.ZoneID
	engine   ident.EngineID
	class    Class
}

// turns is in how many parts the span moves on.
const turns = 4

// series holds one part for each turn of the span.
type series struct {
	parts   [turns][]Bucket
	samples [turns]int
}

// mostSeries bounds what is kept: some 0.6 kB each.
const mostSeries = 30_000

func newEvidence(span time.Duration) *evidence {
	return &evidence{series: map[seriesKey]*series{}, span: span, scratch: newHistogram()}
}

// advance lets go of what is older than the span.
func (e *evidence) advance(now clock.Mark) {
	turn := int64(now) / max(1, int64(e.span)/turns)
	for ; e.turn < turn; e.turn++ {
		if turn-e.turn > turns {
			e.turn = turn - turns
		}
		place := (e.turn + 1) % turns
		for key, s := range e.series {
			s.parts[place], s.samples[place] = nil, 0
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

// take notes what a daemon in a zone measured.
func (e *evidence) take(observer ident.ZoneID, digests []Digest) {
	place := e.turn % turns
	for _, digest := range digests {
		key := seriesKey{observer, digest.Engine, digest.Class}
		s := e.series[key]
		if s == nil {
			if len(e.series) >= mostSeries {
				e.dropped++
				continue
			}
			s = &series{}
			e.series[key] = s
		}
		for _, bucket := range digest.Buckets {
			s.parts[place] = add(s.parts[place], bucket)
		}
		s.samples[place] += digest.Samples()
	}
}

// add counts a bucket in a sorted list, so that it grows with the values and not with how often is told.
func add(list []Bucket, bucket Bucket) []Bucket {
	place, found := slices.BinarySearchFunc(list, bucket, func(a, b Bucket) int { return cmp.Compare(a.Value, b.Value) })
	if found {
		list[place].Count += bucket.Count
		return list
	}
	return slices.Insert(list, place, bucket)
}

// forget drops what is known of one engine.
func (e *evidence) forget(engine ident.EngineID) {
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

// leastSamples is how many measurements say something.
var leastSamples = [kinds]int{Stall: 20, Transfer: 5, Connect: 3}

// valueAt is the share of the measurements, for pauses of the time spent in them, up to which a value is taken. Of
// pauses time counts, not number: in a stream of fifty quick events one long pause is all that its caller sees.
var valueAt = [kinds]float64{Stall: 80, Transfer: 75, Connect: 75}

// measures takes one value of each series that says enough; overall puts all models of a pool together.
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
		samples := 0
		for _, s := range list {
			samples += s.total()
		}
		if samples < leastSamples[key.class.Kind] {
			continue
		}
		e.scratch.Reset()
		for _, s := range list {
			for _, part := range s.parts {
				for _, bucket := range part {
					weight := int64(bucket.Count)
					if key.class.Kind == Stall {
						weight *= int64(bucket.Value)
					}
					// What was told comes from elsewhere, so it is clamped anew.
					_ = e.scratch.RecordValues(clamp(int64(bucket.Value)), weight)
				}
			}
		}
		out = append(out, measure{key, float64(e.scratch.ValueAtQuantile(valueAt[key.class.Kind])), samples})
	}
	return out
}

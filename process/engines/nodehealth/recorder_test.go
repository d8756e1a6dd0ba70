package nodehealth

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

func TestRecorderReportsEachMeasurementOnce(t *testing.T) {
	r := NewRecorder()
	class := Class{Kind: Stall, Pool: "p", TargetMs: 400, Load: 3}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			cell := r.Cell("e", class)
			for range 1000 {
				cell.RecordPause(40 * time.Millisecond)
			}
		})
	}
	group.Wait()
	digests := r.TakeDigests()
	if len(digests) != 1 || digests[0].Samples() != 8000 || len(digests[0].Buckets) != 1 {
		t.Fatalf("not everything is in one bucket: %v", digests)
	}
	if value := digests[0].Buckets[0].Value; value < 94 || value > 107 {
		t.Fatalf("not a tenth of the gap target within a sixteenth: %d", value)
	}
	if again := r.TakeDigests(); len(again) != 0 {
		t.Fatalf("reported twice: %v", again)
	}
}

func TestRecorderMemoryIsBounded(t *testing.T) {
	r := NewRecorder()
	r.maxCells = 3
	for index := range 5 {
		r.Cell(ident.EngineID(fmt.Sprint(index)), Class{}).RecordDelay(time.Second)
	}
	if len(r.TakeDigests()) != 3 || r.Dropped() != 2 {
		t.Fatal(r.Dropped())
	}
	for range maxIdleTakes + 1 {
		r.TakeDigests()
	}
	if r.Cell("new", Class{}) == nil {
		t.Fatal("an unused cell does not make room")
	}
}

func TestRecordingAllocatesNothing(t *testing.T) {
	r := NewRecorder()
	cell := r.Cell("e", Class{Kind: Stall})
	if n := testing.AllocsPerRun(1000, func() { cell.RecordPause(10 * time.Millisecond) }); n != 0 {
		t.Fatalf("%v allocations an event", n)
	}
	var none *Cell
	none.RecordPause(time.Second)
	none.RecordDelay(time.Second)
	if n := testing.AllocsPerRun(1000, func() { r.Cell("e", Class{Kind: Stall}) }); n != 0 {
		t.Fatalf("%v allocations an attempt", n)
	}
}

// Values out of range are recorded as the nearest bound.
func TestValuesOutOfRangeAreClamped(t *testing.T) {
	r := NewRecorder()
	cell := r.Cell("e", Class{Kind: Transfer})
	for _, delay := range []time.Duration{-time.Hour, 0, 1000 * time.Hour} {
		cell.RecordDelay(delay)
	}
	if digests := r.TakeDigests(); digests[0].Samples() != 3 {
		t.Fatal(digests)
	}
	e := newEvidence(8 * time.Second)
	e.add("a", []Digest{{"e", Class{Kind: Connect}, []Bucket{{Value: 4_000_000_000, Count: 9}}}}, DefaultSettings().floor)
	if m := e.measures(false); len(m) != 1 || m[0].value < maxValue/2 {
		t.Fatal(m)
	}
}

func BenchmarkPause(b *testing.B) {
	cell := NewRecorder().Cell("e", Class{Kind: Stall, TargetMs: 400})
	b.ReportAllocs()
	for b.Loop() {
		cell.RecordPause(20 * time.Millisecond)
	}
}

func BenchmarkCell(b *testing.B) {
	r := NewRecorder()
	for index := range 1000 {
		r.Cell(ident.EngineID(fmt.Sprint("engine-", index)), Class{Kind: Stall, TargetMs: 400, Pool: "pool", Model: "model"})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Cell("engine-500", Class{Kind: Stall, TargetMs: 400, Pool: "pool", Model: "model"})
	}
}

// BenchmarkStep is a step of the size to design for: 1,400 engines in seven pools measured from 16 zones.
func BenchmarkStep(b *testing.B) {
	for _, engines := range []int{9, 200, 1400} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			settings := DefaultSettings()
			ranker := NewRanker(settings)
			fleet := Fleet{}
			now := clock.Mark(time.Hour)
			for index := range engines {
				id := ident.EngineID(fmt.Sprintf("engine-%04d", index))
				pool := fmt.Sprint("pool-", index*7/max(engines, 8))
				fleet[id] = Engine{ID: id, Pool: pool, Zone: ident.ZoneID(fmt.Sprint(index % 16)), Open: true, Loaded: []Target{{Model: "a"}, {Model: "b"}}}
				for zone := range 4 {
					var digests []Digest
					for load := range 2 {
						digests = append(digests, Digest{id, Class{Kind: Stall, Pool: pool, Model: "a", TargetMs: 400, Load: uint8(4 + load)}, []Bucket{{20, 40}, {25, 30}, {30, 4}, {60, 1}}})
						digests = append(digests, Digest{id, Class{Kind: Transfer, Pool: pool, Model: "a", Load: uint8(4 + load), Size: 4}, []Bucket{{60, 4}, {90, 3}, {120, 1}}})
					}
					ranker.AddDigests(now, ident.ZoneID(fmt.Sprint((index+zone)%16)), digests)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				ranker.Step(now, fleet)
			}
		})
	}
}

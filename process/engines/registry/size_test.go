package registry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// What the registry costs by its engines, for docs/CAPACITY.md: go test -run - -bench Size ./process/engines/registry

var engineCounts = []int{12, 100, 350, 1400}

const heartbeatPeriod = 1200 * time.Millisecond

// registrationOf is an engine's registration with three models of two adapters each.
func registrationOf(number int, callSeq uint64) Registration {
	registration := Registration{ID: ident.EngineID(fmt.Sprintf("i-%08x", number)), Pool: "pool", Address: fmt.Sprintf("10.%d.%d.9:8080", number/250, number%250), Zone: "zone-7", Software: "v1", Slots: 96, Phase: "colocated", CallSeq: callSeq}
	for at := range 3 {
		registration.Models = append(registration.Models, LoadedModel{Model: fmt.Sprintf("model%04x", (number+at)%140), Generation: 1, Adapters: []string{fmt.Sprint("a", number%600), fmt.Sprint("b", number%600)}})
	}
	return registration
}

func fullCore(engines int) *Core {
	core := NewCore("incarnation", true, heartbeatPeriod, 0)
	for i := range engines {
		core.ReceiveHeartbeat(0, registrationOf(i, 1))
	}
	core.View()
	return core
}

// BenchmarkSizeHeartbeat is one heartbeat without new content, and the look at the view that follows it.
func BenchmarkSizeHeartbeat(b *testing.B) {
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			core := fullCore(engines)
			b.ReportAllocs()
			iteration := 0
			for b.Loop() {
				core.ReceiveHeartbeat(clock.Mark(iteration), registrationOf(iteration%engines, 2+uint64(iteration/engines)))
				core.View()
				iteration++
			}
		})
	}
}

// BenchmarkSizeChange is one change of one engine, and the view that it makes.
func BenchmarkSizeChange(b *testing.B) {
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			core := fullCore(engines)
			b.ReportAllocs()
			iteration := 0
			for b.Loop() {
				registration := registrationOf(iteration%engines, 2+uint64(iteration/engines))
				registration.Slots = 90 + iteration%7 + iteration/engines%3
				core.ReceiveHeartbeat(clock.Mark(iteration), registration)
				core.View()
				iteration++
			}
		})
	}
}

// BenchmarkSizeTick is one search for engines that time out.
func BenchmarkSizeTick(b *testing.B) {
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			core := fullCore(engines)
			b.ReportAllocs()
			now := clock.Mark(time.Second)
			for b.Loop() {
				core.Tick(now, heartbeatPeriod, Connectivity{CanDetectTimeouts: true, Horizon: now})
				now++
			}
		})
	}
}

// BenchmarkSizeDelta is what is sent, in bytes for each engine: everything to a new peer, and one change.
func BenchmarkSizeDelta(b *testing.B) {
	encoded := func(b *testing.B, records []Record) int {
		data, err := proto.Marshal(&peerapi.PullReply{Engines: Encode(0, records)})
		if err != nil {
			b.Fatal(err)
		}
		return len(data)
	}
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint("all of ", engines, " engines"), func(b *testing.B) {
			core := fullCore(engines)
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				size = encoded(b, core.DeltaSince(DeltaRequest{Cursor: Cursor{}}, engines).Records)
			}
			b.ReportMetric(float64(size)/float64(engines), "bytes/engine")
		})
		b.Run(fmt.Sprint("learn all of ", engines, " engines"), func(b *testing.B) {
			all := fullCore(engines).DeltaSince(DeltaRequest{Cursor: Cursor{}}, engines)
			b.ReportAllocs()
			for b.Loop() {
				core := NewCore("other", false, heartbeatPeriod, 0)
				core.ApplyDelta(1, "peer", all, nil)
				core.View()
			}
		})
	}
	for _, content := range []string{"registration", "plan", "load", "heartbeat"} {
		b.Run("one "+content, func(b *testing.B) {
			core := fullCore(1400)
			kind := AllChanges
			if content == "heartbeat" {
				kind = WithHeartbeats
			}
			planned := Plan{Claim: 3, Sequence: 999, Models: registrationOf(7, 1).Models, Active: 40, Queued: 1, MemoryUsed: 60000, Memory: 123322}
			if content == "load" {
				core.PublishPlans(1, map[ident.EngineID]Plan{"i-00000007": planned})
			}
			seen := core.DeltaSince(DeltaRequest{Cursor: Cursor{}, Filter: WithHeartbeats}, 1400).Cursor
			switch content {
			case "registration":
				registration := registrationOf(7, 2)
				registration.Slots = 12
				core.ReceiveHeartbeat(1, registration)
			case "plan":
				core.PublishPlans(1, map[ident.EngineID]Plan{"i-00000007": planned})
			case "load":
				// Its models are as before, and the interval of load figures is over.
				planned.Sequence, planned.Active, planned.MemoryUsed = 1050, 71, 90000
				core.PublishPlans(clock.Mark(time.Minute), map[ident.EngineID]Plan{"i-00000007": planned})
			case "heartbeat":
				core.ReceiveHeartbeat(1, registrationOf(7, 2))
			}
			size := 0
			for b.Loop() {
				size = encoded(b, core.DeltaSince(DeltaRequest{Cursor: seen, Filter: kind}, 1400).Records)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkSizeMemory is the memory that a core and its view take for each engine.
func BenchmarkSizeMemory(b *testing.B) {
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			const cores = 8
			for b.Loop() {
				retained := make([]*Core, 0, cores)
				before := heap()
				for range cores {
					retained = append(retained, fullCore(engines))
				}
				after := heap()
				b.ReportMetric(float64(after-before)/cores/float64(engines), "bytes/engine")
				runtime.KeepAlive(retained)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

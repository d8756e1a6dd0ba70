package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cresspond/cresspond/ident"
)

// The sizes of the replicated state, for docs/CAPACITY.md: go test -run - -bench Size ./process/consensus/statemachine

// mustApply takes a command, and fails the benchmark if it is not taken.
func mustApply(b *testing.B, s *State, c Command) {
	b.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		b.Fatal(err)
	}
	if got := s.Apply(data); got.Outcome != Done {
		b.Fatalf("%s: %s %s", c.Op, got.Outcome, got.Reason)
	}
}

// stateOfSize makes a state of a given size: daemons hold leases, engines have departed and been given orders, bundles were applied.
func stateOfSize(b *testing.B, daemons, engines, left, bundles, bundleBytes int) *State {
	b.Helper()
	s := New()
	for i := range daemons {
		node := ident.NodeID(fmt.Sprintf("edge-somewhere-%d#0123abcd", i))
		mustApply(b, s, Command{Op: OpRegister, At: 1, NodeID: node, Address: fmt.Sprintf("10.1.%d.%d:7660", i/250, i%250)})
		mustApply(b, s, Command{Op: OpAcquire, At: 1, NodeID: node, LeaseMs: 30000})
	}
	for i := range left {
		s.DepartedEngines = append(s.DepartedEngines, DepartedEngine{Engine: ident.EngineID(fmt.Sprintf("i-%08x", i)), At: 1})
		s.Departures++
	}
	announcement := &Announcement{Orders: map[ident.EngineID]uint64{}, Loads: 1, KeepMs: 20000}
	for i := range engines {
		announcement.Orders[ident.EngineID(fmt.Sprintf("i-%08x", i))] = uint64(i)
	}
	if engines > 0 {
		mustApply(b, s, Command{Op: OpAcquirePlanner, At: 2, NodeID: "core-0#0123abcd", LeaseMs: 2000, HandoverGapMs: 3000, Announcement: announcement})
	}
	packed := make([]byte, bundleBytes)
	for i := range packed {
		packed[i] = byte(i * 31 >> 3)
	}
	for i := range bundles {
		mustApply(b, s, Command{Op: OpApply, At: 3, Operator: "operator", Digest: fmt.Sprintf("%064x", i), BaseRevision: ident.Revision(i), Revision: ident.Revision(i + 1), Configuration: packed, Compressed: true})
	}
	return s
}

var stateSizes = []struct {
	name                                           string
	daemons, engines, left, bundles, packedBundles int
}{
	{"11 daemons, 12 engines, 1 bundle", 11, 12, 10, 1, 4 << 10},
	{"100 daemons, 350 engines, 16 bundles", 100, 350, 500, 16, 32 << 10},
	{"370 daemons, 1400 engines, 4096 left, 16 bundles of 32 KB", 370, 1400, 4096, 16, 32 << 10},
	{"370 daemons, 1400 engines, 4096 left, 1400 bundles of 32 KB", 370, 1400, 4096, 1400, 32 << 10},
	{"11 daemons, 12 engines, 4096 bundles of 4 KB", 11, 12, 10, 4096, 4 << 10},
	{"11 daemons, 12 engines, 12000 bundles of 4 KB", 11, 12, 10, 12000, 4 << 10},
}

func BenchmarkSizeSnapshot(b *testing.B) {
	for _, size := range stateSizes {
		b.Run(size.name, func(b *testing.B) {
			s := stateOfSize(b, size.daemons, size.engines, size.left, size.bundles, size.packedBundles)
			b.ReportAllocs()
			var data []byte
			for b.Loop() {
				data = s.Snapshot()
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		})
	}
}

func BenchmarkSizeRestore(b *testing.B) {
	for _, size := range stateSizes {
		b.Run(size.name, func(b *testing.B) {
			data := stateOfSize(b, size.daemons, size.engines, size.left, size.bundles, size.packedBundles).Snapshot()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSizeApply(b *testing.B) {
	last := stateSizes[2]
	for _, kind := range []struct {
		name string
		make func(index int) Command
	}{
		{"renew", func(int) Command {
			return Command{Op: OpRenew, At: 10, NodeID: "edge-somewhere-7#0123abcd", WorkerID: 7, LeaseMs: 30000}
		}},
		{"leave", func(index int) Command {
			return Command{Op: OpEngineDeparted, At: 10, Engine: ident.EngineID(fmt.Sprintf("j-%08x", index))}
		}},
		{"claim of one order", func(index int) Command {
			return Command{Op: OpAcquirePlanner, At: 3, NodeID: "core-0#0123abcd", LeaseMs: 2000, HandoverGapMs: 3000, Resume: true, Announcement: &Announcement{Orders: map[ident.EngineID]uint64{ident.EngineID(fmt.Sprintf("i-%08x", index%1400)): uint64(index)}, Loads: 1, KeepMs: 20000}}
		}},
	} {
		b.Run(kind.name+" at "+last.name, func(b *testing.B) {
			s := stateOfSize(b, last.daemons, last.engines, last.left, last.bundles, last.packedBundles)
			b.ReportAllocs()
			index, size := 0, 0
			for b.Loop() {
				data, err := json.Marshal(kind.make(index))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if got := s.Apply(data); got.Outcome != Done {
					b.Fatalf("%+v", got)
				}
				index++
			}
			b.ReportMetric(float64(size), "entry-bytes")
		})
	}
}

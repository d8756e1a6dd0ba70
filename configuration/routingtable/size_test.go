package routingtable

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
)

// What a bundle costs by its paths, for docs/CAPACITY.md: go test -run - -bench Size ./configuration/routingtable

func bundleOfPaths(b *testing.B, paths int) []byte {
	b.Helper()
	section := &upstream.Section{Revision: 7}
	for i := range paths {
		section.Paths = append(section.Paths, upstream.Path{Name: fmt.Sprintf("r-%06x", i), Host: fmt.Sprintf("host%d.example", i%97), Prefix: fmt.Sprintf("/p%06x/", i),
			Class: upstream.Stream, Affine: true, DeadlineMs: 10000, TargetMs: 1300, GapTargetMs: 400, Rank: i % 3, Attempts: 2, Shares: []upstream.Share{{Pool: "pool", Weight: 1}}})
	}
	catalogue := &upstream.Catalogue{Slots: 96, MemoryTokens: 120000, CapacityMb: 83000, AdapterSlots: 8, LoadsPerSecond: 2}
	for i := range 140 {
		catalogue.Models = append(catalogue.Models, upstream.Model{Name: fmt.Sprintf("model%04x", i), SizeMb: 34300, LoadMs: 2000, Adapters: 621, AdapterSizeMb: 40})
	}
	section.Pools = []upstream.Pool{{Name: "pool", MaxConnections: 500, Catalogue: catalogue}}
	data, err := json.Marshal(document.Configuration{Name: "size", Zones: []document.Zone{{Name: "z"}}, Engines: []document.Engine{{ID: "listed", Zone: "z", Capacity: 1, Slots: 1}},
		Models: []document.Model{{Name: "listed", Size: 1}}, Routes: []document.Route{{Name: "listed", Tenant: "house", Models: []string{"listed"}}},
		Store:  document.Store{MaxConcurrentLoads: 1},
		Limits: document.Limits{MaxBodyBytes: 64 << 10, MaxPending: 400, MaxPendingBytes: 16 << 20, MaxDeadlineMs: 60000, AssignmentIdleMs: 20000}, Forward: section})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// The last is more than a configuration may have: document.MaxBytes refuses it.
var pathCounts = []int{10, 100, 1000, 10000, 50000, 100000}

// BenchmarkSizePack is what the one daemon that takes a bundle does, and BenchmarkSizeBuild what each does that learns of it.
func BenchmarkSizePack(b *testing.B) {
	for _, paths := range pathCounts {
		b.Run(fmt.Sprint(paths, " paths"), func(b *testing.B) {
			raw := bundleOfPaths(b, paths)
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				size = len(compression.Compress(raw))
			}
			b.ReportMetric(float64(len(raw)), "raw-bytes")
			b.ReportMetric(float64(size), "packed-bytes")
		})
	}
}

func BenchmarkSizeBuild(b *testing.B) {
	for _, paths := range pathCounts {
		raw := bundleOfPaths(b, paths)
		sent := compression.Compress(raw)
		b.Run(fmt.Sprint("unpack ", paths, " paths"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := compression.Decompress(sent); err != nil {
					b.Fatal(err)
				}
			}
		})
		allowed := len(raw) <= document.MaxBytes
		b.Run(fmt.Sprint("check ", paths, " paths"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, faults := document.Parse(raw); (len(faults) == 0) != allowed {
					b.Fatal(faults)
				}
			}
		})
		parsed := &document.Configuration{}
		if err := json.Unmarshal(raw, parsed); err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("build ", paths, " paths"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Build(1, raw, parsed, closure.Set{})
			}
		})
	}
}

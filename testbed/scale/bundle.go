package scale

import (
	"encoding/json"
	"fmt"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
)

func zoneName(i int) ident.ZoneID { return ident.ZoneID(fmt.Sprintf("zone-%d", i)) }
func modelName(i int) string      { return fmt.Sprintf("model-%03d", i) }

// bundle makes a bundle of a size; the paths' deadlines differ from revision to revision.
func bundle(size Size, revision uint64) []byte {
	s := document.Configuration{
		Name:    fmt.Sprintf("scale %d", revision),
		Zones:   []document.Zone{{Name: zoneName(0)}},
		Engines: []document.Engine{{ID: "listed", Zone: zoneName(0), Capacity: 1, Slots: 1}},
		Models:  []document.Model{{Name: "listed", Size: 1}},
		Routes:  []document.Route{{Name: "listed", Tenant: "house", Models: []string{"listed"}}},
		Store:   document.Store{MaxConcurrentLoads: 1},
		Limits:  document.Limits{MaxBodyBytes: 64 << 10, MaxPending: 400, MaxPendingBytes: 16 << 20, MaxDeadlineMs: 60000, AssignmentIdleMs: 20000, MaxRetryRatio: 0.1},
	}
	section := &upstream.Section{Revision: revision}
	for i := range size.Paths {
		section.Paths = append(section.Paths, upstream.Path{
			Name: fmt.Sprintf("path-%06d", i), Host: fmt.Sprintf("host-%d.example", i%97), Prefix: fmt.Sprintf("/p%06d/", i), Class: upstream.Stream, Affine: true, Resumable: i%2 == 0,
			DeadlineMs: 10000 + int64(revision%10), TargetMs: 1300, GapTargetMs: 400, Rank: i % 3, Attempts: 2, Shares: []upstream.Share{{Pool: poolName, Weight: 1}},
		})
	}
	catalogue := &upstream.Catalogue{Slots: 96, MemoryTokens: 120000, CapacityMb: 83000, AdapterSlots: 8, LoadsPerSecond: 2}
	for i := range size.Models {
		catalogue.Models = append(catalogue.Models, upstream.Model{Name: modelName(i), SizeMb: 20000, LoadMs: 2000, Adapters: size.Adapters / size.Models, AdapterSizeMb: 40})
	}
	section.Pools = append(section.Pools, upstream.Pool{Name: poolName, MaxConnections: 500, Catalogue: catalogue})
	s.Forward = section
	data, err := json.Marshal(s)
	if err != nil {
		panic("broken invariant: a bundle cannot be encoded: " + err.Error())
	}
	return data
}

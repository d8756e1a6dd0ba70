package scale

import (
	"encoding/json"
	"fmt"

	"github.com/cresspond/cresspond/epoch/forward"
	"github.com/cresspond/cresspond/epoch/spec"
	"github.com/cresspond/cresspond/process/ident"
)

func zoneName(i int) ident.ZoneID { return ident.ZoneID(fmt.Sprintf("zone-%d", i)) }
func modelName(i int) string      { return fmt.Sprintf("model-%03d", i) }

// bundle makes a bundle of a size; the paths' deadlines differ from revision to revision.
func bundle(size Size, revision uint64) []byte {
	s := spec.Spec{
		Name:    fmt.Sprintf("scale %d", revision),
		Zones:   []spec.Zone{{Name: zoneName(0)}},
		Engines: []spec.Engine{{ID: "listed", Zone: zoneName(0), Room: 1, Slots: 1}},
		Models:  []spec.Model{{Name: "listed", Size: 1}},
		Routes:  []spec.Route{{Name: "listed", House: "house", Models: []string{"listed"}}},
		Store:   spec.Store{LoadsAtOnce: 1},
		Limits:  spec.Limits{MostBodyBytes: 64 << 10, MostHeld: 400, MostHeldBytes: 16 << 20, MostDeadlineMs: 60000, SeatIdleMs: 20000, RetryShare: 0.1},
	}
	section := &forward.Section{Revision: revision}
	for i := range size.Paths {
		section.Paths = append(section.Paths, forward.Path{
			Name: fmt.Sprintf("path-%06d", i), Host: fmt.Sprintf("host-%d.example", i%97), Prefix: fmt.Sprintf("/p%06d/", i), Class: forward.Stream, Affine: true, Resumable: i%2 == 0,
			DeadlineMs: 10000 + int64(revision%10), TargetMs: 1300, GapTargetMs: 400, Rank: i % 3, Attempts: 2, Shares: []forward.Share{{Pool: poolName, Weight: 1}},
		})
	}
	catalogue := &forward.Catalogue{Slots: 96, MemoryTokens: 120000, RoomMb: 83000, AdapterPlaces: 8, LoadsPerSecond: 2}
	for i := range size.Models {
		catalogue.Models = append(catalogue.Models, forward.Model{Name: modelName(i), SizeMb: 20000, LoadMs: 2000, Adapters: size.Adapters / size.Models, AdapterSizeMb: 40})
	}
	section.Pools = append(section.Pools, forward.Pool{Name: poolName, MostConnections: 500, Catalogue: catalogue})
	s.Forward = section
	data, err := json.Marshal(s)
	if err != nil {
		panic("broken invariant: a bundle cannot be encoded: " + err.Error())
	}
	return data
}

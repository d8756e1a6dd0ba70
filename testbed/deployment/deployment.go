// Package deployment describes the deployments that scenarios run: their machines, catalogue and mix of requests.
package deployment

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
)

// Kind is one kind of request.
type Kind struct {
	Route      string
	Tenant     string
	Priority   int64
	Rank       int
	PerSecond  float64
	DeadlineMs int64
	Repeatable bool
	// SessionOf is how many requests a session has; zero means no session.
	SessionOf int
}

// Deployment is one fleet.
type Deployment struct {
	Name         string
	Zones        []ident.ZoneID
	EdgeZones    []int
	Cores        int
	Engines      int
	Capacity     int64
	Slots        int
	AdapterSlots int
	Models       int
	Adapters     int
	Kinds        []Kind
}

// Named gives a deployment by name.
func Named(name string) (Deployment, bool) {
	switch name {
	case "consortium":
		return Deployment{
			Name: name, Zones: []ident.ZoneID{"hsinchu", "taipei", "taoyuan"}, EdgeZones: []int{0, 0, 0, 1, 1, 2, 2}, Cores: 3,
			Engines: 9, Capacity: 100, Slots: 6, AdapterSlots: 8, Models: 27, Adapters: 28,
			Kinds: []Kind{
				{Route: "triage-north", Tenant: "north-engineering", Priority: 60, Rank: 1, PerSecond: 14, DeadlineMs: 15000, Repeatable: true, SessionOf: 4},
				{Route: "triage-harbour", Tenant: "harbour-engineering", Priority: 60, Rank: 1, PerSecond: 14, DeadlineMs: 15000, SessionOf: 4},
				{Route: "overnight", Tenant: "north-engineering", Priority: 10, Rank: 5, PerSecond: 3, DeadlineMs: 30000},
				{Route: "review-north", Tenant: "north-engineering", Priority: 90, Rank: 0, PerSecond: 6, DeadlineMs: 8000, SessionOf: 2},
				{Route: "review-harbour", Tenant: "harbour-engineering", Priority: 90, Rank: 0, PerSecond: 6, DeadlineMs: 8000, SessionOf: 2},
			},
		}, true
	case "cooperativa":
		return Deployment{
			Name: name, Zones: []ident.ZoneID{"centro", "coyoacan", "polanco"}, EdgeZones: []int{0, 0, 0, 1, 1, 1, 2, 2}, Cores: 3,
			Engines: 9, Capacity: 100, Slots: 6, AdapterSlots: 4, Models: 28, Adapters: 34,
			Kinds: []Kind{
				{Route: "studio-plans", Tenant: "escritorio", Priority: 50, Rank: 1, PerSecond: 22, DeadlineMs: 20000, SessionOf: 5},
				{Route: "reconcile", Tenant: "escritorio", Priority: 20, Rank: 4, PerSecond: 2, DeadlineMs: 30000, Repeatable: true},
				{Route: "counter", Tenant: "escritorio", Priority: 95, Rank: 0, PerSecond: 9, DeadlineMs: 8000, SessionOf: 2},
			},
		}, true
	case "small":
		return Deployment{
			Name: name, Zones: []ident.ZoneID{"a", "b", "c"}, EdgeZones: []int{0}, Cores: 3,
			Engines: 3, Capacity: 100, Slots: 4, AdapterSlots: 4, Models: 4, Adapters: 3,
			Kinds: []Kind{
				{Route: "main", Tenant: "one", Priority: 50, Rank: 1, PerSecond: 8, DeadlineMs: 10000, SessionOf: 3},
				{Route: "other", Tenant: "two", Priority: 50, Rank: 1, PerSecond: 8, DeadlineMs: 10000, Repeatable: true},
			},
		}, true
	}
	return Deployment{}, false
}

// ModelName and AdapterName name the catalogue.
func ModelName(i int) string { return fmt.Sprintf("model-%02d", i) }

// AdapterName names an adapter.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%02d", i) }

// EngineID names an engine.
func EngineID(i int) ident.EngineID { return ident.EngineID(fmt.Sprintf("engine-%d", i)) }

// Size is a model's size: each fills a large share of an engine.
func Size(i int) int64 { return []int64{28, 34, 45, 30}[i%4] }

// ModelsFor lists the models a kind of request may name. Some are shared, some are its own.
func (d Deployment) ModelsFor(kind int) []int {
	var out []int
	for i := range d.Models {
		if i < 2 || i%len(d.Kinds) == kind {
			out = append(out, i)
		}
	}
	return out
}

// AdapterModel is the model an adapter belongs to.
func (d Deployment) AdapterModel(adapter int) int { return adapter % d.Models }

// LoadsAtOnce and LoadGap are the store's pace.
const (
	LoadsAtOnce = 3
	LoadGap     = 150 * time.Millisecond
)

// Configuration is the deployment's bundle. Routes in without are left out.
func (d Deployment) Configuration(note string, without map[string]bool) []byte {
	return d.Grown(note, without, 0)
}

// Grown is a bundle with so many more routes, which no request uses.
func (d Deployment) Grown(note string, without map[string]bool, extra int) []byte {
	s := document.Configuration{
		Name:   d.Name + " " + note,
		Store:  document.Store{MaxConcurrentLoads: LoadsAtOnce, LoadIntervalMs: LoadGap.Milliseconds()},
		Limits: document.Limits{MaxBodyBytes: 64 << 10, MaxPending: 400, MaxPendingBytes: 16 << 20, MaxDeadlineMs: 60000, AssignmentIdleMs: 20000, MaxRetryRatio: 0.1},
	}
	for _, zone := range d.Zones {
		s.Zones = append(s.Zones, document.Zone{Name: zone})
	}
	for i := range d.Engines {
		s.Engines = append(s.Engines, document.Engine{ID: EngineID(i), Zone: d.EngineZone(i), Capacity: d.Capacity, AdapterSlots: d.AdapterSlots, Slots: d.Slots})
	}
	for i := range d.Models {
		s.Models = append(s.Models, document.Model{Name: ModelName(i), Size: Size(i)})
	}
	for i := range d.Adapters {
		s.Adapters = append(s.Adapters, document.Adapter{Name: AdapterName(i), Model: ModelName(d.AdapterModel(i))})
	}
	for k, kind := range d.Kinds {
		if without[kind.Route] {
			continue
		}
		route := document.Route{Name: kind.Route, Tenant: kind.Tenant, Priority: kind.Priority, Rank: kind.Rank}
		allowed := map[int]bool{}
		for _, model := range d.ModelsFor(k) {
			route.Models = append(route.Models, ModelName(model))
			allowed[model] = true
		}
		for i := range d.Adapters {
			if allowed[d.AdapterModel(i)] {
				route.Adapters = append(route.Adapters, AdapterName(i))
			}
		}
		s.Routes = append(s.Routes, route)
	}
	for i := range extra {
		s.Routes = append(s.Routes, document.Route{Name: fmt.Sprintf("grown-%06d", i), Tenant: d.Kinds[0].Tenant, Priority: int64(i % 100), Rank: i % 7, Models: []string{ModelName(i % d.Models)}})
	}
	data, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		panic("broken invariant: a bundle cannot be encoded: " + err.Error())
	}
	return data
}

// EngineZone spreads engines over the zones.
func (d Deployment) EngineZone(i int) ident.ZoneID { return d.Zones[i%len(d.Zones)] }

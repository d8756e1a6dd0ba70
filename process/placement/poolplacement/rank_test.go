package poolplacement

import (
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// What is requested by more urgent paths counts for more, and is never kept waiting for being rare.
func TestUrgentDemandHasMoreWeight(t *testing.T) {
	catalogue := &upstream.Catalogue{CapacityMb: 100, LoadsPerSecond: 1, Models: []upstream.Model{{Name: "urgent", SizeMb: 10, LoadMs: 1000}, {Name: "patient", SizeMb: 10, LoadMs: 1000}}}
	shares := []upstream.Share{{Pool: "pool", Weight: 1}}
	section := &upstream.Section{Pools: []upstream.Pool{{Name: "pool", Catalogue: catalogue}},
		Paths: []upstream.Path{{Name: "a", Rank: 3, Shares: shares}, {Name: "b", Rank: 5, Shares: shares}}}
	planner := NewPlanner(DefaultSettings("x", fakeLease), 1)
	in := Input{Now: 2, Section: section, View: &registry.View{}, Demand: []Demand{
		{Pool: "pool", Model: "urgent", Arrivals: 1, Rank: 3}, {Pool: "pool", Model: "patient", Arrivals: 1, Rank: 5},
		{Pool: "pool", Model: "patient", Arrivals: 0, Rank: 4}}}
	planner.adopt(section)
	planner.updateDemand(in)
	asked := planner.demand["pool"].models
	if urgent, patient := asked["urgent"], asked["patient"]; urgent.ranksBehind != 0 || patient.ranksBehind != 1 || urgent.rate() <= patient.rate() {
		t.Fatalf("the most urgent paths lead the pool by rank 3: %+v, %+v", urgent, patient)
	}
	s := &survey{demand: &poolDemand{arrivals: 90}, engines: make([]*engine, 9)}
	if s.isLight(asked["urgent"]) || !s.isLight(asked["patient"]) {
		t.Fatal("of two that few ask for, only the less urgent one takes its turn")
	}
}

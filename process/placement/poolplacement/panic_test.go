package poolplacement

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// Guards against a fault of the plan that ends the process, and with it a member of the consensus group, on one machine after
// the other: the lease is given up, the stack is logged, and planning goes on later.
func TestPlannerThatPanicsGivesUpItsLeaseAndTheProcessGoesOn(t *testing.T) {
	world := &frozenWorld{now: clock.Mark(time.Hour), holder: 7, beforeLook: func(ident.EngineID) {}, afterLook: func(ident.EngineID) {}}
	world.changed = sync.NewCond(&world.Mutex)
	catalogue := &upstream.Catalogue{Slots: 8, CapacityMb: 100, LoadsPerSecond: 10, Models: []upstream.Model{{Name: "m", SizeMb: 90, LoadMs: 1000}}}
	world.section = &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "p", Catalogue: catalogue}}}
	world.demand = []Demand{{Pool: "p", Model: "m", Queued: 3, Tokens: 500, Arrivals: 3, OldestWait: time.Second}}
	engine := &registry.Engine{Registration: registry.Registration{ID: "e", Pool: "p", Address: "there", Slots: 8}}
	sound := &registry.View{Engines: map[ident.EngineID]*registry.Engine{"e": engine}, Pools: map[string][]*registry.Engine{"p": {engine}}}
	// No registry gives such a view; whatever makes the plan panic would do.
	world.view = &registry.View{Pools: map[string][]*registry.Engine{"p": {nil}}}

	var panickedAt clock.Mark
	stacks := 0
	handler := log.HandlerFunc(func(entry *log.Entry) error {
		if stack, _ := entry.Fields["stack"].(string); entry.Level == log.ErrorLevel && strings.Contains(stack, "updateEngines") {
			world.Lock()
			defer world.Unlock()
			stacks++
			panickedAt, world.view = world.now, sound
		}
		return nil
	})
	settings := DefaultSettings("me", 3*time.Second)
	settings.PlanInterval, settings.PollInterval = time.Millisecond, time.Millisecond
	planning := NewActor(world, world, settings, world, &log.Logger{Handler: handler})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); planning.Run(ctx) }()
	world.until(func() bool { return len(world.left) > 0 })
	cancel()
	<-ended
	world.Lock()
	defer world.Unlock()
	if waited := world.now.Since(panickedAt); stacks != 1 || planning.Status().Panics != 1 || waited < 9*time.Second {
		t.Errorf("%d stacks were logged of %d panics, and it ordered again after %v", stacks, planning.Status().Panics, waited)
	}
}

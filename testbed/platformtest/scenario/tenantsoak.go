package scenario

import (
	"context"
	"sync"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// soakFaults are played only where they are named: each is a run of its own.
var soakFaults = []fault{
	{name: "tenant-soak", rest: 4 * time.Second, play: (*Run).tenantSoak},
	{name: "config-soak", rest: 4 * time.Second, play: (*Run).configSoak},
}

// tenantSoak plays all tenant faults over and over, at the same time, while routers and leaders are lost.
func (r *Run) tenantSoak(ctx context.Context) error {
	machinesLost := make(chan struct{})
	// Two tenants are hot at a time, so that one of them is where a leader is lost.
	faults := append([]fault{tenantFaults[0]}, tenantFaults...)
	failures := make(chan error, len(faults))
	var playing sync.WaitGroup
	for _, one := range faults {
		playing.Go(func() {
			for {
				if err := one.play(r, ctx); err != nil {
					failures <- err
					return
				}
				select {
				case <-machinesLost:
					return
				default:
					r.pause(ctx, one.rest)
				}
			}
		})
	}
	err := r.loseMachines(ctx)
	close(machinesLost)
	playing.Wait()
	select {
	case failure := <-failures:
		return failure
	default:
		return err
	}
}

// loseMachines loses routers and leaders, in an order drawn from the seed.
func (r *Run) loseMachines(ctx context.Context) error {
	steps := []fault{
		{name: "edge-kill", rest: 2 * time.Second, play: (*Run).edgeKill},
		{name: "leader-kill-freeze", rest: 4 * time.Second, play: (*Run).leaderKillFreeze},
		{name: "edge-freeze", rest: 2 * time.Second, play: (*Run).edgeFreeze},
		{name: "leader-freeze-kill", rest: 4 * time.Second, play: (*Run).leaderFreezeKill},
	}
	for _, index := range r.perm(len(steps)) {
		r.pause(ctx, time.Second)
		r.Say("  %s", steps[index].name)
		if err := steps[index].play(r, ctx); err != nil {
			return err
		}
		r.pause(ctx, steps[index].rest)
	}
	return nil
}

// leaderKillFreeze kills the leader of the control group while another member stands still, and a router is killed.
func (r *Run) leaderKillFreeze(ctx context.Context) error {
	leader := r.leader(ctx)
	var other *fleet.Machine
	for _, m := range r.Fleet.OfClass(fleet.Core) {
		if m != leader {
			other = m
		}
	}
	router := r.anyMachine(fleet.Edge)
	defer r.lockMachines(leader, other, router)()
	r.Fleet.Kill(leader)
	r.Fleet.Freeze(other)
	r.Fleet.Kill(router)
	r.pause(ctx, 500*ms)
	if err := r.Fleet.Restart(leader); err != nil {
		return err
	}
	if err := r.Fleet.Restart(router); err != nil {
		return err
	}
	r.pause(ctx, 2*time.Second)
	r.Fleet.Thaw(other)
	return nil
}

// leaderFreezeKill freezes the leader until another one leads, thaws it and kills it at once.
func (r *Run) leaderFreezeKill(ctx context.Context) error {
	leader := r.leader(ctx)
	if err := r.freeze(ctx, leader); err != nil {
		return err
	}
	r.pause(ctx, 50*ms)
	return r.killAndRestart(ctx, leader)
}

// leader finds the leader of the control group; where none answers it draws a member.
func (r *Run) leader(ctx context.Context) *fleet.Machine {
	for _, m := range r.Fleet.OfClass(fleet.Core) {
		var status operatorapi.Status
		if err := get(ctx, m, operatorapi.PathStatus, &status); err == nil && status.Raft != nil && status.Raft.Role == raft.Leader.String() {
			return m
		}
	}
	return r.anyMachine(fleet.Core)
}

// perm gives a random order of n things from the run's seed.
func (r *Run) perm(n int) []int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Perm(n)
}

package scenario

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
)

// edgeFaults are faults of routers, and planned restarts of them.
var edgeFaults = []fault{
	{name: "edge-kill", rest: 2 * time.Second, play: (*Run).edgeKill},
	{name: "edge-freeze", rest: 2 * time.Second, play: (*Run).edgeFreeze},
	{name: "edge-stop", rest: time.Second, play: (*Run).edgeStop},
	{name: "edge-roll", rest: time.Second, play: (*Run).edgeRoll},
	{name: "stop-in-need", rest: 2 * time.Second, play: (*Run).stopInNeed},
}

// edgeKill kills a router and starts it again.
func (r *Run) edgeKill(ctx context.Context) error {
	return r.killAndRestart(ctx, r.anyMachine(fleet.Edge))
}

// edgeFreeze suspends a router.
func (r *Run) edgeFreeze(ctx context.Context) error {
	return r.freeze(ctx, r.anyMachine(fleet.Edge))
}

// edgeStop restarts a router as planned.
func (r *Run) edgeStop(ctx context.Context) error {
	return r.restart(ctx, r.anyMachine(fleet.Edge))
}

// edgeRoll restarts all routers in turn, under four times the traffic.
func (r *Run) edgeRoll(ctx context.Context) error {
	// All in turn, with much under way.
	r.scaleLoad(4)
	defer r.scaleLoad(1)
	for _, m := range r.Fleet.OfClass(fleet.Edge) {
		r.pause(ctx, time.Second)
		if err := r.restart(ctx, m); err != nil {
			return err
		}
		r.pause(ctx, 2500*ms)
	}
	return nil
}

// stopInNeed stops a router while no engine of one service runs and those of another do not respond.
func (r *Run) stopInNeed(ctx context.Context) error {
	// No engine of one service lives, and those of another say nothing, while a router is told to end.
	notes, lm := r.enginesOf("notes"), r.enginesOf("lm")
	for _, e := range notes {
		e.Crash()
	}
	for _, e := range lm {
		e.Freeze()
	}
	r.pause(ctx, time.Second)
	m := r.anyMachine(fleet.Edge)
	killed := r.Fleet.Stop(m)
	for _, e := range lm {
		e.Thaw()
	}
	for _, e := range notes {
		if err := e.Start(); err != nil {
			return err
		}
	}
	if killed {
		r.Say("%s did not end within its grace", m.Name)
	}
	return r.Fleet.Restart(m)
}

// coreFaults are faults of core machines, and planned work on them. The rest after them is longer than the time of
// contact, so that rules that need an undisturbed core get some of it.
var coreFaults = []fault{
	{name: "core-kill", rest: 4 * time.Second, play: (*Run).coreKill},
	{name: "core-freeze", rest: 4 * time.Second, play: (*Run).coreFreeze},
	{name: "core-roll", rest: 4 * time.Second, play: (*Run).coreRoll},
	{name: "core-wipe", rest: 5 * time.Second, play: (*Run).coreWipe},
	{name: "core-replace", rest: 5 * time.Second, play: (*Run).coreReplace},
	{name: "core-herd", rest: 5 * time.Second, play: (*Run).coreHerd},
	{name: "reload", rest: time.Second, play: (*Run).reload},
}

// coreKill kills a core machine and starts it again.
func (r *Run) coreKill(ctx context.Context) error {
	return r.killAndRestart(ctx, r.anyMachine(fleet.Core))
}

// coreFreeze suspends a core machine.
func (r *Run) coreFreeze(ctx context.Context) error {
	return r.freeze(ctx, r.anyMachine(fleet.Core))
}

// coreRoll restarts all core machines in turn.
func (r *Run) coreRoll(ctx context.Context) error {
	for _, m := range r.Fleet.OfClass(fleet.Core) {
		if err := r.restart(ctx, m); err != nil {
			return err
		}
		r.pause(ctx, 4*time.Second)
	}
	return nil
}

// coreWipe kills a core machine and starts it again with an empty disk.
func (r *Run) coreWipe(ctx context.Context) error {
	m := r.anyMachine(fleet.Core)
	r.Fleet.Kill(m)
	if err := r.Fleet.Wipe(m); err != nil {
		return err
	}
	r.pause(ctx, 300*ms)
	return r.Fleet.Restart(m)
}

// coreReplace removes a core machine for good and adds an empty one.
func (r *Run) coreReplace(_ context.Context) error {
	_, err := r.Fleet.Replace(r.anyMachine(fleet.Core))
	return err
}

// coreHerd kills all core machines and starts them at once.
func (r *Run) coreHerd(ctx context.Context) error {
	for _, m := range r.Fleet.OfClass(fleet.Core) {
		r.Fleet.Kill(m)
	}
	r.pause(ctx, 300*ms)
	for _, m := range r.Fleet.OfClass(fleet.Core) {
		if err := r.Fleet.Restart(m); err != nil {
			return err
		}
	}
	return nil
}

// reload writes the settings of all machines anew and signals them.
func (r *Run) reload(_ context.Context) error {
	for _, m := range append(r.Fleet.OfClass(fleet.Edge), r.Fleet.OfClass(fleet.Core)...) {
		if err := r.Fleet.Reload(m); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) killAndRestart(ctx context.Context, m *fleet.Machine) error {
	defer r.lockMachines(m)()
	r.Fleet.Kill(m)
	r.pause(ctx, 500*ms)
	return r.Fleet.Restart(m)
}

func (r *Run) freeze(ctx context.Context, m *fleet.Machine) error {
	defer r.lockMachines(m)()
	r.Fleet.Freeze(m)
	r.pause(ctx, 2500*ms)
	r.Fleet.Thaw(m)
	return nil
}

// crashAll plays the closing fault: all machines are killed as soon as one more configuration is acknowledged. Then it reads back
// what was acknowledged.
func (r *Run) crashAll(ctx context.Context) error {
	r.Say("the closing fault")
	by, err := r.changeAndFindAcker(ctx)
	if err != nil {
		return err
	}
	// The fault budget allows the loss of one disk: of the machine that acknowledged, or of another.
	var wiped []*fleet.Machine
	switch r.draw(3) {
	case 0:
		wiped = append(wiped, r.anyMachine(fleet.Core))
	case 1:
		if by != nil {
			wiped = append(wiped, by)
		}
	}
	if err := r.Fleet.CrashAll(wiped...); err != nil {
		return err
	}
	r.pause(ctx, Bounds.Recovery+4*time.Second)
	last, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r.operator.Get(last, true)
	return nil
}

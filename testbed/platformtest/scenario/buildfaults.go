package scenario

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
)

// buildFaults restart machines with another build. They are never drawn; a run with two builds begins and ends with
// them, see withUpgrade.
var buildFaults = []fault{
	{name: "program-swap", rest: 2 * time.Second, play: (*Run).programSwap},
	{name: "program-upgrade", rest: 4 * time.Second, play: (*Run).programUpgrade},
}

// programSwap upgrades one machine of each class and downgrades another one.
func (r *Run) programSwap(ctx context.Context) error {
	if r.OtherProgram == "" {
		return errOneBuild
	}
	for _, class := range []string{fleet.Core, fleet.Edge} {
		var chosen []*fleet.Machine
		for _, program := range []string{r.OtherProgram, r.Program} {
			if machines := r.running(class, program); len(machines) > 0 {
				chosen = append(chosen, machines[r.draw(len(machines))])
			}
		}
		for _, machine := range chosen {
			if err := r.swapProgram(ctx, machine); err != nil {
				return err
			}
		}
	}
	return nil
}

// programUpgrade upgrades all machines that still run the other build, one after the other.
func (r *Run) programUpgrade(ctx context.Context) error {
	if r.OtherProgram == "" {
		return errOneBuild
	}
	for _, class := range []string{fleet.Core, fleet.Edge} {
		for _, machine := range r.running(class, r.OtherProgram) {
			if err := r.swapProgram(ctx, machine); err != nil {
				return err
			}
		}
	}
	return nil
}

var errOneBuild = errors.New("a fault of two builds needs the other build's program")

// withUpgrade adds to the faults of a run with two builds: machines change their build early, and in the end all of
// them run Program.
func withUpgrade(faults []fault) []fault {
	return slices.Concat(buildFaults[:1], faults, buildFaults[1:])
}

// running lists the machines of a class that run a program.
func (r *Run) running(class, program string) []*fleet.Machine {
	return slices.DeleteFunc(r.Fleet.OfClass(class), func(machine *fleet.Machine) bool { return machine.Program() != program })
}

// swapProgram restarts a machine with the other build, as planned, and lets it catch up.
func (r *Run) swapProgram(ctx context.Context, machine *fleet.Machine) error {
	r.Fleet.SwapProgram(machine)
	r.Say("%s restarts with %s", machine.Name, machine.Program())
	if err := r.restart(ctx, machine); err != nil {
		return err
	}
	r.pause(ctx, catchUp)
	return nil
}

// restart stops a machine's process gracefully and starts it again.
func (r *Run) restart(ctx context.Context, machine *fleet.Machine) error {
	defer r.lockMachines(machine)()
	if r.Fleet.Stop(machine) {
		r.Say("%s did not end within its grace", machine.Name)
	}
	r.pause(ctx, 300*ms)
	return r.Fleet.Restart(machine)
}

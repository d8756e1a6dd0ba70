package scenario

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
)

var errOneBuild = errors.New("a fault of two builds needs the other build's program")

// buildFaults restart machines with another build. They are drawn on no day; a day with two builds begins and ends
// with them, see withUpgrade.
var buildFaults = []fault{
	// One machine of each class is upgraded and another one downgraded.
	{name: "program-swap", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error {
		if d.OtherProgram == "" {
			return errOneBuild
		}
		for _, class := range []string{fleet.Core, fleet.Edge} {
			var chosen []*fleet.Machine
			for _, program := range []string{d.OtherProgram, d.Program} {
				if machines := d.running(class, program); len(machines) > 0 {
					chosen = append(chosen, machines[d.draw(len(machines))])
				}
			}
			for _, machine := range chosen {
				if err := d.swapProgram(ctx, machine); err != nil {
					return err
				}
			}
		}
		return nil
	}},
	// All machines that still run the other build are upgraded, one after the other.
	{name: "program-upgrade", rest: 4 * time.Second, play: func(d *Run, ctx context.Context) error {
		if d.OtherProgram == "" {
			return errOneBuild
		}
		for _, class := range []string{fleet.Core, fleet.Edge} {
			for _, machine := range d.running(class, d.OtherProgram) {
				if err := d.swapProgram(ctx, machine); err != nil {
					return err
				}
			}
		}
		return nil
	}},
}

// withUpgrade adds to the faults of a day with two builds: machines change their build early, and in the end all of
// them run Program.
func withUpgrade(faults []fault) []fault {
	return slices.Concat(buildFaults[:1], faults, buildFaults[1:])
}

// running lists the machines of a class that run a program.
func (d *Run) running(class, program string) []*fleet.Machine {
	return slices.DeleteFunc(d.Fleet.OfClass(class), func(machine *fleet.Machine) bool { return machine.Program() != program })
}

// swapProgram restarts a machine with the other build, as planned, and lets it catch up.
func (d *Run) swapProgram(ctx context.Context, machine *fleet.Machine) error {
	d.Fleet.SwapProgram(machine)
	d.Say("%s restarts with %s", machine.Name, machine.Program())
	if err := d.restart(ctx, machine); err != nil {
		return err
	}
	d.pause(ctx, catchUp)
	return nil
}

// restart asks a machine's process to end, and starts it again.
func (d *Run) restart(ctx context.Context, machine *fleet.Machine) error {
	if d.Fleet.Stop(machine) {
		d.Say("%s did not end within its grace", machine.Name)
	}
	d.pause(ctx, 300*ms)
	return d.Fleet.Restart(machine)
}

package scenario

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cresspond/cresspond/rehearsal/checker"
	"github.com/cresspond/cresspond/rehearsal/fleet"
)

// whole says whether the group has all its voters, each of them a core daemon that runs.
func (r *Run) whole() bool {
	leader := r.Fleet.Leader()
	if leader == nil {
		return false
	}
	status, err := r.Fleet.Status(leader)
	if err != nil || len(status.Raft.Members) != len(r.cores()) {
		return false
	}
	for _, p := range r.cores() {
		own, err := r.Fleet.Status(p)
		if err != nil || own.Raft == nil || !own.Raft.Voter {
			return false
		}
	}
	return true
}

func (r *Run) awaitWhole() error { return r.Await("the group has all its voters", r.whole) }

// lose ends a core daemon and its disk.
func (r *Run) lose(p *fleet.Process) error {
	r.Crash(p)
	return r.Fleet.Wipe(p)
}

// Loss loses disks and machines in every way that the brief names.
func (r *Run) Loss(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		cores := r.cores()
		epoch := uint64(1)
		roll := func(note string) error {
			err := r.Roll(note, epoch)
			epoch++
			return err
		}

		r.Say("a core machine's disk is wiped right after an acknowledgement, and it is back at the old address")
		if err := roll("before-wipe"); err != nil {
			return err
		}
		if err := r.lose(cores[0]); err != nil {
			return err
		}
		if err := cores[0].Start(); err != nil {
			return err
		}
		if err := roll("after-wipe"); err != nil {
			return err
		}
		if err := r.awaitWhole(); err != nil {
			return err
		}

		r.Say("a core machine is replaced by an empty one at a new address")
		if err := r.lose(cores[1]); err != nil {
			return err
		}
		if err := r.Fleet.Move(cores[1]); err != nil {
			return err
		}
		if err := cores[1].Start(); err != nil {
			return err
		}
		if err := roll("after-move"); err != nil {
			return err
		}
		if err := r.awaitWhole(); err != nil {
			return err
		}

		r.Say("the other two are wiped in turn, so that no disk is left that formed the group")
		for _, p := range []*fleet.Process{cores[2], cores[0]} {
			if err := r.lose(p); err != nil {
				return err
			}
			if err := p.Start(); err != nil {
				return err
			}
			if err := r.awaitWhole(); err != nil {
				return err
			}
		}
		if err := r.Zone(r.Fleet.Deployment.Zones[0], true); err != nil {
			return err
		}
		if err := roll("after-turns"); err != nil {
			return err
		}

		r.Say("all daemons are killed at once, right after an acknowledgement")
		for _, p := range r.Fleet.Daemons {
			p.Kill()
		}
		r.Act(checker.Act{Kind: checker.Crashed, Subject: "core, all at once"})
		for _, p := range r.Fleet.Daemons {
			if err := p.Start(); err != nil {
				return err
			}
		}
		if err := roll("after-all"); err != nil {
			return err
		}
		if err := r.Await("all edges are ready", r.AllReady); err != nil {
			return err
		}
		if err := r.awaitWhole(); err != nil {
			return err
		}
		r.Pause(2 * time.Second)

		// With every other seed no disk is left at all: the living daemons, none older than the last epochs, hold all that was.
		noneLeft := r.Seed%2 == 1
		r.Say("two disks are lost for good, and the third too: %t; the group is recovered from what is left and the living daemons", noneLeft)
		for _, p := range cores {
			p.Kill()
		}
		for _, p := range cores[1:] {
			if err := r.Fleet.Wipe(p); err != nil {
				return err
			}
		}
		kept := r.Fleet.DataOf(cores[0]) + ".kept"
		if err := os.Rename(r.Fleet.DataOf(cores[0]), kept); err != nil {
			return err
		}
		if noneLeft {
			kept = ""
		}
		refused := 0
		if err := r.Await("the recovery is let in", func() bool {
			said, err := r.Fleet.Recover(cores[0], kept)
			if err != nil {
				refused++
				return false
			}
			r.Say("%s", said)
			return true
		}); err != nil {
			return err
		}
		// Right after the loss a leader was still heard lately, and a recovery must be refused for that.
		if refused == 0 {
			return fmt.Errorf("the group was recovered though it had been alive a moment before")
		}
		for _, p := range cores {
			if err := p.Start(); err != nil {
				return err
			}
		}
		if err := roll("after-recovery"); err != nil {
			return err
		}
		if err := r.awaitWhole(); err != nil {
			return err
		}
		if err := r.Await("all edges are ready", r.AllReady); err != nil {
			return err
		}
		r.Pause(4 * time.Second)
		return nil
	})
}

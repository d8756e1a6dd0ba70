package scenario

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/fleet"
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

func (r *Run) awaitAllMembers() error { return r.Await("the group has all its voters", r.whole) }

// lose ends a core daemon and its disk.
func (r *Run) lose(p *fleet.Process) error {
	r.Crash(p)
	return r.Fleet.Wipe(p)
}

// Loss loses disks and machines in every way that the fault model names.
func (r *Run) Loss(ctx context.Context, scale float64) (map[string]uint64, error) {
	l := &losses{Run: r, cores: r.cores(), epoch: 1}
	return r.underLoad(ctx, scale, func() error {
		return inTurn(l.wipeOne, l.replaceOne, l.wipeOthersInTurn, l.killAll, l.loseMajority)
	})
}

// inTurn takes steps until one fails.
func inTurn(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// losses is the scenario of lost disks and machines.
type losses struct {
	*Run
	cores []*fleet.Process
	// epoch is the one that the next bundle is based on.
	epoch uint64
}

func (l *losses) roll(note string) error {
	err := l.Roll(note, l.epoch)
	l.epoch++
	return err
}

func (l *losses) wipeOne() error {
	l.Say("a core machine's disk is wiped right after an acknowledgement, and it is back at the old address")
	return inTurn(
		func() error { return l.roll("before-wipe") },
		func() error { return l.lose(l.cores[0]) },
		l.cores[0].Start,
		func() error { return l.roll("after-wipe") },
		l.awaitAllMembers,
	)
}

func (l *losses) replaceOne() error {
	l.Say("a core machine is replaced by an empty one at a new address")
	return inTurn(
		func() error { return l.lose(l.cores[1]) },
		func() error { return l.Fleet.Move(l.cores[1]) },
		l.cores[1].Start,
		func() error { return l.roll("after-move") },
		l.awaitAllMembers,
	)
}

func (l *losses) wipeOthersInTurn() error {
	l.Say("the other two are wiped in turn, so that no disk is left that formed the group")
	for _, p := range []*fleet.Process{l.cores[2], l.cores[0]} {
		if err := inTurn(func() error { return l.lose(p) }, p.Start, l.awaitAllMembers); err != nil {
			return err
		}
	}
	return inTurn(
		func() error { return l.Zone(l.Fleet.Deployment.Zones[0], true) },
		func() error { return l.roll("after-turns") },
	)
}

func (l *losses) killAll() error {
	l.Say("all daemons are killed at once, right after an acknowledgement")
	for _, p := range l.Fleet.Daemons {
		p.Kill()
	}
	l.Record(checker.Action{Kind: checker.Crashed, Subject: "core, all at once"})
	if err := startAll(l.Fleet.Daemons); err != nil {
		return err
	}
	if err := inTurn(func() error { return l.roll("after-all") }, l.awaitAllReady, l.awaitAllMembers); err != nil {
		return err
	}
	l.Pause(2 * time.Second)
	return nil
}

// loseMajority loses two disks for good and recovers the group. With every other seed no disk is left at all: the
// running daemons, none older than the last versions, have all that was acknowledged.
func (l *losses) loseMajority() error {
	noneLeft := l.Seed%2 == 1
	l.Say("two disks are lost for good, and the third too: %t; the group is recovered from what is left and the living daemons", noneLeft)
	for _, p := range l.cores {
		p.Kill()
	}
	for _, p := range l.cores[1:] {
		if err := l.Fleet.Wipe(p); err != nil {
			return err
		}
	}
	kept := l.Fleet.DataOf(l.cores[0]) + ".kept"
	if err := os.Rename(l.Fleet.DataOf(l.cores[0]), kept); err != nil {
		return err
	}
	if noneLeft {
		kept = ""
	}
	if err := l.recover(kept); err != nil {
		return err
	}
	if err := startAll(l.cores); err != nil {
		return err
	}
	if err := inTurn(func() error { return l.roll("after-recovery") }, l.awaitAllMembers, l.awaitAllReady); err != nil {
		return err
	}
	l.Pause(4 * time.Second)
	return nil
}

// recover recovers the group from a kept disk, if there is one, and the living daemons. Right after the loss a leader
// was still heard lately, and a recovery must be refused for that.
func (l *losses) recover(kept string) error {
	refused := 0
	if err := l.Await("the recovery is admitted", func() bool {
		said, err := l.Fleet.Recover(l.cores[0], kept)
		if err != nil {
			refused++
			return false
		}
		l.Say("%s", said)
		return true
	}); err != nil {
		return err
	}
	if refused == 0 {
		return errors.New("the group was recovered though it had been alive a moment before")
	}
	return nil
}

func startAll(processes []*fleet.Process) error {
	for _, p := range processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) awaitAllReady() error { return r.Await("all edges are ready", r.AllReady) }

package replica

import (
	"slices"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

type simulatedDisk struct {
	state raft.PersistentState
}

// write does what the SQLite store does with a save.
func (d *simulatedDisk) write(save raft.Save, broken defect) {
	if broken != forgottenVotes {
		d.state.HardState = save.HardState
	}
	if save.Snapshot != nil {
		d.state.Snapshot = *save.Snapshot
	}
	d.state.Entries = slices.DeleteFunc(slices.Clone(d.state.Entries), func(e raft.Entry) bool {
		return save.CompactTo > 0 && e.Index <= save.CompactTo || save.TruncateFrom > 0 && e.Index >= save.TruncateFrom
	})
	d.state.Entries = append(d.state.Entries, save.Entries...)
}

type simulatedWrite struct {
	save  *raft.Save
	later []raft.Message
}

func (n *simulatedNode) writeNext(incarnation int) {
	s := n.sim
	wait := s.writeDuration + s.randomDuration(1, 8)
	if n.stallUntil > s.now {
		wait += n.stallUntil.Since(s.now)
	}
	s.schedule(wait, func() {
		if n.incarnation != incarnation || !n.up || len(n.queue) == 0 {
			return
		}
		done := n.queue[0]
		n.queue, n.queuedAt = n.queue[1:], n.queuedAt[1:]
		if done.save != nil {
			n.disk.write(*done.save, s.defect)
			if n.onWrite != nil {
				n.onWrite(*done.save)
			}
		}
		if len(n.queue) > 0 {
			n.writeNext(incarnation)
		} else if n.stalled {
			n.stalled = false
			n.execute(n.core.Step(s.now, raft.DiskStalled{}))
		}
		if done.save != nil {
			last := raft.Persisted{}
			if k := len(done.save.Entries); k > 0 {
				last = raft.Persisted{Index: done.save.Entries[k-1].Index, Term: done.save.Entries[k-1].Term}
			} else if done.save.Snapshot != nil {
				last = raft.Persisted{Index: done.save.Snapshot.Index, Term: done.save.Snapshot.Term}
			}
			if last.Index > 0 {
				n.execute(n.core.Step(s.now, last))
			}
		}
		n.send(done.later)
	})
}

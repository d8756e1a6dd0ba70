package replica

import (
	"slices"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

type simDisk struct {
	state raft.PersistentState
}

// write is what SQLite does with a save.
func (d *simDisk) write(save raft.Save, broken brk) {
	if broken != voteForgotten {
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

type simWrite struct {
	save  *raft.Save
	later []raft.Message
}

func (n *simNode) writeNext(life int) {
	s := n.sim
	wait := s.diskTakes + s.ms(1, 8)
	if n.stallUntil > s.now {
		wait += n.stallUntil.Since(s.now)
	}
	s.after(wait, func() {
		if n.life != life || !n.up || len(n.queue) == 0 {
			return
		}
		done := n.queue[0]
		n.queue, n.since = n.queue[1:], n.since[1:]
		if done.save != nil {
			n.disk.write(*done.save, s.broken)
			if n.written != nil {
				n.written(*done.save)
			}
		}
		if len(n.queue) > 0 {
			n.writeNext(life)
		} else if n.stalled {
			n.stalled = false
			n.carryOut(n.core.Step(s.now, raft.DiskStalled{}))
		}
		if done.save != nil {
			last := raft.Persisted{}
			if k := len(done.save.Entries); k > 0 {
				last = raft.Persisted{Index: done.save.Entries[k-1].Index, Term: done.save.Entries[k-1].Term}
			} else if done.save.Snapshot != nil {
				last = raft.Persisted{Index: done.save.Snapshot.Index, Term: done.save.Snapshot.Term}
			}
			if last.Index > 0 {
				n.carryOut(n.core.Step(s.now, last))
			}
		}
		n.send(done.later)
	})
}

package replica

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Disk is where a member keeps its state; a write returns when it is synced.
type Disk interface {
	Write(group ident.GroupID, save raft.Save) error
}

// stallAfter is how long a write may take before this member counts its disk as stalled.
const diskStallTimeout = 700 * time.Millisecond

type diskWrite struct {
	group     ident.GroupID
	save      *raft.Save
	afterSync []raft.Message
}

// runDisk is the one place that writes; the actor never waits for it.
func (r *Replica) runDiskWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-r.writeQueue:
			var err error
			if next.save != nil {
				err = r.disk.Write(next.group, *next.save)
			}
			if !r.mailbox.Send(writeFinished{next, err}) {
				return
			}
		}
	}
}

func (r *Replica) handleWriteFinished(now clock.Mark, e writeFinished) {
	r.unsyncedSince = r.unsyncedSince[1:]
	if e.err != nil {
		r.fail(now, eris.Wrap(e.err, "the disk failed"))
		return
	}
	if r.diskStalled && len(r.unsyncedSince) == 0 {
		r.diskStalled = false
		r.execute(r.core.Step(now, raft.DiskStalled{Stalled: false}))
	}
	if save := e.write.save; save != nil {
		last := raft.Persisted{}
		if n := len(save.Entries); n > 0 {
			last = raft.Persisted{Index: save.Entries[n-1].Index, Term: save.Entries[n-1].Term}
		} else if save.Snapshot != nil {
			last = raft.Persisted{Index: save.Snapshot.Index, Term: save.Snapshot.Term}
		}
		if last.Index > 0 {
			r.execute(r.core.Step(now, last))
		}
	}
	r.send(now, e.write.afterSync)
}

// giveUp ends this member's part: what a failed write left behind is unknown, or the state is not what a majority
// holds, so nothing may be said that rests on it. A leader hands over first, so that the others need not wait for an
// election.
func (r *Replica) fail(now clock.Mark, why error) {
	if !r.failed {
		effects := r.core.Step(now, raft.DiskStalled{Stalled: true})
		r.failed, r.diskStalled = true, true
		for _, answer := range effects.Responses {
			if reply, ok := r.waiters[answer.RequestID]; ok {
				delete(r.waiters, answer.RequestID)
				reply(answer)
			}
		}
		r.publishStatus()
		r.send(now, effects.Messages)
	}
	r.onFatal(why)
}

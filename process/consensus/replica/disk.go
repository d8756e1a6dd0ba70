package replica

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Disk is where a member keeps its log, hard state and snapshot. Write returns once all of it is synced.
type Disk interface {
	Write(group ident.GroupID, save raft.Save) error
}

// diskStallTimeout is how long a write may take before this member counts its disk as stalled and stops taking part.
const diskStallTimeout = 700 * time.Millisecond

// participation says whether a member takes part in its group.
type participation uint8

const (
	participating participation = iota
	// diskStalled members answer and send nothing that follows from an unsynced write; they take part again once all
	// writes are synced.
	diskStalled
	// failed members take no part any more: a write failed, or their state differs from the majority's.
	failed
)

// diskWrite is one entry of the disk writer's queue. A write without a save only keeps its messages in order.
type diskWrite struct {
	group     ident.GroupID
	save      *raft.Save
	afterSync []raft.Message
}

// persisted tells the Raft core up to which entry a save reached the disk; false where it held neither entries nor a
// snapshot.
func (w diskWrite) persisted() (raft.Persisted, bool) {
	switch {
	case w.save == nil:
		return raft.Persisted{}, false
	case len(w.save.Entries) > 0:
		last := w.save.Entries[len(w.save.Entries)-1]
		return raft.Persisted{Index: last.Index, Term: last.Term}, last.Index > 0
	case w.save.Snapshot != nil:
		return raft.Persisted{Index: w.save.Snapshot.Index, Term: w.save.Snapshot.Term}, w.save.Snapshot.Index > 0
	}
	return raft.Persisted{}, false
}

// runDiskWriter is the one goroutine that writes to disk; the actor never waits for it.
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

func (r *Replica) handleWriteFinished(now clock.Mark, finished writeFinished) {
	r.unsyncedSince = r.unsyncedSince[1:]
	if finished.err != nil {
		r.fail(now, eris.Wrap(finished.err, "the disk failed"))
		return
	}
	if r.participation == diskStalled && len(r.unsyncedSince) == 0 {
		r.participation = participating
		r.execute(r.core.Step(now, raft.DiskStalled{Stalled: false}))
	}
	if last, ok := finished.write.persisted(); ok {
		r.execute(r.core.Step(now, last))
	}
	r.send(now, finished.write.afterSync)
}

// checkDiskStall looks for a write that takes too long.
func (r *Replica) checkDiskStall(now clock.Mark) {
	if r.participation == participating && len(r.unsyncedSince) > 0 && now.Since(r.unsyncedSince[0]) > diskStallTimeout {
		r.participation = diskStalled
		r.execute(r.core.Step(now, raft.DiskStalled{Stalled: true}))
	}
}

// fail ends this member's part in the group. What a failed write left on the disk is unknown, or the state is not what
// a majority holds, so nothing that rests on either may be sent. A leader transfers its leadership first, so that the
// others need not wait for an election.
func (r *Replica) fail(now clock.Mark, cause error) {
	if r.participation != failed {
		effects := r.core.Step(now, raft.DiskStalled{Stalled: true})
		r.participation = failed
		r.respond(effects.Responses)
		r.publishStatus()
		r.send(now, effects.Messages)
	}
	r.onFatal(cause)
}

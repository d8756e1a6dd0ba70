package replica

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// acquireEntry makes an entry that acquires a worker id at a moment of the group's time.
func acquireEntry(t *testing.T, index raft.Index, term raft.Term, at ident.GroupTime) raft.Entry {
	data, err := json.Marshal(statemachine.Command{Op: statemachine.OpAcquire, At: at, NodeID: "a#1", LeaseMs: 30_000})
	if err != nil {
		t.Fatal(err)
	}
	return raft.Entry{Term: term, Index: index, Kind: raft.EntryCommand, Data: data}
}

// The time since the start counts for entries found on disk, and not for those that replace them later.
func TestGroupTimeContinuesFromRestoredEntries(t *testing.T) {
	const begun, since = clock.Mark(time.Hour), 60 * time.Second
	start := func() *Core {
		members := raft.Membership{Members: []raft.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}}}
		restored := raft.PersistentState{HardState: raft.HardState{Term: 1},
			Snapshot: raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: statemachine.New().Snapshot()},
			Entries:  []raft.Entry{acquireEntry(t, 2, 1, 1_000_000), acquireEntry(t, 3, 1, 1_000_100)}}
		member := raft.New(1, DefaultConfig().Timing, restored, rand.New(rand.NewPCG(1, 1)))
		core, err := NewCore(DefaultConfig(), member, restored.Snapshot.Data, begun, func() time.Time { return time.Time{} })
		if err != nil {
			t.Fatal(err)
		}
		return core
	}
	now := begun + clock.Mark(since)

	kept := start()
	kept.Step(now, raft.Receive{Message: raft.Message{Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, LogIndex: 3, LogTerm: 1, Commit: 3}})
	if got, want := kept.groupTime(now), ident.GroupTime(1_000_100).Add(since); got != want {
		t.Errorf("what stood on disk was stamped before this life: the time is %d, not %d", got, want)
	}

	replaced := start()
	replaced.Step(now, raft.Receive{Message: raft.Message{Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, LogIndex: 2, LogTerm: 1,
		Entries: []raft.Entry{acquireEntry(t, 3, 2, 1_070_000)}, Commit: 3}})
	if got, want := replaced.groupTime(now), ident.GroupTime(1_070_000); got != want {
		t.Errorf("what took its place was stamped later: the time is %d, not %d", got, want)
	}
}

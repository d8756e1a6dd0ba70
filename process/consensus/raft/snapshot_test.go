package raft_test

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// The tests here step one member with messages that were delayed, duplicated or lost.

const (
	self   raft.MemberID = 1
	leader raft.MemberID = 2
	third  raft.MemberID = 3
)

func threeVoters() raft.Membership {
	return raft.Membership{Members: []raft.Member{{ID: self, Voter: true}, {ID: leader, Voter: true}, {ID: third, Voter: true}}}
}

// newFollower restores a member with a snapshot at index 10 and entries of term 2 up to last.
func newFollower(last raft.Index) *raft.Core {
	restored := raft.PersistentState{
		HardState: raft.HardState{Term: 2},
		Snapshot:  raft.Snapshot{Index: 10, Term: 1, Membership: threeVoters(), Data: []byte("{}")},
		Entries:   entries(2, 11, last),
	}
	return raft.New(self, raft.Timing{HeartbeatTicks: 2, ElectionTicks: 16}, restored, rand.New(rand.NewPCG(1, 1)))
}

func entries(term raft.Term, from, to raft.Index) []raft.Entry {
	var created []raft.Entry
	for index := from; index <= to; index++ {
		created = append(created, raft.Entry{Term: term, Index: index, Data: []byte{byte(term), byte(index)}})
	}
	return created
}

func receive(core *raft.Core, message raft.Message) raft.Effects {
	message.From, message.To = leader, self
	return core.Step(raft.Receive{Message: message})
}

func snapshotAt(index raft.Index, term raft.Term) *raft.Snapshot {
	return &raft.Snapshot{Index: index, Term: term, Membership: threeVoters(), Data: []byte(`{"now":1}`)}
}

// checkTerm checks that an entry is in the log, with this term.
func checkTerm(t *testing.T, core *raft.Core, index raft.Index, want raft.Term) {
	t.Helper()
	if term, known := core.EntryTerm(index); !known || term != want {
		t.Errorf("entry %d: term %d, held %t; want term %d", index, term, known, want)
	}
}

func checkAcknowledged(t *testing.T, effects raft.Effects, index raft.Index) {
	t.Helper()
	for _, message := range effects.AfterSync {
		if message.Kind == raft.MsgAppendReply && !message.Reject && message.LogIndex == index {
			return
		}
	}
	t.Errorf("index %d was not acknowledged: %+v", index, effects.AfterSync)
}

// An entry that this member acknowledged may have been counted for a commit. A snapshot of an earlier index that
// arrives after it, late or as a duplicate, must leave it in the log and on the disk.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	core := newFollower(10)
	acknowledged := receive(core, raft.Message{Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: entries(2, 11, 20), Commit: 10})
	checkAcknowledged(t, acknowledged, 20)
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2)})
	if effects.Save != nil && effects.Save.TruncateFrom != 0 {
		t.Errorf("entries from %d on are removed from the disk", effects.Save.TruncateFrom)
	}
	if core.LastIndex() != 20 {
		t.Errorf("the log ends at %d, and 20 was acknowledged", core.LastIndex())
	}
	checkTerm(t, core, 20, 2)
	checkAcknowledged(t, effects, 15)
	// The snapshot proves that its index is committed; the state advances by the entries in the log.
	if core.CommitIndex() != 15 || effects.InstallSnapshot != nil {
		t.Errorf("commit %d, installed %t", core.CommitIndex(), effects.InstallSnapshot != nil)
	}
	if !reflect.DeepEqual(effects.Committed, entries(2, 11, 15)) {
		t.Errorf("committed %+v", effects.Committed)
	}
}

// Entries after a snapshot that conflicts with the log were never committed.
func TestSnapshotReplacesConflictingLog(t *testing.T) {
	core := newFollower(20)
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 3, Snapshot: snapshotAt(15, 3)})
	if effects.InstallSnapshot == nil || effects.Save == nil || effects.Save.TruncateFrom != 1 {
		t.Fatalf("not installed: %+v", effects)
	}
	if core.LastIndex() != 15 || core.CommitIndex() != 15 {
		t.Errorf("the log ends at %d, commit %d", core.LastIndex(), core.CommitIndex())
	}
	checkAcknowledged(t, effects, 15)
}

// A snapshot beyond the end of the log is installed.
func TestSnapshotBeyondLogIsInstalled(t *testing.T) {
	core := newFollower(12)
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2)})
	if effects.InstallSnapshot == nil || core.LastIndex() != 15 || core.SnapshotIndex() != 15 {
		t.Errorf("not installed: %+v", effects)
	}
	// Appends go on after it.
	effects = receive(core, raft.Message{Kind: raft.MsgAppend, Term: 2, LogIndex: 15, LogTerm: 2, Entries: entries(2, 16, 18), Commit: 17})
	checkAcknowledged(t, effects, 18)
	if !reflect.DeepEqual(effects.Committed, entries(2, 16, 17)) {
		t.Errorf("committed %+v", effects.Committed)
	}
}

// A save in progress when a snapshot is installed is reported later: it proves nothing about the new log.
func TestPersistedAfterInstallIsIgnored(t *testing.T) {
	core := newFollower(10)
	receive(core, raft.Message{Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: entries(2, 11, 20), Commit: 10})
	receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 3, Snapshot: snapshotAt(15, 3)})
	effects := core.Step(raft.Persisted{Index: 20, Term: 2})
	if !reflect.DeepEqual(effects, raft.Effects{}) || core.LastIndex() != 15 || core.CommitIndex() != 15 {
		t.Errorf("a report about removed entries did %+v", effects)
	}
}

// A member that is ahead of the snapshot acknowledges its commit index, and retains its log.
func TestMemberAheadOfSnapshotRetainsItsState(t *testing.T) {
	core := newFollower(20)
	receive(core, raft.Message{Kind: raft.MsgAppend, Term: 2, LogIndex: 20, LogTerm: 2, Commit: 18})
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2)})
	if effects.InstallSnapshot != nil || effects.Save != nil || core.LastIndex() != 20 {
		t.Errorf("state was lost: %+v", effects)
	}
	checkAcknowledged(t, effects, 18)
}

// Memberships in entries before the snapshot are superseded by the snapshot's own.
func TestMembershipsBeforeSnapshotAreIgnored(t *testing.T) {
	before := threeVoters().Without(third)
	restored := raft.PersistentState{
		HardState: raft.HardState{Term: 2},
		Snapshot:  raft.Snapshot{Index: 10, Term: 2, Membership: threeVoters(), Data: []byte("{}")},
		Entries: []raft.Entry{
			{Term: 2, Index: 8, Kind: raft.EntryMembership, Data: before.Encode()},
			{Term: 2, Index: 9, Kind: raft.EntryMembership, Data: threeVoters().Encode()},
			{Term: 2, Index: 10},
			{Term: 2, Index: 11, Kind: raft.EntryMembership, Data: before.Encode()},
		},
	}
	core := raft.New(self, raft.Timing{HeartbeatTicks: 2, ElectionTicks: 16}, restored, rand.New(rand.NewPCG(1, 1)))
	if len(core.Membership().Members) != 2 {
		t.Fatalf("the newest membership is not in force: %+v", core.Membership())
	}
	// The newest is truncated by another leader's entry: the snapshot's is in force again.
	receive(core, raft.Message{Kind: raft.MsgAppend, Term: 3, LogIndex: 10, LogTerm: 2, Entries: entries(3, 11, 11)})
	if len(core.Membership().Members) != 3 {
		t.Errorf("the snapshot's membership is not in force again: %+v", core.Membership())
	}
}

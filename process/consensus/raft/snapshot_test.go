package raft_test

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// The tests here script one member against messages that were delayed, repeated or lost on their way.

const (
	self   raft.MemberID = 1
	leader raft.MemberID = 2
	third  raft.MemberID = 3
)

func threeVoters() raft.Membership {
	return raft.Membership{Members: []raft.Member{{ID: self, Voter: true}, {ID: leader, Voter: true}, {ID: third, Voter: true}}}
}

// member restores a member with a snapshot at index 10 and entries of term 2 up to last.
func member(last raft.Index) *raft.Core {
	restored := raft.PersistentState{
		HardState: raft.HardState{Term: 2},
		Snapshot:  raft.Snapshot{Index: 10, Term: 1, Membership: threeVoters(), Data: []byte("{}")},
		Entries:   entries(2, 11, last),
	}
	return raft.New(self, raft.Timing{HeartbeatTicks: 2, ElectionTicks: 16}, restored, rand.New(rand.NewPCG(1, 1)))
}

func entries(term raft.Term, from, to raft.Index) []raft.Entry {
	var out []raft.Entry
	for index := from; index <= to; index++ {
		out = append(out, raft.Entry{Term: term, Index: index, Data: []byte{byte(term), byte(index)}})
	}
	return out
}

func receive(core *raft.Core, message raft.Message) raft.Effects {
	message.From, message.To = leader, self
	return core.Step(raft.Receive{Message: message})
}

func snapshotAt(index raft.Index, term raft.Term) *raft.Snapshot {
	return &raft.Snapshot{Index: index, Term: term, Membership: threeVoters(), Data: []byte(`{"now":1}`)}
}

// wantTerm says that a place of the log is still held.
func wantTerm(t *testing.T, core *raft.Core, index raft.Index, want raft.Term) {
	t.Helper()
	if term, held := core.EntryTerm(index); !held || term != want {
		t.Errorf("entry %d: term %d, held %t; want term %d", index, term, held, want)
	}
}

func wantAcknowledged(t *testing.T, effects raft.Effects, index raft.Index) {
	t.Helper()
	for _, message := range effects.AfterSync {
		if message.Kind == raft.MsgAppendReply && !message.Reject && message.LogIndex == index {
			return
		}
	}
	t.Errorf("index %d was not acknowledged: %+v", index, effects.AfterSync)
}

// An entry that this member acknowledged may have been counted for a commit. A snapshot of an earlier place that
// arrives after it, late or again, must leave it in the log and on the disk.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	core := member(10)
	acknowledged := receive(core, raft.Message{Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: entries(2, 11, 20), Commit: 10})
	wantAcknowledged(t, acknowledged, 20)
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2)})
	if effects.Save != nil && effects.Save.TruncateFrom != 0 {
		t.Errorf("entries from %d on are removed from the disk", effects.Save.TruncateFrom)
	}
	if core.LastIndex() != 20 {
		t.Errorf("the log ends at %d, and 20 was acknowledged", core.LastIndex())
	}
	wantTerm(t, core, 20, 2)
	wantAcknowledged(t, effects, 15)
	// The snapshot proves its own place committed; the state gets there by the entries that the log holds.
	if core.CommitIndex() != 15 || effects.InstallSnapshot != nil {
		t.Errorf("commit %d, installed %t", core.CommitIndex(), effects.InstallSnapshot != nil)
	}
	if !reflect.DeepEqual(effects.Committed, entries(2, 11, 15)) {
		t.Errorf("committed %+v", effects.Committed)
	}
}

// Entries behind a snapshot that does not match the log are of a history that was never committed.
func TestSnapshotReplacesConflictingLog(t *testing.T) {
	core := member(20)
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 3, Snapshot: snapshotAt(15, 3)})
	if effects.InstallSnapshot == nil || effects.Save == nil || effects.Save.TruncateFrom != 1 {
		t.Fatalf("not installed: %+v", effects)
	}
	if core.LastIndex() != 15 || core.CommitIndex() != 15 {
		t.Errorf("the log ends at %d, commit %d", core.LastIndex(), core.CommitIndex())
	}
	wantAcknowledged(t, effects, 15)
}

// A snapshot behind the end of the log is installed whole.
func TestSnapshotBeyondTheLogIsInstalled(t *testing.T) {
	core := member(12)
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2)})
	if effects.InstallSnapshot == nil || core.LastIndex() != 15 || core.SnapshotIndex() != 15 {
		t.Errorf("not installed: %+v", effects)
	}
	// Appends go on behind it.
	effects = receive(core, raft.Message{Kind: raft.MsgAppend, Term: 2, LogIndex: 15, LogTerm: 2, Entries: entries(2, 16, 18), Commit: 17})
	wantAcknowledged(t, effects, 18)
	if !reflect.DeepEqual(effects.Committed, entries(2, 16, 17)) {
		t.Errorf("committed %+v", effects.Committed)
	}
}

// A write under way when a snapshot is installed reports its end later: it proves nothing about the new log.
func TestWriteReportedAfterInstallProvesNothing(t *testing.T) {
	core := member(10)
	receive(core, raft.Message{Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: entries(2, 11, 20), Commit: 10})
	receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 3, Snapshot: snapshotAt(15, 3)})
	effects := core.Step(raft.Persisted{Index: 20, Term: 2})
	if !reflect.DeepEqual(effects, raft.Effects{}) || core.LastIndex() != 15 || core.CommitIndex() != 15 {
		t.Errorf("a report about removed entries did %+v", effects)
	}
}

// A member that is ahead of the snapshot says how far it is, and keeps all it has.
func TestMemberAheadOfTheSnapshotKeepsItsState(t *testing.T) {
	core := member(20)
	receive(core, raft.Message{Kind: raft.MsgAppend, Term: 2, LogIndex: 20, LogTerm: 2, Commit: 18})
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2)})
	if effects.InstallSnapshot != nil || effects.Save != nil || core.LastIndex() != 20 {
		t.Errorf("state was given up: %+v", effects)
	}
	wantAcknowledged(t, effects, 18)
}

// Entries kept before a snapshot hold memberships that the snapshot holds already, in the order of the log.
func TestMembershipsBeforeTheSnapshotAreNotTakenTwice(t *testing.T) {
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
	// The newest is replaced by another leader's entry: the one of the snapshot holds again.
	receive(core, raft.Message{Kind: raft.MsgAppend, Term: 3, LogIndex: 10, LogTerm: 2, Entries: entries(3, 11, 11)})
	if len(core.Membership().Members) != 3 {
		t.Errorf("the snapshot's membership does not hold again: %+v", core.Membership())
	}
}

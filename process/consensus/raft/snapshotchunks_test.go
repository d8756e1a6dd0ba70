package raft_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// newLeader makes a leader whose log is compacted beyond its peers' match, with a snapshot of so many bytes.
func newLeader(t *testing.T, stateBytes int) *raft.Core {
	t.Helper()
	restored := raft.PersistentState{HardState: raft.HardState{Term: 2}, Snapshot: raft.Snapshot{
		Index: 10, Term: 1, Membership: threeVoters(), Data: bytes.Repeat([]byte{7}, stateBytes)}}
	core := raft.New(self, raft.Timing{HeartbeatTicks: 2, ElectionTicks: 16}, restored, rand.New(rand.NewPCG(1, 1)))
	for core.Role() != raft.Candidate {
		effects := core.Step(raft.Tick{})
		for _, message := range effects.AfterSync {
			if message.Kind == raft.MsgPreVote {
				core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgPreVoteReply, From: self, To: self, Term: message.Term}})
				core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgPreVoteReply, From: leader, To: self, Term: message.Term}})
			}
		}
	}
	for _, voter := range []raft.MemberID{self, leader} {
		core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgVoteReply, From: voter, To: self, Term: core.Term()}})
	}
	if core.Role() != raft.Leader {
		t.Fatal("the member is not the leader")
	}
	return core
}

// rejectAppend has the third member reply that its log is empty, as a member of this build or of an earlier one.
func rejectAppend(core *raft.Core, acceptsChunks bool) raft.Effects {
	return core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgAppendReply, From: third, To: self, Term: core.Term(), Reject: true, AcceptsChunks: acceptsChunks}})
}

func acknowledgeChunk(core *raft.Core, offset uint64) raft.Effects {
	return core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgSnapshotReply, From: third, To: self, Term: core.Term(), LogIndex: 10, LogTerm: 1, SnapshotOffset: offset, AcceptsChunks: true}})
}

func snapshotMessages(effects raft.Effects) []raft.Message {
	var out []raft.Message
	for _, message := range effects.Immediate {
		if message.Kind == raft.MsgSnapshot && message.To == third {
			out = append(out, message)
		}
	}
	return out
}

const largeStateBytes = 700 << 10

// A lost chunk is sent again, and those before it are not.
func TestLeaderResumesSnapshotAfterLostChunk(t *testing.T) {
	core := newLeader(t, largeStateBytes)
	first := snapshotMessages(rejectAppend(core, true))
	if len(first) != 1 || first[0].SnapshotOffset != 0 || first[0].SnapshotSize != largeStateBytes || len(first[0].Snapshot.Data) != 256<<10 {
		t.Fatalf("first part: %d messages", len(first))
	}
	second := snapshotMessages(acknowledgeChunk(core, 256<<10))
	if len(second) != 1 || second[0].SnapshotOffset != 256<<10 {
		t.Fatalf("second part: %+v", len(second))
	}
	// A duplicate reply sends nothing twice, and the second chunk is lost.
	if again := snapshotMessages(acknowledgeChunk(core, 256<<10)); len(again) != 0 {
		t.Error("a duplicate reply had a chunk sent again")
	}
	var resent []raft.Message
	for ticks := 0; len(resent) == 0 && ticks < 40; ticks++ {
		effects := core.Step(raft.Tick{})
		resent = snapshotMessages(effects)
		core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgHeartbeatReply, From: leader, To: self, Term: core.Term(), AcceptsChunks: true}})
		core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgHeartbeatReply, From: third, To: self, Term: core.Term(), AcceptsChunks: true}})
	}
	if len(resent) != 1 || resent[0].SnapshotOffset != 256<<10 {
		t.Fatalf("not resumed: %d messages", len(resent))
	}
	last := snapshotMessages(acknowledgeChunk(core, 512<<10))
	if len(last) != 1 || last[0].SnapshotOffset+uint64(len(last[0].Snapshot.Data)) != largeStateBytes {
		t.Fatalf("last part: %d messages", len(last))
	}
}

// A member of an earlier build reads only complete snapshots.
func TestMemberWithoutChunkSupportIsSentCompleteSnapshot(t *testing.T) {
	core := newLeader(t, largeStateBytes)
	sent := snapshotMessages(rejectAppend(core, false))
	if len(sent) != 1 || len(sent[0].Snapshot.Data) != largeStateBytes {
		t.Fatalf("%d messages", len(sent))
	}
}

// A leader of an earlier build sends no size and no checksum.
func TestCompleteSnapshotOfEarlierBuildIsInstalled(t *testing.T) {
	core := newFollower(10)
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2)})
	if effects.InstallSnapshot == nil {
		t.Error("not installed")
	}
}

// While a snapshot is in transfer the entries after it stay, or the peer would need another at once.
func TestCompactionRetainsEntriesAfterSnapshotInTransfer(t *testing.T) {
	core := newLeader(t, largeStateBytes)
	rejectAppend(core, true)
	last := core.LastIndex()
	for range 30 {
		last = core.Step(raft.Propose{Data: []byte("command")}).ProposedIndex
	}
	core.Step(raft.Persisted{Index: last, Term: core.Term()})
	core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgAppendReply, From: leader, To: self, Term: core.Term(), LogIndex: last, AcceptsChunks: true}})
	core.Step(raft.Compact{Index: last, Data: []byte("state"), RetainEntries: 3})
	if core.SnapshotIndex() != last {
		t.Fatal("the log was not compacted")
	}
	if _, known := core.EntryTerm(11); !known {
		t.Error("the entry after the snapshot in transfer is gone")
	}
	if next := snapshotMessages(acknowledgeChunk(core, 256<<10)); len(next) != 1 || next[0].Snapshot.Index != 10 {
		t.Errorf("the snapshot in transfer was given up: %d messages", len(next))
	}
	// Once the peer has installed it, it is sent the entries after it.
	effects := core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgAppendReply, From: third, To: self, Term: core.Term(), LogIndex: 10, AcceptsChunks: true}})
	if len(snapshotMessages(effects)) != 0 {
		t.Error("another snapshot is sent")
	}
}

// A snapshot that can't be used is rejected with a notice and requested anew, and changes nothing.
func TestUnusableSnapshotIsRejected(t *testing.T) {
	damaged := snapshotAt(15, 2)
	damaged.Checksum = make([]byte, 32)
	empty := snapshotAt(15, 2)
	empty.Data = nil
	for name, snapshot := range map[string]*raft.Snapshot{"checksum": damaged, "empty": empty, "unreadable": snapshotAt(15, 2)} {
		t.Run(name, func(t *testing.T) {
			core := newFollower(12)
			core.SetSnapshotCheck(func(raft.Snapshot) error { return raft.ErrEmptySnapshot })
			effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshot, SnapshotSize: uint64(len(snapshot.Data))})
			if effects.InstallSnapshot != nil || effects.Save != nil || core.LastIndex() != 12 || core.CommitIndex() != 10 {
				t.Errorf("it changed something: %+v", effects)
			}
			if len(effects.Notices) != 1 || effects.Notices[0].Kind != raft.NoticeSnapshotRejected || effects.Notices[0].Err == nil {
				t.Errorf("not counted: %+v", effects.Notices)
			}
			replies := append(effects.Immediate, effects.AfterSync...)
			if len(replies) != 1 || !replies[0].Reject {
				t.Errorf("not requested anew: %+v", replies)
			}
		})
	}
}

// A rejected snapshot is sent again from its start.
func TestLeaderResendsRejectedSnapshotFromStart(t *testing.T) {
	core := newLeader(t, largeStateBytes)
	rejectAppend(core, true)
	acknowledgeChunk(core, 256<<10)
	core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgSnapshotReply, From: third, To: self, Term: core.Term(), LogIndex: 10, LogTerm: 1, Reject: true}})
	for range 40 {
		effects := core.Step(raft.Tick{})
		for _, peer := range []raft.MemberID{leader, third} {
			core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgHeartbeatReply, From: peer, To: self, Term: core.Term(), AcceptsChunks: true}})
		}
		if sent := snapshotMessages(effects); len(sent) == 1 {
			if sent[0].SnapshotOffset != 0 {
				t.Errorf("sent again from %d", sent[0].SnapshotOffset)
			}
			return
		}
	}
	t.Error("not sent again")
}

// An unresponsive peer is sent no snapshot, however long that lasts; once it replies it is.
func TestUnresponsivePeerIsSentNoSnapshot(t *testing.T) {
	core := newLeader(t, largeStateBytes)
	rejectAppend(core, true)
	sent := 0
	for range 400 {
		sent += len(snapshotMessages(core.Step(raft.Tick{})))
		core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgHeartbeatReply, From: leader, To: self, Term: core.Term(), AcceptsChunks: true}})
	}
	if sent > 2 {
		t.Errorf("%d chunks were sent to an unresponsive peer", sent)
	}
	if resent := snapshotMessages(rejectAppend(core, true)); len(resent) != 1 {
		t.Errorf("%d chunks are sent once it is back", len(resent))
	}
}

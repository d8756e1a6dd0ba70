package raft_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// leading makes a leader whose log was cut behind what its peers hold, with a snapshot of so many bytes.
func leading(t *testing.T, bytesOfState int) *raft.Core {
	t.Helper()
	restored := raft.PersistentState{HardState: raft.HardState{Term: 2}, Snapshot: raft.Snapshot{
		Index: 10, Term: 1, Membership: threeVoters(), Data: bytes.Repeat([]byte{7}, bytesOfState)}}
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
		t.Fatal("it does not lead")
	}
	return core
}

// lags has the peer say that it holds nothing, as a member of this build or of the one before.
func lags(core *raft.Core, takesParts bool) raft.Effects {
	return core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgAppendReply, From: third, To: self, Term: core.Term(), Reject: true, AcceptsChunks: takesParts}})
}

func holds(core *raft.Core, offset uint64) raft.Effects {
	return core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgSnapshotReply, From: third, To: self, Term: core.Term(), LogIndex: 10, LogTerm: 1, SnapshotOffset: offset, AcceptsChunks: true}})
}

func snapshotsOf(effects raft.Effects) []raft.Message {
	var out []raft.Message
	for _, message := range effects.Immediate {
		if message.Kind == raft.MsgSnapshot && message.To == third {
			out = append(out, message)
		}
	}
	return out
}

const largeState = 700 << 10

// A part that was lost is sent again, and those before it are not.
func TestLeaderResumesASnapshotAfterALoss(t *testing.T) {
	core := leading(t, largeState)
	first := snapshotsOf(lags(core, true))
	if len(first) != 1 || first[0].SnapshotOffset != 0 || first[0].SnapshotSize != largeState || len(first[0].Snapshot.Data) != 256<<10 {
		t.Fatalf("first part: %d messages", len(first))
	}
	second := snapshotsOf(holds(core, 256<<10))
	if len(second) != 1 || second[0].SnapshotOffset != 256<<10 {
		t.Fatalf("second part: %+v", len(second))
	}
	// A reply that comes twice sends nothing twice, and the second part is lost.
	if again := snapshotsOf(holds(core, 256<<10)); len(again) != 0 {
		t.Error("a repeated reply had a part sent again")
	}
	var resent []raft.Message
	for ticks := 0; len(resent) == 0 && ticks < 40; ticks++ {
		effects := core.Step(raft.Tick{})
		resent = snapshotsOf(effects)
		core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgHeartbeatReply, From: leader, To: self, Term: core.Term(), AcceptsChunks: true}})
		core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgHeartbeatReply, From: third, To: self, Term: core.Term(), AcceptsChunks: true}})
	}
	if len(resent) != 1 || resent[0].SnapshotOffset != 256<<10 {
		t.Fatalf("not resumed: %d messages", len(resent))
	}
	last := snapshotsOf(holds(core, 512<<10))
	if len(last) != 1 || last[0].SnapshotOffset+uint64(len(last[0].Snapshot.Data)) != largeState {
		t.Fatalf("last part: %d messages", len(last))
	}
}

// A member of the build before reads only whole snapshots.
func TestMemberThatTakesNoPartsGetsTheWhole(t *testing.T) {
	core := leading(t, largeState)
	sent := snapshotsOf(lags(core, false))
	if len(sent) != 1 || len(sent[0].Snapshot.Data) != largeState {
		t.Fatalf("%d messages", len(sent))
	}
}

// A leader of the build before says no size and no checksum.
func TestWholeSnapshotOfAnEarlierBuildIsTaken(t *testing.T) {
	core := member(10)
	effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2)})
	if effects.InstallSnapshot == nil {
		t.Error("not installed")
	}
}

// While a snapshot is on its way the entries behind it stay, or the peer would need another at once.
func TestLogBehindASnapshotOnItsWayIsKept(t *testing.T) {
	core := leading(t, largeState)
	lags(core, true)
	last := core.LastIndex()
	for range 30 {
		last = core.Step(raft.Propose{Data: []byte("command")}).ProposedIndex
	}
	core.Step(raft.Persisted{Index: last, Term: core.Term()})
	core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgAppendReply, From: leader, To: self, Term: core.Term(), LogIndex: last, AcceptsChunks: true}})
	core.Step(raft.Compact{Index: last, Data: []byte("state"), RetainEntries: 3})
	if core.SnapshotIndex() != last {
		t.Fatal("the log was not cut")
	}
	if _, held := core.EntryTerm(11); !held {
		t.Error("the entry behind the snapshot on its way is gone")
	}
	if next := snapshotsOf(holds(core, 256<<10)); len(next) != 1 || next[0].Snapshot.Index != 10 {
		t.Errorf("the snapshot on its way was given up: %d messages", len(next))
	}
	// Once the peer holds it the log goes on from there, and the next cut is whole.
	effects := core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgAppendReply, From: third, To: self, Term: core.Term(), LogIndex: 10, AcceptsChunks: true}})
	if len(snapshotsOf(effects)) != 0 {
		t.Error("another snapshot is sent")
	}
}

// A snapshot that can't be read is refused, counted, asked for anew, and changes nothing.
func TestUnreadableSnapshotIsRefused(t *testing.T) {
	damaged := snapshotAt(15, 2)
	damaged.Checksum = make([]byte, 32)
	empty := snapshotAt(15, 2)
	empty.Data = nil
	for name, snapshot := range map[string]*raft.Snapshot{"checksum": damaged, "empty": empty, "unreadable": snapshotAt(15, 2)} {
		t.Run(name, func(t *testing.T) {
			core := member(12)
			core.SetSnapshotCheck(func(raft.Snapshot) error { return raft.ErrEmptySnapshot })
			effects := receive(core, raft.Message{Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshot, SnapshotSize: uint64(len(snapshot.Data))})
			if effects.InstallSnapshot != nil || effects.Save != nil || core.LastIndex() != 12 || core.CommitIndex() != 10 {
				t.Errorf("it changed something: %+v", effects)
			}
			if len(effects.Notices) != 1 || effects.Notices[0].Kind != raft.NoticeSnapshotRejected || effects.Notices[0].Err == nil {
				t.Errorf("not counted: %+v", effects.Notices)
			}
			asked := append(effects.Immediate, effects.AfterSync...)
			if len(asked) != 1 || !asked[0].Reject {
				t.Errorf("not asked for anew: %+v", asked)
			}
		})
	}
}

// A refused snapshot is sent again from its start.
func TestLeaderSendsARefusedSnapshotAnew(t *testing.T) {
	core := leading(t, largeState)
	lags(core, true)
	holds(core, 256<<10)
	core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgSnapshotReply, From: third, To: self, Term: core.Term(), LogIndex: 10, LogTerm: 1, Reject: true}})
	for range 40 {
		effects := core.Step(raft.Tick{})
		for _, peer := range []raft.MemberID{leader, third} {
			core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgHeartbeatReply, From: peer, To: self, Term: core.Term(), AcceptsChunks: true}})
		}
		if sent := snapshotsOf(effects); len(sent) == 1 {
			if sent[0].SnapshotOffset != 0 {
				t.Errorf("sent again from %d", sent[0].SnapshotOffset)
			}
			return
		}
	}
	t.Error("not sent again")
}

// A peer that is away is sent no snapshot, however long that takes; once it answers it is.
func TestPeerThatIsAwayIsSentNoSnapshot(t *testing.T) {
	core := leading(t, largeState)
	lags(core, true)
	sent := 0
	for range 400 {
		sent += len(snapshotsOf(core.Step(raft.Tick{})))
		core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgHeartbeatReply, From: leader, To: self, Term: core.Term(), AcceptsChunks: true}})
	}
	if sent > 2 {
		t.Errorf("%d parts were sent to a peer that says nothing", sent)
	}
	if again := snapshotsOf(lags(core, true)); len(again) != 1 {
		t.Errorf("%d parts are sent once it is back", len(again))
	}
}

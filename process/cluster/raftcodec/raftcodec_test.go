package raftcodec

import (
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/wire/peerapi"
)

func members() raft.Membership {
	return raft.Membership{Members: []raft.Member{{ID: 1, Name: "a", Address: "x", Voter: true}, {ID: 2, Name: "b", Address: "y", Voter: true}}}
}

// overTheWire returns what the receiver decodes of messages.
func overTheWire(t *testing.T, messages []raft.Message) ([]raft.Message, error) {
	t.Helper()
	data, err := proto.Marshal(&peerapi.RaftBatch{Group: "g", Messages: Encode(messages)})
	if err != nil {
		t.Fatal(err)
	}
	var batch peerapi.RaftBatch
	if err := proto.Unmarshal(data, &batch); err != nil {
		t.Fatal(err)
	}
	return Decode(batch.Messages)
}

func TestMessagesRoundTrip(t *testing.T) {
	sent := []raft.Message{
		{Kind: raft.MsgSnapshot, From: 1, To: 2, Term: 4, SnapshotOffset: 5, SnapshotSize: 9, Snapshot: &raft.Snapshot{Index: 7, Term: 3, Membership: members(), Data: []byte("part"), Checksum: make([]byte, 32)}},
		{Kind: raft.MsgSnapshotReply, From: 2, To: 1, Term: 4, LogIndex: 7, LogTerm: 3, SnapshotOffset: 9, Reject: true, AcceptsChunks: true},
		{Kind: raft.MsgHeartbeat, From: 1, To: 2, Term: 4, Commit: 9, HeartbeatRound: 3, FeatureLevel: 7, Incarnation: 1 << 63, StateDigest: &raft.StateDigest{Index: 8, Format: 1 << 63, Sum: 5, Differs: true}},
		{Kind: raft.MsgAppend, From: 1, To: 2, Term: 4, LogIndex: 7, LogTerm: 3, Entries: []raft.Entry{{Term: 4, Index: 8, Kind: raft.EntryMembership, Data: members().Encode()}, {Term: 4, Index: 9, Data: []byte("x")}}},
	}
	got, err := overTheWire(t, sent)
	if err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("%v\n%+v\n%+v", err, got, sent)
	}
}

// A message that can't be from a correct member is rejected with its whole batch.
func TestInvalidMessagesAreRejected(t *testing.T) {
	valid := raft.Message{Kind: raft.MsgHeartbeat, From: 1, To: 2, Term: 4}
	if _, err := overTheWire(t, []raft.Message{valid}); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*peerapi.RaftMessage){
		"unknown kind":      func(m *peerapi.RaftMessage) { m.Kind = 12 },
		"a kind that wraps": func(m *peerapi.RaftMessage) { m.Kind = 256 + uint32(raft.MsgHeartbeat) },
		"no sender":         func(m *peerapi.RaftMessage) { m.From = 0 },
		"its own sender":    func(m *peerapi.RaftMessage) { m.From = m.To },
		"no term":           func(m *peerapi.RaftMessage) { m.Term = 0 },
		"absurd term":       func(m *peerapi.RaftMessage) { m.Term = math.MaxUint64 },
		"absurd commit":     func(m *peerapi.RaftMessage) { m.Commit = math.MaxUint64 },
		"entries":           func(m *peerapi.RaftMessage) { m.Entries = []*peerapi.RaftEntry{{Term: 4, Index: 1}} },
		"no entry":          func(m *peerapi.RaftMessage) { m.Kind, m.Entries = uint32(raft.MsgAppend), []*peerapi.RaftEntry{nil} },
		"an entry that wraps": func(m *peerapi.RaftMessage) {
			m.Kind, m.Entries = uint32(raft.MsgAppend), []*peerapi.RaftEntry{{Term: 4, Index: 1, Kind: 256}}
		},
		"a snapshot": func(m *peerapi.RaftMessage) {
			m.Snapshot = &peerapi.RaftSnapshot{Index: 1, Term: 1, Membership: members().Encode()}
		},
		"snapshot's membership": func(m *peerapi.RaftMessage) {
			m.Kind, m.Snapshot = uint32(raft.MsgSnapshot), &peerapi.RaftSnapshot{Index: 1, Term: 1, Membership: []byte("{")}
		},
		"snapshot's checksum": func(m *peerapi.RaftMessage) {
			m.Kind, m.Snapshot = uint32(raft.MsgSnapshot), &peerapi.RaftSnapshot{Index: 1, Term: 1, Membership: members().Encode(), Data: []byte("x"), Checksum: []byte("short")}
		},
		"a chunk beyond the snapshot": func(m *peerapi.RaftMessage) {
			m.Kind, m.SnapshotOffset, m.SnapshotSize = uint32(raft.MsgSnapshot), 9, 9
			m.Snapshot = &peerapi.RaftSnapshot{Index: 1, Term: 1, Membership: members().Encode(), Data: []byte("x")}
		},
	} {
		messages := Encode([]raft.Message{valid, valid})
		change(messages[1])
		if _, err := Decode(messages); !errors.Is(err, ErrInvalidMessage) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Decode([]*peerapi.RaftMessage{nil}); !errors.Is(err, ErrInvalidMessage) {
		t.Errorf("no message: %v", err)
	}
}

// FuzzDecodedMessagesAreSafeToStep: whatever arrives is rejected, or a member can step it without a panic.
func FuzzDecodedMessagesAreSafeToStep(f *testing.F) {
	complete := raft.Snapshot{Index: 7, Term: 3, Membership: members(), Data: []byte("{}")}
	for _, message := range []raft.Message{
		{Kind: raft.MsgAppend, From: 1, To: 2, Term: 4, LogIndex: 7, LogTerm: 3, Entries: []raft.Entry{{Term: 4, Index: 8}}},
		{Kind: raft.MsgSnapshot, From: 1, To: 2, Term: 4, Snapshot: &complete, SnapshotSize: 2},
		{Kind: raft.MsgHeartbeat, From: 1, To: 2, Term: 4, Commit: 9, StateDigest: &raft.StateDigest{Index: 8, Format: 1, Sum: 5}},
		{Kind: raft.MsgVote, From: 1, To: 2, Term: 4, LogIndex: 9, LogTerm: 3},
	} {
		data, err := proto.Marshal(&peerapi.RaftBatch{Group: "g", Messages: Encode([]raft.Message{message})})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch peerapi.RaftBatch
		if proto.Unmarshal(data, &batch) != nil {
			return
		}
		messages, err := Decode(batch.Messages)
		if err != nil {
			return
		}
		core := raft.New(2, raft.Timing{HeartbeatTicks: 2, ElectionTicks: 16}, raft.PersistentState{HardState: raft.HardState{Term: 3},
			Snapshot: raft.Snapshot{Index: 5, Term: 3, Membership: members(), Data: []byte("{}")}, Entries: []raft.Entry{{Term: 3, Index: 6}}}, rand.New(rand.NewPCG(1, 1)))
		for _, message := range messages {
			before := core.CommitIndex()
			core.Step(raft.Receive{Message: message})
			if core.CommitIndex() < before {
				t.Fatalf("commit went back from %d to %d", before, core.CommitIndex())
			}
		}
	})
}

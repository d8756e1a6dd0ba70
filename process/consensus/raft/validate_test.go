package raft_test

import (
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Invalid messages are rejected with a notice and change nothing.
func TestMalformedMessagesAreRejected(t *testing.T) {
	hole := entries(2, 11, 14)
	hole[2].Index++
	backwards := entries(2, 11, 14)
	backwards[3].Term = 1
	unknown := entries(2, 11, 11)
	unknown[0].Kind = 9
	unreadable := entries(2, 11, 11)
	unreadable[0].Kind = raft.EntryMembership
	nobody := entries(2, 11, 11)
	nobody[0].Kind, nobody[0].Data = raft.EntryMembership, raft.Membership{}.Encode()
	twice := entries(2, 11, 11)
	twice[0].Kind, twice[0].Data = raft.EntryMembership, raft.Membership{Members: []raft.Member{{ID: 1, Voter: true}, {ID: 1, Voter: true}}}.Encode()
	nobodys := snapshotAt(15, 2)
	nobodys.Membership = raft.Membership{}
	for name, message := range map[string]raft.Message{
		"unknown kind":                  {Kind: 99, Term: 2},
		"no term":                       {Kind: raft.MsgAppend, LogIndex: 10, LogTerm: 1},
		"absurd term":                   {Kind: raft.MsgAppend, Term: math.MaxUint64, LogIndex: 10, LogTerm: 1},
		"term far beyond":               {Kind: raft.MsgVote, Term: 1 << 40, LogIndex: 10, LogTerm: 1},
		"absurd index":                  {Kind: raft.MsgAppend, Term: 2, LogIndex: math.MaxUint64, LogTerm: 1},
		"absurd commit":                 {Kind: raft.MsgHeartbeat, Term: 2, Commit: math.MaxUint64},
		"absurd hint":                   {Kind: raft.MsgAppendReply, Term: 2, Reject: true, Hint: math.MaxUint64},
		"later term than the sender's":  {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 3},
		"contradicts what is committed": {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 2},
		"a gap":                         {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: hole},
		"entries elsewhere":             {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: entries(2, 12, 13)},
		"terms that go back":            {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: backwards},
		"entry of a later term":         {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: entries(3, 11, 11)},
		"unknown entry":                 {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: unknown},
		"unreadable membership":         {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: unreadable},
		"membership without voters":     {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: nobody},
		"membership with one twice":     {Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: twice},
		"entries in a heartbeat":        {Kind: raft.MsgHeartbeat, Term: 2, Entries: entries(2, 1, 1)},
		"no snapshot":                   {Kind: raft.MsgSnapshot, Term: 2},
		"snapshot at zero":              {Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(0, 1)},
		"snapshot of a later term":      {Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 3)},
		"snapshot without voters":       {Kind: raft.MsgSnapshot, Term: 2, Snapshot: nobodys},
		"chunk beyond the size":         {Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2), SnapshotOffset: 5, SnapshotSize: 6},
		"chunk without a size":          {Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2), SnapshotOffset: 5},
		"absurd size":                   {Kind: raft.MsgSnapshot, Term: 2, Snapshot: snapshotAt(15, 2), SnapshotSize: math.MaxUint64},
	} {
		t.Run(name, func(t *testing.T) {
			core := newFollower(10)
			effects := receive(core, message)
			if len(effects.Notices) != 1 || effects.Notices[0].Kind != raft.NoticeMessageRejected || effects.Notices[0].Peer != leader {
				t.Fatalf("not rejected: %+v", effects)
			}
			if !errors.As(effects.Notices[0].Err, new(raft.MalformedError)) {
				t.Errorf("rejected with %v", effects.Notices[0].Err)
			}
			effects.Notices = nil
			if !reflect.DeepEqual(effects, raft.Effects{}) || core.Term() != 2 || core.LastIndex() != 10 || core.CommitIndex() != 10 || core.LeaderID() != 0 {
				t.Errorf("it changed something: %+v", effects)
			}
		})
	}
}

// A leader neither steps down for another one of its own term nor panics.
func TestLeaderRejectsAnotherLeaderOfItsTerm(t *testing.T) {
	core := newLeader(t, 10)
	effects := core.Step(raft.Receive{Message: raft.Message{Kind: raft.MsgHeartbeat, From: third, To: self, Term: core.Term()}})
	if core.Role() != raft.Leader || len(effects.Notices) != 1 {
		t.Errorf("%v, %+v", core.Role(), effects)
	}
}

// Random messages, many of them invalid, never panic and never lower the commit index.
func TestRandomMessagesNeverPanicOrLowerCommit(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	refused := 0
	for range 2000 {
		core := newFollower(20)
		core.SetSnapshotCheck(func(raft.Snapshot) error {
			if random.IntN(2) == 0 {
				return raft.ErrChecksumMismatch
			}
			return nil
		})
		commit := core.CommitIndex()
		for range 60 {
			effects := core.Step(randomEvent(random))
			if core.CommitIndex() < commit {
				t.Fatalf("commit went from %d to %d", commit, core.CommitIndex())
			}
			commit = core.CommitIndex()
			refused += len(effects.Notices)
		}
	}
	t.Logf("%d notices in 120000 events", refused)
}

func randomEvent(random *rand.Rand) raft.Event {
	if random.IntN(4) == 0 {
		return raft.Tick{}
	}
	index := func() raft.Index {
		if random.IntN(20) == 0 {
			return raft.Index(random.Uint64())
		}
		return raft.Index(random.IntN(30))
	}
	term := func() raft.Term { return raft.Term(random.IntN(5)) }
	message := raft.Message{
		Kind: raft.MessageKind(random.IntN(13)), From: raft.MemberID(random.IntN(5)), To: self, Term: term(), LogIndex: index(), LogTerm: term(),
		Commit: index(), Reject: random.IntN(2) == 0, Hint: index(), HeartbeatRound: random.Uint64N(9), SnapshotOffset: random.Uint64N(12), SnapshotSize: random.Uint64N(12), AcceptsChunks: random.IntN(2) == 0,
	}
	if random.IntN(3) == 0 {
		first := message.LogIndex + raft.Index(random.IntN(3))
		message.Entries = entries(term(), first, first+raft.Index(random.IntN(4)))
		for position := range message.Entries {
			message.Entries[position].Kind = raft.EntryKind(random.IntN(4))
		}
	}
	if random.IntN(3) == 0 {
		message.Snapshot = snapshotAt(index(), term())
		message.Snapshot.Data = message.Snapshot.Data[:random.IntN(9)]
	}
	return raft.Receive{Message: message}
}

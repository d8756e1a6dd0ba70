package replica

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

type frozenClock struct{}

func (frozenClock) Elapsed() clock.Mark { return clock.Mark(time.Hour) }

func (frozenClock) Wall() time.Time { return time.UnixMilli(1790000000000) }

// recordingTransport keeps what was sent.
type recordingTransport struct{ all []raft.Message }

func (s *recordingTransport) Send(_ ident.GroupID, _ raft.Member, messages []raft.Message) {
	s.all = append(s.all, messages...)
}

type discardingDisk struct{}

func (discardingDisk) Write(ident.GroupID, raft.Save) error { return nil }

func follower(t *testing.T, links Transport, options ...Option) *Replica {
	t.Helper()
	members := raft.Membership{Members: []raft.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}}
	restored := raft.PersistentState{HardState: raft.HardState{Term: 2}, Snapshot: raft.Snapshot{Index: 10, Term: 1, Membership: members, Data: statemachine.New().Snapshot()}}
	made, err := New(members.Members[0], "group", restored, DefaultConfig(), frozenClock{}, discardingDisk{}, links, options...)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func (r *Replica) receiveFromLeader(messages ...raft.Message) {
	for place := range messages {
		messages[place].From, messages[place].To = 2, 1
	}
	r.handleEvent(messagesReceived{group: "group", address: "127.0.0.1:2", messages: messages})
}

// A member that is ordered to resign, since a majority holds another state, answers nothing that follows.
func TestReplicaStopsServingWhenOrderedToResign(t *testing.T) {
	var fatal error
	var noticed []raft.Notice
	links := &recordingTransport{}
	r := follower(t, links, WithFatalHandler(func(err error) { fatal = err }), WithNoticeHandler(func(n raft.Notice) { noticed = append(noticed, n) }))
	r.core.digests.record(10, 7, 0)
	request := raft.Message{Kind: raft.MsgHeartbeat, Term: 2, Commit: 10, StateDigest: &raft.StateDigest{Index: 10, Format: r.core.digests.format, Sum: 8}}
	r.receiveFromLeader(request)
	if len(links.all) != 1 || links.all[0].StateDigest == nil || links.all[0].StateDigest.Sum != 7 {
		t.Fatalf("the request was answered by %+v", links.all)
	}
	if fatal != nil {
		t.Fatalf("a question alone ended it: %v", fatal)
	}
	// A digest of another format, an index without a digest and an equal sum prove no divergence.
	for _, change := range []func(*raft.StateDigest){
		func(d *raft.StateDigest) { d.Format++ }, func(d *raft.StateDigest) { d.Index-- }, func(d *raft.StateDigest) { d.Sum = 7 },
	} {
		ordered := *request.StateDigest
		ordered.Differs = true
		change(&ordered)
		r.receiveFromLeader(raft.Message{Kind: raft.MsgHeartbeat, Term: 2, Commit: 10, StateDigest: &ordered})
	}
	if fatal != nil {
		t.Fatalf("it resigned without proof of a divergence: %v", fatal)
	}
	ordered := *request.StateDigest
	ordered.Differs = true
	before := len(links.all)
	r.receiveFromLeader(raft.Message{Kind: raft.MsgHeartbeat, Term: 2, Commit: 10, StateDigest: &ordered}, raft.Message{Kind: raft.MsgHeartbeat, Term: 2, Commit: 10})
	if !errors.As(fatal, new(*StateDivergedError)) || len(noticed) != 1 || r.Counters.StateDivergences.Load() != 1 {
		t.Errorf("%v, noticed %+v", fatal, noticed)
	}
	if len(links.all) != before {
		t.Errorf("it sent messages after that: %+v", links.all[before:])
	}
}

// Malformed messages and unreadable snapshots are counted, and the member continues.
func TestMalformedMessagesAreCountedAndIgnored(t *testing.T) {
	links := &recordingTransport{}
	r := follower(t, links)
	members := r.core.raft.Membership()
	for _, junk := range []string{"", "{", "[]", `{"workers":null}`, `{"proposals":{"p":null}}`} {
		r.receiveFromLeader(raft.Message{Kind: raft.MsgSnapshot, Term: 2, SnapshotSize: uint64(len(junk)), Snapshot: &raft.Snapshot{Index: 50, Term: 2, Membership: members, Data: []byte(junk)}})
	}
	r.receiveFromLeader(raft.Message{Kind: raft.MsgAppend, Term: 2, LogIndex: 10, LogTerm: 1, Entries: []raft.Entry{{Term: 2, Index: 12}}})
	if r.Counters.SnapshotsRejected.Load() != 5 || r.Counters.MessagesRejected.Load() != 1 {
		t.Errorf("%d snapshots and %d messages rejected", r.Counters.SnapshotsRejected.Load(), r.Counters.MessagesRejected.Load())
	}
	state := statemachine.New()
	state.Revision = 5
	snapshot := state.Snapshot()
	r.receiveFromLeader(raft.Message{Kind: raft.MsgSnapshot, Term: 2, SnapshotSize: uint64(len(snapshot)), Snapshot: &raft.Snapshot{Index: 50, Term: 2, Membership: members, Data: snapshot}})
	if r.core.State().Revision != 5 || r.Counters.SnapshotsInstalled.Load() != 1 {
		t.Errorf("a valid snapshot was not installed after that: revision %d", r.core.State().Revision)
	}
}

// A member whose disk failed reports that as fatal and answers no requests.
func TestFailedWriteIsFatal(t *testing.T) {
	var fatal error
	r := follower(t, &recordingTransport{}, WithFatalHandler(func(err error) { fatal = err }))
	r.unsyncedSince = append(r.unsyncedSince, r.clock.Elapsed())
	broken := errors.New("no space")
	r.handleEvent(writeFinished{err: broken})
	if !errors.Is(fatal, broken) {
		t.Errorf("%v", fatal)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if answer := r.Submit(ctx, statemachine.Command{}); answer.Outcome == Applied {
		t.Error("a failed replica answered a request")
	}
}

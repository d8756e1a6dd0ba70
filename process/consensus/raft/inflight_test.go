package raft

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// leaderWithLargeAppend makes the leader of two members that has just sent the second a large entry.
func leaderWithLargeAppend(t *testing.T) (leader *Core, sent Message) {
	t.Helper()
	members := Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2}}}
	leader = New(1, Timing{HeartbeatTicks: 2, ElectionTicks: 16}, PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: members}}, rand.New(rand.NewPCG(1, 1)))
	for leader.Role() != Leader {
		effects := leader.Step(Tick{})
		for len(effects.AfterSync) > 0 {
			effects = leader.Step(Receive{effects.AfterSync[0]})
		}
	}
	leader.Step(Receive{Message{Kind: MsgAppendReply, From: 2, To: 1, Term: leader.Term(), LogIndex: leader.LastIndex()}})
	for _, message := range leader.Step(Propose{Data: bytes.Repeat([]byte{'x'}, 200<<10)}).Immediate {
		if message.Kind == MsgAppend {
			sent = message
		}
	}
	if len(sent.Entries) != 1 {
		t.Fatalf("no append was sent: %+v", sent)
	}
	return leader, sent
}

// countAppended is the number of entries that effects send to the second member.
func countAppended(effects Effects) (entries int) {
	for _, message := range effects.Immediate {
		if message.Kind == MsgAppend {
			entries += len(message.Entries)
		}
	}
	return entries
}

func TestLargeAppendIsNotResentWhileInFlight(t *testing.T) {
	leader, _ := leaderWithLargeAppend(t)
	again, after := 0, 0
	for tick := 1; again == 0 && tick < 40; tick++ {
		effects := leader.Step(Tick{})
		again += countAppended(effects)
		again += countAppended(leader.Step(Receive{Message{Kind: MsgHeartbeatReply, From: 2, To: 1, Term: leader.Term()}}))
		after = tick
	}
	// 200 kB take 3.3 ticks of 50 ms at 10 Mbit/s.
	if again == 0 || after < 6 || after > 12 {
		t.Errorf("%d entries were sent again after %d ticks", again, after)
	}
}

func TestNextAppendFollowsAcknowledgementOfLargeAppend(t *testing.T) {
	leader, sent := leaderWithLargeAppend(t)
	if count := countAppended(leader.Step(Propose{Data: []byte("next")})); count != 0 {
		t.Errorf("%d entries were sent while a large append was in flight", count)
	}
	answer := Message{Kind: MsgAppendReply, From: 2, To: 1, Term: leader.Term(), LogIndex: sent.LogIndex}
	if count := countAppended(leader.Step(Receive{answer})); count != 0 {
		t.Errorf("%d entries were sent after the reply to an earlier append", count)
	}
	answer.LogIndex = sent.Entries[0].Index
	if count := countAppended(leader.Step(Receive{answer})); count != 1 {
		t.Errorf("%d entries were sent after the acknowledgement", count)
	}
}

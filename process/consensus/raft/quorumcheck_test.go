package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// partitionedGroup is a group in simulated ticks: messages take a few ticks, disks are instant, and links can be cut.
type partitionedGroup struct {
	random      *rand.Rand
	timing      Timing
	cores       []*Core
	undelivered []delayedMessage
	now         int
	maxDelay    int
	// isPartitioned says whether messages from one member to another are dropped.
	isPartitioned func(from, to MemberID) bool
	// lastReplyAt is when each peer's newest reply arrived at the leader that is watched.
	lastReplyAt map[MemberID]int
	watched     MemberID
	elections   int
}

type delayedMessage struct {
	message Message
	at      int
}

func newPartitionedGroup(seed uint64, size, maxDelay int) *partitionedGroup {
	g := &partitionedGroup{random: rand.New(rand.NewPCG(seed, 3)), timing: Timing{HeartbeatTicks: 2, ElectionTicks: 16}, maxDelay: maxDelay,
		isPartitioned: func(MemberID, MemberID) bool { return false }, lastReplyAt: map[MemberID]int{}}
	var membership Membership
	for id := MemberID(1); id <= MemberID(size); id++ {
		membership.Members = append(membership.Members, Member{ID: id, Name: fmt.Sprint("m", id), Address: fmt.Sprint("a", id), Voter: true})
	}
	for id := MemberID(1); id <= MemberID(size); id++ {
		restored := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: membership}}
		g.cores = append(g.cores, New(id, g.timing, restored, g.random))
	}
	return g
}

func (g *partitionedGroup) step(core *Core, event Event) {
	wasLeader := core.Role() == Leader
	effects := core.Step(event)
	if !wasLeader && core.Role() == Leader {
		g.elections++
	}
	if effects.Save != nil && len(effects.Save.Entries) > 0 {
		last := effects.Save.Entries[len(effects.Save.Entries)-1]
		g.step(core, Persisted{Index: last.Index, Term: last.Term})
	}
	for _, message := range append(effects.Immediate, effects.AfterSync...) {
		if !g.isPartitioned(message.From, message.To) {
			g.undelivered = append(g.undelivered, delayedMessage{message, g.now + g.random.IntN(g.maxDelay+1)})
		}
	}
}

// deliver hands over the messages that are due, those that are sent meanwhile too.
func (g *partitionedGroup) deliver() {
	for i := 0; i < len(g.undelivered); i++ {
		due := g.undelivered[i]
		if due.at > g.now {
			continue
		}
		g.undelivered = append(g.undelivered[:i], g.undelivered[i+1:]...)
		i--
		if g.isPartitioned(due.message.From, due.message.To) {
			continue
		}
		if due.message.To == g.watched && (due.message.Kind == MsgHeartbeatReply || due.message.Kind == MsgAppendReply) {
			g.lastReplyAt[due.message.From] = g.now
		}
		g.step(g.cores[due.message.To-1], Receive{due.message})
	}
}

func (g *partitionedGroup) tick() {
	g.now++
	for _, core := range g.cores {
		g.step(core, Tick{})
	}
	g.deliver()
}

func (g *partitionedGroup) leader() *Core {
	for _, core := range g.cores {
		if core.Role() == Leader {
			return core
		}
	}
	return nil
}

// lastMajorityContact is when a majority had last answered the watched leader.
func (g *partitionedGroup) lastMajorityContact() int {
	for at := g.now; at > 0; at-- {
		answered := 1
		for _, reply := range g.lastReplyAt {
			if reply >= at {
				answered++
			}
		}
		if 2*answered > len(g.cores) {
			return at
		}
	}
	return 0
}

// randomPartition cuts a leader off from enough peers that no majority is left, each link both ways or one way alone.
func (g *partitionedGroup) randomPartition(leader MemberID) func(from, to MemberID) bool {
	type link struct{ from, to MemberID }
	dropped := map[link]bool{}
	others := g.random.Perm(len(g.cores))
	remaining := g.random.IntN((len(g.cores) - 1) / 2)
	for _, index := range others {
		peer := MemberID(index + 1)
		if peer == leader {
			continue
		}
		if remaining > 0 {
			remaining--
			continue
		}
		way := g.random.IntN(3)
		dropped[link{leader, peer}] = way != 1
		dropped[link{peer, leader}] = way != 2
	}
	return func(from, to MemberID) bool { return dropped[link{from, to}] }
}

// ticksToStepDown cuts a group's leader off, and gives how long after the last contact with a majority it led.
func ticksToStepDown(seed uint64) (ticks int, steppedDown bool) {
	g := newPartitionedGroup(seed, []int{3, 5}[seed%2], 1+int(seed%4))
	for g.now < 200 || g.leader() == nil {
		g.tick()
	}
	leader := g.leader()
	g.watched = leader.ID()
	for range 20 + g.random.IntN(40) {
		g.tick()
	}
	if leader.Role() != Leader {
		return 0, false
	}
	g.isPartitioned = g.randomPartition(leader.ID())
	for range 4 * g.timing.ElectionTicks {
		g.tick()
		if leader.Role() != Leader {
			return g.now - g.lastMajorityContact(), true
		}
	}
	return 0, false
}

func TestLeaderStepsDownWithinOneElectionTimeoutOfItsLastMajorityContact(t *testing.T) {
	const cuts = 10_000
	worst, played := 0, 0
	for seed := range uint64(cuts) {
		ticks, steppedDown := ticksToStepDown(seed)
		if !steppedDown {
			t.Fatalf("seed %d: the leader that was cut off still leads", seed)
		}
		played++
		worst = max(worst, ticks)
	}
	t.Logf("%d cuts: at most %d ticks after the last contact, of %d", played, worst, newPartitionedGroup(0, 3, 1).timing.ElectionTicks)
	if limit := newPartitionedGroup(0, 3, 1).timing.ElectionTicks; worst > limit {
		t.Errorf("a leader led for %d ticks after its last contact with a majority, of %d", worst, limit)
	}
}

// The stricter check costs no election where links are slow but whole: replies arrive up to six ticks late each way.
func TestSlowLinksCauseNoElection(t *testing.T) {
	for seed := range uint64(50) {
		g := newPartitionedGroup(seed, []int{3, 5}[seed%2], 6)
		for g.now < 200 || g.leader() == nil {
			g.tick()
		}
		before := g.elections
		for range 4000 {
			g.tick()
		}
		if g.elections != before {
			t.Errorf("seed %d: %d elections without trouble", seed, g.elections-before)
		}
	}
}

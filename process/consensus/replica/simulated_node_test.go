package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

type simulatedNode struct {
	sim           *simulation
	index         int
	id            raft.MemberID
	core          *Core
	incarnation   int
	up            bool
	frozenUntil   clock.Mark
	disk          simulatedDisk
	queue         []simulatedWrite
	queuedAt      []clock.Mark
	stalled       bool
	stallUntil    clock.Mark
	wallJump      time.Duration
	joins         map[raft.MemberID]raft.Member
	lastGroupTime ident.GroupTime
	lastTick      clock.Mark
	// removed machines never come back.
	removed bool
	// onWrite is called with each write that reached the disk.
	onWrite func(raft.Save)
}

// wall is a node's time of day, which may jump.
func (n *simulatedNode) wall() time.Time {
	return time.UnixMilli(1790000000000).Add(time.Duration(n.sim.now) + n.wallJump)
}

func (n *simulatedNode) start() {
	n.incarnation++
	n.up, n.queue, n.queuedAt, n.stalled, n.lastGroupTime, n.lastTick, n.joins = true, nil, nil, false, 0, 0, map[raft.MemberID]raft.Member{}
	restored := n.disk.state
	restored.Entries = slices.Clone(restored.Entries)
	member := raft.New(n.id, n.sim.config.Timing, restored, n.sim.random)
	config := n.sim.config
	config.FeatureLevel, config.Incarnation = n.sim.featureLevel(n), uint64(n.incarnation)
	core, err := NewCore(config, member, restored.Snapshot.Data, n.sim.now, n.wall)
	if err != nil {
		n.sim.t.Fatal(err)
	}
	n.core = core
	n.tick(n.incarnation)
}

func (n *simulatedNode) tick(incarnation int) {
	n.sim.schedule(TickInterval+n.sim.randomDuration(0, 4), func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		if n.sim.now >= n.frozenUntil {
			if late := n.sim.now.Since(n.lastTick); n.lastTick > 0 && late > n.sim.config.Timing.ElectionTimeout(TickInterval) {
				n.execute(n.core.Step(n.sim.now, raft.StepDown{}))
			}
			n.lastTick = n.sim.now
			if !n.stalled && len(n.queuedAt) > 0 && n.sim.now.Since(n.queuedAt[0]) > diskStallTimeout {
				n.stalled = true
				n.execute(n.core.Step(n.sim.now, raft.DiskStalled{Stalled: true}))
			}
			n.execute(n.core.Step(n.sim.now, raft.Tick{}))
			if n.core.IsLeader() {
				if next, ok := n.sim.nextMembership(n.core.MembershipPlan(n.sim.now, n.joins)); ok {
					n.execute(n.core.Step(n.sim.now, raft.ProposeMembership{Membership: next}))
				}
				if len(n.joins) == 0 && n.core.IsLeader() {
					n.execute(n.sim.raiseFeatureLevel(n))
				}
			} else {
				clear(n.joins)
			}
			n.askToJoin()
		}
		n.tick(incarnation)
	})
}

// askToJoin does what a daemon does whose member is not a voter yet.
func (n *simulatedNode) askToJoin() {
	self, known := n.core.raft.Membership().Find(n.id)
	// One that knows no leader may have been removed without having been notified.
	if known && self.Voter && n.core.raft.LeaderID() != 0 || n.sim.random.IntN(5) != 0 {
		return
	}
	wanted := raft.Member{ID: n.id, Name: fmt.Sprint("core-", n.index), Address: fmt.Sprint(n.index)}
	for _, other := range n.sim.nodes {
		if other.up && other.core.IsLeader() && !n.sim.partitioned[[2]int{n.index, other.index}] && n.sim.featureLevel(n) >= other.core.RequiredFeatureLevel() {
			other.joins[n.id] = wanted
		}
	}
}

// execute does what Replica.execute does, with the simulated disk and network.
func (n *simulatedNode) execute(effects Effects) {
	s := n.sim
	if n.core.raft.Role() == raft.Leader {
		term := n.core.raft.Term()
		if known, ok := s.leaderOf[term]; ok && known != n.id {
			s.reportViolation("two leaders, %d and %d, in term %d", known, n.id, term)
		}
		s.leaderOf[term] = n.id
	}
	for _, notice := range effects.Notices {
		s.notices[notice.Kind]++
		if notice.Kind == raft.NoticeMessageRejected {
			s.reportViolation("member %d rejected a valid message of %d: %v", n.id, notice.Peer, notice.Err)
		}
	}
	if effects.Fatal != nil {
		n.resign(effects.Fatal)
		return
	}
	n.checkApplied()
	n.checkDurable()
	switch {
	case effects.Save != nil || len(effects.MessagesAfterSave) > 0 && len(n.queue) > 0 && !n.stalled:
		n.queue = append(n.queue, simulatedWrite{effects.Save, effects.MessagesAfterSave})
		n.queuedAt = append(n.queuedAt, s.now)
		if len(n.queue) == 1 {
			n.writeNext(n.incarnation)
		}
		if s.defect == lyingDisk {
			// The defect: what must wait for the sync is sent at once.
			n.queue[len(n.queue)-1].later = nil
			if effects.Save != nil && len(effects.Save.Entries) > 0 {
				last := effects.Save.Entries[len(effects.Save.Entries)-1]
				n.execute(n.core.Step(s.now, raft.Persisted{Index: last.Index, Term: last.Term}))
			}
			n.send(effects.MessagesAfterSave)
		}
	case len(n.queue) == 0:
		defer n.send(effects.MessagesAfterSave)
	}
	for _, answer := range effects.Responses {
		if reply := s.responders[answer.RequestID]; reply != nil {
			delete(s.responders, answer.RequestID)
			reply(answer)
		}
	}
	n.send(effects.Messages)
}

// resign does what the daemon does: it transfers its leadership, sets its files aside and returns as another member.
func (n *simulatedNode) resign(why error) {
	s := n.sim
	if !s.resignationExpected {
		s.reportViolation("member %d gave up a correct state: %v", n.id, why)
	}
	s.resigned = append(s.resigned, n.id)
	n.send(n.core.Step(s.now, raft.DiskStalled{Stalled: true}).Messages)
	n.crash()
	n.wipeDisk()
	s.schedule(s.randomDuration(200, 500), n.restart)
}

func (n *simulatedNode) receive(m raft.Message) {
	if !n.up || m.To != n.id {
		return
	}
	if n.sim.now < n.frozenUntil {
		// The messages of a suspended machine wait in its buffers.
		n.sim.schedule(n.frozenUntil.Since(n.sim.now), func() { n.receive(m) })
		return
	}
	n.execute(n.core.Step(n.sim.now, raft.Receive{Message: m}))
}

// crash loses what was not synced; of the write in progress all or nothing may have reached the disk.
func (n *simulatedNode) crash() {
	if !n.up {
		return
	}
	n.sim.crashes++
	n.up = false
	n.incarnation++
	if len(n.queue) > 0 && n.queue[0].save != nil && n.sim.random.IntN(2) == 0 {
		n.disk.write(*n.queue[0].save, n.sim.defect)
		if n.onWrite != nil {
			n.onWrite(*n.queue[0].save)
		}
	}
}

func (n *simulatedNode) restart() {
	if n.up || n.removed {
		return
	}
	if n.sim.defect == wipedKeepsIdentity && n.sim.random.IntN(2) == 0 {
		// The defect: the wiped member keeps its identity with an empty log, and votes as if it had never voted.
		members := n.disk.state.Snapshot.Membership
		n.disk.state = raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: statemachine.New().Snapshot()}}
	}
	n.start()
}

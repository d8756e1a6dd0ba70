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

type simNode struct {
	sim         *sim
	place       int
	id          raft.MemberID
	core        *Core
	life        int
	up          bool
	frozenUntil clock.Mark
	disk        simDisk
	queue       []simWrite
	since       []clock.Mark
	stalled     bool
	stallUntil  clock.Mark
	wallJump    time.Duration
	joins       map[raft.MemberID]raft.Member
	lastNow     ident.GroupTime
	beaten      clock.Mark
	// gone machines never come back.
	gone bool
	// written is told of each write that reached the disk.
	written func(raft.Save)
}

// wall is a node's time of day: it starts somewhere and may jump.
func (n *simNode) wall() time.Time {
	return time.UnixMilli(1790000000000).Add(time.Duration(n.sim.now) + n.wallJump)
}

func (n *simNode) start() {
	n.life++
	n.up, n.queue, n.since, n.stalled, n.lastNow, n.beaten, n.joins = true, nil, nil, false, 0, 0, map[raft.MemberID]raft.Member{}
	restored := n.disk.state
	restored.Entries = slices.Clone(restored.Entries)
	member := raft.New(n.id, n.sim.config.Timing, restored, n.sim.random)
	core, err := NewCore(n.sim.config, member, restored.Snapshot.Data, n.sim.now, n.wall)
	if err != nil {
		n.sim.t.Fatal(err)
	}
	n.core = core
	n.tick(n.life)
}

func (n *simNode) tick(life int) {
	n.sim.after(TickInterval+n.sim.ms(0, 4), func() {
		if n.life != life || !n.up {
			return
		}
		if n.sim.now >= n.frozenUntil {
			if late := n.sim.now.Since(n.beaten); n.beaten > 0 && late > n.sim.config.Timing.ElectionTimeout(TickInterval) {
				n.carryOut(n.core.Step(n.sim.now, raft.StepDown{}))
			}
			n.beaten = n.sim.now
			if !n.stalled && len(n.since) > 0 && n.sim.now.Since(n.since[0]) > diskStallTimeout {
				n.stalled = true
				n.carryOut(n.core.Step(n.sim.now, raft.DiskStalled{Stalled: true}))
			}
			n.carryOut(n.core.Step(n.sim.now, raft.Tick{}))
			if n.core.IsLeader() {
				if next, ok := n.sim.nextMembership(n.core.MembershipPlan(n.sim.now, n.joins)); ok {
					n.carryOut(n.core.Step(n.sim.now, raft.ProposeMembership{Membership: next}))
				}
			} else {
				clear(n.joins)
			}
			n.askToJoin()
		}
		n.tick(life)
	})
}

// askToJoin does what a daemon does whose member does not vote yet.
func (n *simNode) askToJoin() {
	self, known := n.core.raft.Membership().Find(n.id)
	// One that hears no leader may have been let go without its knowing.
	if known && self.Voter && n.core.raft.LeaderID() != 0 || n.sim.random.IntN(5) != 0 {
		return
	}
	wanted := raft.Member{ID: n.id, Name: fmt.Sprint("core-", n.place), Address: fmt.Sprint(n.place)}
	for _, other := range n.sim.nodes {
		if other.up && other.core.IsLeader() && !n.sim.cut[[2]int{n.place, other.place}] {
			other.joins[n.id] = wanted
		}
	}
}

// carryOut does what the actor does, with the simulator's disk and links.
func (n *simNode) carryOut(effects Effects) {
	s := n.sim
	if n.core.raft.Role() == raft.Leader {
		term := n.core.raft.Term()
		if known, ok := s.leaderOf[term]; ok && known != n.id {
			s.fault("two leaders, %d and %d, in term %d", known, n.id, term)
		}
		s.leaderOf[term] = n.id
	}
	for _, notice := range effects.Notices {
		s.notices[notice.Kind]++
		if notice.Kind == raft.NoticeMessageRejected {
			s.fault("member %d refused a message of %d, as if it were not sound: %v", n.id, notice.Peer, notice.Err)
		}
	}
	if effects.Fatal != nil {
		n.giveUpState(effects.Fatal)
		return
	}
	n.checkApplied()
	n.checkDurable()
	switch {
	case effects.Save != nil || len(effects.MessagesAfterSave) > 0 && len(n.queue) > 0 && !n.stalled:
		n.queue = append(n.queue, simWrite{effects.Save, effects.MessagesAfterSave})
		n.since = append(n.since, s.now)
		if len(n.queue) == 1 {
			n.writeNext(n.life)
		}
		if s.broken == diskLies {
			// The lie: what waits for the sync is said at once.
			n.queue[len(n.queue)-1].later = nil
			if effects.Save != nil && len(effects.Save.Entries) > 0 {
				last := effects.Save.Entries[len(effects.Save.Entries)-1]
				n.carryOut(n.core.Step(s.now, raft.Persisted{Index: last.Index, Term: last.Term}))
			}
			n.send(effects.MessagesAfterSave)
		}
	case len(n.queue) == 0:
		defer n.send(effects.MessagesAfterSave)
	}
	for _, answer := range effects.Responses {
		if reply := s.asked[answer.RequestID]; reply != nil {
			delete(s.asked, answer.RequestID)
			reply(answer)
		}
	}
	n.send(effects.Messages)
}

// giveUpState does what the daemon does: it hands over, sets its files aside and comes back as another member.
func (n *simNode) giveUpState(why error) {
	s := n.sim
	if !s.mayGiveUp {
		s.fault("member %d gave up a sound state: %v", n.id, why)
	}
	s.gaveUp = append(s.gaveUp, n.id)
	n.send(n.core.Step(s.now, raft.DiskStalled{Stalled: true}).Messages)
	n.crash()
	n.empty()
	s.after(s.ms(200, 500), n.revive)
}

func (n *simNode) receive(m raft.Message) {
	if !n.up || m.To != n.id {
		return
	}
	if n.sim.now < n.frozenUntil {
		// A frozen machine's messages wait in its buffers.
		n.sim.after(n.frozenUntil.Since(n.sim.now), func() { n.receive(m) })
		return
	}
	n.carryOut(n.core.Step(n.sim.now, raft.Receive{Message: m}))
}

// crash loses what was not synced; of the write in hand, all or nothing may have reached the disk.
func (n *simNode) crash() {
	if !n.up {
		return
	}
	n.sim.crashes++
	n.up = false
	n.life++
	if len(n.queue) > 0 && n.queue[0].save != nil && n.sim.random.IntN(2) == 0 {
		n.disk.write(*n.queue[0].save, n.sim.broken)
		if n.written != nil {
			n.written(*n.queue[0].save)
		}
	}
}

func (n *simNode) revive() {
	if n.up || n.gone {
		return
	}
	if n.sim.broken == wipedKeepsName && n.sim.random.IntN(2) == 0 {
		// The wiped member takes its old name and an empty log, and votes as if it had never voted.
		members := n.disk.state.Snapshot.Membership
		n.disk.state = raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: statemachine.New().Snapshot()}}
	}
	n.start()
}

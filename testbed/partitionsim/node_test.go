package partitionsim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout"
)

const (
	heartbeatInterval = 150 * time.Millisecond
	// controlHold and edgeHold are how long answers are held back while nothing is new.
	controlHold, edgeHold = 250 * time.Millisecond, 600 * time.Millisecond
	// bundleRest and relayFresh are as in the daemon: a bundle is left to the relay for a while, and others are asked
	// for what is urgent only while the relay has answered lately.
	bundleRest, relayFresh = 400 * time.Millisecond, 2500 * time.Millisecond
	submitLimit            = 1200 * time.Millisecond
	group                  = "g"
)

// node is one machine of the fleet and the incarnation that runs on it.
type node struct {
	world   *world
	index   int
	name    string
	zone    ident.ZoneID
	control bool
	// offset is by how much its clock is off.
	offset clock.Mark

	incarnation int
	up          bool
	frozenUntil clock.Mark

	core            *replica.Core
	disk            raft.PersistentState
	writes          []write
	lastHeartbeat   clock.Mark
	refs            uint64
	pendingRequests map[uint64]func(replica.Response)
	// offeredConfiguration is the newest that the log handed to the rollout manager.
	offeredConfiguration, offeredClosure ident.Version

	rollout      *rollout.Manager
	stop         context.CancelFunc
	tracker      *membership.Tracker
	view         membership.View
	rowAnnounced bool
	seeds        []string
	seedTurn     int
	heartbeats   int
	enlisted     clock.Mark
	asking       map[question]bool
	pendingPulls []*pendingPull
	// fullUpdateAt is when each address last sent a complete update.
	fullUpdateAt      map[string]clock.Mark
	seenAt            clock.Mark
	seenConfiguration ident.Version
	stale             bool

	// planner is set where the history has planners.
	planner *planner

	// checked is what the checker has seen of this incarnation.
	checked seenByChecker
}

type write struct {
	save  *raft.Save
	later []raft.Message
}

func firstState(members raft.Membership) raft.PersistentState {
	return raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: statemachine.New().Snapshot()}}
}

func (n *node) id() ident.NodeID { return ident.NodeID(fmt.Sprintf("%s#%d", n.name, n.incarnation)) }

// clock is the machine's own.
func (n *node) clock() clock.Mark { return n.world.now + n.offset }

// do runs a function on this node if that is still the same incarnation; a frozen node runs it some time after its thaw.
func (n *node) do(incarnation int, run func()) {
	switch {
	case !n.up || n.incarnation != incarnation:
	case n.world.now < n.frozenUntil:
		n.world.after(n.frozenUntil.Since(n.world.now)+n.world.ms(0, 30), func() { n.do(incarnation, run) })
	default:
		run()
	}
}

// every runs a function periodically in this incarnation; a frozen node runs it once soon after the thaw.
func (n *node) every(span time.Duration, run func()) {
	incarnation := n.incarnation
	var again func()
	again = func() {
		n.do(incarnation, func() {
			run()
			n.world.after(span+n.world.ms(0, 3), again)
		})
	}
	n.world.after(n.world.ms(0, int(span.Milliseconds())), again)
}

func (n *node) start() {
	n.incarnation++
	n.up, n.writes, n.lastHeartbeat, n.pendingRequests, n.asking, n.pendingPulls, n.fullUpdateAt = true, nil, 0, map[uint64]func(replica.Response){}, map[question]bool{}, nil, map[string]clock.Mark{}
	n.enlisted, n.heartbeats, n.rowAnnounced, n.offeredConfiguration, n.offeredClosure, n.seenConfiguration, n.stale, n.checked = 0, 0, false, 0, 0, 0, false, seenByChecker{}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.rollout = rollout.New(func() time.Time { return time.UnixMilli(0) }, func() {})
	go n.rollout.Run(ctx)
	n.tracker = membership.NewTracker(n.clock(), n.id(), n.name, n.control)
	n.view = n.tracker.View()
	if n.control {
		n.startCore()
	}
	n.every(heartbeatInterval, n.heartbeat)
	n.every(heartbeatInterval+100*time.Millisecond, n.enlist)
	if n.planner = nil; n.control && n.world.hasPlanners {
		n.startPlanner()
	}
	n.world.disrupted(n)
}

func (n *node) startCore() {
	config := replica.DefaultConfig()
	n.world.setPlannerLease(&config)
	restored := n.disk
	restored.Entries = slices.Clone(restored.Entries)
	member := raft.New(raft.MemberID(n.index+1), config.Timing, restored, n.world.random)
	core, err := replica.NewCore(config, member, restored.Snapshot.Data, n.clock(), func() time.Time { return time.UnixMilli(1790000000000).Add(time.Duration(n.world.now)) })
	if err != nil {
		n.world.t.Fatal(err)
	}
	n.core = core
	n.every(replica.TickInterval, func() {
		if late := n.clock().Since(n.lastHeartbeat); n.lastHeartbeat > 0 && late > config.Timing.ElectionTimeout(replica.TickInterval) {
			n.perform(n.core.Step(n.clock(), raft.StepDown{}))
		}
		n.lastHeartbeat = n.clock()
		n.perform(n.core.Step(n.clock(), raft.Tick{}))
	})
}

// crash ends an incarnation.
func (n *node) crash() {
	n.up = false
	n.core = nil
	n.stop()
	n.world.disrupted(n)
}

func (n *node) freeze(span time.Duration) {
	n.frozenUntil = n.world.now + clock.Mark(span)
	n.world.disrupted(n)
	n.world.after(span, func() { n.world.disrupted(n) })
}

// perform carries out the effects of a step of the core.
func (n *node) perform(effects replica.Effects) {
	switch {
	case effects.Save != nil || len(effects.MessagesAfterSave) > 0 && len(n.writes) > 0:
		n.writes = append(n.writes, write{effects.Save, effects.MessagesAfterSave})
		if len(n.writes) == 1 {
			n.writeNext()
		}
	default:
		defer n.sendRaft(effects.MessagesAfterSave)
	}
	for _, answer := range effects.Responses {
		if taken := n.pendingRequests[answer.RequestID]; taken != nil {
			delete(n.pendingRequests, answer.RequestID)
			taken(answer)
		}
	}
	n.offer()
	n.sendRaft(effects.Messages)
}

func (n *node) writeNext() {
	incarnation := n.incarnation
	n.world.after(n.world.ms(1, 5), func() {
		n.do(incarnation, func() {
			done := n.writes[0]
			n.writes = n.writes[1:]
			if done.save != nil {
				n.keep(*done.save)
			}
			if len(n.writes) > 0 {
				n.writeNext()
			}
			if done.save != nil {
				if count := len(done.save.Entries); count > 0 {
					last := done.save.Entries[count-1]
					n.perform(n.core.Step(n.clock(), raft.Persisted{Index: last.Index, Term: last.Term}))
				}
			}
			n.sendRaft(done.later)
		})
	})
}

// keep is what the disk does with a save.
func (n *node) keep(save raft.Save) {
	n.disk.HardState = save.HardState
	if save.Snapshot != nil {
		n.disk.Snapshot = *save.Snapshot
	}
	n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e raft.Entry) bool {
		return save.CompactTo > 0 && e.Index <= save.CompactTo || save.TruncateFrom > 0 && e.Index >= save.TruncateFrom
	})
	n.disk.Entries = append(n.disk.Entries, save.Entries...)
}

func (n *node) sendRaft(messages []raft.Message) {
	for _, message := range messages {
		to := n.world.nodes[int(message.To)-1]
		if to == n {
			n.perform(n.core.Step(n.clock(), raft.Receive{Message: message}))
			continue
		}
		n.world.send(n, to, func() { to.perform(to.core.Step(to.clock(), raft.Receive{Message: message})) }, nil)
	}
}

// offer hands what the log has committed to the rollout manager; the table takes a while to build.
func (n *node) offer() {
	state := n.core.State()
	if state.Version() == n.offeredConfiguration && state.Closures.Version == n.offeredClosure {
		return
	}
	n.offeredConfiguration, n.offeredClosure = state.Version(), state.Closures.Version
	version, closures, inForce := state.Version(), state.Closures.Clone(), statemachine.Proposal{}
	if found, ok := state.InForce(); ok {
		inForce = *found
	}
	incarnation := n.incarnation
	n.world.after(n.world.ms(0, 60), func() {
		n.do(incarnation, func() {
			n.rollout.Offer(version, inForce.Bundle(), &closures)
			n.news()
		})
	})
}

// force is what is in force here.
func (n *node) force() (force membership.InForce) {
	if table := n.rollout.Table(); table != nil {
		force.Configuration, force.Closure = table.Version, table.Closures.Version
	}
	return force
}

// isLeader reports whether this node takes itself for the leader.
func (n *node) isLeader() bool { return n.core != nil && n.core.IsLeader() }

func (n *node) confirmedAsLeader() clock.Mark {
	if !n.isLeader() {
		return 0
	}
	force, state := n.force(), n.core.State()
	if force.Configuration < state.Version() || force.Configuration > 0 && force.Closure < state.Closures.Version {
		return 0
	}
	return n.core.ConfirmedUntil()
}

func (n *node) confirmed() clock.Mark { return max(n.view.ConfirmedAt, n.confirmedAsLeader()) }

func (n *node) isStale() bool {
	confirmed := n.confirmed()
	return confirmed == 0 || n.clock().Since(confirmed) > membership.StaleAfter
}

func (n *node) leader() (address string, term uint64) {
	if n.core != nil {
		if leader, known := n.core.Raft().Membership().Find(n.core.Raft().LeaderID()); known {
			return leader.Address, uint64(n.core.Raft().Term())
		}
	}
	return n.view.LeaderAddress, n.view.LeaderTerm
}

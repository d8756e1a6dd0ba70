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
	"github.com/cresspond/cresspond/wire/peerapi"
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

type question struct {
	address          string
	linked, everyone bool
}

type pendingPull struct {
	in       *peerapi.PullRequest
	arrived  clock.Mark
	gap, end clock.Mark
	answer   func(*peerapi.PullReply)
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

func (n *node) heartbeat() {
	now := n.clock()
	force := n.force()
	n.tracker.MemberList().SetSelf(now, membership.MemberRecord{Version: 1, Member: membership.Member{NodeID: n.id(), Address: n.name, Zone: n.zone, Roles: n.serve(),
		ConfigurationVersion: force.Configuration, ClosureVersion: force.Closure, Ready: true}})
	n.tracker.MemberList().Sweep(now, 0)
	if n.world.variant == keepsStale {
		// Then nothing but a probe now and then looks for another source.
		n.tracker.MemberList().Confirm(now)
	}
	for _, address := range n.links(now) {
		n.ask(question{address: address, linked: true})
	}
	lost := n.tracker.ControlLost(now)
	if n.heartbeats++; lost || n.tracker.MemberList().Unconfirmed(now) || n.heartbeats%10 == 0 {
		n.ask(question{address: n.seeds[n.seedTurn%len(n.seeds)], everyone: lost})
		n.seedTurn++
		if contacts := n.view.InContact(now, 10*time.Second); len(contacts) > 0 {
			n.ask(question{address: contacts[n.world.random.IntN(len(contacts))].Address, everyone: lost})
		}
	}
	n.publish()
	if stale := n.isStale(); stale != n.stale {
		n.stale = stale
	}
	n.news()
}

func (n *node) links(now clock.Mark) []string {
	links := n.tracker.Links(now)
	if len(links) == 0 {
		n.seedTurn++
		return []string{n.seeds[n.seedTurn%len(n.seeds)]}
	}
	return links
}

func (n *node) serve() []string {
	if n.control {
		return []string{"control"}
	}
	return []string{"route"}
}

func (n *node) publish() {
	own := membership.LocalState{ConfirmedAt: n.confirmedAsLeader(), IsLeader: n.isLeader(), EnlistedAt: n.enlisted}
	own.InForce = n.force()
	if n.world.variant == readyByAnyone {
		own.EnlistedAt = 1
	}
	n.view = n.tracker.Refresh(n.clock(), own)
	n.world.sawView(n)
}

// urgentOnly says whether an address is asked for what is urgent only, because the relay tells the rest.
func (n *node) urgentOnly(address string) bool {
	relay := n.view.RelayAddress
	return !n.control && relay != "" && relay != address && n.fullUpdateAt[relay] > 0 && n.clock().Since(n.fullUpdateAt[relay]) <= relayFresh
}

// ask puts a question, if it is not being asked already.
func (n *node) ask(q question) {
	to := n.world.at(q.address)
	if to == nil || to == n || n.asking[q] {
		return
	}
	n.asking[q] = true
	asked, force := n.clock(), n.force()
	in := &peerapi.PullRequest{Group: group, NodeId: string(n.id()), Address: n.name, Zone: string(n.zone), Roles: n.serve(), Ready: true,
		ConfigurationVersion: uint64(force.Configuration), ClosureVersion: uint64(force.Closure), AttributesVersion: 1, HasAttributes: true, AllMembers: q.everyone, AcceptsCompressed: true, EveryHeartbeat: n.control}
	hold := time.Duration(0)
	if q.linked && n.view.CaughtUp {
		hold = edgeHold
		if n.control {
			hold = controlHold
		}
	}
	about := membership.PullTarget{Address: q.address, Linked: q.linked, MaxWait: hold}
	n.tracker.FillRequest(in, about)
	if q.linked {
		in.MaxWaitMs, in.BatchDelayMs, in.IntervalMs = hold.Milliseconds(), 50, max(hold, heartbeatInterval).Milliseconds()
		in.RegistryUrgentOnly = n.urgentOnly(q.address)
	}
	n.call(to, hold+membership.PullTimeout, func(answer func(func())) {
		to.pulled(in, func(reply *peerapi.PullReply) {
			answer(func() {
				n.take(q, membership.PullResult{PullTarget: about, SentAt: asked, ReceivedAt: n.clock(), Reply: reply}, in.RegistryUrgentOnly)
			})
		})
	}, func() {
		n.take(q, membership.PullResult{PullTarget: about, SentAt: asked, ReceivedAt: n.clock(), Err: context.DeadlineExceeded}, false)
	})
}

// take takes an answer.
func (n *node) take(q question, answer membership.PullResult, urgentOnly bool) {
	delete(n.asking, q)
	now := n.clock()
	if answer.Err == nil {
		answer.Reply = n.distort(answer)
		reply := answer.Reply
		before := n.force()
		if len(reply.Configuration) > 0 || len(reply.Closures) > 0 {
			n.rollout.Offer(ident.Version(reply.ConfigurationVersion), bundleOf(reply), rollout.DecodeClosures(reply.Closures))
		}
		if q.linked && !urgentOnly {
			n.fullUpdateAt[q.address] = max(n.fullUpdateAt[q.address], answer.SentAt)
		}
		if before != n.force() {
			n.news()
		}
	}
	force := n.force()
	if n.world.variant == aheadOfForce && answer.Err == nil {
		force.Configuration, force.Closure = max(force.Configuration, ident.Version(answer.Reply.ConfigurationVersion)), max(force.Closure, ident.Version(answer.Reply.ClosureVersion))
	}
	if turned := n.tracker.HandleResult(now, answer, force); turned != nil && turned.Stale {
		n.world.left++
	}
	n.publish()
	if answer.Err == nil && q.linked && answer.MaxWait > 0 && now.Since(answer.SentAt) >= 50*time.Millisecond && slices.Contains(n.tracker.Links(now), q.address) {
		n.ask(q)
	}
}

// distort breaks what an answer says of its confirmation, where a variant wants that.
func (n *node) distort(answer membership.PullResult) *peerapi.PullReply {
	reply := &peerapi.PullReply{}
	// The parts are shared, and nothing is written to them.
	copyReply(reply, answer.Reply)
	sinceAsked := answer.ReceivedAt.Since(answer.SentAt).Milliseconds()
	switch n.world.variant {
	case keepsStale:
		reply.Confirmation = nil
	case staysWithRelay:
		if answer.Address == n.view.LeaderAddress || answer.Address == n.view.RelayAddress {
			reply.Confirmation = &peerapi.Confirmation{Known: true, AfterQuestionMs: sinceAsked}
		}
	case readyByAnyone:
		if !n.view.CaughtUp {
			reply.Confirmation = &peerapi.Confirmation{Known: true, AfterQuestionMs: sinceAsked}
		}
	case byReceipt:
		if reply.Confirmation.Known {
			reply.Confirmation = &peerapi.Confirmation{Known: true, AfterQuestionMs: sinceAsked}
		}
	}
	return reply
}

// pulled serves a question, as the daemon does.
func (n *node) pulled(in *peerapi.PullRequest, answer func(*peerapi.PullReply)) {
	now := n.clock()
	known := n.tracker.RecordPull(now, in)
	held := &pendingPull{in: in, arrived: now, gap: now + clock.Mark(time.Duration(in.BatchDelayMs)*time.Millisecond), end: now + clock.Mark(time.Duration(in.MaxWaitMs)*time.Millisecond)}
	held.answer = func(reply *peerapi.PullReply) { reply.KnownAttributesVersion = known; answer(reply) }
	n.pendingPulls = append(n.pendingPulls, held)
	incarnation := n.incarnation
	n.world.after(time.Duration(in.MaxWaitMs)*time.Millisecond, func() { n.do(incarnation, n.news) })
	n.news()
}

// news answers those questions that were held back and for which there is anything new, or whose time is over.
func (n *node) news() {
	now := n.clock()
	waiting := n.pendingPulls
	n.pendingPulls = nil
	for _, held := range waiting {
		if now < held.end && !n.urgentFor(held.in) && !(now >= held.gap && n.ordinaryFor(held.in)) {
			n.pendingPulls = append(n.pendingPulls, held)
			continue
		}
		held.answer(n.reply(held))
	}
}

func (n *node) includesBundle(in *peerapi.PullRequest) bool {
	force := n.force()
	if n.seenConfiguration != force.Configuration || n.seenAt == 0 {
		n.seenConfiguration, n.seenAt = force.Configuration, n.clock()
	}
	return uint64(force.Configuration) > in.ConfigurationVersion && (!in.RegistryUrgentOnly && !in.EveryHeartbeat || n.clock().Since(n.seenAt) >= bundleRest)
}

func (n *node) urgentFor(in *peerapi.PullRequest) bool {
	leader, term := n.leader()
	return n.includesBundle(in) || uint64(n.force().Closure) > in.ClosureVersion || leader != "" && (term > in.LeaderTerm || in.LeaderAddress == "") ||
		in.SourceFreshness == peerapi.SourceFreshness_SOURCE_CONFIRMED && n.isStale() || in.SourceFreshness == peerapi.SourceFreshness_SOURCE_STALE && !n.isStale() ||
		in.MembersIncarnation != string(n.id())
}

func (n *node) ordinaryFor(in *peerapi.PullRequest) bool {
	members := n.tracker.MemberList()
	return members.StatusChangeIndex() > in.MembersSeen || !in.RegistryUrgentOnly && members.ChangeIndex() > in.MembersSeen
}

func (n *node) reply(held *pendingPull) *peerapi.PullReply {
	in := held.in
	confirmed := n.confirmed()
	if n.world.variant == relayVouches && n.control {
		confirmed = n.clock()
	}
	leader, term := n.leader()
	reply := &peerapi.PullReply{Group: group, NodeId: string(n.id()), LeaderAddress: leader, LeaderTerm: term, IsLeader: n.isLeader(),
		Confirmation: membership.EncodeConfirmation(confirmed, held.arrived)}
	if table := n.rollout.Table(); table != nil {
		reply.ConfigurationVersion, reply.ClosureVersion = uint64(table.Version), uint64(table.Closures.Version)
		if n.includesBundle(in) {
			reply.Configuration, reply.ConfigurationCompressed = table.Bundle.Data, table.Bundle.Compressed
		}
		if in.ClosureVersion < uint64(table.Closures.Version) {
			reply.Closures = rollout.EncodeClosures(table.Closures)
		}
	}
	if n.core != nil && membership.NeedsMemberAddresses(in) {
		for _, member := range n.core.Raft().Membership().Members {
			reply.MemberAddresses = append(reply.MemberAddresses, member.Address)
		}
	}
	if in.AllMembers || in.IntervalMs > 0 {
		told := n.tracker.MembersFor(n.clock(), in)
		reply.Members, reply.AllMembers = told.Members, told.AllMembers
		reply.MembersIncarnation, reply.MembersSeen, reply.MembersFullResync = told.MembersIncarnation, told.MembersSeen, told.MembersFullResync
	}
	return reply
}

// enlist has the group record this incarnation.
func (n *node) enlist() {
	if n.enlisted > 0 {
		return
	}
	n.submit(statemachine.Command{Op: statemachine.OpRegister, NodeID: n.id(), Address: n.name}, func(result statemachine.Result) {
		if n.enlisted == 0 && result.Outcome == statemachine.Done {
			n.enlisted = n.clock()
		}
	})
}

// submit brings a command to the leader, following one redirect; done is called where it was applied.
func (n *node) submit(command statemachine.Command, done func(statemachine.Result)) {
	if n.isLeader() {
		n.submitHere(command, func(answer replica.Response) {
			if answer.Outcome == replica.Applied {
				done(answer.Result)
			}
		})
		return
	}
	address, _ := n.leader()
	n.submitTo(address, command, done, true)
}

func (n *node) submitTo(address string, command statemachine.Command, done func(statemachine.Result), follow bool) {
	to := n.world.at(address)
	if to == nil || to == n {
		return
	}
	n.call(to, submitLimit, func(answer func(func())) {
		if !to.isLeader() {
			told, _ := to.leader()
			answer(func() {
				if follow {
					n.submitTo(told, command, done, false)
				}
			})
			return
		}
		to.submitHere(command, func(got replica.Response) {
			answer(func() {
				if got.Outcome == replica.Applied {
					done(got.Result)
				}
			})
		})
	}, func() {})
}

func (n *node) submitHere(command statemachine.Command, answer func(replica.Response)) {
	n.refs++
	n.pendingRequests[n.refs] = answer
	n.perform(n.core.Submit(n.clock(), n.refs, command))
}

// read looks at the state as the leader does.
func (n *node) read(look func(answer replica.Response)) {
	if n.world.variant == readsUnasked {
		look(replica.Response{Outcome: replica.Applied, State: n.core.State()})
		return
	}
	n.refs++
	n.pendingRequests[n.refs] = look
	n.perform(n.core.Read(n.clock(), n.refs))
}

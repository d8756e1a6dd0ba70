package partitionsim

import (
	"context"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/peerapi"
)

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

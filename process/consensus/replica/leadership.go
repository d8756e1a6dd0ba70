package replica

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// IsLeader reports whether this member leads and has applied all that was committed before.
func (c *Core) IsLeader() bool { return c.isLeader }

// ConfirmedUntil is the latest moment at which a majority is known to have followed this member as the leader: all
// that was acknowledged before it, by whichever leader, is applied here. Zero where this member does not lead.
func (c *Core) ConfirmedUntil() clock.Mark {
	if !c.isLeader {
		return 0
	}
	return c.leadership.confirmedUntil
}

// updateLeadership is the one place where this member begins or ceases to lead. It begins only once an entry of its own
// term is committed and all before it is applied, and leads from then on until the Raft core steps down.
func (c *Core) updateLeadership(now clock.Mark, out *Effects) {
	elected := c.raft.Role() == raft.Leader
	switch {
	case c.isLeader && !elected:
		c.isLeader = false
		c.digests.stopComparing()
		c.forgetFeatureLevels()
		c.abandonProposals(out)
	case !c.isLeader && elected && c.raft.CommittedInTerm() && c.appliedIndex == c.raft.CommitIndex():
		c.isLeader = true
		c.digests.stopComparing()
		c.forgetFeatureLevels()
		c.leaderSince, c.reclaimIndex = now, 0
	}
}

// reclaimExpiredLeases is the leader's expiry check of worker ids. A new leader waits for one full lease first, since a
// holder may have renewed its lease with the leader before.
func (c *Core) reclaimExpiredLeases(now clock.Mark, out *Effects) {
	if !c.isLeader || now.Since(c.leaderSince) < c.config.WorkerLease || c.reclaimIndex > c.appliedIndex {
		return
	}
	if !c.state.Workers.HasExpired(c.groupTime(now)) {
		return
	}
	more := c.Submit(now, 0, statemachine.Command{Op: statemachine.OpReclaim})
	c.reclaimIndex = c.raft.LastIndex()
	out.merge(more)
}

// maxUnansweredRounds bounds the rounds of heartbeats whose start is remembered. A leader that hears of no majority for
// longer has stepped down.
const maxUnansweredRounds = 64

// leadershipConfirmation tells up to when a majority has confirmed that this member leads. A round of heartbeats counts
// from the moment at which it was sent, not from its replies: a reply that lay in a buffer while this process or machine
// was suspended proves nothing about a later moment.
type leadershipConfirmation struct {
	// unanswered are the rounds that no majority has answered yet, the oldest first.
	unanswered  []heartbeatRound
	newestRound uint64
	term        raft.Term
	isLeader    bool
	// electedAt is when this member was elected. Its first commit proves that a majority followed it after that.
	electedAt clock.Mark
	// confirmedUntil is the start of the newest round that a majority answered; zero where this member does not lead.
	confirmedUntil clock.Mark
}

type heartbeatRound struct {
	number uint64
	sentAt clock.Mark
}

// observe follows the Raft core; it must be called after each of its steps.
func (c *leadershipConfirmation) observe(now clock.Mark, core *raft.Core) {
	if core.Role() != raft.Leader {
		*c = leadershipConfirmation{newestRound: core.HeartbeatRound()}
		return
	}
	if !c.isLeader || c.term != core.Term() {
		*c = leadershipConfirmation{newestRound: core.HeartbeatRound(), term: core.Term(), isLeader: true, electedAt: now}
	}
	if number := core.HeartbeatRound(); number != c.newestRound {
		c.newestRound = number
		c.unanswered = append(c.unanswered, heartbeatRound{number, now})
		if len(c.unanswered) > maxUnansweredRounds {
			c.unanswered = c.unanswered[1:]
		}
	}
	if c.confirmedUntil < c.electedAt && core.CommittedInTerm() {
		c.confirmedUntil = c.electedAt
	}
	answered := core.QuorumRound()
	for len(c.unanswered) > 0 && c.unanswered[0].number <= answered {
		c.confirmedUntil = c.unanswered[0].sentAt
		c.unanswered = c.unanswered[1:]
	}
}

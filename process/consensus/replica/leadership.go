package replica

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// mostRounds bounds the rounds of heartbeats whose start is remembered. Where a majority is silent for longer,
// the leader steps down.
const maxUnansweredRounds = 64

// confirmation tells up to when a majority has confirmed that this member leads. A round of heartbeats counts from
// the moment at which it was sent, not from its replies: a reply that lay in a buffer while this process or machine
// stood still vouches for no later moment.
type leadershipConfirmation struct {
	// rounds are those sent and not yet answered by a majority, the oldest first.
	unanswered  []heartbeatRound
	newestRound uint64
	term        raft.Term
	isLeader    bool
	// elected is when this member became the leader. Its first commit proves that a majority followed it later.
	electedAt clock.Mark
	// until is the start of the newest round that a majority replied to; zero where this member does not lead.
	confirmedUntil clock.Mark
}

type heartbeatRound struct {
	number uint64
	sentAt clock.Mark
}

// observe takes up what the agreement core did at a moment; it must be called after each of its steps.
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

// Leads says whether this member leads and has applied all that was committed before.
func (c *Core) IsLeader() bool { return c.isLeader }

// ConfirmedUntil is the latest moment at which a majority is known to have followed this member as the leader: all
// that was acknowledged before it, by whichever leader, is applied here. Zero where this member does not lead.
func (c *Core) ConfirmedUntil() clock.Mark {
	if !c.isLeader {
		return 0
	}
	return c.leadership.confirmedUntil
}

// noteLeading is the one place where this member begins or ceases to lead.
func (c *Core) updateLeadership(now clock.Mark, out *Effects) {
	leads := c.raft.Role() == raft.Leader && c.raft.CommittedInTerm() && c.appliedIndex == c.raft.CommitIndex()
	if c.raft.Role() == raft.Leader && c.isLeader {
		return
	}
	if leads == c.isLeader {
		return
	}
	c.isLeader = leads
	c.digests.stopComparing()
	if leads {
		c.leaderSince, c.reclaimIndex = now, 0
		return
	}
	// Whoever waits is told the truth: nobody here knows whether the command will be committed.
	for _, index := range slices.Sorted(maps.Keys(c.proposals)) {
		if waiting := c.proposals[index]; waiting.requestID != 0 {
			out.Responses = append(out.Responses, Response{RequestID: waiting.requestID, Outcome: Unknown})
		}
		delete(c.proposals, index)
	}
}

// reclaim is the leader's expiry check.
func (c *Core) reclaimExpiredLeases(now clock.Mark, out *Effects) {
	// A new leader lets a full lease pass first: holders may have renewed with one who is gone.
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

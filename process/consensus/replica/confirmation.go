package replica

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
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

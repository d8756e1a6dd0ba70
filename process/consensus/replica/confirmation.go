package replica

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// mostRounds bounds the rounds of heartbeats whose start is remembered. Where a majority is silent for longer,
// the leader steps down.
const mostRounds = 64

// confirmation tells up to when a majority has confirmed that this member leads. A round of heartbeats counts from
// the moment at which it was sent, not from its replies: a reply that lay in a buffer while this process or machine
// stood still vouches for no later moment.
type confirmation struct {
	// rounds are those sent and not yet answered by a majority, the oldest first.
	rounds []sentRound
	newest uint64
	term   raft.Term
	leads  bool
	// elected is when this member became the leader. Its first commit proves that a majority followed it later.
	elected clock.Mark
	// until is the start of the newest round that a majority replied to; zero where this member does not lead.
	until clock.Mark
}

type sentRound struct {
	number uint64
	sent   clock.Mark
}

// observe takes up what the agreement core did at a moment; it must be called after each of its steps.
func (c *confirmation) observe(now clock.Mark, core *raft.Core) {
	if core.Role() != raft.Leader {
		*c = confirmation{newest: core.HeartbeatRound()}
		return
	}
	if !c.leads || c.term != core.Term() {
		*c = confirmation{newest: core.HeartbeatRound(), term: core.Term(), leads: true, elected: now}
	}
	if number := core.HeartbeatRound(); number != c.newest {
		c.newest = number
		c.rounds = append(c.rounds, sentRound{number, now})
		if len(c.rounds) > mostRounds {
			c.rounds = c.rounds[1:]
		}
	}
	if c.until < c.elected && core.CommittedInTerm() {
		c.until = c.elected
	}
	answered := core.QuorumRound()
	for len(c.rounds) > 0 && c.rounds[0].number <= answered {
		c.until = c.rounds[0].sent
		c.rounds = c.rounds[1:]
	}
}

package replica

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// MarkLeaving records that a member announced its shutdown. A learner may then take its place before it stops answering.
// A late announcement of an earlier incarnation of its process is ignored: the member has started again, and would lose
// its place. An incarnation of zero is not stated, by builds before this one.
func (c *Core) MarkLeaving(now clock.Mark, id raft.MemberID, incarnation uint64) {
	if known := c.memberIncarnations[id]; incarnation != 0 && known != 0 && known != incarnation {
		return
	}
	c.leaving[id] = now
}

// SafeToStop reports whether this member leads, and a majority of the voters is alive and holds all that is committed
// without the one that leaves. Only then may that one end for good: if another is lost right after it, or was just
// before, those that remain still have every entry, and enough votes to go on once one more is ready.
func (c *Core) SafeToStop(now clock.Mark, leaving raft.MemberID) bool {
	if !c.IsLeader() {
		return false
	}
	voters, upToDate := c.raft.Membership().Voters(), 0
	for _, id := range voters {
		alive := id == c.raft.ID() || now.Since(max(c.lastContact[id], c.leaderSince)) < aliveTimeout
		if id != leaving && alive && c.raft.MatchIndex(id) >= c.raft.CommitIndex() {
			upToDate++
		}
	}
	return upToDate > len(voters)/2
}

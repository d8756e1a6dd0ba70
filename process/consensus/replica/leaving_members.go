package replica

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// HeldWithout says whether this member leads, and of the voters a majority that does without one of them speaks and
// holds all that is committed. Only then may that one end for good: if another is lost right after it, or was just
// before, those who are left still have every entry, and enough votes to go on once one more stands ready.
func (c *Core) SafeToStop(now clock.Mark, leaving raft.MemberID) bool {
	if !c.IsLeader() {
		return false
	}
	voters, holding := c.raft.Membership().Voters(), 0
	for _, id := range voters {
		speaks := id == c.raft.ID() || now.Since(max(c.lastContact[id], c.leaderSince)) < aliveTimeout
		if id != leaving && speaks && c.raft.MatchIndex(id) >= c.raft.CommitIndex() {
			holding++
		}
	}
	return holding > len(voters)/2
}

// Leave notes a member's word that it stops. While it says so nobody else must wait for it to fall silent.
func (c *Core) MarkLeaving(now clock.Mark, id raft.MemberID) { c.leaving[id] = now }

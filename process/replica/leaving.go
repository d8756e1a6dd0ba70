package replica

import "github.com/cresspond/cresspond/process/raft"

// HeldWithout says whether this member leads, and of the voters a majority that does without one of them holds all
// that is committed. Only then may that one end for good: if another is lost right after it, those who are left still
// have every entry.
func (c *Core) HeldWithout(leaving raft.MemberID) bool {
	if !c.Leads() {
		return false
	}
	voters, holding := c.raft.Membership().Voters(), 0
	for _, id := range voters {
		if id != leaving && c.raft.MatchOf(id) >= c.raft.CommitIndex() {
			holding++
		}
	}
	return holding > len(voters)/2
}

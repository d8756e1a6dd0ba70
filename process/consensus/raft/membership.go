package raft

import "slices"

// Membership changes, one member at a time.

type membershipEntry struct {
	index      Index
	membership Membership
}

// noteMemberships takes up memberships as soon as they stand in the log, committed or not, as single-member change requires.
func (c *Core) adoptMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			panic("broken invariant: a membership in the log cannot be read: " + err.Error())
		}
		c.memberships = append(c.memberships, membershipEntry{entry.Index, membership})
		c.updatePeers()
	}
}

// Membership is the newest one in the log.
func (c *Core) Membership() Membership { return c.memberships[len(c.memberships)-1].membership }

// membershipBy is the one in force at index.
func (c *Core) membershipAtIndex(index Index) Membership {
	membership := c.memberships[0].membership
	for _, at := range c.memberships {
		if at.index <= index {
			membership = at.membership
		}
	}
	return membership
}

func (c *Core) isVoter() bool {
	member, ok := c.Membership().Find(c.id)
	return ok && member.Voter
}

// fitPeers keeps the leader's table of members in step with the membership.
func (c *Core) updatePeers() {
	if c.role != Leader {
		return
	}
	membership := c.Membership()
	peers := map[MemberID]*progress{}
	for _, member := range membership.Members {
		if known := c.peers[member.ID]; known != nil {
			peers[member.ID] = known
			continue
		}
		peers[member.ID] = &progress{next: c.raftLog.lastIndex() + 1, probing: true, recentActive: true}
	}
	if self := peers[c.id]; self != nil {
		self.match = c.raftLog.stableIndex
	}
	c.peers = peers
}

func (c *Core) hasQuorum(counted func(MemberID) bool) bool {
	voters := c.Membership().Voters()
	count := 0
	for _, id := range voters {
		if counted(id) {
			count++
		}
	}
	return count > len(voters)/2
}

func (c *Core) membershipCommitted() bool {
	return c.memberships[len(c.memberships)-1].index <= c.commitIndex
}

func (c *Core) discardMembershipsFrom(index Index) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// proposeMembership lets in one change at a time, after the leader has committed in its term.
func (c *Core) proposeMembership(proposed Membership) {
	if c.role != Leader || c.transferTarget != 0 || !c.CommittedInTerm() || !c.membershipCommitted() {
		return
	}
	if len(proposed.Voters()) == 0 || voterChanges(c.Membership(), proposed) > 1 {
		return
	}
	c.effects.ProposedIndex, c.effects.ProposedTerm = c.appendEntry(EntryMembership, proposed.Encode()), c.term
	c.sendAppends()
	c.advanceCommit()
}

// voterChanges counts by how many voters two memberships differ.
func voterChanges(before, after Membership) int {
	count := 0
	beforeVoters, afterVoters := before.Voters(), after.Voters()
	for _, id := range beforeVoters {
		if !slices.Contains(afterVoters, id) {
			count++
		}
	}
	for _, id := range afterVoters {
		if !slices.Contains(beforeVoters, id) {
			count++
		}
	}
	return count
}

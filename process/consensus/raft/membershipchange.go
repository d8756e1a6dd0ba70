package raft

import "slices"

// membershipEntry is a membership and the index of its entry, or of the snapshot.
type membershipEntry struct {
	index      Index
	membership Membership
}

// Membership is the one in force: the newest in the log, committed or not.
func (c *Core) Membership() Membership { return c.memberships[len(c.memberships)-1].membership }

// membershipAtIndex is the membership in force at index.
func (c *Core) membershipAtIndex(index Index) Membership {
	membership := c.memberships[0].membership
	for _, at := range c.memberships {
		if at.index <= index {
			membership = at.membership
		}
	}
	return membership
}

// isVoter says whether this member votes in the membership in force.
func (c *Core) isVoter() bool {
	member, ok := c.Membership().Find(c.id)
	return ok && member.Voter
}

// hasQuorum says whether counted is true for a majority of the voters.
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

// adoptMemberships puts memberships in force as soon as they are appended, committed or not (section 4.1).
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

// discardMembershipsFrom takes back the memberships of truncated entries (section 4.1).
func (c *Core) discardMembershipsFrom(index Index) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// membershipCommitted says whether the membership in force is committed.
func (c *Core) membershipCommitted() bool {
	return c.memberships[len(c.memberships)-1].index <= c.commitIndex
}

// updatePeers makes the leader's peers those of the membership, with fresh progress for new ones.
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
		peers[member.ID] = &progress{next: c.raftLog.lastIndex() + 1, probing: true}
	}
	if self := peers[c.id]; self != nil {
		self.match = c.raftLog.stableIndex
	}
	c.peers = peers
}

// proposeMembership appends a membership. Two rules keep quorums of successive memberships overlapping: only one voter
// changes, in one uncommitted change at a time (section 4.1), and the leader has committed an entry of its own term before
// (the correction to section 4.1 in "bug in single-server membership changes", raft-dev mailing list, July 2015).
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

// voterChanges is the number of voters by which two memberships differ.
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

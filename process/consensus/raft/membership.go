package raft

import "slices"

// Membership changes, one member at a time.

type membershipAt struct {
	index      Index
	membership Membership
}

// noteMemberships takes up memberships as soon as they stand in the log, committed or not, as single-member change requires.
func (c *Core) noteMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			panic("broken invariant: a membership in the log cannot be read: " + err.Error())
		}
		c.memberships = append(c.memberships, membershipAt{entry.Index, membership})
		c.fitPeers()
	}
}

// Membership is the newest one in the log.
func (c *Core) Membership() Membership { return c.memberships[len(c.memberships)-1].membership }

// membershipBy is the one in force at index.
func (c *Core) membershipBy(index Index) Membership {
	found := c.memberships[0].membership
	for _, at := range c.memberships {
		if at.index <= index {
			found = at.membership
		}
	}
	return found
}

func (c *Core) isVoter() bool {
	member, ok := c.Membership().Find(c.id)
	return ok && member.Voter
}

// fitPeers keeps the leader's table of members in step with the membership.
func (c *Core) fitPeers() {
	if c.role != Leader {
		return
	}
	membership := c.Membership()
	next := map[MemberID]*progress{}
	for _, member := range membership.Members {
		if known := c.peers[member.ID]; known != nil {
			next[member.ID] = known
			continue
		}
		next[member.ID] = &progress{next: c.log.last() + 1, probing: true, heard: true}
	}
	if own := next[c.id]; own != nil {
		own.match = c.log.stable
	}
	c.peers = next
}

func (c *Core) majority(has func(MemberID) bool) bool {
	voters := c.Membership().Voters()
	count := 0
	for _, id := range voters {
		if has(id) {
			count++
		}
	}
	return count > len(voters)/2
}

func (c *Core) membershipCommitted() bool {
	return c.memberships[len(c.memberships)-1].index <= c.commit
}

func (c *Core) dropMembershipsFrom(index Index) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// proposeMembership lets in one change at a time, after the leader has committed in its term.
func (c *Core) proposeMembership(next Membership) {
	if c.role != Leader || c.transferTo != 0 || !c.CommittedInTerm() || !c.membershipCommitted() {
		return
	}
	if len(next.Voters()) == 0 || voterChanges(c.Membership(), next) > 1 {
		return
	}
	c.out.Proposed, c.out.ProposedTerm = c.appendOwn(EntryMembership, next.Encode()), c.term
	c.sendAppends()
	c.advanceCommit()
}

// voterChanges counts by how many voters two memberships differ.
func voterChanges(a, b Membership) int {
	count := 0
	av, bv := a.Voters(), b.Voters()
	for _, id := range av {
		if !slices.Contains(bv, id) {
			count++
		}
	}
	for _, id := range bv {
		if !slices.Contains(av, id) {
			count++
		}
	}
	return count
}

package raft

// followLeader accepts the sender of a leader's message of this term, and resets the election time-out.
func (c *Core) followLeader(leader MemberID) {
	if c.role == Leader {
		panic("broken invariant: two leaders in one term")
	}
	if c.role != Follower || c.leader != leader {
		c.become(Follower, leader)
	}
	c.electionElapsed = 0
}

// handleAppend appends what the log lacks, after the consistency check (section 3.5). Conflicting entries are truncated.
func (c *Core) handleAppend(message Message) {
	if message.LogIndex < c.commitIndex {
		// Committed entries match the leader's.
		c.acknowledge(message.From, c.commitIndex)
		return
	}
	if term, ok := c.raftLog.term(message.LogIndex); !ok || term != message.LogTerm {
		hint := min(c.raftLog.lastIndex(), message.LogIndex-1)
		c.sendAfterSync(Message{Kind: MsgAppendReply, To: message.From, Term: c.term, Reject: true, LogIndex: message.LogIndex, Hint: hint, AcceptsChunks: true})
		return
	}
	newEntries := message.Entries
	for len(newEntries) > 0 {
		term, ok := c.raftLog.term(newEntries[0].Index)
		if !ok || term != newEntries[0].Term {
			break
		}
		newEntries = newEntries[1:]
	}
	if len(newEntries) > 0 {
		first := newEntries[0].Index
		save := c.pendingSave()
		if first <= c.raftLog.lastIndex() {
			if first <= c.commitIndex {
				panic("broken invariant: a committed entry would be replaced")
			}
			c.raftLog.truncateFrom(first)
			c.discardMembershipsFrom(first)
			save.TruncateFrom = first
		}
		c.raftLog.entries = append(c.raftLog.entries, newEntries...)
		c.adoptMemberships(newEntries)
		save.Entries = append(save.Entries, newEntries...)
	}
	matchIndex := message.LogIndex + Index(len(message.Entries))
	c.commitTo(min(message.Commit, matchIndex))
	c.acknowledge(message.From, matchIndex)
}

// acknowledge tells the leader that the log matches its own up to index, once that is on disk.
func (c *Core) acknowledge(leader MemberID, index Index) {
	c.sendAfterSync(Message{Kind: MsgAppendReply, To: leader, Term: c.term, LogIndex: index, AcceptsChunks: true})
}

package replica

import (
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Digest is the newest digest of this member's state; Differing lists whose differed, as far as a leader knows.
func (c *Core) Digest() raft.StateDigest { return c.digests.newest() }

// Differing lists the members whose state differed from a majority's when this leader last compared them.
func (c *Core) DivergentMembers() []raft.MemberID { return slices.Clone(c.digests.divergent) }

// askForDigests has a leader's heartbeats carry the digest that its peers are asked to compare.
func (c *Core) attachDigests(now clock.Mark, messages []raft.Message) {
	if !c.isLeader {
		return
	}
	c.digests.startComparison(now, c.raft.ID(), c.raft.Membership())
	for place := range messages {
		if messages[place].Kind == raft.MsgHeartbeat {
			messages[place].StateDigest = c.digests.requestFor(messages[place].To, c.raft.Membership())
		}
	}
}

// compareDigests takes the digest that came with a message: a leader's question, or a peer's answer.
func (c *Core) handleDigest(message raft.Message, out *Effects) {
	switch {
	case message.StateDigest == nil || message.Term != c.raft.Term():
	case message.Kind == raft.MsgHeartbeat && c.raft.LeaderID() == message.From:
		c.replyWithDigest(message, out)
	case message.Kind == raft.MsgHeartbeatReply && c.isLeader:
		found := c.digests.recordReply(c.raft.ID(), message.From, *message.StateDigest, c.raft.Membership())
		if found.divergent {
			out.Notices = append(out.Notices, raft.Notice{Kind: raft.NoticeStateDiffers, Peer: message.From, Index: message.StateDigest.Index})
		}
		c.stopServing(found.selfDiverged, out)
	}
}

func (c *Core) replyWithDigest(message raft.Message, out *Effects) {
	answer, err := c.digests.replyTo(*message.StateDigest)
	c.stopServing(err, out)
	for place := range out.Messages {
		if reply := &out.Messages[place]; reply.Kind == raft.MsgHeartbeatReply && reply.To == message.From {
			reply.StateDigest = answer
		}
	}
}

// giveUp says that this member's state is not what a majority holds.
func (c *Core) stopServing(why error, out *Effects) {
	if why == nil {
		return
	}
	out.Fatal = why
	out.Notices = append(out.Notices, raft.Notice{Kind: raft.NoticeStateDiffers, Peer: c.raft.ID(), Index: c.appliedIndex, Err: why})
}

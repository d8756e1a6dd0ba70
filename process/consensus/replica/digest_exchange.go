package replica

import (
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Digest returns the newest digest of this member's state; zero before the first.
func (c *Core) Digest() raft.StateDigest { return c.digests.newest() }

// DivergentMembers lists the members whose state differed from a majority's when this leader last compared them.
func (c *Core) DivergentMembers() []raft.MemberID { return slices.Clone(c.digests.divergent) }

// attachDigests has a leader's heartbeats carry the digest that its peers are to compare with their own.
func (c *Core) attachDigests(now clock.Mark, messages []raft.Message) {
	if !c.isLeader {
		return
	}
	c.digests.startComparison(now, c.raft.ID(), c.raft.Membership())
	for i := range messages {
		if message := &messages[i]; message.Kind == raft.MsgHeartbeat {
			message.StateDigest = c.digests.requestFor(message.To, c.raft.Membership())
		}
	}
}

// handleDigest handles the digest that came with a message: a leader's request, or a peer's reply.
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

// replyWithDigest attaches this member's digest to its reply to the leader's heartbeat.
func (c *Core) replyWithDigest(heartbeat raft.Message, out *Effects) {
	digest, err := c.digests.replyTo(*heartbeat.StateDigest)
	c.stopServing(err, out)
	for i := range out.Messages {
		if reply := &out.Messages[i]; reply.Kind == raft.MsgHeartbeatReply && reply.To == heartbeat.From {
			reply.StateDigest = digest
		}
	}
}

// stopServing makes a divergence of this member's own state fatal; it does nothing where there is none.
func (c *Core) stopServing(divergence error, out *Effects) {
	if divergence == nil {
		return
	}
	out.Fatal = divergence
	out.Notices = append(out.Notices, raft.Notice{Kind: raft.NoticeStateDiffers, Peer: c.raft.ID(), Index: c.appliedIndex, Err: divergence})
}

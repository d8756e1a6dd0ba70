package replica

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// attachProcess has replies to a leader's heartbeats carry what this member's process is: the level that its build
// understands, and its incarnation.
func (c *Core) attachProcess(messages []raft.Message) {
	for i := range messages {
		if message := &messages[i]; message.Kind == raft.MsgHeartbeatReply {
			message.FeatureLevel, message.Incarnation = uint32(c.config.FeatureLevel), c.config.Incarnation
		}
	}
}

// recordProcess records at a leader what a member's process is; a restarted member may run another build.
func (c *Core) recordProcess(message raft.Message) {
	if message.Kind == raft.MsgHeartbeatReply && message.Term == c.raft.Term() {
		c.memberLevels[message.From] = statemachine.FeatureLevel(message.FeatureLevel)
		c.memberIncarnations[message.From] = message.Incarnation
	}
}

// forgetFeatureLevels is called where leadership begins or ends: what members understand is learned anew.
func (c *Core) forgetFeatureLevels() {
	clear(c.memberLevels)
	c.proposedLevel = 0
}

// RequiredFeatureLevel is the lowest level that a member has to understand: the group's, or the one that it is being
// raised to.
func (c *Core) RequiredFeatureLevel() statemachine.FeatureLevel {
	return max(c.state.FeatureLevel, c.proposedLevel)
}

// RaiseFeatureLevel is a leader's duty: it raises the group to the highest level that all voters and learners say they
// understand. Members that ask to join must be admitted or refused before, since their level does not count here.
func (c *Core) RaiseFeatureLevel(now clock.Mark) Effects {
	level := c.lowestMemberLevel()
	if !c.isLeader || level <= c.RequiredFeatureLevel() {
		return Effects{}
	}
	c.proposedLevel = level
	return c.Submit(now, 0, statemachine.Command{Op: statemachine.OpRaiseFeatureLevel, FeatureLevel: level})
}

// lowestMemberLevel is the lowest level that any member understands; one that has not replied in this leadership counts
// as understanding nothing new.
func (c *Core) lowestMemberLevel() statemachine.FeatureLevel {
	lowest := c.config.FeatureLevel
	for _, member := range c.raft.Membership().Members {
		if member.ID != c.raft.ID() {
			lowest = min(lowest, c.memberLevels[member.ID])
		}
	}
	return lowest
}

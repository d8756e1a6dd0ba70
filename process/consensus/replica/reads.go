package replica

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Read asks for a linearizable look at the state.
func (c *Core) Read(now clock.Mark, ref uint64) Effects {
	return c.processRaftEffects(now, c.raft.Step(raft.Read{RequestID: ref}))
}

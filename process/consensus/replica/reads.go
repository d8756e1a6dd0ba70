package replica

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Read requests a linearizable read of the state (ReadIndex). The response comes once a majority has confirmed that this
// member leads and the state has applied all that was committed when the read began.
func (c *Core) Read(now clock.Mark, requestID uint64) Effects {
	return c.processRaftEffects(now, c.raft.Step(raft.Read{RequestID: requestID}))
}

// queueReads takes the reads that the Raft core has confirmed or rejected.
func (c *Core) queueReads(reads []raft.ReadState, out *Effects) {
	for _, read := range reads {
		if !read.OK {
			out.Responses = append(out.Responses, Response{RequestID: read.RequestID, Outcome: NotLeader})
			continue
		}
		c.reads[read.RequestID] = read.Index
	}
}

// answerReads answers the confirmed reads whose index the state has reached.
func (c *Core) answerReads(out *Effects) {
	for _, requestID := range slices.Sorted(maps.Keys(c.reads)) {
		if c.appliedIndex >= c.reads[requestID] {
			out.Responses = append(out.Responses, Response{RequestID: requestID, Outcome: Applied, State: c.state})
			delete(c.reads, requestID)
		}
	}
}

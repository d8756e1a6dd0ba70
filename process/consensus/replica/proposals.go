package replica

import (
	"encoding/json"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Outcome tells how a command or a read ended.
type Outcome string

const (
	// Applied says that the command or read took effect; the answer holds its result.
	Applied Outcome = "applied"
	// NotLeader says that this daemon does not lead, and that the command has not been proposed.
	NotLeader Outcome = "not-leader"
	// Unknown says that the command may still be applied, or not.
	Unknown Outcome = "unknown"
)

// Answer is what the asker with this Ref is told.
type Response struct {
	RequestID uint64
	Outcome   Outcome
	Result    statemachine.Result
	// State is given to a read: it may be read until the answer is handled, and not kept.
	State *statemachine.State
}

type proposal struct {
	requestID uint64
	term      raft.Term
}

// Submit puts a command forward; the answer comes with its ref.
func (c *Core) Submit(now clock.Mark, ref uint64, command statemachine.Command) Effects {
	if !c.isLeader {
		return Effects{Responses: []Response{{RequestID: ref, Outcome: NotLeader}}}
	}
	// All that depends on time or config is stamped here, so that apply is the same everywhere.
	command.At = c.groupTime(now)
	command.LeaseMs = c.config.WorkerLease.Milliseconds()
	if command.Op == statemachine.OpAcquirePlanner {
		command.LeaseMs, command.HandoverGapMs = c.config.PlannerLease.Milliseconds(), c.config.PlannerLeaseGap.Milliseconds()
	}
	data, err := json.Marshal(command)
	if err != nil {
		panic("broken invariant: a command cannot be encoded: " + err.Error())
	}
	effects := c.raft.Step(raft.Propose{Data: data})
	if effects.ProposedIndex == 0 {
		out := c.processRaftEffects(now, effects)
		out.Responses = append(out.Responses, Response{RequestID: ref, Outcome: NotLeader})
		return out
	}
	c.proposals[effects.ProposedIndex] = proposal{requestID: ref, term: effects.ProposedTerm}
	return c.processRaftEffects(now, effects)
}

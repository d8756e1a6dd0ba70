package replica

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Outcome tells how a command or a read ended.
type Outcome string

const (
	// Applied says that the command or read took effect; the response holds its result.
	Applied Outcome = "applied"
	// NotLeader says that this member does not lead, and that the command was not and will not be committed by it. It is
	// safe to send it to another member.
	NotLeader Outcome = "not-leader"
	// Unknown says that the command may still be applied, or not.
	Unknown Outcome = "unknown"
)

// Response answers one command or read.
type Response struct {
	RequestID uint64
	Outcome   Outcome
	// Result is what the state machine answered to a command.
	Result statemachine.Result
	// State is given to a read. It may be used until the response is handled, and must not be kept.
	State *statemachine.State
}

// proposal is a command in the log that is not applied yet. A request identifier of zero stands for the leader's own
// commands, which nobody waits for.
type proposal struct {
	requestID uint64
	term      raft.Term
}

// Submit proposes a command. The response bears the request identifier and comes with the effects of this or of a later
// step.
func (c *Core) Submit(now clock.Mark, requestID uint64, command statemachine.Command) Effects {
	if !c.isLeader {
		return Effects{Responses: []Response{{RequestID: requestID, Outcome: NotLeader}}}
	}
	effects := c.raft.Step(raft.Propose{Data: c.encode(now, command)})
	if effects.ProposedIndex == 0 {
		out := c.processRaftEffects(now, effects)
		out.Responses = append(out.Responses, Response{RequestID: requestID, Outcome: NotLeader})
		return out
	}
	c.proposals[effects.ProposedIndex] = proposal{requestID: requestID, term: effects.ProposedTerm}
	return c.processRaftEffects(now, effects)
}

// encode stamps a command with all that depends on time or configuration, so that applying it is the same on each member.
func (c *Core) encode(now clock.Mark, command statemachine.Command) []byte {
	command.At = c.groupTime(now)
	command.LeaseMs = c.config.WorkerLease.Milliseconds()
	if command.Op == statemachine.OpAcquirePlanner {
		command.LeaseMs, command.HandoverGapMs = c.config.PlannerLease.Milliseconds(), c.config.PlannerLeaseGap.Milliseconds()
	}
	data, err := json.Marshal(command)
	if err != nil {
		panic("broken invariant: a command cannot be encoded: " + err.Error())
	}
	return data
}

// answerProposal answers whoever proposed the entry that was just applied.
func (c *Core) answerProposal(entry raft.Entry, result statemachine.Result, out *Effects) {
	proposed, ok := c.proposals[entry.Index]
	if !ok {
		return
	}
	delete(c.proposals, entry.Index)
	if proposed.requestID == 0 {
		return
	}
	// Another leader's entry at that index means that the command was never committed.
	if proposed.term != entry.Term {
		out.Responses = append(out.Responses, Response{RequestID: proposed.requestID, Outcome: NotLeader})
		return
	}
	out.Responses = append(out.Responses, Response{RequestID: proposed.requestID, Outcome: Applied, Result: result})
}

// abandonProposals answers all open proposals of a member that leads no longer: it can't know whether they will be
// committed.
func (c *Core) abandonProposals(out *Effects) {
	for _, index := range slices.Sorted(maps.Keys(c.proposals)) {
		if proposed := c.proposals[index]; proposed.requestID != 0 {
			out.Responses = append(out.Responses, Response{RequestID: proposed.requestID, Outcome: Unknown})
		}
		delete(c.proposals, index)
	}
}

package statemachine

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// A copy of an operator's call may wait in the buffers of a frozen machine and be applied after others have acted. Most
// commands are known again by what they name; a refusal is not, nor is a change that changed nothing. So calls bear an id,
// and their outcomes are remembered by it:
//
//   - A copy of a remembered call has its outcome, and changes nothing.
//   - A call that is not remembered was never applied if it arrived after CallsKnownFrom, since a forgotten one was applied,
//     and so had arrived, at or before that time. It is applied now.
//   - Otherwise nothing can be proved: Unproven, and nothing changes.
//
// CalledAt is the group's time as the daemon knew it that took the call from the operator. Whoever calls again with the
// same id after the call was forgotten gets a new CalledAt, and is answered by what the command itself can be known by.

const (
	// maxRememberedCalls bounds how many calls are remembered.
	maxRememberedCalls = 256
	// callMemory is how long a call is remembered.
	callMemory = 10 * time.Minute
)

// RememberedCall is a call of an operator that was applied.
type RememberedCall struct {
	ID string `json:"id"`
	// Content is a digest of the command, without what differs from copy to copy.
	Content uint64          `json:"content"`
	At      ident.GroupTime `json:"at"`
	Outcome Outcome         `json:"verdict"`
	Reason  string          `json:"reason,omitempty"`
	Winner  string          `json:"winner,omitempty"`
}

// applyCall applies a command, if it is no copy of a call that was applied before.
func (s *State) applyCall(command Command) Result {
	if command.CallID == "" || s.FeatureLevel < CallMemoryLevel {
		return s.dispatch(command)
	}
	s.forgetOldCalls()
	content := command.contentDigest()
	known := slices.IndexFunc(s.Calls, func(call RememberedCall) bool { return call.ID == command.CallID })
	switch {
	case known >= 0 && s.Calls[known].Content != content:
		return Result{Outcome: Conflict, Reason: "this call id belongs to another call"}
	case known >= 0:
		return s.repeatOutcome(command, s.Calls[known])
	case command.CalledAt <= s.CallsKnownFrom:
		return Result{Outcome: Unproven, Reason: "whether this call was applied before is no longer remembered"}
	}
	result := s.dispatch(command)
	if result.Outcome != Unproven {
		s.rememberCall(RememberedCall{ID: command.CallID, Content: content, At: s.Now, Outcome: result.Outcome, Reason: result.Reason, Winner: result.Winner})
	}
	return result
}

// contentDigest sums up a command without what its sender and the leader set anew for each copy.
func (c Command) contentDigest() uint64 {
	c.CallID, c.CalledAt, c.At, c.LeaseMs, c.HandoverGapMs = "", 0, 0, 0, 0
	data, err := json.Marshal(c)
	if err != nil {
		panic("broken invariant: a command cannot be encoded: " + err.Error())
	}
	sum := fnv.New64a()
	_, _ = sum.Write(data)
	return sum.Sum64()
}

// repeatOutcome gives the outcome of a remembered call, with what it is about as it is now.
func (s *State) repeatOutcome(command Command, call RememberedCall) Result {
	result := Result{Outcome: call.Outcome, Reason: call.Reason, Winner: call.Winner}
	switch command.Op {
	case OpPropose, OpReview, OpSignOff, OpRollOut:
		if proposal := s.Proposals[command.ProposalID]; proposal != nil {
			result.Proposal = proposal.withoutConfiguration()
		} else if call.Outcome == Done {
			return Result{Outcome: Unproven, Reason: "the proposal is no longer remembered"}
		}
	case OpClosure, OpProtect, OpDeclareLost:
		result.Closures = s.currentClosures().Closures
	}
	return result
}

// rememberCall adds a call and forgets the oldest beyond the bound.
func (s *State) rememberCall(call RememberedCall) {
	s.Calls = append(slices.Clip(s.Calls), call)
	s.forgetCalls(len(s.Calls) - maxRememberedCalls)
}

// forgetOldCalls forgets the calls that were remembered for long enough.
func (s *State) forgetOldCalls() {
	recent := slices.IndexFunc(s.Calls, func(call RememberedCall) bool { return call.At.Add(callMemory) > s.Now })
	if recent < 0 {
		recent = len(s.Calls)
	}
	s.forgetCalls(recent)
}

// forgetCalls is the one function that forgets calls, the oldest first, and records up to when some are missing.
func (s *State) forgetCalls(count int) {
	if count <= 0 {
		return
	}
	s.CallsKnownFrom = max(s.CallsKnownFrom, s.Calls[count-1].At)
	s.Calls = slices.Clone(s.Calls[count:])
}

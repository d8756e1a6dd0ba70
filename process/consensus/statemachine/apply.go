package statemachine

import (
	"encoding/json"
	"time"

	"github.com/cresspond/cresspond/process/workerid"
)

// Apply takes one committed command.
func (s *State) Apply(data []byte) Result {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Result{Outcome: Malformed, Reason: err.Error()}
	}
	// The group's time never goes back, whatever a leader stamped.
	s.Now = max(s.Now, command.At)
	result := s.dispatch(command)
	result.Version, result.Revision = s.Version(), s.Revision
	return result
}

func (s *State) dispatch(c Command) Result {
	span := time.Duration(c.LeaseMs) * time.Millisecond
	switch c.Op {
	case OpAcquire:
		grant, verdict := s.Workers.Acquire(c.NodeID, s.Now, span)
		s.confirmServing(c.NodeID, verdict)
		return grantResult(grant, verdict)
	case OpRenew:
		grant, verdict := s.Workers.Renew(c.NodeID, c.WorkerID, s.Now, span)
		s.confirmServing(c.NodeID, verdict)
		return grantResult(grant, verdict)
	case OpRelease:
		// Whoever lets go of its worker id has stopped serving.
		s.endIncarnation(c.NodeID, true)
		if s.Workers.Release(c.NodeID, c.WorkerID, c.LastTimestamp) == workerid.Mismatch {
			return Result{Outcome: Mismatch}
		}
		return Result{Outcome: Done}
	case OpReclaim:
		s.Workers.Reclaim(s.Now)
		return Result{Outcome: Done}
	case OpPropose:
		return s.propose(c)
	case OpReview, OpSignOff:
		return s.approve(c)
	case OpRollOut:
		return s.rollOut(c)
	case OpApply:
		return s.applyBundle(c)
	case OpClosure:
		return s.changeClosure(c)
	case OpProtect:
		return s.protect(c)
	case OpRegister:
		return s.registerDaemon(c)
	case OpDeclareLost:
		return s.declareLost(c)
	case OpEngineDeparted:
		return s.recordDeparture(c)
	case OpAcquirePlanner:
		return s.acquirePlannerLease(c)
	case OpReleasePlanner:
		if s.PlannerLease.NodeID == c.NodeID && s.PlannerLease.Expiry > s.Now {
			s.PlannerLease.Expiry = s.Now
		}
		if s.PlannerLease.NodeID == c.NodeID {
			// It let go for good, so a late word of it must not take the claim up again.
			s.PlannerLease.NodeID = ""
		}
		return Result{Outcome: Done}
	}
	return Result{Outcome: Malformed, Reason: "unknown op " + string(c.Op)}
}

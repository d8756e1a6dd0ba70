package statemachine

import "encoding/json"

// handlers holds what each command does to the state.
var handlers = map[Op]func(*State, Command) Result{
	OpAcquire:        (*State).acquireWorkerID,
	OpRenew:          (*State).renewWorkerID,
	OpRelease:        (*State).releaseWorkerID,
	OpReclaim:        (*State).reclaimWorkerIDs,
	OpPropose:        (*State).propose,
	OpReview:         (*State).approve,
	OpSignOff:        (*State).approve,
	OpRollOut:        (*State).rollOut,
	OpApply:          (*State).applyBundle,
	OpClosure:        (*State).changeClosure,
	OpProtect:        (*State).protect,
	OpRegister:       (*State).registerDaemon,
	OpDeclareLost:    (*State).declareLost,
	OpEngineDeparted: (*State).recordDeparture,
	OpAcquirePlanner: (*State).acquirePlannerLease,
	OpReleasePlanner: (*State).releasePlannerLease,

	OpRaiseFeatureLevel: (*State).raiseFeatureLevel,
}

// Apply applies one committed command, in its encoded form. A command that cannot be read, or has an unknown Op, is
// Malformed and moves nothing but the time.
func (s *State) Apply(data []byte) Result {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Result{Outcome: Malformed, Reason: err.Error()}
	}
	// The group's time never goes back, whatever a leader stamped.
	s.Now = max(s.Now, command.At)
	result := s.applyCall(command)
	result.Version, result.Revision = s.Version(), s.Revision
	return result
}

func (s *State) dispatch(command Command) Result {
	handle, known := handlers[command.Op]
	if !known {
		return Result{Outcome: Malformed, Reason: "unknown op " + string(command.Op)}
	}
	return handle(s, command)
}

package statemachine

import "github.com/cresspond/cresspond/process/workerid"

func (s *State) acquireWorkerID(command Command) Result {
	grant, outcome := s.Workers.Acquire(command.NodeID, s.Now, command.leaseDuration())
	s.confirmServing(command.NodeID, outcome)
	return grantResult(grant, outcome)
}

func (s *State) renewWorkerID(command Command) Result {
	grant, outcome := s.Workers.Renew(command.NodeID, command.WorkerID, s.Now, command.leaseDuration())
	s.confirmServing(command.NodeID, outcome)
	return grantResult(grant, outcome)
}

func (s *State) releaseWorkerID(command Command) Result {
	// A daemon that releases its worker id has stopped serving.
	s.endIncarnation(command.NodeID, true)
	if s.Workers.Release(command.NodeID, command.WorkerID, command.LastTimestamp) == workerid.Mismatch {
		return Result{Outcome: Mismatch}
	}
	return Result{Outcome: Done}
}

func (s *State) reclaimWorkerIDs(Command) Result {
	s.Workers.Reclaim(s.Now)
	return Result{Outcome: Done}
}

func grantResult(grant workerid.Grant, outcome workerid.LeaseOutcome) Result {
	switch outcome {
	case workerid.Granted:
		return Result{Outcome: Done, Grant: &grant}
	case workerid.Exhausted:
		return Result{Outcome: Exhausted, Reason: "no worker id is free"}
	}
	return Result{Outcome: Mismatch, Reason: "no such lease"}
}

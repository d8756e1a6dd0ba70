package statemachine

import (
	"github.com/cresspond/cresspond/process/workerid"
)

func grantResult(grant workerid.Grant, verdict workerid.LeaseOutcome) Result {
	switch verdict {
	case workerid.Granted:
		return Result{Outcome: Done, Grant: &grant}
	case workerid.Exhausted:
		return Result{Outcome: Exhausted, Reason: "no worker id is free"}
	}
	return Result{Outcome: Mismatch, Reason: "no such tenure"}
}

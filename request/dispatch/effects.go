package dispatch

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Send tells the actor to start an attempt.
type Send struct {
	ID      RecordID
	Engine  ident.EngineID
	Address string
	Zone    ident.ZoneID
	// Stamped says that the record was queued or retried, so the lease on the worker id must still be held as it leaves.
	Stamped  bool
	Deadline clock.Mark
	// The bid, for the engine's keeper.
	Assigned bool
	Tenant   string
	Worth    int64
	Rank     int
}

// AskAssignment tells the actor to ask the session's owner for its assignment; Engine is the one wished for.
type AskAssignment struct {
	ID                      RecordID
	Session, Model, Adapter string
	Engine, Replaces        ident.EngineID
}

// Reply gives the caller the final answer.
type Reply struct {
	ID     RecordID
	Answer Answer
}

// Effects is what the actor has to do after a step.
type Effects struct {
	Sends          []Send
	Replies        []Reply
	AskAssignments []AskAssignment
	// EndAssignments lists sessions whose owners should forget them.
	EndAssignments []string
}

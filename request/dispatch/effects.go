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
	// Stamped says that the record was queued or retried, so the worker-id lease must still be valid when it is sent.
	Stamped  bool
	Deadline clock.Mark
	// Assigned, Tenant, Value and Rank are the priority, for the owner of the engine's slots.
	Assigned bool
	Tenant   string
	Value    int64
	Rank     int
}

// AssignmentQuery tells the actor to ask the session's owner for its assignment; Engine is the one proposed.
type AssignmentQuery struct {
	ID                      RecordID
	Session, Model, Adapter string
	Engine, Replaces        ident.EngineID
}

// Reply gives the client the final answer.
type Reply struct {
	ID     RecordID
	Answer Answer
}

// Effects is what the actor has to do after a step.
type Effects struct {
	Sends             []Send
	Replies           []Reply
	AssignmentQueries []AssignmentQuery
	// EndAssignments lists sessions whose owners should forget them.
	EndAssignments []string
}

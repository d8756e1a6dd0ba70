package dispatch

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
)

// World is what the core may read during one step.
type World struct {
	Now     clock.Mark
	Table   *routingtable.Table
	Engines *discovery.View
	// NotReady is empty, or why this daemon takes no new work.
	NotReady string
	Mint     MintFunc
	Zone     ident.ZoneID
	// ShareAssignments says whether assignments are shared with other routing daemons.
	ShareAssignments bool
	// UnplacedWaits is for how long what is asked for is not likely to be loaded anywhere.
	UnplacedWaits map[Wanted]time.Duration
	// Admission says that the owner of the engine's slots is asked before each attempt is sent.
	Admission bool
}

// Wanted is one model, or one adapter of it.
type Wanted struct{ Model, Adapter string }

// Event is an input of the core.
type Event interface{ dispatchEvent() }

// Arrive brings a new request.
type Arrive struct {
	ID      RecordID
	Request Request
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	ID      RecordID
	Outcome AttemptOutcome
	// Reason says why an attempt was never sent or was refused.
	Reason string
}

// FirstChunk says that the first chunk is about to be sent to the client.
type FirstChunk struct{ ID RecordID }

// ClientGone says that the client closed its connection while the record was queued.
type ClientGone struct{ ID RecordID }

// AssignmentFound brings the answer of the session's owner.
type AssignmentFound struct {
	ID      RecordID
	Session string
	Engine  ident.EngineID
}

// Tick lets time pass, or says that engines or the configuration changed.
type Tick struct{}

func (Arrive) dispatchEvent()          {}
func (AttemptEnded) dispatchEvent()    {}
func (FirstChunk) dispatchEvent()      {}
func (ClientGone) dispatchEvent()      {}
func (AssignmentFound) dispatchEvent() {}
func (Tick) dispatchEvent()            {}

// MintFunc mints the ids by which queued and retried requests are stamped.
type MintFunc func() (ident.SnowflakeID, snowflake.Outcome)

package dispatch

import (
	"time"

	"github.com/cresspond/cresspond/epoch/table"
	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/engines"
	"github.com/cresspond/cresspond/process/ident"
)

// World is what the core may look at during one step.
type World struct {
	Now     clock.Mark
	Table   *table.Table
	Engines *engines.View
	// Ready is empty, or why this daemon takes no new work.
	NotReady string
	Mint     MintFunc
	Zone     ident.ZoneID
	// Fellows says whether seats are shared with other routing daemons.
	ShareSeats bool
	// Lacks is for how long what is asked for is not likely to be loaded anywhere.
	Lacks map[Wanted]time.Duration
	// Permits says that a keeper is asked before each go leaves.
	Permits bool
}

// Wanted is one model, or one adapter of it.
type Wanted struct{ Model, Adapter string }

// Event is what steps the core.
type Event interface{ dispatchEvent() }

// Arrive brings a new request.
type Arrive struct {
	ID      RecordID
	Request Request
}

// Went tells how a go ended.
type Went struct {
	ID      RecordID
	Outcome GoOutcome
	// Reason says why a go was never sent or was refused.
	Reason string
}

// FirstPiece says that a piece is about to go to the caller.
type FirstPiece struct{ ID RecordID }

// CallerGone says that the caller closed its side while the record was waiting.
type CallerGone struct{ ID RecordID }

// SeatTold brings the answer of the session's home.
type SeatTold struct {
	ID      RecordID
	Session string
	Engine  ident.EngineID
}

// Beat is a beat of the clock, or word that engines or the spec changed.
type Beat struct{}

func (Arrive) dispatchEvent()     {}
func (Went) dispatchEvent()       {}
func (FirstPiece) dispatchEvent() {}
func (CallerGone) dispatchEvent() {}
func (SeatTold) dispatchEvent()   {}
func (Beat) dispatchEvent()       {}

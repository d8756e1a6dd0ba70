package dispatch

import (
	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
)

// Send tells the actor to start a go.
type Send struct {
	ID      RecordID
	Engine  ident.EngineID
	Address string
	Zone    ident.ZoneID
	// Stamped says that the record was held or retried, so the tenure must still be held as it leaves.
	Stamped  bool
	Deadline clock.Mark
	// The bid, for the engine's keeper.
	Seated bool
	House  string
	Worth  int64
	Rank   int
}

// AskSeat tells the actor to ask the session's home for its seat; Engine is the seat wished for.
type AskSeat struct {
	ID                      RecordID
	Session, Model, Adapter string
	Engine, Replaces        ident.EngineID
}

// Tell tells the caller the final word.
type Tell struct {
	ID      RecordID
	Verdict Verdict
}

// Effects is what a step wants done.
type Effects struct {
	Sends    []Send
	Tells    []Tell
	AskSeats []AskSeat
	// EndSeats lists sessions whose home should forget them.
	EndSeats []string
}

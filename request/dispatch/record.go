// Package dispatch is the way of requests through a routing daemon: a table of records that passes
// are run over, one after the other, on every event. The core is pure; the actor beside it does the I/O.
package dispatch

import (
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
)

// RecordID numbers the records of one daemon's life.
type RecordID uint64

// Stage is where a record stands.
type Stage uint8

const (
	// LetIn: checked, and not yet looked at by the passes.
	LetIn Stage = iota
	// Held: waiting for room, stamped with a minted id.
	Held
	// Going: handed to a sender; the bytes may be on their way.
	Going
	// Streaming: at least one piece went to the caller.
	Streaming
	// Ended: nothing more will happen.
	Ended
)

func (s Stage) String() string {
	return [...]string{"let-in", "held", "going", "streaming", "ended"}[s]
}

// Request is what a caller asked for, already checked against the spec.
type Request struct {
	Attempt string
	Route   string
	House   string
	Worth   int64
	Rank    int
	Model   string
	Adapter string
	Prefix  string
	Session string
	Bytes   int
	// Digest tells it from another request under the same attempt id.
	Digest     uint64
	Deadline   clock.Mark
	Repeatable bool
	EndSession bool
	// MostHeld bounds what this route may hold here; zero leaves it to the bound for all.
	MostHeld int
}

// Record is one row of the table.
type Record struct {
	ID RecordID
	Request
	Arrived clock.Mark
	stage   Stage
	// Engine is where the go in hand, or the last one, went.
	Engine ident.EngineID
	Goes   int
	// Stamps are the minted ids of its holding and of each retry.
	Stamps []ident.MintedID
	// seatOf is the engine that must be used, found at this daemon or at the session's home.
	seatOf    ident.EngineID
	seatAsked bool
	seatKnown bool
	notBefore clock.Mark
	// mayHaveRun says that an earlier go was lost, so no refusal may be promised.
	mayHaveRun bool
	// needsToken says that the retry budget was empty: it waits for its next go until there is a token.
	needsToken bool
	counted    bool
	// failed lists engines that this record went to in vain; they are passed by while another fits.
	failed     []ident.EngineID
	lastReason string
}

// Stage tells where the record stands.
func (r *Record) Stage() Stage { return r.stage }

// allowed lists the ways from each stage to the next.
var allowed = map[Stage][]Stage{
	LetIn:     {Held, Going, Ended},
	Held:      {Going, Ended},
	Going:     {Held, Streaming, Ended},
	Streaming: {Ended},
}

// move is the one function by which a record changes its stage.
func (r *Record) move(to Stage) {
	for _, way := range allowed[r.stage] {
		if way == to {
			r.stage = to
			return
		}
	}
	panic("broken invariant: a record may not go from " + r.stage.String() + " to " + to.String())
}

// Seat is a session's place.
type Seat struct {
	Engine         ident.EngineID
	Model, Adapter string
	Used           clock.Mark
	Running        int
}

// GoOutcome is how one go ended, as far as this daemon can know.
type GoOutcome uint8

const (
	// HeldBack: the last look before the first byte found a reason not to send.
	HeldBack GoOutcome = iota
	// NeverSent: the engine could not be reached, so no byte of the request left this daemon.
	NeverSent
	// EngineRefused: the engine gave its word that it did not and will not run.
	EngineRefused
	// Whole: the final piece came.
	Whole
	// Cut: pieces came, and then no more.
	Cut
	// Lost: the request went out, and no piece came.
	Lost
	// CallerLeft: the caller went away, and the go was cancelled.
	CallerLeft
	// KnownElsewhere: another daemon has this attempt, so nothing was sent.
	KnownElsewhere
	// RefusedElsewhere: another daemon refused this attempt while it was held here, so nothing was sent.
	RefusedElsewhere
	// Doubted: nobody could tell whether another daemon has this attempt, so nothing was sent.
	Doubted
)

// VerdictKind is what a caller is told when no stream is handed over.
type VerdictKind string

const (
	Refused VerdictKind = "refused"
	Unknown VerdictKind = "unknown"
	Replay  VerdictKind = "replay"
)

// Verdict is the final word on a record that got no stream.
type Verdict struct {
	Kind   VerdictKind
	Status int
	Reason string
	// ComeBack is when asking again makes sense.
	ComeBack time.Duration
}

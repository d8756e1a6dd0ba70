package dispatch

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// RecordID numbers the records of one incarnation of a daemon.
type RecordID uint64

// Stage is the state of a record.
type Stage uint8

const (
	// Admitted: checked, and not yet looked at by the passes.
	Admitted Stage = iota
	// Queued: waiting for a free slot, stamped with a minted id.
	Queued
	// Attempting: handed to a sender; bytes may have been sent.
	Attempting
	// Streaming: at least one chunk was sent to the client.
	Streaming
	// Ended: nothing more will happen.
	Ended
)

func (s Stage) String() string {
	return [...]string{"admitted", "queued", "attempting", "streaming", "ended"}[s]
}

// Request is a client's request, already checked against the configuration.
type Request struct {
	Attempt string
	Route   string
	Tenant  string
	Value   int64
	Rank    int
	Model   string
	Adapter string
	Prefix  string
	Session string
	Bytes   int
	// Digest distinguishes it from another request under the same attempt id.
	Digest     uint64
	Deadline   clock.Mark
	Idempotent bool
	EndSession bool
	// MaxQueued bounds how many requests of this route may be queued here; zero leaves it to the bound for all.
	MaxQueued int
}

// Record is the state of one request.
type Record struct {
	ID RecordID
	Request
	Arrived clock.Mark
	stage   Stage
	// Engine is where the current attempt, or the last one, was sent.
	Engine   ident.EngineID
	Attempts int
	// Stamps are the minted ids of its queueing and of each retry.
	Stamps []ident.SnowflakeID
	// assigned is the engine that must be used, found at this daemon or by the session's owner.
	assigned          ident.EngineID
	assignmentQueried bool
	assignmentKnown   bool
	notBefore         clock.Mark
	// mayHaveRun says that an earlier attempt was lost, so no refusal may be promised.
	mayHaveRun bool
	// needsToken says that the retry budget was empty: it waits for its next attempt until there is a token.
	needsToken     bool
	countedAsFirst bool
	// failed lists engines at which attempts of this record failed; they are skipped while another fits.
	failed     []ident.EngineID
	lastReason string
}

// Stage gives the state of the record.
func (r *Record) Stage() Stage { return r.stage }

// transitions lists the stages that may follow each stage.
var transitions = map[Stage][]Stage{
	Admitted:   {Queued, Attempting, Ended},
	Queued:     {Attempting, Ended},
	Attempting: {Queued, Streaming, Ended},
	Streaming:  {Ended},
}

// move is the one function by which a record changes its stage.
func (r *Record) move(to Stage) {
	for _, next := range transitions[r.stage] {
		if next == to {
			r.stage = to
			return
		}
	}
	panic("broken invariant: a record may not go from " + r.stage.String() + " to " + to.String())
}

// Assignment is the engine that a session is bound to.
type Assignment struct {
	Engine         ident.EngineID
	Model, Adapter string
	Used           clock.Mark
	Running        int
}

// AttemptOutcome is how one attempt ended, as far as this daemon can know.
type AttemptOutcome uint8

const (
	// Withdrawn: the last check before the first byte found a reason not to send.
	Withdrawn AttemptOutcome = iota
	// NeverSent: the engine could not be reached, so no byte of the request left this daemon.
	NeverSent
	// EngineRefused: the engine stated that it did not and will not run.
	EngineRefused
	// Completed: the final chunk came.
	Completed
	// BrokenOff: chunks came, but not the final one.
	BrokenOff
	// Lost: the request was sent, and no chunk came.
	Lost
	// ClientDisconnected: the client disconnected, and the attempt was cancelled.
	ClientDisconnected
	// KnownElsewhere: another daemon has this attempt, so nothing was sent.
	KnownElsewhere
	// RefusedElsewhere: another daemon refused this attempt while it was queued here, so nothing was sent.
	RefusedElsewhere
	// Uncertain: no owner could tell whether another daemon has this attempt, so nothing was sent.
	Uncertain
)

// AnswerKind is the kind of an answer that is no stream.
type AnswerKind string

const (
	// Refused: it has not run and never will.
	Refused AnswerKind = "refused"
	// Unknown: it may have run.
	Unknown AnswerKind = "unknown"
	// Replay: its attempt id is known already, so it was not run again.
	Replay AnswerKind = "replay"
)

// Answer is the final answer to a record that got no stream.
type Answer struct {
	Kind   AnswerKind
	Status int
	Reason string
	// RetryAfter is when the client should retry.
	RetryAfter time.Duration
}

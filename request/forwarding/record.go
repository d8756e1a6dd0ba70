// Package forwarding is the way of opaque requests through a routing daemon: which engine serves one, who
// waits, what may be tried again, and the final answer. The core is pure; the actor beside it has the I/O.
package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/dialect"
)

// Stage is where a record stands.
type Stage uint8

const (
	// Admitted: read, and not yet looked at by the passes.
	StageAdmitted Stage = iota
	// Held: waiting for an engine, stamped with a minted id.
	StageQueued
	// Sending: an attempt was handed to a sender; the bytes may be on their way.
	StageSending
	// Passing: bytes of an engine's answer went on to the caller.
	StageResponding
	// Ended: nothing more will happen.
	StageEnded
)

func (s Stage) String() string {
	return [...]string{"admitted", "held", "sending", "passing", "ended"}[s]
}

// allowed lists the ways from each stage to the next.
var allowedTransitions = map[Stage][]Stage{
	StageAdmitted: {StageQueued, StageSending, StageEnded},
	StageQueued:   {StageSending, StageEnded},
	// An attempt that did not run, or may be made again, leads back to holding or to the next one.
	StageSending: {StageQueued, StageSending, StageResponding, StageEnded},
	// A stream that may be taken up goes on at another engine, within the answer that has begun.
	StageResponding: {StageQueued, StageSending, StageResponding, StageEnded},
}

// transition is the one function by which a record changes its stage.
func (r *Request) transition(to Stage) {
	for _, way := range allowedTransitions[r.stage] {
		if way == to {
			r.stage = to
			return
		}
	}
	panic("broken invariant: a record may not go from " + r.stage.String() + " to " + to.String())
}

// Record is one request on its way.
type Request struct {
	Attributes dialect.Ask
	// Path is what served it by the table in force when it was read; nil is none.
	Path *upstream.Path
	// Host and Prefixed are what it is looked up by, again, before each attempt.
	Host, URLPath string
	ArrivedAt     clock.Mark
	Deadline      clock.Mark

	// Seen is what the sender saw of the attempt under way; it is the sender's until it reports how that ended.
	Observed AttemptObservation

	stage Stage
	// pool is drawn once, so that all attempts go to the same.
	pool string
	// firstByteDeadline is when an answer must have begun, or its caller is likely to be gone.
	firstByteDeadline clock.Mark
	// resubmitted says that the client seems to have been refused before: it has less time than it began with.
	resubmitted bool
	// sequence orders those that wait by arrival.
	sequence uint64
	// Attempts is how many engines it was sent to, tried which; engine is the newest.
	enginesTried int
	triedEngines []ident.EngineID
	engine       ident.EngineID
	// mintedIDs are the minted ids of its queueing and of each retry.
	mintedIDs []ident.SnowflakeID
	// mayHaveRun says that an attempt may have run, so no refusal may be promised.
	mayHaveRun bool
	// responseBegun says that the caller has bytes of an answer, callerLeft that it waits for none any more.
	responseBegun, callerLeft bool
	// lastEvent is the last event passed on, if any was.
	lastEvent string
	// queuedAt is since when it is held, heldFor how long it was held before, heldLack what it lacked when it was.
	queuedAt      clock.Mark
	queuedFor     time.Duration
	queuedBecause blockReason
	// blockedBecause is what it lacked when it last could not be sent, shed that it was refused by an estimate.
	blockedBecause blockReason
	shed           bool
	lossCounted    bool
	// withheldCount counts the attempts that were stopped at the last look.
	withheldCount int
	sentAt        clock.Mark
	// memoryTokens is the tokens of memory, and unread those of its prompt that the engine chosen has not kept;
	// awaited says that the answer has not begun.
	memoryTokens, prefillTokens int
	awaitingFirstByte           bool
	// speculative says that it goes ahead of the news of a load, tooSoonAt where it came too soon last, boundTo
	// to which engine alone it may go any more.
	speculative                           bool
	lastSpeculationRejectedBy, onlyEngine ident.EngineID
	// overdueAfter is how long its first byte may take; noted says that the attempt is counted in the ledger,
	// wasOverdue that it was when its first byte had not come.
	overdueAfter                     time.Duration
	outcomeReported, reportedOverdue bool
	// expectedCost is what the engine chosen was expected to cost.
	expectedCost float64
	// migrating says that the attempt under way was stopped to be made elsewhere, paid that the next one is in the budget.
	migrating, retryCharged bool
	// firstSendCounted says that its first arrival at an engine is in the budget.
	firstSendCounted bool
	steps            chan Step
}

// Seen is what a sender sees of an attempt besides how it ends.
type AttemptObservation struct {
	// Connect is how long a fresh connection took; zero is a kept one. LongestGap is the longest wait for a next event.
	ConnectTime, LongestEventGap time.Duration
}

// Stage tells where the record stands.
func (r *Request) Stage() Stage { return r.stage }

// responseDeadline is until when the answer, or what follows of it, is worth waiting for.
func (r *Request) responseDeadline() clock.Mark {
	if r.responseBegun || r.firstByteDeadline == 0 {
		return r.Deadline
	}
	return r.firstByteDeadline
}

// repeatable says whether the request may run more than once.
func (r *Request) repeatable() bool {
	return r.Path != nil && r.Path.Class == upstream.Idempotent
}

// resumable says whether an answer that broke off may go on at another engine.
func (r *Request) resumable() bool {
	return r.Path != nil && r.Path.Class == upstream.Stream && r.Path.Resumable
}

// mayRepeat says whether another attempt may be made although an earlier one may have run.
func (r *Request) mayRepeat() bool { return r.repeatable() || r.resumable() }

// Step is what the record's sender does next: one of the three.
type Step struct {
	Attempt *Attempt
	Answer  *Answer
	// Pass lets the engine's own failure go on, since no better answer is to be had.
	PassEngineError bool
}

// Send is one attempt to make.
type Attempt struct {
	Engine   ident.EngineID
	Address  string
	Zone     ident.ZoneID
	Pool     string
	TimeLeft time.Duration
	Urgency  int
	// Careful attempts can't be made again.
	NotRepeatable bool
	// LastEvent takes a stream up after this event, if Resumes.
	LastEvent      string
	Resume         bool
	MaxConnections int
	// Stamped says that it was held or tried before, which only a lease allows.
	NeedsWorkerID bool
	// Running is how many requests run and wait there, Reading how many tokens are to be read before its first
	// byte, both as far as this daemon knows; GapTargetMs is the path's.
	EngineRunning, PrefillTokens int
	GapTargetMs                  int64
}

package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/dialect"
)

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
	// firstBy is when an answer must have begun, or its caller is likely to be gone.
	firstByteDeadline clock.Mark
	// returned says that the client seems to have been refused before: it has less time than it began with.
	resubmitted bool
	// sequence orders those that wait by arrival.
	sequence uint64
	// Attempts is how many engines it was sent to, tried which; engine is the newest.
	enginesTried int
	triedEngines []ident.EngineID
	engine       ident.EngineID
	// stamps are the minted ids of its queueing and of each retry.
	mintedIDs []ident.SnowflakeID
	// mayHaveRun says that an attempt may have run, so no refusal may be promised.
	mayHaveRun bool
	// begun says that the caller has bytes of an answer, callerLeft that it waits for none any more.
	responseBegun, callerLeft bool
	// lastEvent is the last event passed on, if any was.
	lastEvent string
	// heldAt is since when it is held, heldFor how long it was held before, heldLack what it lacked when it was.
	queuedAt      clock.Mark
	queuedFor     time.Duration
	queuedBecause blockReason
	// lack is what it lacked when it last could not be sent, shed that it was refused by an estimate.
	blockedBecause blockReason
	shed           bool
	lossCounted    bool
	// heldBack counts the attempts that were stopped at the last look.
	withheldCount int
	sentAt        clock.Mark
	// needs is the tokens of memory, and unread those of its prompt that the engine chosen has not kept;
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
	// score is what the engine chosen was expected to cost.
	expectedCost float64
	// moving says that the attempt under way was stopped to be made elsewhere, paid that the next one is in the budget.
	migrating, retryCharged bool
	// counted says that its first arrival at an engine is in the budget.
	firstSendCounted bool
	steps            chan Step
}

// NewRecord makes a record with room for its steps.
func NewRequest(request Request) *Request {
	request.steps = make(chan Step, 1)
	return &request
}

// Seen is what a sender sees of an attempt besides how it ends.
type AttemptObservation struct {
	// Connect is how long a fresh connection took; zero is a kept one. LongestGap is the longest wait for a next event.
	ConnectTime, LongestEventGap time.Duration
}

// Stage tells where the record stands.
func (r *Request) Stage() Stage { return r.stage }

// answerBy is until when the answer, or what follows of it, is worth waiting for.
func (r *Request) responseDeadline() clock.Mark {
	if r.responseBegun || r.firstByteDeadline == 0 {
		return r.Deadline
	}
	return r.firstByteDeadline
}

// repeatable says whether the request may run more than once.
func (r *Request) repeatable() bool {
	return r.Path != nil && r.Path.Class == upstream.Repeatable
}

// resumable says whether an answer that broke off may go on at another engine.
func (r *Request) resumable() bool {
	return r.Path != nil && r.Path.Class == upstream.Stream && r.Path.Resumable
}

// mayRepeat says whether another attempt may be made although an earlier one may have run.
func (r *Request) mayRepeat() bool { return r.repeatable() || r.resumable() }

// resumeAt is the event after which the next attempt goes on.
func (r *Request) resumeAfter() string {
	if r.lastEvent != "" {
		return r.lastEvent
	}
	return r.Attributes.LastEvent
}

package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/wire/dialect"
)

// Request is one request on its way through this daemon. The gateway sets the exported fields before it is admitted;
// the rest belongs to the core.
type Request struct {
	// Attributes are what the request's header says: its id, model, adapter, size, prompt parts and deadline.
	Attributes dialect.Ask
	// Path is the path of the routing table that serves it; nil is none. It is looked up again before each attempt.
	Path *upstream.Path
	// Host and URLPath are what the path is looked up by.
	Host, URLPath string
	// ArrivedAt is when it was read, Deadline until when its whole response is worth anything.
	ArrivedAt, Deadline clock.Mark

	// QuotaRetryAfter is set for a request that its tenant's limit does not allow now, to when it may.
	QuotaRetryAfter time.Duration

	// Observed is the sender's until it reports how the attempt ended.
	Observed AttemptObservation

	stage Stage
	// tenant is whose key it bears, by the routing table of its last look-up; nil is nobody's.
	tenant *upstream.Tenant
	// pool is selected once, so that all attempts go to the same pool while the table allows it.
	pool string
	// firstByteDeadline is when the client is expected to give up if no response has begun.
	firstByteDeadline clock.Mark
	// resubmitted reports that the client was probably rejected before: less time is left than the path gives.
	resubmitted bool
	// sequence orders queued requests by arrival.
	sequence uint64
	// enginesTried counts the engines that got it; triedEngines lists those that don't get it again.
	enginesTried int
	triedEngines []ident.EngineID
	// mintedIDs are the ids of its queueing and of each retry.
	mintedIDs []ident.SnowflakeID
	// mayHaveRun reports that an attempt may have run, so that no rejection may be answered. atMostOnce reports that a path
	// by which it came or was dispatched allows it to run once only, whatever the path of a newer table allows.
	mayHaveRun, atMostOnce bool
	// responseBegun reports that the caller has bytes of a response; callerLeft that the caller disconnected.
	responseBegun, callerLeft bool
	// lastEvent is the id of the last event passed on.
	lastEvent string
	// queuedAt is when it was queued last, queuedFor how long it was queued before, queuedBecause what blocked it.
	queuedAt      clock.Mark
	queuedFor     time.Duration
	queuedBecause blockReason
	// blockedBecause is what blocked it when it could not be sent last; shed reports that it was shed.
	blockedBecause blockReason
	shed           bool
	// lossCounted reports that it is counted among the losses, which happens once.
	lossCounted bool
	// withheldCount counts the attempts that were withheld.
	withheldCount int
	// memoryTokens is the KV-cache memory that it may take, in tokens.
	memoryTokens int
	// firstSendCounted reports that its first send is counted in the retry budget.
	firstSendCounted bool

	// The fields from here on describe the newest attempt. engine is where it is, sentAt when it was sent.
	engine ident.EngineID
	sentAt clock.Mark
	// prefillTokens is the part of the prompt that the engine has not cached; awaitingFirstByte reports that it counts in
	// the engine's prefill backlog.
	prefillTokens     int
	awaitingFirstByte bool
	// expectedCost is what the engine was expected to cost, in prompt tokens; zero in pools that do not batch.
	expectedCost float64
	// speculative reports that the engine has not yet reported to have loaded the model. lastSpeculationRejectedBy is
	// the engine that rejected it last for that; onlyEngine the one engine that it may still go to, if set.
	speculative                           bool
	lastSpeculationRejectedBy, onlyEngine ident.EngineID
	// overdueAfter is how long the first byte may take, report whether the attempt is counted for outlier detection.
	overdueAfter time.Duration
	report       reportState
	// migrating reports that this daemon stops the attempt to make it elsewhere; retryCharged that the retry budget is
	// charged for the next one already.
	migrating, retryCharged bool

	// steps holds the sender's next step; there is at most one.
	steps chan Step
}

// NewRequest makes a request that can be admitted.
func NewRequest(request Request) *Request {
	request.steps = make(chan Step, 1)
	return &request
}

// AttemptObservation is what a sender measures of an attempt besides its outcome.
type AttemptObservation struct {
	// ConnectTime is how long a new connection took; zero means that an idle one was used.
	ConnectTime time.Duration
	// LongestEventGap is the longest wait for a next event of a stream.
	LongestEventGap time.Duration
}

// SetPath sets the path that serves the request, and with it the deadline: the path's, or the client's where it is
// earlier.
func (r *Request) SetPath(path *upstream.Path) {
	limit := path.Deadline()
	if r.Attributes.Deadline > 0 {
		limit = min(limit, r.Attributes.Deadline)
	}
	r.Path, r.Deadline = path, r.ArrivedAt+clock.Mark(limit)
}

// Stage gives the request's state.
func (r *Request) Stage() Stage { return r.stage }

// target is the model and adapter that it asks for.
func (r *Request) target() registry.Target {
	return registry.Target{Model: r.Attributes.Model, Adapter: r.Attributes.Adapter}
}

// responseDeadline is until when a response must begin or, once it has begun, end.
func (r *Request) responseDeadline() clock.Mark {
	if r.responseBegun || r.firstByteDeadline == 0 {
		return r.Deadline
	}
	return r.firstByteDeadline
}

// usePath replaces the path that serves the request by that of the table in force.
func (r *Request) usePath(path *upstream.Path) {
	r.Path = path
	r.atMostOnce = r.atMostOnce || !allowsRepeat(path)
}

// allowsRepeat reports whether a path allows another attempt although an earlier one may have run.
func allowsRepeat(path *upstream.Path) bool {
	return path.Class == upstream.Idempotent || path.Class == upstream.Stream && path.Resumable
}

// resumable reports whether a response that broke off may be resumed at another engine.
func (r *Request) resumable() bool {
	return r.Path != nil && r.Path.Class == upstream.Stream && r.Path.Resumable
}

// mayRepeat reports whether another attempt may be made although an earlier one may have run.
func (r *Request) mayRepeat() bool { return r.Path != nil && !r.atMostOnce && allowsRepeat(r.Path) }

// resumeAfter is the id of the event after which the next attempt resumes; empty starts anew.
func (r *Request) resumeAfter() string {
	if r.lastEvent != "" {
		return r.lastEvent
	}
	return r.Attributes.LastEvent
}

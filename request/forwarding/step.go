package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/ident"
)

// Step is what a request's sender does next: exactly one field is set.
type Step struct {
	// Attempt is an attempt to make.
	Attempt *Attempt
	// Answer is this daemon's own final answer.
	Answer *Answer
	// PassEngineError passes the engine's error on, since no better response is to be had.
	PassEngineError bool
}

// Attempt is one attempt to make at an engine.
type Attempt struct {
	Engine  ident.EngineID
	Address string
	Zone    ident.ZoneID
	Pool    string
	// TimeLeft is until the request's deadline.
	TimeLeft time.Duration
	// Urgency is the path's rank; the lowest is the most urgent.
	Urgency int
	// NotRepeatable attempts can't be made again once a byte has left.
	NotRepeatable bool
	// LastEvent is the event after which a stream resumes, if Resume is set.
	LastEvent string
	Resume    bool
	// MaxConnections bounds this daemon's connections to the engine; zero is no limit.
	MaxConnections int
	// NeedsWorkerID reports that the request was queued or retried, so that it may leave only under a worker id.
	NeedsWorkerID bool
	// EngineRunning is how many requests run and wait at the engine, PrefillTokens how many prompt tokens it reads before
	// this attempt's first byte, both as far as this daemon knows.
	EngineRunning, PrefillTokens int
	// GapTargetMs is the path's target for the time between events, in milliseconds; zero is none.
	GapTargetMs int64
}

// give hands the sender its next step. The sender takes each step before the core gives the next one.
func (r *Request) give(step Step) { r.steps <- step }

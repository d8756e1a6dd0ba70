package forwarding

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Cause is why a record ends without an engine's whole answer.
type Cause uint8

const (
	// NoTable: nothing is in force here, or it may be old.
	NoTable Cause = iota
	// NoPath: the table in force has no path for it.
	NoPath
	// NoRoom: no engine can take it in time.
	NoRoom
	// NoLease: it would have to be held or tried again, and no worker id is held.
	NoLease
	// Spent: no attempt is left to it, or none in the budget.
	Spent
	// Late: its deadline has come, or is too near.
	Late
	// Broken: its attempt may have run, and may not be made again.
	Broken
	// CallerLeft: nobody waits for the answer.
	CallerLeft
	// Stopping: the daemon ends.
	Stopping
	causes
)

func (c Cause) String() string { return CauseNames[c] }

// CauseNames are the names of causes, in the order in which they are counted.
var CauseNames = [causes]string{"no-table", "no-path", "no-room", "no-lease", "spent", "late", "broken", "caller-left", "stopping"}

// Answer is the final answer to a record that gets no engine's answer.
type Answer struct {
	// Status is zero where the answer that has begun is broken off, or nobody waits for one.
	Status int
	Cause  Cause
	// ComeBack is when asking again makes sense.
	ComeBack time.Duration
}

// finalAnswer is the one place where the answer to a record is made. What it promises depends on nothing
// but what became of the record's attempts.
func finalAnswer(r *Record, cause Cause, comeBack time.Duration) Answer {
	answer := Answer{Cause: cause}
	switch {
	case r.begun || cause == CallerLeft:
		// An answer that has begun has its status already; it must not look whole.
	case r.mayHaveRun && cause == Late:
		answer.Status = fasthttp.StatusGatewayTimeout
	case r.mayHaveRun:
		answer.Status = fasthttp.StatusBadGateway
	case cause == NoPath:
		answer.Status = fasthttp.StatusNotFound
	default:
		answer.Status, answer.ComeBack = fasthttp.StatusServiceUnavailable, comeBack
	}
	return answer
}

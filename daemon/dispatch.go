package daemon

import (
	"errors"
	"time"

	"github.com/cresspond/cresspond/connection/enginestream"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/request/relay"
	"github.com/cresspond/cresspond/wire/callerapi"
	"github.com/cresspond/cresspond/wire/engineapi"
)

const (
	// stallLimit is how long the next chunk of a stream is waited for.
	stallLimit = 8 * time.Second
	// overrunLimit is how long a stream that began in time may go on after its deadline.
	overrunLimit = 15 * time.Second
	// fairAttemptTime is how much time an attempt must have had for its failure to count against the engine.
	fairAttemptTime = 2 * time.Second
)

// requestPath is the daemon as the dispatch actor sees it. Its methods are called on the goroutines of requests.
type requestPath struct{ *Daemon }

// World returns what the dispatch actor decides by.
func (d *Daemon) World() dispatch.World {
	_, notReady := d.members.Ready()
	return dispatch.World{
		UnplacedWaits:    d.shortagesNow(),
		Now:              d.clock.Elapsed(),
		Table:            d.rollout.Table(),
		Engines:          d.watcher.View(),
		NotReady:         notReady,
		Mint:             d.generator.Next,
		Zone:             d.config.Zone,
		ShareAssignments: true,
		Admission:        true,
	}
}

// finalCheck is the last check before the first byte is sent, by what is in force at that moment. It returns why the
// attempt must not be sent, or "".
func (d *Daemon) finalCheck(call *dispatch.Call, send dispatch.Send) string {
	table := d.rollout.Table()
	engine := d.watcher.View().Engines[send.Engine]
	switch {
	case table == nil || !table.Allows(call.Request.Route, call.Request.Model, call.Request.Adapter):
		return "the configuration in force no longer allows this request"
	case !table.Open(send.Engine):
		return "the engine's zone is closed, or it is being drained"
	case engine == nil || engine.Address != send.Address || !engine.Usable():
		return "the engine is draining or unhealthy"
	case d.clock.Elapsed() >= send.Deadline:
		return "the deadline has passed"
	case send.Stamped && !d.generator.HasLease():
		return "the lease of the worker id has expired"
	case call.Context().Err() != nil:
		return "the caller has left"
	}
	if ready, why := d.members.Ready(); !ready {
		return why
	}
	return ""
}

// errIncompleteAnswer makes the caller's connection end without the last chunk, so that the caller can tell.
var errIncompleteAnswer = errors.New("the answer is not whole")

// Carry runs one attempt at an engine to its end, and returns its outcome and the reason. firstPiece is called before
// the first chunk is passed on.
func (d *Daemon) Carry(call *dispatch.Call, send dispatch.Send, onFirstChunk func()) (dispatch.AttemptOutcome, string) {
	releaseSlot, granted := d.requestSlot(call, send)
	if !granted {
		return dispatch.Withdrawn, "no slot of the engine is free"
	}
	refused := false
	defer func() { releaseSlot(refused) }()
	// The owners of the attempt are queried while the engine is dialled; the first byte waits for both.
	claimed := make(chan deduplication.Decision, 1)
	go func() {
		claimed <- d.queryAttemptOwners(d.attemptQuery(deduplication.ActionClaim, call.ID, call.Request, call.Arrived))
	}()
	var claim deduplication.Decision
	mayHaveSent := false
	remaining := send.Deadline.Since(d.clock.Elapsed())
	began := false
	result := enginestream.Run(call.Context(), enginestream.Attempt{
		Address: send.Address,
		Attempt: call.Request.Attempt,
		Work: engineapi.Generate{
			Model:      call.Request.Model,
			Adapter:    call.Request.Adapter,
			Prefix:     call.Request.Prefix,
			Prompt:     call.Prompt,
			Session:    call.Request.Session,
			DeadlineMs: max(1, remaining.Milliseconds()),
		},
		LastCheck: func() string {
			claim = <-claimed
			reason := ""
			if !mayStart(claim, call.Request.Idempotent) {
				reason = "this attempt may be another daemon's"
			} else if reason = d.finalCheck(call, send); reason != "" {
				d.counters.finalCheckStops.Add(1)
			}
			mayHaveSent = reason == ""
			return reason
		},
		Chunk: func(chunk []byte) bool {
			if !began {
				began = true
				onFirstChunk()
			}
			return call.SendChunk(chunk)
		},
		FirstByteTimeout: max(remaining, time.Millisecond),
		StallTimeout:     d.stallLimit,
		Timeout:          remaining + d.overrunLimit,
	})
	if outcome, reason := d.afterClaim(call, result.Outcome, claim, claimed, mayHaveSent); outcome != result.Outcome {
		return outcome, reason
	}
	refused = result.Outcome == dispatch.EngineRefused || result.Outcome == dispatch.NeverSent
	d.recordAttempt(send, remaining, result)
	if began {
		finishAnswer(call, result)
	}
	return result.Outcome, result.Reason
}

// recordAttempt counts the bytes of an attempt, and has discovery judge the engine by its outcome. left is the time
// that the attempt had when it began.
func (d *Daemon) recordAttempt(send dispatch.Send, remaining time.Duration, result enginestream.Result) {
	bytes := uint64(result.Sent + result.Received)
	if send.Zone == d.config.Zone {
		d.counters.bytesOwnZone.Add(bytes)
	} else {
		d.counters.bytesOtherZone.Add(bytes)
	}
	switch result.Outcome {
	case dispatch.Completed:
		d.watcher.ReportAttempt(send.Engine, true)
	case dispatch.Lost, dispatch.NeverSent, dispatch.BrokenOff:
		// An attempt that began late and ran into its own deadline says nothing about the engine.
		if d.clock.Elapsed() < send.Deadline || remaining >= fairAttemptTime {
			d.watcher.ReportAttempt(send.Engine, false)
		}
	}
	if result.Malformed {
		d.counters.malformedStreams.Add(1)
		d.watcher.Quarantine(send.Engine)
	}
}

// finishAnswer ends an answer of which the caller has a part already.
func finishAnswer(call *dispatch.Call, result enginestream.Result) {
	if result.Outcome == dispatch.Completed {
		call.Finish(nil, nil)
		return
	}
	last := relay.EncodeLine(callerapi.Piece{
		Attempt: call.Request.Attempt,
		N:       result.Chunks,
		Outcome: callerapi.BrokenOff,
		Reason:  result.Reason,
	})
	call.Finish(last, errIncompleteAnswer)
}

// mayStart says whether an attempt may be sent by what its owners answered. If they can't be reached, only an
// idempotent request may.
func mayStart(claim deduplication.Decision, repeatable bool) bool {
	return claim == deduplication.Proceed || claim == deduplication.Undetermined && repeatable
}

// afterClaim frees the claim of an attempt that provably never ran, so that it may come again at any daemon, and
// returns the outcome of one that its owners rejected.
func (d *Daemon) afterClaim(call *dispatch.Call, outcome dispatch.AttemptOutcome, claim deduplication.Decision,
	claimed <-chan deduplication.Decision, mayHaveSent bool,
) (dispatch.AttemptOutcome, string) {
	if mayHaveSent && outcome != dispatch.EngineRefused {
		return outcome, ""
	}
	if claim == "" {
		// The engine could not be dialled, and the claim may still be on its way.
		claim = <-claimed
	}
	if mayStart(claim, call.Request.Idempotent) || claim == deduplication.Undetermined {
		d.queryAttemptOwners(d.attemptQuery(deduplication.ActionRelease, call.ID, call.Request, call.Arrived))
	}
	switch claim {
	case deduplication.Replay:
		return dispatch.KnownElsewhere, "this attempt id is known to another daemon and is not run again"
	case deduplication.Mismatch:
		return dispatch.KnownElsewhere, "this attempt id stands for another request"
	case deduplication.Rejected:
		return dispatch.RefusedElsewhere, "another daemon refused this attempt meanwhile"
	case deduplication.Undetermined:
		if !call.Request.Idempotent {
			return dispatch.Uncertain, "whether this attempt has run through another daemon cannot be told now"
		}
	}
	return outcome, ""
}

// Refuse makes sure, before a caller is told that its request never ran, that no other daemon has sent it or will. It
// returns the answer that may be given.
func (r requestPath) Refuse(call *dispatch.Call, wanted dispatch.Answer) dispatch.Answer {
	switch r.queryAttemptOwners(r.attemptQuery(deduplication.ActionReject, call.ID, call.Request, call.Arrived)) {
	case deduplication.Replay, deduplication.Mismatch:
		return dispatch.Answer{
			Kind:   dispatch.Replay,
			Status: 409,
			Reason: "this attempt id was taken by another daemon and is not run again",
		}
	case deduplication.Undetermined:
		return dispatch.Answer{
			Kind:       dispatch.Unknown,
			Status:     wanted.Status,
			Reason:     wanted.Reason + "; whether another daemon has this attempt cannot be told now",
			RetryAfter: max(wanted.RetryAfter, time.Second),
		}
	}
	return wanted
}

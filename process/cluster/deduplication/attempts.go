// Package deduplication is the fleet's memory of callers' attempts. Each attempt has two owners among the daemons;
// whoever wants to send or to refuse it asks them first, so that one sent again through another daemon
// is known, and neither runs twice nor runs after it was refused.
package deduplication

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
)

// Action is what is asked of an owner.
type Action string

const (
	// ActionClaim: the asker is about to send the first byte.
	ActionClaim Action = "claim"
	// ActionReject: the asker is about to promise that the work never runs.
	ActionReject Action = "refuse"
	// ActionRelease: the attempt provably never ran.
	ActionRelease Action = "free"
)

// Response is an owner's answer.
type Response string

const (
	// Granted: the asker may go ahead.
	Granted Response = "granted"
	// ClaimedElsewhere: another record claimed it.
	ClaimedElsewhere Response = "taken"
	// RejectedSinceArrival: another daemon refused it after this record had arrived.
	RejectedSinceArrival Response = "refused-since"
	// DigestMismatch: it stands for another request.
	DigestMismatch Response = "other-body"
)

// Request is one question. Owner is one record of one incarnation of a daemon; Age is how long ago it arrived there.
type Request struct {
	Attempt, Owner string
	Digest         uint64
	Age            time.Duration
	Action         Action
}

// Entry is what is remembered of an attempt.
type Entry struct {
	Owner  string
	Digest uint64
	// At is when it was claimed or refused, by this daemon's clock.
	At       clock.Mark
	Rejected bool
}

const (
	// Retention is how long an attempt is remembered; callers are told.
	Retention = 10 * time.Minute
	// maxEntries bounds how many are remembered; the oldest are forgotten first.
	maxEntries = 200_000
)

type agedAttempt struct {
	attempt string
	at      clock.Mark
}

// Memory is the pure state of one owner.
type Memory struct {
	entries map[string]Entry
	// byAge lists what was remembered from the oldest on.
	byAge []agedAttempt
	limit int
	// syncedFrom lists the daemons that have sent this incarnation all that they share with it.
	syncedFrom map[string]bool
}

// NewMemory makes an empty memory.
func NewMemory() *Memory {
	return &Memory{entries: map[string]Entry{}, limit: maxEntries, syncedFrom: map[string]bool{}}
}

// Handle answers one question.
func (m *Memory) Handle(now clock.Mark, request Request) Response {
	m.expire(now)
	existing, known := m.entries[request.Attempt]
	own := existing.Owner == request.Owner
	switch request.Action {
	case ActionRelease:
		if known && own && !existing.Rejected {
			delete(m.entries, request.Attempt)
		}
		return Granted
	case ActionReject:
		// A tombstone may be set on what nobody has claimed, and on the asker's own claim.
		if known && !own && !existing.Rejected {
			return conflictWith(existing, request)
		}
		m.put(request.Attempt, Entry{Owner: request.Owner, Digest: request.Digest, At: now, Rejected: true})
		return Granted
	}
	switch {
	case known && existing.Rejected && now-clock.Mark(request.Age) <= existing.At:
		// This record was in hand somewhere when the caller was told that it never runs.
		return RejectedSinceArrival
	case known && !existing.Rejected && !own:
		return conflictWith(existing, request)
	case !known || existing.Rejected:
		m.put(request.Attempt, Entry{Owner: request.Owner, Digest: request.Digest, At: now})
	}
	return Granted
}

func conflictWith(existing Entry, request Request) Response {
	if existing.Digest != request.Digest {
		return DigestMismatch
	}
	return ClaimedElsewhere
}

func (m *Memory) put(attempt string, entry Entry) {
	m.entries[attempt] = entry
	m.byAge = append(m.byAge, agedAttempt{attempt, entry.At})
}

// expire drops what is too old, and the oldest of what is too much.
func (m *Memory) expire(now clock.Mark) {
	for len(m.byAge) > 0 && (now.Since(m.byAge[0].at) > Retention || len(m.byAge) > m.limit) {
		oldest := m.byAge[0]
		m.byAge = m.byAge[1:]
		// One that came again since stands further back in the line.
		if m.entries[oldest.attempt].At == oldest.at {
			delete(m.entries, oldest.attempt)
		}
	}
}

// Merge takes over what another owner remembers, unless something is known here already. A claim
// stands above a refusal, since only the claim may have run.
func (m *Memory) Merge(now clock.Mark, attempt string, entry Entry) {
	existing, known := m.entries[attempt]
	if !known || existing.Rejected && !entry.Rejected && entry.At >= existing.At {
		m.put(attempt, entry)
	}
	m.expire(now)
}

// MarkSynced notes that a daemon has sent this incarnation all that they share.
func (m *Memory) MarkSynced(from string) { m.syncedFrom[from] = true }

// SyncedFrom says whether a daemon has sent this incarnation all that they share.
func (m *Memory) SyncedFrom(from string) bool { return m.syncedFrom[from] }

// Each lists what is remembered.
func (m *Memory) Each(yield func(attempt string, entry Entry)) {
	for attempt, entry := range m.entries {
		yield(attempt, entry)
	}
}

// Len counts what is remembered.
func (m *Memory) Len() int { return len(m.entries) }

// Actor runs a memory on one goroutine.
type Actor struct {
	clock   clock.Clock
	memory  *Memory
	mailbox *actor.Mailbox[func()]
}

// NewActor makes an actor with an empty memory.
func NewActor(c clock.Clock) *Actor {
	return &Actor{clock: c, memory: NewMemory(), mailbox: actor.NewMailbox[func()](1024)}
}

// Run runs the actor until ctx ends.
func (h *Actor) Run(ctx context.Context) { h.mailbox.Run(ctx, 0, func(do func()) { do() }, nil) }

// Do runs something on the memory, and says false when the actor has ended.
func (h *Actor) Do(do func(now clock.Mark, memory *Memory)) bool {
	done := make(chan struct{})
	if !h.mailbox.Send(func() { do(h.clock.Elapsed(), h.memory); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-h.mailbox.Done():
		return false
	}
}

// Responses is what several owners said of one question.
type Responses struct {
	// Authoritative says that an owner answered that would know of every earlier claim; Written, that another daemon wrote it down.
	Authoritative, Replicated bool
	Received                  []Response
}

// Decision is what the asker may do, given all answers.
type Decision string

const (
	// Proceed: the asker may go ahead.
	Proceed Decision = "may"
	// Replay: the attempt is claimed elsewhere.
	Replay Decision = "replay"
	// Mismatch: the attempt's id stands for another request.
	Mismatch Decision = "other-body"
	// Rejected: the attempt was refused elsewhere.
	Rejected Decision = "refused"
	// Undetermined: nobody who would know could be asked.
	Undetermined Decision = "doubt"
)

// Decide makes one decision of the answers. Any owner that knows of a claim stands above all that do not.
func Decide(answers Responses) Decision {
	decision := Proceed
	if !answers.Authoritative || !answers.Replicated {
		decision = Undetermined
	}
	for _, answer := range answers.Received {
		switch answer {
		case ClaimedElsewhere:
			return Replay
		case DigestMismatch:
			return Mismatch
		case RejectedSinceArrival:
			decision = Rejected
		}
	}
	return decision
}

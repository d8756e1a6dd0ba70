package deduplication

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

// Action is what is requested of an owner. Its values are part of the peer protocol.
type Action string

const (
	// ActionClaim precedes sending the attempt's first byte to an engine.
	ActionClaim Action = "claim"
	// ActionReject precedes promising the caller that the attempt never runs.
	ActionReject Action = "refuse"
	// ActionRelease gives up a claim, since the attempt provably never ran.
	ActionRelease Action = "free"
)

// Response is an owner's response. Its values are part of the peer protocol.
type Response string

const (
	// Granted says that the requester may continue.
	Granted Response = "granted"
	// ClaimedElsewhere says that another record claimed the attempt.
	ClaimedElsewhere Response = "taken"
	// RejectedSinceArrival says that another daemon rejected the attempt after the requesting record had arrived.
	RejectedSinceArrival Response = "refused-since"
	// DigestMismatch says that the attempt's identifier was claimed for a request with another body.
	DigestMismatch Response = "other-body"
)

// Request is one request to an owner.
type Request struct {
	Attempt string
	// Owner identifies the requesting record: one request in one incarnation of a daemon.
	Owner string
	// Digest is the digest of the caller's request.
	Digest uint64
	// Age is how long ago the request arrived at the requesting daemon.
	Age    time.Duration
	Action Action
}

// Entry is what is kept of an attempt: a claim, or a rejection.
type Entry struct {
	Owner  string
	Digest uint64
	// At is when it was claimed or rejected, by this daemon's clock.
	At       clock.Mark
	Rejected bool
}

const (
	// Retention is how long an attempt is kept. It is part of what callers are promised.
	Retention = 10 * time.Minute
	// maxEntries bounds how many attempts are kept; the oldest expire first.
	maxEntries = 200_000
)

// agedAttempt is an attempt as of one of its entries.
type agedAttempt struct {
	attempt string
	at      clock.Mark
}

// Memory is the pure state of one owner. It is not safe for concurrent use.
type Memory struct {
	entries map[string]Entry
	// byAge lists all entries that were made, the oldest first.
	byAge []agedAttempt
	limit int
	// syncedFrom are the daemons that have sent this incarnation all entries that they share with it.
	syncedFrom map[string]bool
}

// NewMemory makes an empty memory.
func NewMemory() *Memory {
	return &Memory{entries: map[string]Entry{}, limit: maxEntries, syncedFrom: map[string]bool{}}
}

// Handle answers one request.
func (m *Memory) Handle(now clock.Mark, request Request) Response {
	m.expire(now)
	switch request.Action {
	case ActionRelease:
		return m.release(request)
	case ActionReject:
		return m.reject(now, request)
	default:
		return m.claim(now, request)
	}
}

func (m *Memory) claim(now clock.Mark, request Request) Response {
	existing, known := m.entries[request.Attempt]
	switch {
	case known && existing.Rejected && now-clock.Mark(request.Age) <= existing.At:
		// This record was pending in some daemon when the caller was promised that it never runs.
		return RejectedSinceArrival
	case known && !existing.Rejected && existing.Owner != request.Owner:
		return conflictWith(existing, request)
	case !known || existing.Rejected:
		m.put(request.Attempt, Entry{Owner: request.Owner, Digest: request.Digest, At: now})
	}
	return Granted
}

// reject replaces nothing, another rejection, or the requester's own claim.
func (m *Memory) reject(now clock.Mark, request Request) Response {
	existing, known := m.entries[request.Attempt]
	if known && existing.Owner != request.Owner && !existing.Rejected {
		return conflictWith(existing, request)
	}
	m.put(request.Attempt, Entry{Owner: request.Owner, Digest: request.Digest, At: now, Rejected: true})
	return Granted
}

func (m *Memory) release(request Request) Response {
	existing, known := m.entries[request.Attempt]
	if known && existing.Owner == request.Owner && !existing.Rejected {
		delete(m.entries, request.Attempt)
	}
	return Granted
}

// conflictWith is the response where another record has claimed the attempt.
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

// expire drops the entries that are beyond Retention, and the oldest of those beyond the limit.
func (m *Memory) expire(now clock.Mark) {
	for len(m.byAge) > 0 && (now.Since(m.byAge[0].at) > Retention || len(m.byAge) > m.limit) {
		oldest := m.byAge[0]
		m.byAge = m.byAge[1:]
		// An attempt that got a newer entry since is listed again further back.
		if m.entries[oldest.attempt].At == oldest.at {
			delete(m.entries, oldest.attempt)
		}
	}
}

// Merge adopts an entry of another owner unless this one has an entry already. A claim takes precedence over a
// rejection, since only a claimed attempt may have run.
func (m *Memory) Merge(now clock.Mark, attempt string, entry Entry) {
	existing, known := m.entries[attempt]
	if !known || existing.Rejected && !entry.Rejected && entry.At >= existing.At {
		m.put(attempt, entry)
	}
	m.expire(now)
}

// MarkSynced records that a daemon has sent this incarnation all entries that they share.
func (m *Memory) MarkSynced(from string) { m.syncedFrom[from] = true }

// SyncedFrom reports whether a daemon has sent this incarnation all entries that they share.
func (m *Memory) SyncedFrom(from string) bool { return m.syncedFrom[from] }

// Each calls yield for each entry, in no order.
func (m *Memory) Each(yield func(attempt string, entry Entry)) {
	for attempt, entry := range m.entries {
		yield(attempt, entry)
	}
}

// Len returns the number of attempts that are kept.
func (m *Memory) Len() int { return len(m.entries) }

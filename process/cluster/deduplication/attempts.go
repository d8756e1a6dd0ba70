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

// Act is what is asked of an owner.
type Act string

const (
	// Claim: the asker is about to send the first byte.
	Claim Act = "claim"
	// Refuse: the asker is about to promise that the work never runs.
	Refuse Act = "refuse"
	// Free: the attempt provably never ran.
	Free Act = "free"
)

// Answer is an owner's answer.
type Answer string

const (
	// Granted: the asker may go ahead.
	Granted Answer = "granted"
	// Taken: another record claimed it.
	Taken Answer = "taken"
	// RefusedSince: another daemon refused it after this record had arrived.
	RefusedSince Answer = "refused-since"
	// OtherBody: it stands for another request.
	OtherBody Answer = "other-body"
)

// Ask is one question. Owner is one record of one incarnation of a daemon; Age is how long ago it arrived there.
type Ask struct {
	Attempt, Owner string
	Digest         uint64
	Age            time.Duration
	Act            Act
}

// Entry is what is remembered of an attempt.
type Entry struct {
	Owner  string
	Digest uint64
	// At is when it was claimed or refused, by this daemon's clock.
	At      clock.Mark
	Refused bool
}

const (
	// Kept is how long an attempt is remembered; callers are told.
	Kept = 10 * time.Minute
	// maxRemembered bounds how many are remembered; the oldest are forgotten first.
	maxRemembered = 200_000
)

type past struct {
	attempt string
	at      clock.Mark
}

// Memory is the pure state of one owner.
type Memory struct {
	entries map[string]Entry
	// order lists what was remembered from the oldest on.
	order []past
	limit int
	// wholeFrom lists the daemons that have sent this incarnation all that they share with it.
	wholeFrom map[string]bool
}

// NewMemory makes an empty memory.
func NewMemory() *Memory {
	return &Memory{entries: map[string]Entry{}, limit: maxRemembered, wholeFrom: map[string]bool{}}
}

// Take answers one question.
func (m *Memory) Take(now clock.Mark, ask Ask) Answer {
	m.forget(now)
	held, known := m.entries[ask.Attempt]
	own := held.Owner == ask.Owner
	switch ask.Act {
	case Free:
		if known && own && !held.Refused {
			delete(m.entries, ask.Attempt)
		}
		return Granted
	case Refuse:
		// A tombstone may be set on what nobody has claimed, and on the asker's own claim.
		if known && !own && !held.Refused {
			return takenBy(held, ask)
		}
		m.put(ask.Attempt, Entry{Owner: ask.Owner, Digest: ask.Digest, At: now, Refused: true})
		return Granted
	}
	switch {
	case known && held.Refused && now-clock.Mark(ask.Age) <= held.At:
		// This record was in hand somewhere when the caller was told that it never runs.
		return RefusedSince
	case known && !held.Refused && !own:
		return takenBy(held, ask)
	case !known || held.Refused:
		m.put(ask.Attempt, Entry{Owner: ask.Owner, Digest: ask.Digest, At: now})
	}
	return Granted
}

func takenBy(held Entry, ask Ask) Answer {
	if held.Digest != ask.Digest {
		return OtherBody
	}
	return Taken
}

func (m *Memory) put(attempt string, entry Entry) {
	m.entries[attempt] = entry
	m.order = append(m.order, past{attempt, entry.At})
}

// forget drops what is too old, and the oldest of what is too much.
func (m *Memory) forget(now clock.Mark) {
	for len(m.order) > 0 && (now.Since(m.order[0].at) > Kept || len(m.order) > m.limit) {
		oldest := m.order[0]
		m.order = m.order[1:]
		// One that came again since stands further back in the line.
		if m.entries[oldest.attempt].At == oldest.at {
			delete(m.entries, oldest.attempt)
		}
	}
}

// Learn takes over what another owner remembers, unless something is known here already. A claim
// stands above a refusal, since only the claim may have run.
func (m *Memory) Learn(now clock.Mark, attempt string, entry Entry) {
	held, known := m.entries[attempt]
	if !known || held.Refused && !entry.Refused && entry.At >= held.At {
		m.put(attempt, entry)
	}
	m.forget(now)
}

// LearnWhole notes that a daemon has sent this incarnation all that they share.
func (m *Memory) LearnWhole(from string) { m.wholeFrom[from] = true }

// Whole says whether a daemon has sent this incarnation all that they share.
func (m *Memory) Whole(from string) bool { return m.wholeFrom[from] }

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

// Answers is what several owners said of one question.
type Answers struct {
	// Knew says that an owner answered that would know of every earlier claim; Written, that another daemon wrote it down.
	Knew, Written bool
	Given         []Answer
}

// Decision is what the asker may do, given all answers.
type Decision string

const (
	// May: the asker may go ahead.
	May Decision = "may"
	// Replay: the attempt is claimed elsewhere.
	Replay Decision = "replay"
	// Other: the attempt's id stands for another request.
	Other Decision = "other-body"
	// Refused: the attempt was refused elsewhere.
	Refused Decision = "refused"
	// Doubt: nobody who would know could be asked.
	Doubt Decision = "doubt"
)

// Decide makes one decision of the answers. Any owner that knows of a claim stands above all that do not.
func Decide(answers Answers) Decision {
	decision := May
	if !answers.Knew || !answers.Written {
		decision = Doubt
	}
	for _, answer := range answers.Given {
		switch answer {
		case Taken:
			return Replay
		case OtherBody:
			return Other
		case RefusedSince:
			decision = Refused
		}
	}
	return decision
}

package raft

// Term numbers the terms of leaders (section 3.3). Zero is before the first.
type Term uint64

// Index numbers the entries of the log, from 1 on. Zero is the empty log.
type Index uint64

// EntryKind is the type of an entry. Its values are stored on disk and sent to peers.
type EntryKind uint8

const (
	// EntryCommand is a command for the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryEmpty is the no-op that a new leader appends, so that it can commit the entries of earlier terms (6.4, 3.6.2).
	EntryEmpty
	// EntryMembership is an encoded Membership.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Term  Term
	Index Index
	Kind  EntryKind
	Data  []byte
}

package raft

// Term numbers the reigns of leaders.
type Term uint64

// Index numbers the places of the log.
type Index uint64

// EntryKind tells what an entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command for the replicated state.
	EntryCommand EntryKind = iota
	// EntryEmpty is what a new leader writes first, to commit what came before it.
	EntryEmpty
	// EntryMembership holds a new membership.
	EntryMembership
)

// Entry is one place of the log.
type Entry struct {
	Term  Term
	Index Index
	Kind  EntryKind
	Data  []byte
}

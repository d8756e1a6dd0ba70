package raft

// HardState is what must be on disk before anything that depends on it is said.
type HardState struct {
	Term Term
	Vote MemberID
}

// Snapshot is the whole replicated state up to one entry.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
	// Checksum is over Index, Term and Data; snapshots of earlier builds travel without one.
	Checksum []byte
}

// Restored is what a member finds on its disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

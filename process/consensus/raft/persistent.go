package raft

// HardState must be on disk before a message that depends on it leaves: the persistent state of section 3.3, without
// the log.
type HardState struct {
	Term Term
	// Vote is the candidate that this member voted for in Term; zero is none.
	Vote MemberID
}

// Snapshot is the complete replicated state up to and including the entry at Index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
	// Checksum covers Index, Term and Data. It is empty in snapshots of earlier builds.
	Checksum []byte
}

// PersistentState is what a member reads from its disk when it starts.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

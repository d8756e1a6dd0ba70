package raft

// ReadReady says that the state applied up to Index answers the read asked with Ref.
type ReadState struct {
	RequestID uint64
	Index     Index
	OK        bool
}

// Effects is what a step wants done.
type Effects struct {
	// Save goes to disk. Later leaves only when this and every earlier save is synced.
	Save      *Save
	AfterSync []Message
	// Now may leave at once.
	Immediate []Message
	// Install is a snapshot the replicated state must take over before Committed is applied.
	InstallSnapshot *Snapshot
	Committed       []Entry
	ReadStates      []ReadState
	// Proposed says where a proposal was put; zero when it was refused.
	ProposedIndex Index
	ProposedTerm  Term
	// Notices tell what an operator may want to know.
	Notices []Notice
}

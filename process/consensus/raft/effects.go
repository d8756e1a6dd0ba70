package raft

// Effects is what the driver has to do after a Step; see the package comment for the order.
type Effects struct {
	// Save is to be written to disk; nil where nothing changed.
	Save *Save
	// AfterSync leaves only when Save and every earlier Save are synced.
	AfterSync []Message
	// Immediate may leave at once.
	Immediate []Message
	// InstallSnapshot replaces the replicated state, before Committed is applied.
	InstallSnapshot *Snapshot
	// Committed lists the entries to apply, in order.
	Committed  []Entry
	ReadStates []ReadState
	// ProposedIndex and ProposedTerm say where a proposal was appended; both are zero when it was rejected.
	ProposedIndex Index
	ProposedTerm  Term
	// Notices are for logs and counters.
	Notices []Notice
}

// ReadState answers the Read with its RequestID: where OK, the state applied up to Index is linearizable. Where not,
// this member does not lead, or lost its leadership meanwhile.
type ReadState struct {
	RequestID uint64
	Index     Index
	OK        bool
}

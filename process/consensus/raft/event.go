package raft

// Event is an input of Core.Step.
type Event interface{ raftEvent() }

// Tick is one tick of the logical clock; Timing counts in ticks.
type Tick struct{}

// Receive is a message from a peer, or from this member itself once its Save is synced.
type Receive struct{ Message Message }

// Propose asks the leader to append a command. Effects.ProposedIndex says whether it did.
type Propose struct{ Data []byte }

// ProposeMembership asks the leader for a membership that differs from the present one by at most one voter.
type ProposeMembership struct{ Membership Membership }

// Read asks for an index at which a read is linearizable; the answer is a ReadState with the same RequestID.
type Read struct{ RequestID uint64 }

// Persisted says that the log is synced up to this entry.
type Persisted struct {
	Index Index
	Term  Term
}

// DiskStalled says that a Save has been waiting for too long, or, with false, that the disk writes again.
type DiskStalled struct{ Stalled bool }

// TransferLeadership asks the leader to hand over to the voter with the longest matching log.
type TransferLeadership struct{}

// StepDown has a leader become a follower: its process was paused for so long that another member may lead.
type StepDown struct{}

// Compact provides a snapshot of the state applied up to Index; RetainEntries entries before it stay in the log.
type Compact struct {
	Index         Index
	Data          []byte
	RetainEntries int
}

func (Tick) raftEvent()               {}
func (Receive) raftEvent()            {}
func (Propose) raftEvent()            {}
func (ProposeMembership) raftEvent()  {}
func (Read) raftEvent()               {}
func (Persisted) raftEvent()          {}
func (DiskStalled) raftEvent()        {}
func (TransferLeadership) raftEvent() {}
func (StepDown) raftEvent()           {}
func (Compact) raftEvent()            {}

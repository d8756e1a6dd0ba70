package raft

// Event is what steps the core.
type Event interface{ raftEvent() }

// Tick is one beat of the clock.
type Tick struct{}

// Receive is a message from another member, or from itself once its save is synced.
type Receive struct{ Message Message }

// Propose asks the leader to put a command in the log.
type Propose struct{ Data []byte }

// ProposeMembership asks for a membership that differs in one member.
type ProposeMembership struct{ Membership Membership }

// Read asks for a point at which a read is linearizable.
type Read struct{ RequestID uint64 }

// Persisted says that the log is synced up to this entry.
type Persisted struct {
	Index Index
	Term  Term
}

// DiskStalled says that a save has been waiting too long.
type DiskStalled struct{ Stalled bool }

// Transfer asks the leader to hand over.
type TransferLeadership struct{}

// StandDown says that this member stood still for so long that another may lead.
type StepDown struct{}

// Compact hands in a snapshot of the applied state; Keep entries stay before it.
type Compact struct {
	Index         Index
	Data          []byte
	RetainEntries int
}

func (Tick) raftEvent() {}

func (Receive) raftEvent() {}

func (Propose) raftEvent() {}

func (ProposeMembership) raftEvent() {}

func (Read) raftEvent() {}

func (Persisted) raftEvent() {}

func (DiskStalled) raftEvent() {}

func (TransferLeadership) raftEvent() {}

func (StepDown) raftEvent() {}

func (Compact) raftEvent() {}

package replica

import (
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Config holds the times and sizes of the group. All members must be configured alike, but for the last three fields.
type Config struct {
	Timing raft.Timing
	// WorkerLease is how long a worker id is leased for.
	WorkerLease time.Duration
	// PlannerLease is how long the planner's lease lasts, PlannerLeaseGap the time between the end of one lease and the
	// start of the next.
	PlannerLease, PlannerLeaseGap time.Duration
	// Voters is how many machines are to vote.
	Voters int
	// CompactEntries is how many entries are applied between snapshots, RetainEntries how many are kept before a snapshot
	// for followers that lag a little.
	CompactEntries, RetainEntries int
	// CompactBytes and RetainBytes bound the same by size, in bytes: a few large bundles weigh as much as all else. Zero
	// stands for no bound.
	CompactBytes, RetainBytes int
	// HistoryLimits bounds what the state machine remembers of operators' changes.
	HistoryLimits statemachine.Limits
	// FeatureLevel is the highest level of commands that this member understands. Members may differ in it.
	FeatureLevel statemachine.FeatureLevel
	// Incarnation identifies this member's process; zero is not stated.
	Incarnation uint64
	// Build identifies the build: only members of one build compare digests of their states.
	Build string
}

const (
	// compactBytes bounds the log, and so what a member that comes with an empty disk is sent beside the snapshot: with the
	// largest state, 1.7 MB after 4,096 changes, a link of 10 Mbit/s carries both within four seconds.
	compactBytes = 1536 << 10
	// retainBytes is what is kept for members that lag a little.
	retainBytes = 768 << 10
)

// DefaultConfig returns the values of the design. Raft's timing counts in units of TickInterval.
func DefaultConfig() Config {
	return Config{
		Timing:      raft.Timing{HeartbeatTicks: 2, ElectionTicks: 16},
		WorkerLease: 30 * time.Second, PlannerLease: 4 * time.Second, PlannerLeaseGap: 3 * time.Second,
		Voters: DefaultVoters, CompactEntries: 2000, RetainEntries: 200, CompactBytes: compactBytes, RetainBytes: retainBytes,
		HistoryLimits: statemachine.DefaultLimits(), FeatureLevel: statemachine.SupportedFeatureLevel,
	}
}

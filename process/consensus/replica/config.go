package replica

import (
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Config holds the times of the group.
type Config struct {
	Timing raft.Timing
	// Tenure is how long a worker id is granted for.
	WorkerLease time.Duration
	// ClaimSpan is how long the planner's claim lasts, ClaimGap the quiet time between two claims.
	PlannerLease, PlannerLeaseGap time.Duration
	// Voters is how many machines are to vote.
	Voters int
	// CompactEvery is how many entries are applied between snapshots, Keep how many stay before one.
	CompactEntries, RetainEntries int
	// CompactBytes and KeepBytes bound the same by size: a few large bundles weigh as much as all else.
	CompactBytes, RetainBytes int
	// Orders bounds what is remembered of operators' orders; all members must have the same.
	HistoryLimits statemachine.Limits
	// Build names what was built: only members of one build compare digests of their states.
	Build string
}

// DefaultConfig gives the times of the design.
func DefaultConfig() Config {
	return Config{
		Timing:      raft.Timing{HeartbeatTicks: 2, ElectionTicks: 16},
		WorkerLease: 30 * time.Second, PlannerLease: 4 * time.Second, PlannerLeaseGap: 3 * time.Second,
		Voters: DefaultVoters, CompactEntries: 2000, RetainEntries: 200, CompactBytes: 8 << 20, RetainBytes: 2 << 20,
		HistoryLimits: statemachine.DefaultLimits(),
	}
}

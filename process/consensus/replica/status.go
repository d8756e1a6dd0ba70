package replica

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Status is a snapshot of a replica that is read without asking the actor. What it tells of the replicated state is as
// of the entries applied so far.
type Status struct {
	Group ident.GroupID
	Role  raft.Role
	Term  raft.Term
	// IsLeader says that this member leads and has applied all that was committed before.
	IsLeader bool
	// Leader is the member that leads by what this one knows; zero where it knows none.
	Leader      raft.Member
	Membership  raft.Membership
	CommitIndex raft.Index
	// DiskStalled says that a write takes too long, or that this member failed: it takes no part in the group meanwhile.
	DiskStalled bool
	GroupTime   ident.GroupTime
	// SinceFirstRollout is how long any configuration has been in force; negative while none was.
	SinceFirstRollout time.Duration
	// ServingDaemons lists the daemons that may be serving.
	ServingDaemons []ident.NodeID
	PlannerLease   statemachine.PlannerLease
	// ConfirmedUntil is, where this member leads, up to when a majority has confirmed that.
	ConfirmedUntil clock.Mark
	// ConfigurationVersion and ClosuresVersion are the newest that are committed.
	ConfigurationVersion, ClosuresVersion ident.Version
	// AppliedIndex is the index of the last applied entry, Digest the newest digest of the state.
	AppliedIndex raft.Index
	Digest       raft.StateDigest
	// FeatureLevel is the level of commands that the group may use.
	FeatureLevel statemachine.FeatureLevel
	// DivergentMembers lists, at a leader, the members whose state differed from a majority's when last compared.
	DivergentMembers []raft.MemberID
}

// notablyDiffers reports whether the next status differs in what operators are notified of.
func (s *Status) notablyDiffers(next Status) bool {
	return s.IsLeader != next.IsLeader || s.DiskStalled != next.DiskStalled ||
		!slices.Equal(s.Membership.Members, next.Membership.Members) ||
		!slices.Equal(s.DivergentMembers, next.DivergentMembers)
}

// Status returns the newest status. It may be called from any goroutine.
func (r *Replica) Status() Status { return *r.status.Load() }

func (r *Replica) publishStatus() {
	core, state := r.core.Raft(), r.core.State()
	status := Status{
		Group: r.group, Role: core.Role(), Term: core.Term(), IsLeader: r.core.IsLeader(),
		Membership: core.Membership(), CommitIndex: core.CommitIndex(), DiskStalled: r.participation != participating,
		GroupTime: state.Now, SinceFirstRollout: r.core.SinceFirstRollout(r.clock.Elapsed()),
		ServingDaemons: state.ServingDaemons(), PlannerLease: state.PlannerLease, ConfirmedUntil: r.core.ConfirmedUntil(),
		ConfigurationVersion: state.Version(), ClosuresVersion: state.Closures.Version,
		AppliedIndex: r.core.appliedIndex, Digest: r.core.Digest(), FeatureLevel: state.FeatureLevel, DivergentMembers: r.core.DivergentMembers(),
	}
	status.Leader, _ = status.Membership.Find(core.LeaderID())
	before := r.status.Swap(&status)
	if before != nil && before.notablyDiffers(status) {
		r.onStatusChange(*before, status)
	}
}

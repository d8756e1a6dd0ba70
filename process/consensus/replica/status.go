package replica

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Condition is what others may know of this member, read without asking the actor.
type Status struct {
	Group       ident.GroupID
	Role        raft.Role
	Term        raft.Term
	IsLeader    bool
	Leader      raft.Member
	Membership  raft.Membership
	CommitIndex raft.Index
	DiskStalled bool
	GroupTime   ident.GroupTime
	// FirstRollAgo is how long any bundle has been in force by the state applied so far; negative while none was.
	SinceFirstRollout time.Duration
	// Serving lists the daemons that may be serving, by the state applied so far.
	ServingDaemons []ident.NodeID
	// Claim is the planner's claim by the state applied so far.
	PlannerLease statemachine.PlannerLease
	// ConfirmedUntil is, where this member leads, up to when a majority has confirmed that; Spec and Closures are what
	// is committed by the state applied so far.
	ConfirmedUntil                        clock.Mark
	ConfigurationVersion, ClosuresVersion ident.Version
	// Applied is how far the state is, Digest its newest digest.
	AppliedIndex raft.Index
	Digest       raft.StateDigest
	// Differing lists, at a leader, the members whose state differed from a majority's when last compared.
	DivergentMembers []raft.MemberID
}

// otherThan says whether what an operator would want to know is different.
func (c *Status) notablyDiffers(next Status) bool {
	return c.IsLeader != next.IsLeader || c.DiskStalled != next.DiskStalled || !slices.Equal(c.Membership.Members, next.Membership.Members) ||
		!slices.Equal(c.DivergentMembers, next.DivergentMembers)
}

// Condition tells where this member stands.
func (r *Replica) Status() Status { return *r.status.Load() }

func (r *Replica) publishStatus() {
	core := r.core.Raft()
	condition := Status{
		Group: r.group, Role: core.Role(), Term: core.Term(), IsLeader: r.core.IsLeader(), Membership: core.Membership(),
		CommitIndex: core.CommitIndex(), DiskStalled: r.diskStalled, GroupTime: r.core.State().Now, SinceFirstRollout: r.core.SinceFirstRollout(r.clock.Elapsed()), ServingDaemons: r.core.State().ServingDaemons(), PlannerLease: r.core.State().PlannerLease,
		ConfirmedUntil: r.core.ConfirmedUntil(), ConfigurationVersion: r.core.State().Version(), ClosuresVersion: r.core.State().Closures.Version,
		AppliedIndex: r.core.appliedIndex, Digest: r.core.Digest(), DivergentMembers: r.core.DivergentMembers(),
	}
	condition.Leader, _ = condition.Membership.Find(core.LeaderID())
	before := r.status.Swap(&condition)
	if before != nil && before.notablyDiffers(condition) {
		r.onStatusChange(*before, condition)
	}
}

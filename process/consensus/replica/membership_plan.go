package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

const (
	// voterTimeout is how long a voter must be unreachable before a learner that is ready takes its place. It is longer
	// than a busy machine or a short suspension takes, and leaves a replaced machine time to become a voter within the
	// few seconds that deployments allow.
	voterTimeout = 2 * time.Second
	// aliveTimeout is how recent a voter's last message must be for it to count as alive.
	aliveTimeout = time.Second
	// learnerTimeout is how long a learner may be unreachable before it is removed. It asks to join again.
	learnerTimeout = 20 * time.Second
	// leavingValidity is how long the announcement that a member shuts down holds; members repeat it.
	leavingValidity = 2 * time.Second
	// caughtUpEntries is how many entries a member may lack and still count as caught up.
	caughtUpEntries = 8
	// caughtUpBytes is how large those entries may be together: a twentieth of a second on a link of 10 Mbit/s.
	caughtUpBytes = 64 << 10
	// previousIdentityTimeout is how long a member must be unreachable before another member of the same machine takes
	// its place. A live one answers every heartbeat.
	previousIdentityTimeout = 500 * time.Millisecond
	// DefaultVoters is how many machines vote where nothing else is configured: the group survives the loss of one.
	DefaultVoters = 3
)

// Progress is what a leader knows of one member.
type Progress struct {
	// Match is the last index up to which its log is known to agree with the leader's.
	Match raft.Index
	// MissingBytes is the size of the entries that it lacks.
	MissingBytes int
	// SinceContact is the time since its last message.
	SinceContact time.Duration
	// Leaving says that it announced its shutdown, be it a restart or for good.
	Leaving bool
}

// MembershipPlan gathers all that a leader's next change of the membership depends on.
type MembershipPlan struct {
	Self      raft.MemberID
	Current   raft.Membership
	LastIndex raft.Index
	// DesiredVoters is how many machines are to vote.
	DesiredVoters int
	// Progress tells of each member. JoinRequests lists the members that asked to be taken in; Next deletes those that
	// have been.
	Progress     func(raft.MemberID) Progress
	JoinRequests map[raft.MemberID]raft.Member
}

// Next returns the next change of the membership, if there is one. Members that ask to join are added as learners. Once
// a learner has caught up it becomes a voter: in place of the previous identity of the same machine, in place of a voter
// that is unreachable or leaving, or where there are too few voters. A voter is removed only if a learner is ready and a
// majority of the others is alive, so that a machine that may only be restarting never shrinks the group. Each change
// differs from the membership before in one voter, as Raft's single-server changes require (Ongaro's thesis, section 4.1).
func (p MembershipPlan) Next() (raft.Membership, bool) {
	ready := p.readyLearners()
	steps := []func() (raft.Membership, bool){
		p.admit,
		func() (raft.Membership, bool) { return p.removePreviousIdentity(ready) },
		p.removeSurplus,
		func() (raft.Membership, bool) { return p.fillVacancy(ready) },
		func() (raft.Membership, bool) { return p.promoteForLeaving(ready) },
		func() (raft.Membership, bool) { return p.removeAbsent(ready) },
		p.removeUnreachableLearner,
	}
	for _, step := range steps {
		if next, ok := step(); ok {
			return next, true
		}
	}
	return raft.Membership{}, false
}

// removePreviousIdentity removes the member that a machine was before it lost its disk, once the machine's new member is
// ready.
func (p MembershipPlan) removePreviousIdentity(ready []raft.Member) (raft.Membership, bool) {
	for _, learner := range ready {
		for _, old := range p.Current.Members {
			sameMachine := old.Name == learner.Name || old.Address == learner.Address
			if !sameMachine || old.ID == learner.ID || old.ID == p.Self {
				continue
			}
			// One that is still alive must stay: two machines may have been given one name, and a learner that has just
			// ended may be the older of two.
			if p.Progress(old.ID).SinceContact > previousIdentityTimeout && p.quorumAliveWithout(old.ID) {
				return p.Current.Without(old.ID), true
			}
		}
	}
	return raft.Membership{}, false
}

// removeSurplus completes what promoteForLeaving began: it removes the voter that leaves or, if that one stays after all,
// the voter that was added last.
func (p MembershipPlan) removeSurplus() (raft.Membership, bool) {
	voters := p.Current.Voters()
	if len(voters) <= p.DesiredVoters || len(voters)%2 != 0 {
		return raft.Membership{}, false
	}
	surplus, found := p.absentVoter()
	for i := len(voters) - 1; i >= 0 && !found; i-- {
		surplus, found = voters[i], voters[i] != p.Self
	}
	if !found || !p.quorumAliveWithout(surplus) {
		return raft.Membership{}, false
	}
	return p.Current.Without(surplus), true
}

// fillVacancy promotes a learner where there are too few voters.
func (p MembershipPlan) fillVacancy(ready []raft.Member) (raft.Membership, bool) {
	voters := len(p.Current.Voters())
	// An even number of voters survives no more losses than one voter less, so voters are added two at a time.
	if voters < p.DesiredVoters && (voters%2 == 0 && len(ready) > 0 || len(ready) > 1) {
		return p.promote(ready[0]), true
	}
	return raft.Membership{}, false
}

// promoteForLeaving promotes a learner before the voter that leaves is removed, while that one still answers: so at each
// moment between any one machine may be lost. Where the voter is unreachable that order is the worse one, since four
// voters of whom one is lost need all others.
func (p MembershipPlan) promoteForLeaving(ready []raft.Member) (raft.Membership, bool) {
	leaving, found := p.absentVoter()
	voters := len(p.Current.Voters())
	if !found || len(ready) == 0 || p.Progress(leaving).SinceContact >= aliveTimeout || voters < p.DesiredVoters || voters%2 == 0 {
		return raft.Membership{}, false
	}
	return p.promote(ready[0]), true
}

// removeAbsent removes a voter that is unreachable or leaving, so that a learner that is ready can take its place.
func (p MembershipPlan) removeAbsent(ready []raft.Member) (raft.Membership, bool) {
	absent, found := p.absentVoter()
	if !found || len(ready) == 0 || !p.quorumAliveWithout(absent) {
		return raft.Membership{}, false
	}
	return p.Current.Without(absent), true
}

// removeUnreachableLearner removes a learner that has been unreachable for learnerTimeout.
func (p MembershipPlan) removeUnreachableLearner() (raft.Membership, bool) {
	for _, member := range p.Current.Members {
		if !member.Voter && p.Progress(member.ID).SinceContact > learnerTimeout {
			return p.Current.Without(member.ID), true
		}
	}
	return raft.Membership{}, false
}

// promote makes a learner a voter.
func (p MembershipPlan) promote(learner raft.Member) raft.Membership {
	learner.Voter = true
	return p.Current.With(learner)
}

// admit adds the next member that asked to join, as a learner.
func (p MembershipPlan) admit() (raft.Membership, bool) {
	for _, id := range slices.Sorted(maps.Keys(p.JoinRequests)) {
		joining := p.JoinRequests[id]
		if _, known := p.Current.Find(id); known {
			delete(p.JoinRequests, id)
			continue
		}
		joining.Voter = false
		return p.Current.With(joining), true
	}
	return raft.Membership{}, false
}

// readyLearners lists the learners that have caught up and are alive, in the order in which they joined.
func (p MembershipPlan) readyLearners() []raft.Member {
	var ready []raft.Member
	for _, member := range p.Current.Members {
		progress := p.Progress(member.ID)
		if !member.Voter && !progress.Leaving && p.caughtUp(progress) && progress.SinceContact < aliveTimeout {
			ready = append(ready, member)
		}
	}
	return ready
}

// caughtUp reports whether a member lacks no more than fits into one message. It need not hold all: the entry that makes
// it a voter is committed only when a majority of the new voters holds that entry and all before it, so no majority can
// lack what was acknowledged. What it lacks only delays the next commit if another voter is lost at this very moment.
func (p MembershipPlan) caughtUp(progress Progress) bool {
	return progress.Match > 0 && progress.Match+caughtUpEntries >= p.LastIndex && progress.MissingBytes <= caughtUpBytes
}

// absentVoter returns the voter that is unreachable for longest among those that are beyond voterTimeout or leaving.
func (p MembershipPlan) absentVoter() (raft.MemberID, bool) {
	var absent []raft.MemberID
	for _, id := range p.Current.Voters() {
		if progress := p.Progress(id); id != p.Self && (progress.Leaving || progress.SinceContact > voterTimeout) {
			absent = append(absent, id)
		}
	}
	if len(absent) == 0 {
		return 0, false
	}
	return slices.MaxFunc(absent, func(a, b raft.MemberID) int {
		return cmp.Or(cmp.Compare(p.Progress(a).SinceContact, p.Progress(b).SinceContact), cmp.Compare(a, b))
	}), true
}

// quorumAliveWithout reports whether the voters that are alive are a majority of those that remain without one.
func (p MembershipPlan) quorumAliveWithout(removed raft.MemberID) bool {
	remaining, alive := 0, 0
	for _, id := range p.Current.Voters() {
		if id == removed {
			continue
		}
		remaining++
		if id == p.Self || p.Progress(id).SinceContact < aliveTimeout {
			alive++
		}
	}
	return remaining > 0 && 2*alive > remaining
}

// MembershipPlan gathers what this leader's next change of the membership depends on.
func (c *Core) MembershipPlan(now clock.Mark, joinRequests map[raft.MemberID]raft.Member) MembershipPlan {
	return MembershipPlan{
		Self: c.raft.ID(), Current: c.raft.Membership(), LastIndex: c.raft.LastIndex(), DesiredVoters: c.config.Voters,
		JoinRequests: joinRequests, Progress: func(id raft.MemberID) Progress { return c.progress(now, id) },
	}
}

func (c *Core) progress(now clock.Mark, id raft.MemberID) Progress {
	announced, leaving := c.leaving[id]
	match, missingBytes := c.raft.MatchIndex(id), 0
	if match+caughtUpEntries >= c.raft.LastIndex() {
		// A member that lacks more entries is not ready, whatever their size.
		missingBytes = c.raft.BytesAfter(match)
	}
	return Progress{
		Match: match, MissingBytes: missingBytes,
		// A member whose last contact was before this one led had no reason to send it anything since.
		SinceContact: now.Since(max(c.lastContact[id], c.leaderSince)),
		Leaving:      leaving && now.Since(announced) < leavingValidity,
	}
}

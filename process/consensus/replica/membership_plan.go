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
	// silentVoter is how long a voter must have said nothing before one that stands ready takes its place. It
	// is longer than what a busy machine or a short freeze takes, and leaves a replaced machine time to vote
	// within the few seconds that deployments allow.
	voterTimeout = 2 * time.Second
	// aliveWithin is how lately a voter must have spoken to count towards the majority that holds without another.
	aliveTimeout = time.Second
	// forgetLearner is how long a member that does not vote may be silent before it is let go: it asks again.
	learnerTimeout = 20 * time.Second
	// leavingFor is how long a member's word that it stops is believed after it was last said.
	leavingValidity = 2 * time.Second
	// caughtUpWithin is how many entries a member may lack and still count as caught up.
	caughtUpEntries = 8
	// caughtUpBytes is how many bytes those entries may hold: a twentieth of a second on a link of 10 Mbit/s.
	caughtUpBytes = 64 << 10
	// identityGone is how long an identity must have been silent before another of the same machine takes its place.
	// Who lives answers every heartbeat.
	previousIdentityTimeout = 500 * time.Millisecond
	// DefaultVoters is how many machines vote where nothing else is said: the group stands losing one.
	DefaultVoters = 3
)

// Standing is what a leader knows of one member.
type Progress struct {
	// Match is how far its log is known to agree with the leader's.
	Match raft.Index
	// Missing is how many bytes the entries hold that it lacks.
	MissingBytes int
	// Silent is how long it has said nothing.
	SinceContact time.Duration
	// Leaving says that it stops, for a while or for good.
	Leaving bool
}

// MembershipPlan is all that a leader's next change of the membership depends on.
type MembershipPlan struct {
	Self      raft.MemberID
	Current   raft.Membership
	LastIndex raft.Index
	// Wanted is how many machines are to vote.
	DesiredVoters int
	// Standing tells of each member, Joins lists those that asked to be taken in.
	Progress     func(raft.MemberID) Progress
	JoinRequests map[raft.MemberID]raft.Member
}

// Next says the next single step by which those who asked are taken in: first as learners; then, once they
// have caught up, in the place of the old identity of the same machine, of a voter that fell silent or stops,
// or where a place is free. A voter is let go only if another stands ready and a majority holds without it, so that a
// machine that may only be restarting never shrinks the group. Every step differs in one voter from the one before.
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

// removeOldIdentity lets go of what a machine was before its disk was lost: its new identity says that it is gone.
func (p MembershipPlan) removePreviousIdentity(ready []raft.Member) (raft.Membership, bool) {
	for _, learner := range ready {
		for _, old := range p.Current.Members {
			sameMachine := old.Name == learner.Name || old.Address == learner.Address
			if !sameMachine || old.ID == learner.ID || old.ID == p.Self {
				continue
			}
			// One that still speaks is not gone: two machines may have been given one name, and a learner that has
			// just ended may be the older of two.
			if p.Progress(old.ID).SinceContact > previousIdentityTimeout && p.quorumAliveWithout(old.ID) {
				return p.Current.Without(old.ID), true
			}
		}
	}
	return raft.Membership{}, false
}

// removeSurplus ends what promoteForLeaving began: the voter that leaves goes, or, if it stays after all, the one that
// came last.
func (p MembershipPlan) removeSurplus() (raft.Membership, bool) {
	voters := p.Current.Voters()
	if len(voters) <= p.DesiredVoters || len(voters)%2 != 0 {
		return raft.Membership{}, false
	}
	surplus, found := p.absentVoter()
	for place := len(voters) - 1; place >= 0 && !found; place-- {
		surplus, found = voters[place], voters[place] != p.Self
	}
	if !found || !p.quorumAliveWithout(surplus) {
		return raft.Membership{}, false
	}
	return p.Current.Without(surplus), true
}

// fillFreePlace gives a vote where there are too few.
func (p MembershipPlan) fillVacancy(ready []raft.Member) (raft.Membership, bool) {
	voters := len(p.Current.Voters())
	// An even number of voters stands losing no more than one less would, so they come to be two at a time.
	if voters < p.DesiredVoters && (voters%2 == 0 && len(ready) > 0 || len(ready) > 1) {
		return p.promote(ready[0]), true
	}
	return raft.Membership{}, false
}

// promoteForLeaving gives a vote to a learner before the voter that stops loses its own, while that one still
// answers: so at each moment between any one machine may be lost. Where the voter is silent that order is the worse one,
// as four voters of whom one is gone need all others.
func (p MembershipPlan) promoteForLeaving(ready []raft.Member) (raft.Membership, bool) {
	leaving, found := p.absentVoter()
	voters := len(p.Current.Voters())
	if !found || len(ready) == 0 || p.Progress(leaving).SinceContact >= aliveTimeout || voters < p.DesiredVoters || voters%2 == 0 {
		return raft.Membership{}, false
	}
	return p.promote(ready[0]), true
}

// removeAbsent lets go of a voter that is silent or stops, to make room for one that stands ready.
func (p MembershipPlan) removeAbsent(ready []raft.Member) (raft.Membership, bool) {
	absent, found := p.absentVoter()
	if !found || len(ready) == 0 || !p.quorumAliveWithout(absent) {
		return raft.Membership{}, false
	}
	return p.Current.Without(absent), true
}

// forgetSilentLearner lets go of a learner that has long said nothing.
func (p MembershipPlan) removeUnreachableLearner() (raft.Membership, bool) {
	for _, member := range p.Current.Members {
		if !member.Voter && p.Progress(member.ID).SinceContact > learnerTimeout {
			return p.Current.Without(member.ID), true
		}
	}
	return raft.Membership{}, false
}

func (p MembershipPlan) promote(learner raft.Member) raft.Membership {
	learner.Voter = true
	return p.Current.With(learner)
}

// admit takes in the next of those who asked.
func (p MembershipPlan) admit() (raft.Membership, bool) {
	for _, id := range slices.Sorted(maps.Keys(p.JoinRequests)) {
		wanted := p.JoinRequests[id]
		if _, known := p.Current.Find(id); known {
			delete(p.JoinRequests, id)
			continue
		}
		wanted.Voter = false
		return p.Current.With(wanted), true
	}
	return raft.Membership{}, false
}

// ready lists the learners that have caught up and speak, the longest in the group first.
func (p MembershipPlan) readyLearners() []raft.Member {
	var out []raft.Member
	for _, member := range p.Current.Members {
		standing := p.Progress(member.ID)
		if !member.Voter && !standing.Leaving && p.caughtUp(standing) && standing.SinceContact < aliveTimeout {
			out = append(out, member)
		}
	}
	return out
}

// caughtUp says whether a member lacks no more than one message holds. It need not hold all: the entry that makes it
// a voter is committed only when a majority of the new voters holds that entry and all before it, so no majority can
// lack what was acknowledged. What it lacks only holds up the next commit if another is lost at this very moment.
func (p MembershipPlan) caughtUp(standing Progress) bool {
	return standing.Match > 0 && standing.Match+caughtUpEntries >= p.LastIndex && standing.MissingBytes <= caughtUpBytes
}

// mostAbsent finds the voter that has been silent for longest, and for too long, or else one that stops.
func (p MembershipPlan) absentVoter() (raft.MemberID, bool) {
	var absent []raft.MemberID
	for _, id := range p.Current.Voters() {
		if standing := p.Progress(id); id != p.Self && (standing.Leaving || standing.SinceContact > voterTimeout) {
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

// holdsWithout says whether the voters that speak are a majority of those who are left without one.
func (p MembershipPlan) quorumAliveWithout(leaving raft.MemberID) bool {
	left, alive := 0, 0
	for _, id := range p.Current.Voters() {
		if id == leaving {
			continue
		}
		left++
		if id == p.Self || p.Progress(id).SinceContact < aliveTimeout {
			alive++
		}
	}
	return left > 0 && 2*alive > left
}

// MembershipPlan is what a leader's next change of the membership depends on.
func (c *Core) MembershipPlan(now clock.Mark, joins map[raft.MemberID]raft.Member) MembershipPlan {
	return MembershipPlan{Self: c.raft.ID(), Current: c.raft.Membership(), LastIndex: c.raft.LastIndex(), DesiredVoters: c.config.Voters, JoinRequests: joins,
		Progress: func(id raft.MemberID) Progress {
			// Who was heard before this member led has had no reason to speak to it since.
			said, leaves := c.leaving[id]
			match, missing := c.raft.MatchIndex(id), 0
			if match+caughtUpEntries >= c.raft.LastIndex() {
				// Who lacks more is not ready whatever that holds.
				missing = c.raft.BytesAfter(match)
			}
			return Progress{Match: match, MissingBytes: missing, SinceContact: now.Since(max(c.lastContact[id], c.leaderSince)), Leaving: leaves && now.Since(said) < leavingValidity}
		}}
}

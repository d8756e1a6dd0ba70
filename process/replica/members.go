package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/raft"
)

const (
	// silentVoter is how long a voter must have said nothing before one that stands ready takes its place. It
	// is longer than what a busy machine or a short freeze takes, and leaves a replaced machine time to vote
	// within the few seconds that deployments allow.
	silentVoter = 2 * time.Second
	// aliveWithin is how lately a voter must have spoken to count towards the majority that holds without another.
	aliveWithin = time.Second
	// forgetLearner is how long a member that does not vote may be silent before it is let go: it asks again.
	forgetLearner = 20 * time.Second
	// leavingFor is how long a member's word that it stops is believed after it was last said.
	leavingFor = 2 * time.Second
	// caughtUpWithin is how many entries a member may lack and still count as caught up.
	caughtUpWithin = 8
	// DefaultVoters is how many machines vote where nothing else is said: the group stands losing one.
	DefaultVoters = 3
)

// Standing is what a leader knows of one member.
type Standing struct {
	// Match is how far its log is known to agree with the leader's.
	Match raft.Index
	// Silent is how long it has said nothing.
	Silent time.Duration
	// Leaving says that it stops, for a while or for good.
	Leaving bool
}

// Muster is all that a leader's next change of the membership depends on.
type Muster struct {
	Self    raft.MemberID
	Current raft.Membership
	Last    raft.Index
	// Wanted is how many machines are to vote.
	Wanted int
	// Standing tells of each member, Joins lists those that asked to be taken in.
	Standing func(raft.MemberID) Standing
	Joins    map[raft.MemberID]raft.Member
}

// Next says the next single step by which those who asked are taken in: first as learners; then, once they
// have caught up, in the place of the old identity of the same machine, of a voter that fell silent or stops,
// or where a place is free. A voter is let go only if another stands ready and a majority holds without it, so that a
// machine that may only be restarting never shrinks the group.
func (m Muster) Next() (raft.Membership, bool) {
	if next, ok := m.admit(); ok {
		return next, true
	}
	ready := m.ready()
	for _, learner := range ready {
		for _, old := range m.Current.Members {
			// The machine itself says that its old identity is gone.
			if old.ID != learner.ID && old.ID != m.Self && (old.Name == learner.Name || old.Address == learner.Address) && m.holdsWithout(old.ID) {
				return m.Current.Without(old.ID), true
			}
		}
	}
	if voters := len(m.Current.Voters()); voters < m.Wanted && (voters%2 == 0 && len(ready) > 0 || len(ready) > 1) {
		// An even number of voters stands losing no more than one less would, so they come to be two at a time.
		learner := ready[0]
		learner.Voter = true
		return m.Current.With(learner), true
	}
	if silent, found := m.mostAbsent(); found && len(ready) > 0 && m.holdsWithout(silent) {
		return m.Current.Without(silent), true
	}
	for _, member := range m.Current.Members {
		if !member.Voter && m.Standing(member.ID).Silent > forgetLearner {
			return m.Current.Without(member.ID), true
		}
	}
	return raft.Membership{}, false
}

// admit takes in the next of those who asked.
func (m Muster) admit() (raft.Membership, bool) {
	for _, id := range slices.Sorted(maps.Keys(m.Joins)) {
		wanted := m.Joins[id]
		if _, known := m.Current.Find(id); known {
			delete(m.Joins, id)
			continue
		}
		wanted.Voter = false
		return m.Current.With(wanted), true
	}
	return raft.Membership{}, false
}

// ready lists the learners that have caught up and speak, the longest in the group first.
func (m Muster) ready() []raft.Member {
	var out []raft.Member
	for _, member := range m.Current.Members {
		standing := m.Standing(member.ID)
		if !member.Voter && !standing.Leaving && standing.Match > 0 && standing.Match+caughtUpWithin >= m.Last && standing.Silent < aliveWithin {
			out = append(out, member)
		}
	}
	return out
}

// mostAbsent finds the voter that has been silent for longest, and for too long, or else one that stops.
func (m Muster) mostAbsent() (raft.MemberID, bool) {
	var absent []raft.MemberID
	for _, id := range m.Current.Voters() {
		if standing := m.Standing(id); id != m.Self && (standing.Leaving || standing.Silent > silentVoter) {
			absent = append(absent, id)
		}
	}
	if len(absent) == 0 {
		return 0, false
	}
	return slices.MaxFunc(absent, func(a, b raft.MemberID) int {
		return cmp.Or(cmp.Compare(m.Standing(a).Silent, m.Standing(b).Silent), cmp.Compare(a, b))
	}), true
}

// holdsWithout says whether the voters that speak are a majority of those who are left without one.
func (m Muster) holdsWithout(leaving raft.MemberID) bool {
	left, alive := 0, 0
	for _, id := range m.Current.Voters() {
		if id == leaving {
			continue
		}
		left++
		if id == m.Self || m.Standing(id).Silent < aliveWithin {
			alive++
		}
	}
	return left > 0 && 2*alive > left
}

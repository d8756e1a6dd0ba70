package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// planCase is a membership plan for three desired voters and the progress of its members.
type planCase struct {
	voters, learners []raft.Member
	progress         map[raft.MemberID]Progress
}

const planLast = raft.Index(100)

func (c planCase) next() (raft.Membership, bool) {
	var current raft.Membership
	for _, voter := range c.voters {
		voter.Voter = true
		current.Members = append(current.Members, voter)
	}
	current.Members = append(current.Members, c.learners...)
	return MembershipPlan{Self: 1, Current: current, LastIndex: planLast, DesiredVoters: 3, JoinRequests: map[raft.MemberID]raft.Member{},
		Progress: func(id raft.MemberID) Progress {
			if known, ok := c.progress[id]; ok {
				return known
			}
			return Progress{Match: planLast}
		}}.Next()
}

func machine(id raft.MemberID, name string) raft.Member {
	return raft.Member{ID: id, Name: name, Address: name + ":1"}
}

func TestMembershipPlanNext(t *testing.T) {
	voters := []raft.Member{machine(1, "a"), machine(2, "b"), machine(3, "c")}
	spare, reborn := machine(4, "d"), machine(5, "b")
	unreachable := Progress{Match: planLast, SinceContact: 3 * time.Second}
	leaving := Progress{Match: planLast, Leaving: true}
	for name, c := range map[string]struct {
		planCase
		votes []raft.MemberID
		none  bool
	}{
		"no voter is removed while no learner is ready":                {planCase: planCase{voters, nil, map[raft.MemberID]Progress{2: unreachable}}, none: true},
		"a leaving voter is removed after its replacement is promoted": {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: leaving}}, votes: []raft.MemberID{1, 2, 3, 4}},
		"a leaving voter is removed once its replacement votes":        {planCase: planCase{append(voters[:3:3], spare), nil, map[raft.MemberID]Progress{2: leaving}}, votes: []raft.MemberID{1, 3, 4}},
		"the newest voter is removed if the leaving one stays":         {planCase: planCase{append(voters[:3:3], spare), nil, nil}, votes: []raft.MemberID{1, 2, 3}},
		"an unreachable voter is removed before another is promoted":   {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: unreachable}}, votes: []raft.MemberID{1, 3}},
		"the unreachable voter is removed before the leaving one":      {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: leaving, 3: unreachable}}, votes: []raft.MemberID{1, 2}},
		"a vacancy is filled": {planCase: planCase{voters[:2], []raft.Member{spare}, nil}, votes: []raft.MemberID{1, 2, 4}},
		"a previous identity is removed once it is unreachable":        {planCase: planCase{voters, []raft.Member{reborn}, map[raft.MemberID]Progress{2: {Match: planLast, SinceContact: 600 * time.Millisecond}}}, votes: []raft.MemberID{1, 3}},
		"a previous identity that is alive stays":                      {planCase: planCase{voters, []raft.Member{reborn}, nil}, none: true},
		"a learner that lacks more than eight entries is not promoted": {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: unreachable, 4: {Match: planLast - 9}}}, none: true},
		"a learner that lacks large entries is not promoted":           {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: unreachable, 4: {Match: planLast - 1, MissingBytes: 65 << 10}}}, none: true},
		"a learner that lacks eight small entries may be promoted":     {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: unreachable, 4: {Match: planLast - 8, MissingBytes: 8 << 10}}}, votes: []raft.MemberID{1, 3}},
		"no voter is removed if no majority of the others is alive":    {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: unreachable, 3: {Match: planLast, SinceContact: 1500 * time.Millisecond}}}, none: true},
		"a leaving learner is not promoted":                            {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: unreachable, 4: leaving}}, none: true},
		"a learner does not displace a live identity of its machine":   {planCase: planCase{voters[:2], []raft.Member{spare, machine(6, "d")}, map[raft.MemberID]Progress{6: {}}}, votes: []raft.MemberID{1, 2, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			next, found := c.next()
			if found == c.none {
				t.Fatalf("found %t: %v", found, next)
			}
			if c.none {
				return
			}
			got := map[raft.MemberID]bool{}
			for _, id := range next.Voters() {
				got[id] = true
			}
			if len(got) != len(c.votes) {
				t.Fatalf("%v vote, and %v should", next.Voters(), c.votes)
			}
			for _, id := range c.votes {
				if !got[id] {
					t.Fatalf("%v vote, and %v should", next.Voters(), c.votes)
				}
			}
		})
	}
}

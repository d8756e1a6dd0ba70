package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// planCase is a membership plan of three voters and what is known of them.
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

func TestTheNextMembership(t *testing.T) {
	voters := []raft.Member{machine(1, "a"), machine(2, "b"), machine(3, "c")}
	spare, reborn := machine(4, "d"), machine(5, "b")
	silent := Progress{Match: planLast, SinceContact: 3 * time.Second}
	leaving := Progress{Match: planLast, Leaving: true}
	for name, c := range map[string]struct {
		planCase
		votes []raft.MemberID
		none  bool
	}{
		"nobody leaves while nobody stands ready":                        {planCase: planCase{voters, nil, map[raft.MemberID]Progress{2: silent}}, none: true},
		"one that speaks and leaves goes after another votes":            {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: leaving}}, votes: []raft.MemberID{1, 2, 3, 4}},
		"and goes once that one does":                                    {planCase: planCase{append(voters[:3:3], spare), nil, map[raft.MemberID]Progress{2: leaving}}, votes: []raft.MemberID{1, 3, 4}},
		"if it stays after all, the last that came goes":                 {planCase: planCase{append(voters[:3:3], spare), nil, nil}, votes: []raft.MemberID{1, 2, 3}},
		"one that is silent goes before another votes":                   {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: silent}}, votes: []raft.MemberID{1, 3}},
		"the silent goes before the one that leaves":                     {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: leaving, 3: silent}}, votes: []raft.MemberID{1, 2}},
		"a free place is taken":                                          {planCase: planCase{voters[:2], []raft.Member{spare}, nil}, votes: []raft.MemberID{1, 2, 4}},
		"an old identity goes once it is silent":                         {planCase: planCase{voters, []raft.Member{reborn}, map[raft.MemberID]Progress{2: {Match: planLast, SinceContact: 600 * time.Millisecond}}}, votes: []raft.MemberID{1, 3}},
		"an old identity that speaks stays":                              {planCase: planCase{voters, []raft.Member{reborn}, nil}, none: true},
		"nobody takes a place who lacks more than eight entries":         {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: silent, 4: {Match: planLast - 9}}}, none: true},
		"nobody takes a place who lacks large entries":                   {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: silent, 4: {Match: planLast - 1, MissingBytes: 65 << 10}}}, none: true},
		"one may take a place that lacks eight small entries":            {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: silent, 4: {Match: planLast - 8, MissingBytes: 8 << 10}}}, votes: []raft.MemberID{1, 3}},
		"nobody goes without whom no majority speaks":                    {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: silent, 3: {Match: planLast, SinceContact: 1500 * time.Millisecond}}}, none: true},
		"a learner that leaves takes no place":                           {planCase: planCase{voters, []raft.Member{spare}, map[raft.MemberID]Progress{2: silent, 4: leaving}}, none: true},
		"a learner lets no other identity of its machine go that speaks": {planCase: planCase{voters[:2], []raft.Member{spare, machine(6, "d")}, map[raft.MemberID]Progress{6: {}}}, votes: []raft.MemberID{1, 2, 4}},
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

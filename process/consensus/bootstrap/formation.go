// Package bootstrap decides whether a control daemon with an empty data folder may form a group,
// must wait, or belongs to one that exists. A second group must never form.
package bootstrap

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Seed is what one seed address answered.
type Seed struct {
	Address       string
	Answered      bool
	Member        raft.MemberID
	Name          string
	Group         ident.GroupID
	ServesControl bool
	// JoinOnly ones never form a group; they wait for one.
	JoinOnly bool
}

// Decision says what to do.
type Decision uint8

const (
	// Wait and ask again.
	Wait Decision = iota
	// Join the group that somebody remembers.
	Join
	// Form a group of all seeds that serve control.
	Form
)

// Decide looks at what all seeds answered. Only when every one answers and none remembers a group
// may one form, and only the one with the lowest identity of those that may forms it.
func Decide(self raft.MemberID, seeds []Seed) (Decision, ident.GroupID, raft.Membership) {
	newest := ident.GroupID("")
	for _, seed := range seeds {
		if seed.Answered && (newest == "" || seed.Group.Succeeds(newest)) {
			newest = seed.Group
		}
	}
	if newest != "" {
		return Join, newest, raft.Membership{}
	}
	var members []raft.Member
	for _, seed := range seeds {
		if !seed.Answered {
			return Wait, "", raft.Membership{}
		}
		if seed.ServesControl && seed.Member == 0 {
			// Its data folder is not open yet, so it may remember a group.
			return Wait, "", raft.Membership{}
		}
		if seed.ServesControl {
			members = append(members, raft.Member{ID: seed.Member, Name: seed.Name, Address: seed.Address, Voter: true})
		}
	}
	slices.SortFunc(members, func(a, b raft.Member) int { return cmp.Compare(a.ID, b.ID) })
	// One process listed under two addresses would vote twice.
	for i := 1; i < len(members); i++ {
		if members[i].ID == members[i-1].ID {
			return Wait, "", raft.Membership{}
		}
	}
	for _, member := range members {
		joinOnly := slices.ContainsFunc(seeds, func(seed Seed) bool { return seed.Member == member.ID && seed.JoinOnly })
		if joinOnly {
			continue
		}
		if member.ID != self {
			break
		}
		return Form, "", raft.Membership{Members: members}
	}
	return Wait, "", raft.Membership{}
}

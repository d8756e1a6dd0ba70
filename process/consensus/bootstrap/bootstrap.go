// Package bootstrap decides whether a control daemon with an empty data folder may bootstrap a new Raft group, has to
// wait, or joins one that exists. The daemon calls Decide again until it no longer says Wait.
//
// The invariant is that a second group never forms beside one that exists. So every seed has to reply that it belongs
// to no group, and of the daemons that may bootstrap only the one with the lowest member id does.
package bootstrap

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// SeedStatus is what one seed address replied.
type SeedStatus struct {
	Address string
	// Reachable says that the seed replied; without it all other fields but Address are empty.
	Reachable bool
	// Member is zero while the seed's data folder is not open.
	Member raft.MemberID
	Name   string
	// Group is the group that the seed belongs to, or empty.
	Group         ident.GroupID
	ServesControl bool
	// JoinOnly says that the seed never bootstraps a group: it waits for one to join.
	JoinOnly bool
}

// Action is what a daemon without a group does next.
type Action uint8

const (
	// Wait says to ask the seeds again later.
	Wait Action = iota
	// Join says to join the group that a seed belongs to.
	Join
	// Bootstrap says to create a group of all seeds that serve control.
	Bootstrap
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Group is the group to join.
	Group ident.GroupID
	// Membership is the first membership of a group to bootstrap.
	Membership raft.Membership
}

// Decide decides by the replies of all seeds what the member self does.
func Decide(self raft.MemberID, seeds []SeedStatus) Decision {
	if group := latestGroup(seeds); group != "" {
		return Decision{Action: Join, Group: group}
	}
	members, complete := controlMembers(seeds)
	if !complete || !bootstraps(self, members, seeds) {
		return Decision{Action: Wait}
	}
	return Decision{Action: Bootstrap, Membership: raft.Membership{Members: members}}
}

// latestGroup is the latest generation of a group that a seed belongs to; empty where there is none.
func latestGroup(seeds []SeedStatus) ident.GroupID {
	group := ident.GroupID("")
	for _, seed := range seeds {
		if seed.Reachable && (group == "" || seed.Group.Succeeds(group)) {
			group = seed.Group
		}
	}
	return group
}

// controlMembers lists the seeds that serve control, by rising member id, as voters. It returns false where they are not
// all known yet, or where one process is listed under two addresses: it would vote twice.
func controlMembers(seeds []SeedStatus) ([]raft.Member, bool) {
	var members []raft.Member
	for _, seed := range seeds {
		if !seed.Reachable {
			return nil, false
		}
		if !seed.ServesControl {
			continue
		}
		if seed.Member == 0 {
			// Its data folder is not open yet, so it may belong to a group.
			return nil, false
		}
		members = append(members, raft.Member{ID: seed.Member, Name: seed.Name, Address: seed.Address, Voter: true})
	}
	slices.SortFunc(members, func(a, b raft.Member) int { return cmp.Compare(a.ID, b.ID) })
	for index := 1; index < len(members); index++ {
		if members[index].ID == members[index-1].ID {
			return nil, false
		}
	}
	return members, true
}

// bootstraps says whether self is the first of the members that may bootstrap a group.
func bootstraps(self raft.MemberID, members []raft.Member, seeds []SeedStatus) bool {
	for _, member := range members {
		joinOnly := slices.ContainsFunc(seeds, func(seed SeedStatus) bool { return seed.Member == member.ID && seed.JoinOnly })
		if !joinOnly {
			return member.ID == self
		}
	}
	return false
}

package raft

import (
	"encoding/json"
	"slices"
)

// MemberID identifies one data folder: a machine whose disk was wiped joins as a new member. Zero is no member.
type MemberID uint64

// Member is one process of the group. One that does not vote is a learner (section 4.2.1).
type Member struct {
	ID      MemberID `json:"id"`
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Voter   bool     `json:"voter"`
}

// Membership lists the members of the group (the "configuration" of chapter 4).
type Membership struct {
	Members []Member `json:"members"`
}

// Encode returns the encoding in the log, in snapshots and on the wire.
func (m Membership) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic("broken invariant: a membership cannot be encoded: " + err.Error())
	}
	return data
}

// DecodeMembership reads what Encode returned. It does not validate; see Membership.Validate.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(data, &m)
	return m, err
}

// Find returns the member with this id.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters lists the ids of the members that vote, in the order of the membership.
func (m Membership) Voters() []MemberID {
	var voters []MemberID
	for _, member := range m.Members {
		if member.Voter {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// With returns a copy in which this member is added, or replaced, as the last.
func (m Membership) With(member Member) Membership {
	changed := m.Without(member.ID)
	changed.Members = append(changed.Members, member)
	return changed
}

// Without returns a copy without this member.
func (m Membership) Without(id MemberID) Membership {
	remaining := slices.DeleteFunc(slices.Clone(m.Members), func(member Member) bool { return member.ID == id })
	return Membership{Members: remaining}
}

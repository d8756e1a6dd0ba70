package raft

import (
	"encoding/json"
	"slices"
)

// MemberID names one data folder; a wiped machine comes back as another member.
type MemberID uint64

// Member is one machine of the group.
type Member struct {
	ID      MemberID `json:"id"`
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Voter   bool     `json:"voter"`
}

// Membership is who belongs to the group.
type Membership struct {
	Members []Member `json:"members"`
}

// Encode gives the form that is kept in the log.
func (m Membership) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic("broken invariant: a membership cannot be encoded: " + err.Error())
	}
	return data
}

// DecodeMembership reads the form kept in the log.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(data, &m)
	return m, err
}

// Find gives the member with this id.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters lists the ids that count for a majority.
func (m Membership) Voters() []MemberID {
	var voters []MemberID
	for _, member := range m.Members {
		if member.Voter {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// With gives a copy in which this member is added or replaced.
func (m Membership) With(member Member) Membership {
	changed := m.Without(member.ID)
	changed.Members = append(changed.Members, member)
	return changed
}

// Without gives a copy that lacks this member.
func (m Membership) Without(id MemberID) Membership {
	remaining := slices.DeleteFunc(slices.Clone(m.Members), func(member Member) bool { return member.ID == id })
	return Membership{Members: remaining}
}

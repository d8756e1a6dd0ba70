package membership

import (
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

func recordOf(request *peerapi.PullRequest) MemberRecord {
	return MemberRecord{Member: Member{NodeID: ident.NodeID(request.NodeId), Address: request.Address, Zone: ident.ZoneID(request.Zone), Roles: request.Roles,
		ConfigurationVersion: ident.Version(request.ConfigurationVersion), ClosureVersion: ident.Version(request.ClosureVersion), Ready: request.Ready, Steps: request.Steps}}
}

func encodeUpdates(told []MemberUpdate) []*peerapi.Member {
	out := make([]*peerapi.Member, 0, len(told))
	for _, one := range told {
		out = append(out, &peerapi.Member{NodeId: string(one.NodeID), Address: one.Address, Zone: string(one.Zone), Roles: one.Roles, LastContactMsAgo: one.Age.Milliseconds(),
			ConfigurationVersion: uint64(one.ConfigurationVersion), ClosureVersion: uint64(one.ClosureVersion), Ready: one.Ready, AttributesVersion: one.Version,
			Overdue: one.Overdue, Direct: one.FirstHand, Ended: one.Ended})
	}
	return out
}

func decodeUpdates(contacts []*peerapi.Member) []MemberUpdate {
	out := make([]MemberUpdate, 0, len(contacts))
	for _, contact := range contacts {
		out = append(out, MemberUpdate{MemberRecord: MemberRecord{Version: contact.AttributesVersion, Member: Member{NodeID: ident.NodeID(contact.NodeId), Address: contact.Address,
			Zone: ident.ZoneID(contact.Zone), Roles: contact.Roles, ConfigurationVersion: ident.Version(contact.ConfigurationVersion), ClosureVersion: ident.Version(contact.ClosureVersion),
			Ready: contact.Ready}},
			Age: time.Duration(contact.LastContactMsAgo) * time.Millisecond, Overdue: contact.Overdue, FirstHand: contact.Direct, Ended: contact.Ended})
	}
	return out
}

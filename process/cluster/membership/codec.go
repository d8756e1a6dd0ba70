package membership

import (
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// recordOf decodes a pull's record of its sender, without its version.
func recordOf(request *peerapi.PullRequest) MemberRecord {
	return MemberRecord{Member: Member{
		NodeID:               ident.NodeID(request.NodeId),
		Address:              request.Address,
		Zone:                 ident.ZoneID(request.Zone),
		Roles:                request.Roles,
		ConfigurationVersion: ident.Version(request.ConfigurationVersion),
		ClosureVersion:       ident.Version(request.ClosureVersion),
		Ready:                request.Ready,
		Steps:                request.Steps,
	}}
}

// encodeUpdates encodes members for a reply.
func encodeUpdates(updates []MemberUpdate) []*peerapi.Member {
	members := make([]*peerapi.Member, 0, len(updates))
	for _, update := range updates {
		members = append(members, &peerapi.Member{
			NodeId:               string(update.NodeID),
			Address:              update.Address,
			Zone:                 string(update.Zone),
			Roles:                update.Roles,
			LastContactMsAgo:     update.Age.Milliseconds(),
			ConfigurationVersion: uint64(update.ConfigurationVersion),
			ClosureVersion:       uint64(update.ClosureVersion),
			Ready:                update.Ready,
			AttributesVersion:    update.Version,
			Overdue:              update.Overdue,
			Direct:               update.FirstHand,
			Ended:                update.Ended,
		})
	}
	return members
}

// decodeUpdates decodes the members in a reply.
func decodeUpdates(members []*peerapi.Member) []MemberUpdate {
	updates := make([]MemberUpdate, 0, len(members))
	for _, member := range members {
		updates = append(updates, MemberUpdate{
			MemberRecord: MemberRecord{
				Version: member.AttributesVersion,
				Member: Member{
					NodeID:               ident.NodeID(member.NodeId),
					Address:              member.Address,
					Zone:                 ident.ZoneID(member.Zone),
					Roles:                member.Roles,
					ConfigurationVersion: ident.Version(member.ConfigurationVersion),
					ClosureVersion:       ident.Version(member.ClosureVersion),
					Ready:                member.Ready,
				},
			},
			Age:       time.Duration(member.LastContactMsAgo) * time.Millisecond,
			Overdue:   member.Overdue,
			FirstHand: member.Direct,
			Ended:     member.Ended,
		})
	}
	return updates
}

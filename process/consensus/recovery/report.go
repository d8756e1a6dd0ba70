package recovery

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// DaemonReport is what one daemon that is alive knows of the lost group.
type DaemonReport struct {
	// Address is where the daemon was queried.
	Address string
	// Group is the group that the daemon belongs to; empty if it has known none.
	Group ident.GroupID
	// LeaderContactMsAgo is how long ago the daemon last had contact to a leader, in milliseconds; negative if it never
	// had.
	LeaderContactMsAgo int64
	// ConfigurationVersion is the newest version that the daemon knows of. Bundles holds those versions that it still
	// has.
	ConfigurationVersion ident.Version
	Bundles              map[ident.Version][]byte
	Closures             *closure.Set
	// LeaseUntil is the end of the latest worker lease, and PlannerToken the highest fencing token, that it knows of.
	LeaseUntil   ident.GroupTime
	PlannerToken ident.FencingToken
}

// QueryDaemon asks the daemon at a peer address for all that it knows of the lost group.
func QueryDaemon(ctx context.Context, address string) (DaemonReport, error) {
	client := peerapi.NewFellowProtobufClient("http://"+address, http.DefaultClient)
	identity, err := client.Identify(ctx, &peerapi.Empty{})
	if err != nil {
		return DaemonReport{}, eris.Wrapf(err, "%s cannot be queried", address)
	}
	report := DaemonReport{
		Address: address, Group: ident.GroupID(identity.Group), LeaderContactMsAgo: identity.LeaderMsAgo,
		ConfigurationVersion: ident.Version(identity.ConfigurationVersion), Bundles: map[ident.Version][]byte{},
		LeaseUntil: ident.GroupTime(identity.LeaseUntilMs), PlannerToken: ident.FencingToken(identity.Claim),
	}
	for version := ident.Version(1); version <= report.ConfigurationVersion; version++ {
		recalled, err := client.Recall(ctx, &peerapi.RecallRequest{Version: uint64(version)})
		if err != nil {
			return DaemonReport{}, eris.Wrapf(err, "%s cannot be queried for configuration version %d", address, version)
		}
		if len(recalled.Configuration) > 0 {
			report.Bundles[version] = recalled.Configuration
		}
		report.Closures = rollout.DecodeClosures(recalled.Closures)
	}
	return report, nil
}

package daemon

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// DescribeSelf returns this daemon's own row of the membership, as sent with each pull.
func (d *Daemon) DescribeSelf() *peerapi.PullRequest {
	request := &peerapi.PullRequest{
		Group:             string(d.Group()),
		NodeId:            string(d.nodeID),
		Address:           d.config.AdvertisedPeerAddress(),
		Zone:              string(d.config.Zone),
		Roles:             d.roleNames(),
		Ready:             !d.draining.Load(),
		AcceptsCompressed: true,
	}
	configuration, closure := d.InForce()
	request.ConfigurationVersion, request.ClosureVersion = uint64(configuration), uint64(closure)
	for _, step := range d.rollout.Steps() {
		request.Steps = append(request.Steps, &peerapi.RolloutStep{
			Change: step.Change,
			Step:   step.Step,
			UnixMs: step.At.UnixMilli(),
		})
	}
	request.Draining = d.drainingEngines()
	return request
}

// Pull answers a peer with what is new here. The answer to a repeated pull may be held back until there is something.
// It is part of the peer protocol.
func (d *Daemon) Pull(ctx context.Context, in *peerapi.PullRequest) (*peerapi.PullReply, error) {
	// A peer that still follows the lost generation of a recovered group is answered, and so learns of this one.
	if !d.Group().Succeeds(ident.GroupID(in.Group)) {
		if err := d.checkGroup(in.Group); err != nil {
			return nil, err
		}
	}
	if in.NodeId == "" || in.Address == "" {
		d.counters.malformedMessages.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "a pull needs the node id and the address of its sender")
	}
	arrived := d.clock.Elapsed()
	rowKnown := d.members.RecordPull(in)
	demandBaseUnknown := !d.receiveDemand(in)
	d.nodeRanking.ReceiveDigests(in)
	d.receiveOutcomes(in)
	d.registry.RecordAcknowledgement(ident.NodeID(in.NodeId), cursorOf(in))
	d.receiveDraining(in.Draining)
	if !demandBaseUnknown {
		d.awaitUpdate(ctx, in)
	}
	leader, term := d.leaderAndTerm()
	// The confirmation is read before what it confirms, which can only be newer.
	confirmation := membership.EncodeConfirmation(d.confirmed(), arrived)
	reply := &peerapi.PullReply{
		Confirmation:           confirmation,
		Group:                  string(d.Group()),
		NodeId:                 string(d.nodeID),
		LeaderAddress:          leader,
		LeaderTerm:             term,
		IsLeader:               d.IsLeader(),
		FirstRolloutMsAgo:      d.FirstRolloutAge().Milliseconds(),
		KnownAttributesVersion: rowKnown,
		DemandBaseUnknown:      demandBaseUnknown,
		IsPlanner:              d.IsPlanner(),
		PlannerAddress:         d.members.View().PlannerAddress,
	}
	if table := d.rollout.Table(); table != nil {
		reply.ConfigurationVersion, reply.ClosureVersion = uint64(table.Version), uint64(table.Closures.Version)
		if d.sendsConfiguration(table.Version, in) {
			reply.Configuration = table.Raw
			if table.Bundle.Compressed && in.AcceptsCompressed {
				reply.Configuration, reply.ConfigurationCompressed = table.Bundle.Data, true
			}
		}
		if in.ClosureVersion < uint64(table.Closures.Version) {
			reply.Closures = rollout.EncodeClosures(table.Closures)
		}
	}
	if membership.NeedsMemberAddresses(in) {
		reply.MemberAddresses = d.memberAddresses()
	}
	d.members.AddMembers(in, reply)
	reply.Draining, reply.DrainingVersion = d.drainingEngines(), d.sentVersions.draining.Load()
	d.addRegistryChanges(in, reply)
	d.addShortages(in, reply)
	return reply, nil
}

// ApplyReply applies what a reply brought.
func (d *Daemon) ApplyReply(reply *peerapi.PullReply) {
	if !d.learnGroup(ident.GroupID(reply.Group)) {
		// The confirmation of another group proves nothing here.
		reply.Confirmation = &peerapi.Confirmation{}
		return
	}
	if len(reply.Configuration) > 0 || len(reply.Closures) > 0 {
		d.rollout.Offer(ident.Version(reply.ConfigurationVersion), compression.Bundle{
			Data:       reply.Configuration,
			Compressed: reply.ConfigurationCompressed,
		}, rollout.DecodeClosures(reply.Closures))
	}
	d.receiveDraining(reply.Draining)
	d.receivedVersions.draining.Store(reply.DrainingVersion)
	d.receiveShortages(reply)
}

// PullFrom pulls from a peer, and applies what it knows of engines.
func (d *Daemon) PullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error) {
	reply, err := d.pullFrom(ctx, address, request)
	if request.DemandVersion > 0 && (err != nil || reply.DemandBaseUnknown) {
		d.demandSender.MarkLost()
	}
	return reply, err
}

func (d *Daemon) pullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error) {
	if !followsRegistry(request) {
		return d.links.Client(address).Pull(ctx, request)
	}
	peer := address
	if request.RegistryUrgentOnly = d.pullsUrgentOnly(address); request.RegistryUrgentOnly {
		// Urgent changes have a cursor of their own, so that all can be pulled when that is needed.
		peer += " urgent"
	}
	cursor, wanted := d.registry.NextRequest(peer)
	request.RegistryIncarnation, request.RegistrySeen, request.RegistryComplete = cursor.Incarnation, cursor.Seen, cursor.Complete
	request.EveryHeartbeat = d.config.Serves(daemonconfig.Control)
	request.ShortagesVersion, request.DrainingVersion = d.receivedVersions.shortages.Load(), d.receivedVersions.draining.Load()
	for _, id := range wanted {
		request.RegistryRefetch = append(request.RegistryRefetch, string(id))
	}
	requestedAt := d.clock.Elapsed()
	reply, err := d.links.Client(address).Pull(ctx, request)
	if err != nil || !d.sameGroup(reply) {
		return reply, err
	}
	d.registry.ApplyDelta(peer, registry.Delta{
		Cursor: registry.Cursor{
			Incarnation: reply.RegistryIncarnation,
			Seen:        reply.RegistrySeen,
			Complete:    reply.RegistryComplete,
		},
		FullResync: reply.RegistryFullResync,
		More:       reply.RegistryMore,
		Records:    registry.Decode(d.clock.Elapsed(), reply.Engines),
	}, wanted)
	if !reply.RegistryMore && !request.RegistryUrgentOnly {
		d.registrySyncTimes.record(address, requestedAt)
	}
	return reply, nil
}

// pace is how often this daemon pulls. Where attempts are known to the whole fleet, all daemons must soon know who
// came and went, so that they agree on each attempt's owners; otherwise there is time.
func (d *Daemon) pace() membership.Pace {
	if d.config.AttemptScope == daemonconfig.LocalAttempts {
		return membership.Pace{MinWait: 600 * time.Millisecond, MaxWait: 750 * time.Millisecond}
	}
	return membership.Pace{MinWait: 150 * time.Millisecond, MaxWait: 750 * time.Millisecond}
}

// memberAddresses returns the addresses of the group's members, by this member's log.
func (d *Daemon) memberAddresses() (out []string) {
	groupMember := d.replica.Load()
	if groupMember == nil {
		return nil
	}
	for _, member := range groupMember.Status().Membership.Members {
		if member.Address != "" {
			out = append(out, member.Address)
		}
	}
	return out
}

// SourceFreshnessChanged logs that a daemon that updates are pulled from has become stale, or is confirmed again.
func (d *Daemon) SourceFreshnessChanged(turned membership.FreshnessChange) {
	entry := d.log.WithField("address", turned.Address)
	if turned.Stale {
		entry.Warn("update source is stale and left: no majority of the control group has confirmed it recently")
		return
	}
	entry.Info("update source is confirmed by a majority of the control group again")
}

// relayFresh is how recent the last complete pull from the relay must be for others to be pulled from for urgent
// changes only.
const relayFresh = 2500 * time.Millisecond

// pullsUrgentOnly says whether only urgent changes are pulled from an address, because the relay brings the rest.
func (d *Daemon) pullsUrgentOnly(address string) bool {
	relayAddress := d.members.View().RelayAddress
	if d.config.Serves(daemonconfig.Control) || relayAddress == "" || relayAddress == address {
		return false
	}
	return d.clock.Elapsed().Since(d.registrySyncTimes.latest(relayAddress)) <= relayFresh
}

// followsRegistry says whether a pull is one of a series, or of a daemon that has lost control. An occasional pull
// must not bring the whole registry along.
func followsRegistry(in *peerapi.PullRequest) bool { return in.IntervalMs > 0 || in.AllMembers }

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

// DescribeSelf is this daemon's own row, as told in each pull.
func (d *Daemon) DescribeSelf() *peerapi.PullRequest {
	request := &peerapi.PullRequest{
		Group: string(d.Group()), NodeId: string(d.nodeID), Address: d.config.AdvertisedPeerAddress(), Zone: string(d.config.Zone), Roles: d.roleNames(),
		Ready: !d.draining.Load(), AcceptsCompressed: true,
	}
	configuration, closure := d.InForce()
	request.ConfigurationVersion, request.ClosureVersion = uint64(configuration), uint64(closure)
	for _, step := range d.rollout.Steps() {
		request.Steps = append(request.Steps, &peerapi.RolloutStep{Change: step.Change, Step: step.Step, UnixMs: step.At.UnixMilli()})
	}
	request.Draining = d.drainingEngines()
	return request
}

// Pull serves a peer's question; what is asked with every_ms may be held back until something is new.
func (d *Daemon) Pull(ctx context.Context, in *peerapi.PullRequest) (*peerapi.PullReply, error) {
	// One that still follows the lost generation of a recovered group is served, and so learns of this one.
	if !d.Group().Succeeds(ident.GroupID(in.Group)) {
		if err := d.checkGroup(in.Group); err != nil {
			return nil, err
		}
	}
	if in.NodeId == "" || in.Address == "" {
		d.counters.malformedMessages.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "a pull says who asks")
	}
	arrived := d.clock.Elapsed()
	rowKnown := d.members.RecordPull(in)
	wantsLost := !d.receiveDemand(in)
	d.nodeRanking.receiveDigests(in)
	d.receiveOutcomes(in)
	d.registry.RecordAcknowledgement(ident.NodeID(in.NodeId), cursorOf(in))
	d.receiveDraining(in.Draining)
	if !wantsLost {
		d.awaitUpdate(ctx, in)
	}
	leader, term := d.leaderAndTerm()
	// The confirmation is read before what it vouches for, which can only be newer.
	confirmation := membership.EncodeConfirmation(d.confirmed(), arrived)
	reply := &peerapi.PullReply{Confirmation: confirmation, Group: string(d.Group()), NodeId: string(d.nodeID), LeaderAddress: leader, LeaderTerm: term, IsLeader: d.IsLeader(), FirstRolloutMsAgo: d.FirstRolloutAge().Milliseconds(),
		KnownAttributesVersion: rowKnown, DemandBaseUnknown: wantsLost, IsPlanner: d.IsPlanner(), PlannerAddress: d.members.View().PlannerAddress}
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

// ApplyReply takes over what a reply brought.
func (d *Daemon) ApplyReply(reply *peerapi.PullReply) {
	if !d.learnGroup(ident.GroupID(reply.Group)) {
		// What another group confirmed proves nothing here.
		reply.Confirmation = &peerapi.Confirmation{}
		return
	}
	if len(reply.Configuration) > 0 || len(reply.Closures) > 0 {
		d.rollout.Offer(ident.Version(reply.ConfigurationVersion), compression.Bundle{Data: reply.Configuration, Compressed: reply.ConfigurationCompressed}, rollout.DecodeClosures(reply.Closures))
	}
	d.receiveDraining(reply.Draining)
	d.receivedVersions.draining.Store(reply.DrainingVersion)
	d.receiveShortages(reply)
}

// PullFrom asks another daemon, and takes over what it tells of engines.
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
		// What is heard in short is counted apart, so that all can be asked for when that is needed.
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
	d.registry.ApplyDelta(peer, registry.Delta{Cursor: registry.Cursor{Incarnation: reply.RegistryIncarnation, Seen: reply.RegistrySeen, Complete: reply.RegistryComplete},
		FullResync: reply.RegistryFullResync, More: reply.RegistryMore, Records: registry.Decode(d.clock.Elapsed(), reply.Engines)}, wanted)
	if !reply.RegistryMore && !request.RegistryUrgentOnly {
		d.registrySyncTimes.record(address, requestedAt)
	}
	return reply, nil
}

// pace is how often this daemon asks others again. Where attempts are known to the fleet, all must soon know
// who came and went, so that each attempt's homes are agreed on; else there is time.
func (d *Daemon) pace() membership.Pace {
	if d.config.AttemptScope == daemonconfig.LocalAttempts {
		return membership.Pace{MinWait: 600 * time.Millisecond, MaxWait: 750 * time.Millisecond}
	}
	return membership.Pace{MinWait: 150 * time.Millisecond, MaxWait: 750 * time.Millisecond}
}

// memberAddresses are where the group's members are, by the log of this one.
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

// SourceFreshnessChanged writes down that a source of news came to be stale, or is so no more.
func (d *Daemon) SourceFreshnessChanged(turned membership.FreshnessChange) {
	entry := d.log.WithField("address", turned.Address)
	if turned.Stale {
		entry.Warn("a source of news is left: no majority of the control group has confirmed it lately")
		return
	}
	entry.Info("a source of news is confirmed by a majority of the control group")
}

// tellerFresh is how lately the teller must have told all for others to be asked for what is urgent only.
const relayFresh = 2500 * time.Millisecond

// pullsUrgentOnly says whether an address is one of those of which only what is urgent is asked, because the teller tells the rest.
func (d *Daemon) pullsUrgentOnly(address string) bool {
	relayAddress := d.members.View().RelayAddress
	return !d.config.Serves(daemonconfig.Control) && relayAddress != "" && relayAddress != address && d.clock.Elapsed().Since(d.registrySyncTimes.latest(relayAddress)) <= relayFresh
}

// followsRegistry says whether a question is one of those that go on, or of a daemon that has lost control. A
// look at any daemon now and then must not bring the whole registry along.
func followsRegistry(in *peerapi.PullRequest) bool { return in.IntervalMs > 0 || in.AllMembers }

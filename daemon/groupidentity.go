package daemon

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Group returns the control group that this daemon belongs to; empty before it knows one.
func (d *Daemon) Group() ident.GroupID { return *d.group.Load() }

// learnGroup makes this daemon one of a group, and returns false if it belongs to another already.
func (d *Daemon) learnGroup(group ident.GroupID) bool {
	known := d.group.Load()
	if group == "" || *known == group {
		return true
	}
	if group.Succeeds(*known) {
		if !d.group.CompareAndSwap(known, &group) {
			return d.Group() == group
		}
		// Leases of the lost generation are void, and the next one may not know of this daemon.
		d.generator.ReleaseLease()
		d.enlistedAt.Store(0)
		d.log.WithField("group", string(group)).Warn("control group was recovered; following its next generation")
		if incarnation := d.memberIncarnation.Load(); incarnation != nil && belongsToGroup(incarnation.store) {
			incarnation.fail(superseded{eris.Errorf("this data folder belongs to group %s, which was recovered as %s; "+
				"move the folder away, and the machine joins as a new member", *known, group)})
		}
		return true
	}
	if *known != "" {
		d.counters.foreignGroup.Add(1)
		return false
	}
	return d.group.CompareAndSwap(known, &group) || d.Group() == group
}

// checkGroup returns an error if a message is from another group; one that names none is from a daemon that has just
// started.
func (d *Daemon) checkGroup(group string) error {
	known := d.Group()
	if ident.GroupID(group).Succeeds(known) {
		// The group was recovered after it had lost its majority: this is its next generation.
		d.learnGroup(ident.GroupID(group))
		return nil
	}
	if group != "" && known != "" && group != string(known) {
		d.counters.foreignGroup.Add(1)
		return twirp.NewError(twirp.FailedPrecondition, "this daemon belongs to another group")
	}
	return nil
}

// sameGroup says whether a reply is from this daemon's group, or neither side knows one yet.
func (d *Daemon) sameGroup(reply *peerapi.PullReply) bool {
	known := d.Group()
	return known == "" || reply.Group == "" || reply.Group == string(known) || ident.GroupID(reply.Group).Succeeds(known)
}

func (d *Daemon) identity() *peerapi.Identity {
	out := &peerapi.Identity{
		NodeId:        string(d.nodeID),
		Group:         string(d.Group()),
		ServesControl: d.config.Serves(daemonconfig.Control),
		JoinOnly:      d.config.JoinOnly,
	}
	if folder := d.dataFolder(); folder != nil {
		out.MemberId = uint64(folder.MemberID)
		if remembered, err := folder.Group(); err == nil && remembered != "" {
			out.Group = string(remembered)
		}
	}
	if table := d.rollout.Table(); table != nil {
		out.ConfigurationVersion, out.ClosureVersion = uint64(table.Version), uint64(table.Closures.Version)
	}
	out.LeaderMsAgo = -1
	if lastContact := d.members.View().LastLeaderContact; lastContact > 0 {
		out.LeaderMsAgo = d.clock.Elapsed().Since(lastContact).Milliseconds()
	}
	out.LeaseUntilMs = int64(d.generator.LatestTimestamp())
	if d.config.Serves(daemonconfig.Placement) {
		out.Claim = uint64(max(d.sessionPlacer.Status().Token, d.poolPlanning.condition().Token))
	}
	return out
}

// Identify answers who this daemon is. It is part of the peer protocol.
func (d *Daemon) Identify(context.Context, *peerapi.Empty) (*peerapi.Identity, error) {
	return d.identity(), nil
}

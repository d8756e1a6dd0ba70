package daemon

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// peerStatusWindow is how recent the last contact with a peer must be for the status page to list it.
const peerStatusWindow = 30 * time.Second

// Status returns this daemon's status page.
func (d *Daemon) Status() operatorapi.Status {
	now := d.clock.Elapsed()
	ready, why := d.Ready()
	out := operatorapi.Status{
		NodeID:   d.nodeID,
		Version:  d.version,
		Zone:     d.config.Zone,
		Serve:    d.roleNames(),
		Ready:    ready,
		NotReady: why,
		Group:    d.Group(),
		Leader:   d.leaderAddress(),
	}
	table := d.rollout.Table()
	if table != nil {
		out.ConfigurationVersion, out.ClosureVersion = table.Version, table.Closures.Version
	}
	if confirmed := d.confirmed(); confirmed > 0 {
		ago := max(0, now.Since(confirmed).Milliseconds())
		out.ConfirmedMsAgo = &ago
	}
	if worker, leased := d.generator.WorkerID(); leased {
		number := int64(worker)
		out.WorkerID = &number
	}
	out.Raft = d.raftStatus()
	if d.config.Serves(daemonconfig.Placement) {
		condition := d.sessionPlacer.Status()
		out.Planner = &operatorapi.PlannerStatus{
			HasLease:      condition.HasLease,
			Token:         condition.Token,
			PendingOrders: condition.PendingOrders,
		}
	}
	out.Peers = d.peerStatus(now)
	out.Engines = d.engineStatus(table)
	return out
}

// raftStatus returns this daemon's view of the control group; nil where its member does not run.
func (d *Daemon) raftStatus() *operatorapi.RaftStatus {
	groupMember := d.replica.Load()
	if groupMember == nil {
		return nil
	}
	condition := groupMember.Status()
	out := &operatorapi.RaftStatus{
		Role:        condition.Role.String(),
		Term:        uint64(condition.Term),
		Commit:      uint64(condition.CommitIndex),
		Stalled:     condition.DiskStalled,
		Applied:     uint64(condition.AppliedIndex),
		StateDigest: digestText(condition.Digest),
	}
	if folder := d.dataFolder(); folder != nil {
		self, _ := condition.Membership.Find(folder.MemberID)
		out.Voter = self.Voter
	}
	for _, member := range condition.Membership.Members {
		out.Members = append(out.Members, operatorapi.RaftMember{
			Name:    member.Name,
			Address: member.Address,
			Voter:   member.Voter,
			Differs: slices.Contains(condition.DivergentMembers, member.ID),
		})
	}
	return out
}

// peerStatus lists the peers that were in contact lately.
func (d *Daemon) peerStatus(now clock.Mark) []operatorapi.Peer {
	out := []operatorapi.Peer{}
	for _, peer := range d.members.View().InContact(now, peerStatusWindow) {
		out = append(out, operatorapi.Peer{
			NodeID:               peer.NodeID,
			Address:              peer.Address,
			Zone:                 peer.Zone,
			Serve:                peer.Roles,
			LastContactMsAgo:     now.Since(peer.LastContact).Milliseconds(),
			ConfigurationVersion: peer.ConfigurationVersion,
			ClosureVersion:       peer.ClosureVersion,
			Ready:                peer.Ready,
		})
	}
	return out
}

// engineStatus lists the engines of the platform's list, by id; table is the one in force, or nil.
func (d *Daemon) engineStatus(table *routingtable.Table) []operatorapi.Engine {
	out := []operatorapi.Engine{}
	for _, engine := range d.watcher.View().Engines {
		row := operatorapi.Engine{
			ID:        engine.ID,
			Address:   engine.Address,
			Zone:      engine.Zone,
			Condition: string(engine.Condition),
			Draining:  engine.Draining,
			Open:      table != nil && table.Open(engine.ID),
			CallSeq:   engine.Report.CallSeq,
			Models:    []string{},
		}
		for _, loaded := range engine.Report.Models {
			row.Models = append(row.Models, loaded.Model+":"+string(loaded.State))
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b operatorapi.Engine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// digestText formats a digest of the state so that those of two members can be compared by eye; empty before the
// first.
func digestText(digest raft.StateDigest) string {
	if digest.Index == 0 {
		return ""
	}
	return fmt.Sprintf("%d:%016x", digest.Index, digest.Sum)
}

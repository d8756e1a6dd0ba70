package daemon

import (
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// syncTimes is, for each other control daemon, up to when its registry has been pulled completely.
type syncTimes struct {
	mutex     sync.Mutex
	byAddress map[string]clock.Mark
}

func (h *syncTimes) record(address string, requestedAt clock.Mark) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.byAddress == nil {
		h.byAddress = map[string]clock.Mark{}
	}
	h.byAddress[address] = max(h.byAddress[address], requestedAt)
}

func (h *syncTimes) latest(address string) clock.Mark {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.byAddress[address]
}

// controlContact says how well this daemon is in contact with the other control daemons. One that is partitioned from
// a live one can't tell an engine's silence from its own loss of contact; nor can several that were partitioned from
// a majority together.
func (d *Daemon) controlContact() registry.Connectivity {
	now := d.clock.Elapsed()
	if !d.config.Serves(daemonconfig.Control) {
		// It never marks engines as unresponsive, so it needn't look through the fleet.
		return registry.Connectivity{Horizon: now}
	}
	return contactOf(d.members.View(), d.nodeID, now, d.registrySyncTimes.latest, d.heartbeatPeriod(), d.soleVoter)
}

// contactOf is controlContact for a view; syncedAt is up to when the registry of the control daemon at an address was
// pulled.
func contactOf(view *membership.View, self ident.NodeID, now clock.Mark, syncedAt func(address string) clock.Mark,
	period time.Duration, alone func() bool,
) registry.Connectivity {
	out, others := registry.Connectivity{Horizon: now}, 0
	for _, peer := range view.Members {
		if peer.NodeID == self || !peer.Serves(string(daemonconfig.Control)) || now.Since(peer.LastContact) > membership.ContactWindow {
			continue
		}
		others++
		out.Horizon = min(out.Horizon, syncedAt(peer.Address))
	}
	out.CanDetectTimeouts = now.Since(out.Horizon) <= period && (others > 0 || alone()) && now.Since(view.LastLeaderContact) <= membership.ContactWindow
	return out
}

// soleVoter says whether this daemon is the only voter of the group, and leads it.
func (d *Daemon) soleVoter() bool {
	groupMember := d.replica.Load()
	return groupMember != nil && len(groupMember.Status().Membership.Voters()) == 1 && groupMember.Status().IsLeader
}

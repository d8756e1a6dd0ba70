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

// hearsay is up to when each other control daemon has told all that it heard.
type hearsay struct {
	mutex sync.Mutex
	upTo  map[string]clock.Mark
}

func (h *hearsay) note(address string, asked clock.Mark) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.upTo == nil {
		h.upTo = map[string]clock.Mark{}
	}
	h.upTo[address] = max(h.upTo[address], asked)
}

func (h *hearsay) of(address string) clock.Mark {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.upTo[address]
}

// contact says how well this daemon hears what other control daemons hear. One that is cut off from any that
// lives can't tell an engine's silence from its own deafness; nor can several that were cut off from a majority together.
func (d *Daemon) contact() registry.Connectivity {
	now := d.clock.Elapsed()
	if !d.config.Serves(daemonconfig.Control) {
		// It judges nobody, so it need not look through the fleet for it.
		return registry.Connectivity{Horizon: now}
	}
	return contactOf(d.members.View(), d.nodeID, now, d.hearsay.of, d.beatPeriod(), d.alone)
}

// contactOf is contact for a view; heard is up to when a control daemon at an address has told all that it heard.
func contactOf(view *membership.View, self ident.NodeID, now clock.Mark, heard func(address string) clock.Mark, period time.Duration, alone func() bool) registry.Connectivity {
	out, others := registry.Connectivity{Horizon: now}, 0
	for _, fellow := range view.Fellows {
		if fellow.NodeID == self || !fellow.Serves(string(daemonconfig.Control)) || now.Since(fellow.Heard) > membership.ContactWindow {
			continue
		}
		others++
		out.Horizon = min(out.Horizon, heard(fellow.Address))
	}
	out.CanDetectTimeouts = now.Since(out.Horizon) <= period && (others > 0 || alone()) && now.Since(view.HeardLeader) <= membership.ContactWindow
	return out
}

// alone says whether this daemon is the whole group.
func (d *Daemon) alone() bool {
	held := d.replica.Load()
	return held != nil && len(held.Status().Membership.Voters()) == 1 && held.Status().IsLeader
}

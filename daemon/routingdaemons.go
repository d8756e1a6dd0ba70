package daemon

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

const (
	// routingCountValidFor is how long a count of the daemons that route is used.
	routingCountValidFor = time.Second
	// routingContactWindow is how recent the last contact must be for a daemon to count; a partitioned one still
	// sends requests.
	routingContactWindow = time.Minute
)

// routingDaemonCount counts the daemons that route; two incarnations of one daemon count once.
func (d *Daemon) routingDaemonCount(now clock.Mark) int {
	side := &d.forwarding
	if counted := side.routingDaemons.Load(); counted > 0 && now.Since(clock.Mark(side.routingDaemonsAt.Load())) < routingCountValidFor {
		return int(counted)
	}
	names := map[string]bool{d.nodeID.Name(): true}
	for _, peer := range d.members.View().Members {
		if now.Since(peer.LastContact) <= routingContactWindow && peer.Serves(string(daemonconfig.Route)) {
			names[peer.NodeID.Name()] = true
		}
	}
	side.routingDaemons.Store(int64(len(names)))
	side.routingDaemonsAt.Store(int64(now))
	return len(names)
}

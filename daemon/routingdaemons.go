package daemon

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

const (
	// edgesCounted is how long a count of the daemons that route is used.
	edgesCounted = time.Second
	// edgesHeard is how lately one must have been heard of to count; one that is only cut off still sends.
	edgesHeard = time.Minute
)

// edges counts the daemons that route; another life of the same daemon is no other.
func (d *Daemon) edges(now clock.Mark) int {
	side := &d.forwardSide
	if counted := side.edges.Load(); counted > 0 && now.Since(clock.Mark(side.edgesAt.Load())) < edgesCounted {
		return int(counted)
	}
	names := map[string]bool{d.nodeID.Name(): true}
	for _, fellow := range d.members.View().Fellows {
		if now.Since(fellow.Heard) <= edgesHeard && fellow.Serves(string(daemonconfig.Route)) {
			names[fellow.NodeID.Name()] = true
		}
	}
	side.edges.Store(int64(len(names)))
	side.edgesAt.Store(int64(now))
	return len(names)
}

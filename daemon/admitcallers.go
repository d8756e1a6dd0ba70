package daemon

import (
	"time"
)

// acceptLimit is how long a fresh daemon lets callers wait to be accepted at most: less than the second that they
// wait for their request to be read.
const callerGateLimit = 900 * time.Millisecond

// admitCallers opens the door to callers once there is what it takes to serve and to hold their requests.
func (d *Daemon) admitCallers() {
	if d.forwardIndex() != nil && d.generator.HasLease() && len(d.registry.View().Engines) > 0 {
		d.callerGate.Open()
	}
}

// callerKeepAlive is how long callers may leave a kept connection at rest, by the bundle in force.
func (d *Daemon) callerKeepAlive() time.Duration {
	index := d.forwardIndex()
	if index == nil {
		return 0
	}
	return min(time.Duration(index.Section.Limits.IdleTimeoutMs)*time.Millisecond, maxKeepAlive)
}

// mostRest bounds what a bundle may say.
const maxKeepAlive = 10 * time.Minute

package daemon

import (
	"time"
)

// callerGateLimit is how long callers wait at most to be accepted by a daemon that has just started. It is less than
// the second that they wait for their request to be read.
const callerGateLimit = 900 * time.Millisecond

// admitCallers accepts callers from now on, if this daemon has what it takes to serve them: a configuration, a worker
// id lease and engines.
func (d *Daemon) admitCallers() {
	if d.forwardIndex() != nil && d.generator.HasLease() && len(d.registry.View().Engines) > 0 {
		d.callerGate.Open()
	}
}

// callerKeepAlive is how long callers may keep an idle connection by the configuration in force; zero where it
// doesn't say.
func (d *Daemon) callerKeepAlive() time.Duration {
	index := d.forwardIndex()
	if index == nil {
		return 0
	}
	return min(time.Duration(index.Section.Limits.IdleTimeoutMs)*time.Millisecond, maxKeepAlive)
}

// maxKeepAlive bounds what a configuration may ask for.
const maxKeepAlive = 10 * time.Minute

package daemon

import (
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// Ready says whether this daemon accepts new work, and if not, why.
func (d *Daemon) Ready() (bool, string) {
	if d.draining.Load() {
		return false, "it is stopping"
	}
	if ready, why := d.members.Ready(); !ready {
		return false, why
	}
	if d.config.Serves(daemonconfig.Route) && d.config.Platform != "" && d.watcher.View().ListReads == 0 {
		return false, "the platform's list of engines has not been read yet"
	}
	return true, ""
}

// tableIsCurrent says whether what is in force here is known to be recent enough.
func (d *Daemon) tableIsCurrent() bool {
	current, _ := d.members.Ready()
	return current
}

package registry

// LatestChange is the number of the newest change that all peers get.
func (c *Core) LatestChange() uint64 { return c.latestChange }

// LatestUrgentChange is the number of the newest urgent change: an engine came, or nothing may be sent to one any more.
func (c *Core) LatestUrgentChange() uint64 { return c.latestUrgentChange }

// LatestNonLoadChange is the number of the newest change of anything but load figures.
func (c *Core) LatestNonLoadChange() uint64 { return c.latestNonLoadChange }

// recordUrgentChange numbers a change that all peers must get without delay.
func (c *Core) recordUrgentChange(state *engineState) {
	c.recordChange(state)
	state.lastUrgentChange, c.latestUrgentChange = c.lastChange, c.lastChange
	c.byUrgentChange.MoveToBack(state.urgentElement)
}

// recordChange numbers a change of anything but load figures.
func (c *Core) recordChange(state *engineState) {
	c.assignChangeNumber(state)
	state.nonLoadChange, c.latestNonLoadChange = c.lastChange, c.lastChange
}

// assignChangeNumber numbers a change of any kind.
func (c *Core) assignChangeNumber(state *engineState) {
	c.lastChange++
	state.lastChange, state.lastChangeOrHeartbeat, c.latestChange = c.lastChange, c.lastChange, c.lastChange
	c.byChange.MoveToBack(state.changeElement)
	c.byHeartbeat.MoveToBack(state.heartbeatElement)
	c.dirty[state.registration.ID] = true
}

// recordLocalHeartbeat numbers a heartbeat received here. It changes nothing in a view, and only control daemons get it.
func (c *Core) recordLocalHeartbeat(state *engineState) {
	c.lastChange++
	state.lastChangeOrHeartbeat, state.lastLocalHeartbeat = c.lastChange, c.lastChange
	c.byHeartbeat.MoveToBack(state.heartbeatElement)
}

package registry

// Newest numbers the last change that all are told of.
func (c *Core) LatestChange() uint64 { return c.latestChange }

// Urgent numbers the last change that must not wait for others: who came, and who must not be sent to.
func (c *Core) LatestUrgentChange() uint64 { return c.latestUrgentChange }

// Solid numbers the last change that tells of anything but loads.
func (c *Core) LatestNonLoadChange() uint64 { return c.latestNonLoadChange }

// changedAtOnce numbers a change that all are told of without delay.
func (c *Core) recordUrgentChange(state *engineState) {
	c.recordChange(state)
	state.lastUrgentChange, c.latestUrgentChange = c.lastChange, c.lastChange
	c.byUrgentChange.MoveToBack(state.urgentElement)
}

// changedNow numbers a change that all are told of.
func (c *Core) recordChange(state *engineState) {
	c.assignChangeNumber(state)
	state.nonLoadChange, c.latestNonLoadChange = c.lastChange, c.lastChange
}

// number numbers a change.
func (c *Core) assignChangeNumber(state *engineState) {
	c.lastChange++
	state.lastChange, state.lastChangeOrHeartbeat, c.latestChange = c.lastChange, c.lastChange, c.lastChange
	c.byChange.MoveToBack(state.changeElement)
	c.byHeartbeat.MoveToBack(state.heartbeatElement)
	c.dirty[state.registration.ID] = true
}

// beat numbers a beat heard here, of which only control daemons are told.
func (c *Core) recordLocalHeartbeat(state *engineState) {
	c.lastChange++
	state.lastChangeOrHeartbeat, state.lastLocalHeartbeat = c.lastChange, c.lastChange
	c.byHeartbeat.MoveToBack(state.heartbeatElement)
}

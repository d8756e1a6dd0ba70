package dispatch

import (
	"github.com/cresspond/cresspond/ident"
)

// findAssignment makes sure that the session's assignment, if it has one anywhere, is known.
func (c *Core) findAssignment(record *Record) bool {
	if record.Session == "" {
		return true
	}
	replaces := ident.EngineID("")
	if assignment := c.assignments[record.Session]; assignment != nil && !record.assignmentQueried {
		record.assigned = assignment.Engine
		known := c.world.Engines.Engines[assignment.Engine]
		if !c.world.ShareAssignments || known != nil && c.canServe(known, record) {
			record.assignmentKnown = true
			return true
		}
		// The assigned engine can't serve any more; but another daemon may have reassigned the session, so the owner is asked.
		record.assignmentKnown, replaces = false, assignment.Engine
	}
	if !record.assignmentKnown && !record.assignmentQueried {
		// The query proposes the engine that would be chosen, so that asking and assigning are one step.
		if chosen, ok := c.chooseEngine(record); ok {
			record.assignmentQueried = true
			c.effects.AssignmentQueries = append(c.effects.AssignmentQueries, AssignmentQuery{ID: record.ID, Session: record.Session, Model: record.Model, Adapter: record.Adapter, Engine: chosen.ID, Replaces: replaces})
		}
	}
	return record.assignmentKnown
}

// assign binds a session to the engine that its record is sent to, and tells the owner of a change.
func (c *Core) assign(record *Record, engine ident.EngineID) {
	assignment := c.assignments[record.Session]
	if assignment == nil {
		assignment = &Assignment{Engine: engine}
		c.assignments[record.Session] = assignment
	}
	if assignment.Engine != engine || record.assigned != engine {
		replaces := record.assigned
		if replaces != "" && replaces != engine {
			c.Counters.Reassigned++
		}
		assignment.Engine = engine
		if c.world.ShareAssignments {
			c.effects.AssignmentQueries = append(c.effects.AssignmentQueries, AssignmentQuery{Session: record.Session, Model: record.Model, Adapter: record.Adapter, Engine: engine, Replaces: replaces})
		}
	}
	assignment.Model, assignment.Adapter, assignment.Used = record.Model, record.Adapter, c.world.Now
	assignment.Running++
}

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
	if assignment := c.assignments[record.Session]; assignment != nil && !record.assignmentAsked {
		record.assigned = assignment.Engine
		known := c.world.Engines.Engines[assignment.Engine]
		if !c.world.ShareAssignments || known != nil && c.fit(known, record) {
			record.assignmentKnown = true
			return true
		}
		// The assignment is lost; but another daemon may have made a new one since, so the owner is asked.
		record.assignmentKnown, replaces = false, assignment.Engine
	}
	if !record.assignmentKnown && !record.assignmentAsked {
		// The owner is given the engine that would be taken, so that asking and taking are one step.
		if wished, ok := c.pick(record); ok {
			record.assignmentAsked = true
			c.out.AskAssignments = append(c.out.AskAssignments, AskAssignment{ID: record.ID, Session: record.Session, Model: record.Model, Adapter: record.Adapter, Engine: wished.ID, Replaces: replaces})
		}
	}
	return record.assignmentKnown
}

func (c *Core) assign(record *Record, engine ident.EngineID) {
	assignment := c.assignments[record.Session]
	if assignment == nil {
		assignment = &Assignment{Engine: engine}
		c.assignments[record.Session] = assignment
	}
	if assignment.Engine != engine || record.assigned != engine {
		replaces := record.assigned
		if replaces != "" && replaces != engine {
			c.Counters.Reseated++
		}
		assignment.Engine = engine
		if c.world.ShareAssignments {
			c.out.AskAssignments = append(c.out.AskAssignments, AskAssignment{Session: record.Session, Model: record.Model, Adapter: record.Adapter, Engine: engine, Replaces: replaces})
		}
	}
	assignment.Model, assignment.Adapter, assignment.Used = record.Model, record.Adapter, c.world.Now
	assignment.Running++
}

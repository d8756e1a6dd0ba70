package sessionplacement

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
)

// Demand is what the whole fleet queues or runs for one model and adapter.
type Demand struct {
	Model, Adapter  string
	Value           int64
	Queued, Running int
}

// Assignments counts the sessions that are assigned to an engine with a model and adapter.
type Assignments struct {
	Engine         ident.EngineID
	Model, Adapter string
	Sessions       int
}

// Input is what one step looks at.
type Input struct {
	Now         clock.Mark
	Table       *routingtable.Table
	Engines     *discovery.View
	Demand      []Demand
	Assignments []Assignments
}

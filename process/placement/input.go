package placement

import (
	"github.com/cresspond/cresspond/epoch/table"
	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/engines"
	"github.com/cresspond/cresspond/process/ident"
)

// Demand is what the whole fleet queues or runs for one model and adapter.
type Demand struct {
	Model, Adapter  string
	Worth           int64
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
	Table       *table.Table
	Engines     *engines.View
	Demand      []Demand
	Assignments []Assignments
}

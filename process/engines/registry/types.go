// Package registry keeps the engines that register themselves: soft state that every control daemon hears
// a part of, and that spreads over the fleet as differences.
package registry

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
)

// Held is one model that an engine holds, with its adapters.
type LoadedModel struct {
	Model      string
	Generation uint64
	Adapters   []string
}

// Target names a model, or one adapter of it.
type Target struct{ Model, Adapter string }

// Coming is something that the planner has ordered an engine to load.
type PendingLoad struct {
	Target
	// Ready is when it is expected to be there, by this daemon's own clock.
	Ready clock.Mark
}

// Word is what an engine says of itself when it beats.
type Registration struct {
	ID       ident.EngineID
	Pool     string
	Address  string
	Zone     ident.ZoneID
	Software string
	Slots    int
	Draining bool
	// LeaveMs is the time left to an engine that is taken away at short notice; zero is none told.
	TerminatesInMs int64
	// ColdMs is how much longer it is slow from its start.
	SlowStartMs int64
	Phase       string
	Models      []LoadedModel
	// CallSeq rises with each beat, so that a late one can be known.
	CallSeq uint64
}

// Plan is what the planner last told of an engine. Of two the one with the higher claim, then turn, counts.
type Plan struct {
	Claim    ident.FencingToken
	Sequence uint64
	// Models is what its newest report showed; Retiring is about to be unloaded and gets nothing new.
	Models       []LoadedModel
	Retiring     []Target
	PendingLoads []PendingLoad
	// Active, Queued and the memory in tokens are as reported.
	Active, Queued     int
	MemoryUsed, Memory int64
	// Weights are the shares of its usual requests that it is to get, where they are not all.
	Weights []outlier.Weight
	// Told is when this daemon heard it.
	Received clock.Mark
}

// weightsBelieved is for how long a share is believed; a planner that still goes by it tells it anew well before.
const weightsBelieved = 8 * time.Second

// Weight is the share of its usual requests that an engine is to get from daemons of a zone.
func (p *Plan) Weight(zone ident.ZoneID, now clock.Mark) float64 {
	if p == nil || len(p.Weights) == 0 || now.Since(p.Received) > weightsBelieved {
		return 1
	}
	return outlier.WeightFor(p.Weights, zone)
}

// Engine is one registered engine as this daemon knows it. It is never changed once it is in a view.
type Engine struct {
	Registration
	// Heard is when a control daemon last heard a beat, by this daemon's own clock.
	LastHeartbeat clock.Mark
	// Silent engines have missed their beats; Gone ones said so, or were followed at their address.
	TimedOut, Deregistered bool
	// Known is when this daemon first knew of it.
	FirstSeen clock.Mark
	Plan      *Plan
}

// Usable says whether anything new may be sent to it.
func (e *Engine) Usable() bool { return !e.Draining && !e.Deregistered && !e.TimedOut }

// Models is what the engine holds, by the newest word there is.
func (e *Engine) Models() []LoadedModel {
	if e.Plan != nil && e.Plan.Models != nil {
		return e.Plan.Models
	}
	return e.Registration.Models
}

// Holds says whether it holds a model and, unless that is empty, an adapter of it, and is not about to let go of it.
func (e *Engine) Holds(model, adapter string) bool {
	if e.Plan != nil {
		for _, retiring := range e.Plan.Retiring {
			if retiring.Model == model && (retiring.Adapter == "" || retiring.Adapter == adapter) {
				return false
			}
		}
	}
	for _, held := range e.Models() {
		if held.Model == model {
			return adapter == "" || slices.Contains(held.Adapters, adapter)
		}
	}
	return false
}

// View is all registered engines at one moment; it is never changed.
type View struct {
	// Version rises with each change.
	Version uint64
	Engines map[ident.EngineID]*Engine
	// Pools lists the engines of each pool, by id.
	Pools map[string][]*Engine
}

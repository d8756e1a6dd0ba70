// Package routingtable is the configuration in the form that the request path reads: maps by name. A table is built off
// the request path, swapped in by one pointer (process/rollout), and never changed after.
package routingtable

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
)

// Route is one route ready for look-up.
type Route struct {
	document.Route
	models   map[string]bool
	adapters map[string]bool
}

// Table is one version of the configuration together with one version of the closures.
type Table struct {
	Version       ident.Version
	Closures      closure.Set
	Configuration *document.Configuration
	// Raw is the configuration as it was submitted, byte for byte.
	Raw []byte
	// Bundle is the same in the form in which it travels.
	Bundle compression.Bundle
	// Forward is the section on opaque requests; nil where there is none.
	Forward *upstream.Index

	routes   map[string]*Route
	engines  map[ident.EngineID]document.Engine
	models   map[string]document.Model
	adapters map[string]document.Adapter
}

// Build makes the table of a configuration under a set of closures.
func Build(version ident.Version, raw []byte, parsed *document.Configuration, closures closure.Set) *Table {
	t := &Table{
		Version: version, Closures: closures, Configuration: parsed, Raw: raw,
		routes: make(map[string]*Route, len(parsed.Routes)), engines: map[ident.EngineID]document.Engine{},
		models: map[string]document.Model{}, adapters: map[string]document.Adapter{},
	}
	if parsed.Forward != nil {
		t.Forward = upstream.NewIndex(parsed.Forward)
	}
	for _, route := range parsed.Routes {
		built := &Route{Route: route, models: map[string]bool{}, adapters: map[string]bool{}}
		for _, model := range route.Models {
			built.models[model] = true
		}
		for _, adapter := range route.Adapters {
			built.adapters[adapter] = true
		}
		t.routes[route.Name] = built
	}
	for _, engine := range parsed.Engines {
		t.engines[engine.ID] = engine
	}
	for _, model := range parsed.Models {
		t.models[model.Name] = model
	}
	for _, adapter := range parsed.Adapters {
		t.adapters[adapter.Name] = adapter
	}
	return t
}

// WithClosures gives the same configuration under other closures.
func (t *Table) WithClosures(closures closure.Set) *Table {
	copied := *t
	copied.Closures = closures
	return &copied
}

// Route gives a route by name.
func (t *Table) Route(name string) (*Route, bool) {
	route, ok := t.routes[name]
	return route, ok
}

// Model gives a model of the catalogue by name.
func (t *Table) Model(name string) (document.Model, bool) {
	model, ok := t.models[name]
	return model, ok
}

// Adapter gives an adapter by name.
func (t *Table) Adapter(name string) (document.Adapter, bool) {
	adapter, ok := t.adapters[name]
	return adapter, ok
}

// Engine gives an engine that the configuration allows.
func (t *Table) Engine(id ident.EngineID) (document.Engine, bool) {
	engine, ok := t.engines[id]
	return engine, ok
}

// HasZone says whether the configuration names a zone.
func (t *Table) HasZone(name ident.ZoneID) bool {
	return slices.ContainsFunc(t.Configuration.Zones, func(zone document.Zone) bool { return zone.Name == name })
}

// Allows says whether the configuration lets this route use this model and adapter.
func (t *Table) Allows(route, model, adapter string) bool {
	found, ok := t.routes[route]
	return ok && found.models[model] && (adapter == "" || found.adapters[adapter] && t.adapters[adapter].Model == model)
}

// Open says whether an engine may be sent anything new: allowed, in an open zone, not being drained by an operator.
func (t *Table) Open(id ident.EngineID) bool {
	engine, ok := t.engines[id]
	if !ok {
		return false
	}
	_, zoneClosed := t.Closures.Zones[engine.Zone]
	_, draining := t.Closures.Engines[id]
	return !zoneClosed && !draining
}

// OpenRegistered says whether an engine that registered itself may be sent anything new: in an open zone, and
// not being drained by an operator. The configuration does not list such engines.
func (t *Table) OpenRegistered(id ident.EngineID, zone ident.ZoneID) bool {
	_, zoneClosed := t.Closures.Zones[zone]
	_, draining := t.Closures.Engines[id]
	return !zoneClosed && !draining
}

// AssignmentIdle is how long a session stays assigned to its engine after its last request.
func (t *Table) AssignmentIdle() time.Duration {
	return time.Duration(t.Configuration.Limits.AssignmentIdleMs) * time.Millisecond
}

package document

import (
	"fmt"

	"github.com/cresspond/cresspond/ident"
)

// referenceFaults reports names that repeat, and references to names that nothing has.
func (s *Configuration) referenceFaults() []Fault {
	c := &referenceCheck{
		zones: map[ident.ZoneID]bool{}, engines: map[ident.EngineID]bool{},
		models: map[string]int64{}, adapters: map[string]string{}, routes: map[string]bool{},
	}
	c.checkZones(s.Zones)
	c.checkEngines(s.Engines)
	c.checkModels(s.Models)
	c.checkAdapters(s.Adapters)
	c.checkRoutes(s.Routes)
	if s.Forward != nil {
		s.Forward.Validate(func(path, reason string) { c.faults = append(c.faults, Fault{"forward." + path, reason}) })
	}
	return c.faults
}

// referenceCheck collects the names of a document and the faults between them.
type referenceCheck struct {
	zones           map[ident.ZoneID]bool
	engines         map[ident.EngineID]bool
	largestCapacity int64
	// models holds sizes, adapters the models that they belong to.
	models   map[string]int64
	adapters map[string]string
	routes   map[string]bool
	faults   []Fault
}

func (c *referenceCheck) fault(reason, path string, args ...any) {
	c.faults = append(c.faults, Fault{fmt.Sprintf(path, args...), reason})
}

func (c *referenceCheck) checkZones(zones []Zone) {
	for i, zone := range zones {
		if c.zones[zone.Name] {
			c.fault("stands twice", "zones[%d].name", i)
		}
		c.zones[zone.Name] = true
	}
}

func (c *referenceCheck) checkEngines(engines []Engine) {
	for i, engine := range engines {
		if c.engines[engine.ID] {
			c.fault("stands twice", "engines[%d].id", i)
		}
		c.engines[engine.ID] = true
		if !c.zones[engine.Zone] {
			c.fault("no such zone", "engines[%d].zone", i)
		}
		c.largestCapacity = max(c.largestCapacity, engine.Capacity)
	}
}

func (c *referenceCheck) checkModels(models []Model) {
	for i, model := range models {
		if _, twice := c.models[model.Name]; twice {
			c.fault("stands twice", "models[%d].name", i)
		}
		c.models[model.Name] = model.Size
		if model.Size > c.largestCapacity {
			c.fault("fits on no engine", "models[%d].size", i)
		}
	}
}

func (c *referenceCheck) checkAdapters(adapters []Adapter) {
	for i, adapter := range adapters {
		if _, twice := c.adapters[adapter.Name]; twice {
			c.fault("stands twice", "adapters[%d].name", i)
		}
		c.adapters[adapter.Name] = adapter.Model
		if _, known := c.models[adapter.Model]; !known {
			c.fault("no such model", "adapters[%d].model", i)
		}
	}
}

func (c *referenceCheck) checkRoutes(routes []Route) {
	for i, route := range routes {
		if c.routes[route.Name] {
			c.fault("stands twice", "routes[%d].name", i)
		}
		c.routes[route.Name] = true
		allowed := map[string]bool{}
		for j, model := range route.Models {
			if _, known := c.models[model]; !known {
				c.fault("no such model", "routes[%d].models[%d]", i, j)
			}
			allowed[model] = true
		}
		for j, adapter := range route.Adapters {
			model, known := c.adapters[adapter]
			if !known {
				c.fault("no such adapter", "routes[%d].adapters[%d]", i, j)
			} else if !allowed[model] {
				c.fault("its model is not allowed on this route", "routes[%d].adapters[%d]", i, j)
			}
		}
	}
}

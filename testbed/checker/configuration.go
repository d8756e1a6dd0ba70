package checker

import (
	"bytes"
	"slices"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/testbed/journal"
)

type service struct{ engine, route, model, adapter string }

// services lists the services that one bundle allows.
func services(body []byte) map[service]bool {
	parsed, faults := document.Parse(body)
	out := map[service]bool{}
	if len(faults) > 0 {
		return out
	}
	modelOf := map[string]string{}
	for _, adapter := range parsed.Adapters {
		modelOf[adapter.Name] = adapter.Model
	}
	for _, engine := range parsed.Engines {
		for _, route := range parsed.Routes {
			for _, model := range route.Models {
				out[service{string(engine.ID), route.Name, model, ""}] = true
			}
			for _, adapter := range route.Adapters {
				out[service{string(engine.ID), route.Name, modelOf[adapter], adapter}] = true
			}
		}
	}
	return out
}

func allowedOnly(h *History) Finding {
	f := Finding{Rule: "no request reaches a service no bundle allowed"}
	ever := map[service]bool{}
	for _, action := range h.Actions {
		if action.Kind == Rolled || action.Kind == Committed {
			for one := range services(action.Body) {
				ever[one] = true
			}
		}
	}
	for _, entry := range h.Journals {
		if entry.Kind != journal.Arrive {
			continue
		}
		f.Checked++
		if !ever[service{entry.Engine, entry.Route, entry.Model, entry.Adapter}] {
			f.fault("%s reached %s with route %s, model %s, adapter %s", entry.Attempt, entry.Engine, entry.Route, entry.Model, entry.Adapter)
		}
	}
	return f
}

func specInForce(h *History) Finding {
	f := Finding{Rule: "an acknowledged bundle is in force within 2 s"}
	rolls := h.rolls()
	allowed := make([]map[service]bool, len(rolls))
	for i, roll := range rolls {
		allowed[i] = services(roll.Body)
	}
	for _, entry := range h.Journals {
		if entry.Kind != journal.Arrive {
			continue
		}
		// An arrival must be allowed by a bundle that was in force within the last two seconds.
		newest := -1
		for i, roll := range rolls {
			if roll.At+specLimit <= entry.At {
				newest = i
			}
		}
		if newest < 1 {
			continue
		}
		f.Checked++
		if !slices.ContainsFunc(allowed[newest:], func(set map[service]bool) bool {
			return set[service{entry.Engine, entry.Route, entry.Model, entry.Adapter}]
		}) {
			f.fault("%s reached %s on route %s %v after epoch %d was acknowledged", entry.Attempt, entry.Engine, entry.Route,
				(entry.At - rolls[newest].At).Round(time.Millisecond), rolls[newest].Version)
		}
	}
	for _, observation := range h.Observations {
		for _, roll := range rolls {
			if observation.At >= roll.At+specLimit && observation.Ready {
				f.Checked++
				if observation.ConfigurationVersion < roll.Version {
					f.fault("%s had epoch %d in force %v after epoch %d was acknowledged", observation.Daemon, observation.ConfigurationVersion, (observation.At - roll.At).Round(time.Millisecond), roll.Version)
				}
			}
		}
	}
	return f
}

func neverOlder(h *History) Finding {
	f := Finding{Rule: "no daemon falls back to an older bundle"}
	newest := map[string]Observation{}
	for _, observation := range h.Observations {
		before, known := newest[observation.Incarnation]
		if known {
			f.Checked++
			if observation.ConfigurationVersion < before.ConfigurationVersion || observation.ClosureVersion < before.ClosureVersion {
				f.fault("%s went from epoch %d/%d to %d/%d", observation.Daemon, before.ConfigurationVersion, before.ClosureVersion, observation.ConfigurationVersion, observation.ClosureVersion)
			}
		}
		newest[observation.Incarnation] = observation
	}
	return f
}

func readBack(h *History) Finding {
	f := Finding{Rule: "acknowledged bundles and closures read back whole"}
	wanted := map[uint64][]byte{}
	refused := map[string]bool{}
	for _, action := range h.Actions {
		switch action.Kind {
		case Rolled, Committed:
			wanted[action.Version] = action.Body
		case Refused:
			refused[string(action.Body)] = true
		}
	}
	seen := map[uint64]bool{}
	for _, back := range h.ReadBacks {
		f.Checked++
		seen[back.Version] = true
		switch want, acknowledged := wanted[back.Version]; {
		case back.Err != "":
			f.fault("epoch %d could not be read back: %s", back.Version, back.Err)
		case acknowledged && !bytes.Equal(want, back.Body):
			f.fault("epoch %d read back other than it was acknowledged", back.Version)
		case refused[string(back.Body)]:
			f.fault("epoch %d is a bundle that was refused or lost its race", back.Version)
		}
	}
	for epoch := range wanted {
		if !seen[epoch] {
			f.fault("epoch %d was not read back", epoch)
		}
	}
	f.Checked += len(h.ClosureWanted)
	if !slices.Equal(h.ClosureWanted, h.ClosureSeen) {
		f.fault("closures acknowledged are %v, and %v were read back", h.ClosureWanted, h.ClosureSeen)
	}
	return f
}

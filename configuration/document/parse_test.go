package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cresspond/cresspond/ident"
)

// validConfiguration builds a valid document of the given sizes.
func validConfiguration(zones, engines, models, routes int) Configuration {
	s := Configuration{Name: "made", Store: Store{MaxConcurrentLoads: 1},
		Limits: Limits{MaxBodyBytes: 1, MaxPending: 1, MaxPendingBytes: 1, MaxDeadlineMs: 1, AssignmentIdleMs: 1, MaxRetryRatio: 0.1}}
	for i := range zones {
		s.Zones = append(s.Zones, Zone{Name: zoneName(i)})
	}
	for i := range engines {
		s.Engines = append(s.Engines, Engine{ID: engineID(i), Zone: zoneName(i % zones), Capacity: 100, Slots: 1})
	}
	for i := range models {
		s.Models = append(s.Models, Model{Name: fmt.Sprint("m", i), Size: int64(1 + i%100)})
		s.Adapters = append(s.Adapters, Adapter{Name: fmt.Sprint("a", i), Model: fmt.Sprint("m", i)})
	}
	for i := range routes {
		s.Routes = append(s.Routes, Route{Name: fmt.Sprint("r", i), Tenant: "h", Models: []string{fmt.Sprint("m", i%models)}, Adapters: []string{fmt.Sprint("a", i%models)}})
	}
	return s
}

func parse(t *testing.T, s Configuration) (*Configuration, []Fault) {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(data)
}

// breaks are ways to spoil a valid document, with where the fault must be told.
var faultyChanges = []struct {
	path   string
	change func(*Configuration)
}{
	{"zones", func(s *Configuration) { s.Zones = nil }},
	{"zones[0].name", func(s *Configuration) { s.Zones[0].Name = "" }},
	{"engines[0].zone", func(s *Configuration) { s.Engines[0].Zone = "nowhere" }},
	{"engines[0].room", func(s *Configuration) { s.Engines[0].Capacity = 0 }},
	{"engines[0].slots", func(s *Configuration) { s.Engines[0].Slots = -1 }},
	{"models[0].size", func(s *Configuration) { s.Models[0].Size = 101 }},
	{"adapters[0].model", func(s *Configuration) { s.Adapters[0].Model = "none" }},
	{"routes[0].models", func(s *Configuration) { s.Routes[0].Models = nil }},
	{"routes[0].adapters[0]", func(s *Configuration) { s.Routes[0].Adapters[0] = "none" }},
	{"routes[0].worth", func(s *Configuration) { s.Routes[0].Priority = -1 }},
	{"store.loadsAtOnce", func(s *Configuration) { s.Store.MaxConcurrentLoads = 0 }},
	{"limits.mostDeadlineMs", func(s *Configuration) { s.Limits.MaxDeadlineMs = 0 }},
	{"routes[1].name", func(s *Configuration) { s.Routes = append(s.Routes[:1:1], s.Routes[0]) }},
}

func TestParseAcceptsValidAndReportsAllFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 150
	properties := gopter.NewProperties(parameters)
	size := gen.IntRange(1, 6)
	properties.Property("every fault is reported, and none where there is none", prop.ForAll(func(zones, engines, models, routes int, chosen []bool) string {
		s := validConfiguration(zones, engines, models, routes)
		if back, faults := parse(t, s); len(faults) > 0 || !reflect.DeepEqual(*back, s) {
			return fmt.Sprint("a valid document: ", faults)
		}
		var wanted []string
		for i, put := range chosen {
			// Some spoils undo others' places; those that remove lists stand alone.
			if put && faultyChanges[i].path != "zones" && faultyChanges[i].path != "routes[0].models" {
				faultyChanges[i].change(&s)
				wanted = append(wanted, faultyChanges[i].path)
			}
		}
		_, faults := parse(t, s)
		reported := fmt.Sprint(faults)
		for _, path := range wanted {
			if !strings.Contains(reported, path+": ") {
				return path + " is not reported in " + reported
			}
		}
		if len(wanted) == 0 && len(faults) > 0 {
			return reported
		}
		return ""
	}, size, size, size, size, gen.SliceOfN(len(faultyChanges), gen.Bool())))
	properties.Property("no bytes make it panic, and only a complete document passes", prop.ForAll(func(at int, with uint8) bool {
		data, err := json.Marshal(validConfiguration(2, 2, 2, 2))
		if err != nil {
			return false
		}
		cut := data[:at%len(data)]
		if _, faults := Parse(cut); len(faults) == 0 {
			return false
		}
		data[at%len(data)] = with
		Parse(data)
		return true
	}, gen.IntRange(0, 1<<16), gen.UInt8()))
	properties.TestingRun(t)
	for _, one := range faultyChanges {
		s := validConfiguration(2, 2, 2, 2)
		one.change(&s)
		if _, faults := parse(t, s); !strings.Contains(fmt.Sprint(faults), one.path+": ") {
			t.Errorf("%s is not reported in %v", one.path, faults)
		}
	}
}

func TestDuplicateKeysAreRefused(t *testing.T) {
	for _, text := range []string{`{"name":"a","name":"b"}`, `{"limits":{"mostHeld":1,"MostHeld":2}}`, `{"zones":[{"name":"a","name":"b"}]}`} {
		if _, faults := Parse([]byte(text)); len(faults) == 0 || faults[0].Reason != "stands twice" {
			t.Errorf("%s: %v", text, faults)
		}
	}
}

func zoneName(i int) ident.ZoneID   { return ident.ZoneID(fmt.Sprint("z", i)) }
func engineID(i int) ident.EngineID { return ident.EngineID(fmt.Sprint("e", i)) }

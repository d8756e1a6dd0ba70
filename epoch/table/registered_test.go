package table

import (
	"testing"

	"github.com/cresspond/cresspond/epoch/forward"
	"github.com/cresspond/cresspond/epoch/spec"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/statemachine"
)

func TestRegisteredEnginesAreOpenUnlessShutOrDrained(t *testing.T) {
	closures := statemachine.Closures{Zones: map[ident.ZoneID]statemachine.ClosureMark{"shut": {}}, Engines: map[ident.EngineID]statemachine.ClosureMark{"drained": {}}}
	built := Build(1, nil, &spec.Spec{Name: "opaque", Forward: &forward.Section{Revision: 1}}, closures)
	for _, c := range []struct {
		engine ident.EngineID
		zone   ident.ZoneID
		open   bool
	}{{"a", "here", true}, {"a", "", true}, {"a", "shut", false}, {"drained", "here", false}, {"drained", "shut", false}} {
		if built.OpenRegistered(c.engine, c.zone) != c.open {
			t.Errorf("%+v", c)
		}
	}
	// Engines that stand in a bundle stay as they were: one that no bundle allows is not open.
	if built.Open("a") {
		t.Error("an engine that stands in no bundle is open")
	}
	if !Build(1, nil, &spec.Spec{}, statemachine.Closures{}).OpenRegistered("a", "here") {
		t.Error("without any closures")
	}
}

package routingtable

import (
	"testing"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

func TestRegisteredEnginesAreOpenUnlessShutOrDrained(t *testing.T) {
	closures := statemachine.Closures{Zones: map[ident.ZoneID]statemachine.ClosureMark{"shut": {}}, Engines: map[ident.EngineID]statemachine.ClosureMark{"drained": {}}}
	built := Build(1, nil, &document.Spec{Name: "opaque", Forward: &upstream.Section{Revision: 1}}, closures)
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
	if !Build(1, nil, &document.Spec{}, statemachine.Closures{}).OpenRegistered("a", "here") {
		t.Error("without any closures")
	}
}

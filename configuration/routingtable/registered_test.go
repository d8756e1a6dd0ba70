package routingtable

import (
	"testing"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
)

func TestRegisteredEnginesAreOpenUnlessClosedOrDraining(t *testing.T) {
	closures := closure.Set{Zones: map[ident.ZoneID]closure.Record{"shut": {}}, Engines: map[ident.EngineID]closure.Record{"drained": {}}}
	built := Build(1, nil, &document.Configuration{Name: "opaque", Forward: &upstream.Section{Revision: 1}}, closures)
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
	if !Build(1, nil, &document.Configuration{}, closure.Set{}).OpenRegistered("a", "here") {
		t.Error("without any closures")
	}
}

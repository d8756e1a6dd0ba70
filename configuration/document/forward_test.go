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

	"github.com/cresspond/cresspond/configuration/upstream"
)

// validSection builds a valid section on opaque requests.
func validSection() *upstream.Section {
	return &upstream.Section{Revision: 3, Pools: []upstream.Pool{{Name: "p"}}, Paths: []upstream.Path{
		{Name: "a", Host: "h", Prefix: "/", Class: upstream.Once, DeadlineMs: 5, Attempts: 1, Shares: []upstream.Share{{Pool: "p", Weight: 1}}},
	}}
}

func TestSessionFieldsAreOptionalWithForwardSection(t *testing.T) {
	alone := Configuration{Name: "alone", Forward: validSection()}
	if back, faults := parse(t, alone); len(faults) > 0 || !reflect.DeepEqual(*back, alone) {
		t.Error(faults)
	}
	if _, faults := Parse([]byte(`{"name":"x","forward":{"revision":1,"paths":[],"pools":[],"limits":{}}}`)); len(faults) > 0 {
		t.Error("parts left out of the text:", faults)
	}
	withZones := Configuration{Name: "zones", Zones: []Zone{{Name: "z"}}, Forward: validSection()}
	if _, faults := parse(t, withZones); len(faults) > 0 {
		t.Error("zones to close:", faults)
	}
	both := validConfiguration(2, 2, 2, 2)
	both.Forward = validSection()
	if _, faults := parse(t, both); len(faults) > 0 {
		t.Error("both parts:", faults)
	}
}

// TestSessionFieldsMustBeComplete holds that a bundle is as strict on sessions as without opaque requests,
// as soon as it says anything of them, and that empty lists are no lists.
func TestSessionFieldsMustBeComplete(t *testing.T) {
	empties := []string{"zones", "engines", "models", "routes"}
	for _, with := range []bool{false, true} {
		for _, part := range append(empties, "store", "limits") {
			for _, empty := range []string{"[]", "null", ""} {
				s := validConfiguration(2, 2, 2, 2)
				if with {
					s.Forward = validSection()
				}
				var text map[string]json.RawMessage
				data, err := json.Marshal(s)
				if err != nil || json.Unmarshal(data, &text) != nil {
					t.Fatal(err)
				}
				if part == "store" || part == "limits" {
					empty = strings.Replace(empty, "[]", "{}", 1)
				}
				text[part] = json.RawMessage(empty)
				if empty == "" {
					delete(text, part)
				}
				data, err = json.Marshal(text)
				if err != nil {
					t.Fatal(err)
				}
				if _, faults := Parse(data); !strings.Contains(fmt.Sprint(faults), part) {
					t.Errorf("with opaque requests %v: %s as %q passes: %v", with, part, empty, faults)
				}
			}
		}
	}
	// A bundle that says nothing at all is no bundle.
	if _, faults := Parse([]byte(`{"name":"x"}`)); len(faults) < len(empties) {
		t.Error(faults)
	}
}

// faultySectionChanges make a valid section invalid; the path is that of the fault that must be reported.
var faultySectionChanges = []struct {
	path   string
	change func(*upstream.Section)
}{
	{"forward.revision", func(s *upstream.Section) { s.Revision = 0 }},
	{"forward.paths[0].name", func(s *upstream.Section) { s.Paths[0].Name = "" }},
	{"forward.paths[0].host", func(s *upstream.Section) { s.Paths[0].Host = "" }},
	{"forward.paths[0].prefix", func(s *upstream.Section) { s.Paths[0].Prefix = "a/" }},
	{"forward.paths[0].prefix", func(s *upstream.Section) { s.Paths[0].Prefix = "/a" }},
	{"forward.paths[0].class", func(s *upstream.Section) { s.Paths[0].Class = "twice" }},
	{"forward.paths[0].deadlineMs", func(s *upstream.Section) { s.Paths[0].DeadlineMs = 0 }},
	{"forward.paths[0].targetMs", func(s *upstream.Section) { s.Paths[0].TargetMs = -1 }},
	{"forward.paths[0].attempts", func(s *upstream.Section) { s.Paths[0].Attempts = 0 }},
	{"forward.paths[0].shares", func(s *upstream.Section) { s.Paths[0].Shares = nil }},
	{"forward.paths[0].shares", func(s *upstream.Section) { s.Paths[0].Shares[0].Weight = 0 }},
	{"forward.paths[0].shares[0].weight", func(s *upstream.Section) { s.Paths[0].Shares[0].Weight = -1 }},
	{"forward.paths[0].shares[0].pool", func(s *upstream.Section) { s.Paths[0].Shares[0].Pool = "none" }},
	{"forward.paths[1].name", func(s *upstream.Section) { s.Paths = append(s.Paths, s.Paths[0]) }},
	{"forward.paths[1].prefix", func(s *upstream.Section) { s.Paths = append(s.Paths, s.Paths[0]) }},
	{"forward.pools[0].name", func(s *upstream.Section) { s.Pools[0].Name = "" }},
	{"forward.pools[0].mostConnections", func(s *upstream.Section) { s.Pools[0].MaxConnections = -1 }},
	{"forward.pools[0].catalogue.models[0].sizeMb", func(s *upstream.Section) {
		s.Pools[0].Catalogue = &upstream.Catalogue{Models: []upstream.Model{{Name: "m"}}}
	}},
	{"forward.limits.mostBodyBytes", func(s *upstream.Section) { s.Limits.MaxBodyBytes = -1 }},
}

func TestForwardFaultsNameTheirPaths(t *testing.T) {
	for _, one := range faultySectionChanges {
		s := Configuration{Name: "x", Forward: validSection()}
		one.change(s.Forward)
		if _, faults := parse(t, s); !strings.Contains(fmt.Sprint(faults), one.path+": ") {
			t.Errorf("%s is not reported in %v", one.path, faults)
		}
	}
}

// TestMayDuplicateKeysMissesNoDuplicate holds the quick look against the slow walk.
func TestMayDuplicateKeysMissesNoDuplicate(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(17)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("what the walk finds, the quick look suspects, and a valid document is not suspected", prop.ForAll(func(shape []uint8) string {
		text, _ := jsonOf(shape, 0)
		twice := len(duplicateKeys([]byte(text))) > 0
		if mayDuplicateKeys([]byte(text)) != twice {
			return fmt.Sprintf("%v in %s", twice, text)
		}
		return ""
	}, gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
	many := make([]string, 200)
	for i := range many {
		many[i] = fmt.Sprintf(`"k%d":{}`, i)
	}
	sound := "{" + strings.Join(many, ",") + "}"
	spoilt := "{" + strings.Join(many, ",") + `,"K7":1}`
	if mayDuplicateKeys([]byte(sound)) || !mayDuplicateKeys([]byte(spoilt)) {
		t.Error("an object of many keys")
	}
	for _, text := range []string{`{"a":1,"\u0061":2}`, `{"a":1,"\u0041":2}`, `[{"x":{"y":1,"Y":2}}]`} {
		if _, faults := Parse([]byte(text)); len(faults) == 0 || faults[0].Reason != "stands twice" {
			t.Errorf("%s: %v", text, faults)
		}
	}
}

// jsonOf makes some JSON out of bytes, with keys that often meet.
func jsonOf(shape []uint8, depth int) (text string, rest []uint8) {
	if len(shape) == 0 || depth > 4 {
		return "0", shape
	}
	kind, size := shape[0]%4, int(shape[0]/4%5)
	rest = shape[1:]
	var parts []string
	for range size {
		var value string
		key := "k"
		if len(rest) > 0 {
			key = []string{"a", "A", `\u0061`, "b", "ab", "c", "d", "é", "É"}[rest[0]%9]
			rest = rest[1:]
		}
		if value, rest = jsonOf(rest, depth+1); kind != 1 {
			value = `"` + key + `": ` + value
		}
		parts = append(parts, value)
	}
	if kind == 1 {
		return "[" + strings.Join(parts, ", ") + "]", rest
	}
	return "{" + strings.Join(parts, " ,") + "}", rest
}

// TestParseCommittedReadsWhatParseAccepts holds the quick reading against the strict one.
func TestParseCommittedReadsWhatParseAccepts(t *testing.T) {
	s := validConfiguration(3, 4, 5, 6)
	s.Forward = validSection()
	s.Forward.Note, s.Forward.Paths[0].Note = json.RawMessage(`{"x":[1.50,"é"]}`), json.RawMessage(`"n"`)
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	strict, faults := Parse(data)
	quick, err := ParseCommitted(data)
	if err != nil || len(faults) > 0 || !reflect.DeepEqual(strict, quick) {
		t.Errorf("%v %v\n%+v\n%+v", err, faults, strict, quick)
	}
	for _, bad := range []string{"", "{", "[]", `{"name":1}`, `{"name":"x"} {`, `{"unheardOf":1}`, string(data[:len(data)-1])} {
		if _, err := ParseCommitted([]byte(bad)); err == nil {
			t.Errorf("%q is read", bad)
		}
	}
}

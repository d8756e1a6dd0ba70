package featuregates

import (
	"errors"
	"testing"
)

// TestParseNamesEachMechanism: a set is read back as it was written, and no two mechanisms share a name.
func TestParseNamesEachMechanism(t *testing.T) {
	seen := map[string]bool{}
	for m, one := range Descriptions() {
		if one.Name == "" || one.Purpose == "" || seen[one.Name] {
			t.Errorf("mechanism %d is described as %+v", m, one)
		}
		seen[one.Name] = true
		set, err := Parse([]string{one.Name})
		if err != nil || !set.Has(Mechanism(m)) || set.String() != one.Name {
			t.Errorf("%s is read as %q, %v", one.Name, set, err)
		}
	}
}

// TestParseRefusesAnUnknownName: the error names what is unknown.
func TestParseRefusesAnUnknownName(t *testing.T) {
	_, err := Parse([]string{"homes", "magic"})
	if !errors.Is(err, ErrUnknown) || err.Error() != `unknown mechanism: "magic"` {
		t.Error(err)
	}
}

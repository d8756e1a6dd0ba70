package featuregates

import (
	"errors"
	"testing"
)

// TestParseRoundTripsEachMechanism: a set is parsed as it was printed, and no two mechanisms share a name.
func TestParseRoundTripsEachMechanism(t *testing.T) {
	seen := map[string]bool{}
	for index, description := range Descriptions() {
		if description.Name == "" || description.Purpose == "" || seen[description.Name] {
			t.Errorf("mechanism %d is described as %+v", index, description)
		}
		seen[description.Name] = true
		set, err := Parse([]string{description.Name})
		if err != nil || !set.Has(Mechanism(index)) || set.String() != description.Name {
			t.Errorf("%s is parsed as %q, %v", description.Name, set, err)
		}
	}
}

// TestParseRejectsAnUnknownName: the error holds the name.
func TestParseRejectsAnUnknownName(t *testing.T) {
	_, err := Parse([]string{"homes", "magic"})
	if !errors.Is(err, ErrUnknown) || err.Error() != `unknown mechanism: "magic"` {
		t.Error(err)
	}
}

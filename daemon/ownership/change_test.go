package ownership

import (
	"slices"
	"testing"

	"github.com/cresspond/cresspond/process/cluster/affinity"
)

func TestNewOwnersAreThoseThatMissTheKey(t *testing.T) {
	three := Daemons{"a": "a#1", "b": "b#1", "c": "c#1"}
	first, second := affinity.Owners("key", three.Addresses())
	restarted := Daemons{"a": "a#1", "b": "b#1", "c": "c#1"}
	restarted[second] += "again"
	for _, test := range []struct {
		name          string
		before, after Daemons
		empty         bool
		want          []string
	}{
		{"nothing changes", three, Daemons{"a": "a#1", "b": "b#1", "c": "c#1"}, true, nil},
		{"an owner restarts", three, restarted, false, []string{second}},
		{"all come", nil, three, false, []string{first, second}},
		{"all go", three, nil, false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			change := NewChange(test.before, test.after)
			if change.Empty() != test.empty {
				t.Errorf("empty: %t", change.Empty())
			}
			if got := change.NewOwners("key"); !slices.Equal(got, test.want) {
				t.Errorf("new owners %v, not %v", got, test.want)
			}
			if got := change.OwnedBefore("key", first); got != (test.before != nil) {
				t.Errorf("owned by %s before: %t", first, got)
			}
		})
	}
	if got := NewChange(three, restarted).NewIncarnations(); !slices.Equal(got, []string{second}) {
		t.Errorf("new incarnations %v", got)
	}
}

package checker

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// unexpectedExits checks that no process ended by itself.
func (b *index) unexpectedExits() Finding {
	f := Finding{Rule: "Own ends", Checked: len(b.Cores) + len(b.Edges)}
	for _, disruption := range b.Disruptions {
		if disruption.Kind == history.UnexpectedExit {
			f.violation("%s ended by itself", disruption.Machine)
		}
	}
	return f
}

// ready checks that undisturbed machines are ready most of the time.
func (b *index) ready() Finding {
	f := Finding{Rule: "Duty"}
	unready, looks := map[string]int{}, map[string]int{}
	for _, look := range b.ReadinessChecks {
		if !b.inContact(look.Machine, look.At) {
			continue
		}
		f.Checked++
		looks[look.Machine]++
		if !look.Ready {
			unready[look.Machine]++
		}
	}
	for _, machine := range slices.Sorted(maps.Keys(unready)) {
		if looks[machine] >= 8 && unready[machine]*8 > looks[machine] {
			f.violation("%s was not ready in %d of %d undisturbed checks", machine, unready[machine], looks[machine])
		}
	}
	return f
}

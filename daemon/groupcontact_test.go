package daemon

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

func TestContactIsJudgedOnlyAfterACallHasWaited(t *testing.T) {
	const arrived = clock.Mark(time.Hour)
	at := func(after time.Duration) clock.Mark { return arrived + clock.Mark(after) }
	for name, c := range map[string]struct {
		now, lastContact clock.Mark
		out              bool
	}{
		"never in contact, just arrived":    {at(0), 0, false},
		"never in contact, waited":          {at(contactLimit), 0, true},
		"lost long before, just arrived":    {at(contactLimit - 1), at(-time.Minute), false},
		"lost long before, waited":          {at(contactLimit), at(-time.Minute), true},
		"lost as it arrived":                {at(memberContactAge), at(0), false},
		"lost as it arrived, a moment more": {at(memberContactAge + 1), at(0), true},
		"confirmed while it waits":          {at(5 * time.Second), at(5*time.Second - memberContactAge), false},
	} {
		if out := isOutOfContact(c.now, arrived, c.lastContact, memberContactAge); out != c.out {
			t.Errorf("%s: out of contact is %t", name, out)
		}
	}
}

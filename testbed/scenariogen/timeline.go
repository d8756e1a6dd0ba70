package scenariogen

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// timeline is a day in the making.
type timeline struct {
	site   Site
	draw   *rand.Rand
	losses budget
	plan   []Trouble
	faults []Trouble
}

// newTimeline begins the day of one draw.
func newTimeline(site Site, draw *rand.Rand) *timeline {
	return &timeline{site: site, draw: draw, losses: budget{most: site.Tolerate.Machines}}
}

// add puts a trouble that brings no loss on the day, where its kind is open on the site.
func (t *timeline) add(trouble Trouble) Trouble {
	spec, known := specified(trouble.Kind)
	if !known || !t.site.open(spec) {
		return trouble
	}
	trouble.At = round(max(firstMoment, trouble.At))
	trouble.Strength = round(trouble.Strength)
	trouble.Share = round(trouble.Share)
	trouble.GapSeconds = round(trouble.GapSeconds)
	trouble.DurationSeconds = round(trouble.DurationSeconds)
	if spec.planned {
		t.plan = append(t.plan, trouble)
	} else {
		t.faults = append(t.faults, trouble)
	}
	return trouble
}

// lose puts a trouble on the day that takes counted machines, as soon from its time on as the budget allows, and
// gives it as placed. A site that tolerates no loss gets none.
func (t *timeline) lose(trouble Trouble) Trouble {
	gone, counted := t.site.lossOf(trouble)
	if !counted {
		return t.add(trouble)
	}
	if t.site.Tolerate.Machines == 0 {
		return trouble
	}
	gone.machines = min(gone.machines, t.site.Tolerate.Machines)
	// A hundredth more, since times are rounded.
	trouble.At = t.losses.earliest(gone) + 0.01
	trouble = t.add(trouble)
	gone = gone.movedTo(trouble.At)
	t.losses.losses = append(t.losses.losses, gone)
	return trouble
}

// until gives when a trouble that takes counted machines is over, but for the recovery.
func (t *timeline) until(trouble Trouble) float64 {
	if gone, counted := t.site.lossOf(trouble); counted {
		return gone.back
	}
	return trouble.At + trouble.DurationSeconds
}

// recovered gives when the machines that a trouble took no longer count as lost.
func (t *timeline) recovered(trouble Trouble) float64 {
	if gone, counted := t.site.lossOf(trouble); counted {
		return gone.settled
	}
	return t.until(trouble) + t.site.Timing.CatchUpSeconds
}

// between draws a number.
func (t *timeline) between(least, most float64) float64 {
	return least + (most-least)*t.draw.Float64()
}

// number draws a whole number, both ends included.
func (t *timeline) number(least, most int) int {
	return least + t.draw.IntN(most-least+1)
}

// chance is true so often.
func (t *timeline) chance(share float64) bool {
	return t.draw.Float64() < share
}

// pick draws one of some things.
func pick[T any](t *timeline, from ...T) T {
	return from[t.draw.IntN(len(from))]
}

// openOne draws one of some kinds, of which the site has at least one open.
func (t *timeline) openOne(kinds ...Kind) Kind {
	open := t.site.Kinds()
	return pick(t, slices.DeleteFunc(kinds, func(kind Kind) bool { return !slices.Contains(open, kind) })...)
}

// variant draws a variant of a kind.
func (t *timeline) variant(kind Kind) string {
	spec, _ := specified(kind)
	if len(spec.variants) == 0 {
		return ""
	}
	return pick(t, spec.variants...)
}

// target draws which machine is struck, as a word of a variant.
func (t *timeline) target() string {
	return pick(t, "leader", "leader", "leader", "seed", "reader", "turn", "")
}

// met draws what else meets a machine as it returns, as words of a variant.
func (t *timeline) met() string {
	return pick(t, "", "meet", "race", "race drain", "meet drain", "race hard", "meet hard", "race drain hard", "meet drain hard")
}

// words joins words of a variant, each once.
func words(parts ...string) string {
	var joined []string
	for _, part := range parts {
		for word := range strings.FieldsSeq(part) {
			if !hasWord(strings.Join(joined, " "), word) {
				joined = append(joined, word)
			}
		}
	}
	return strings.Join(joined, " ")
}

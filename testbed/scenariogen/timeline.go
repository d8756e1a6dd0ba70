package scenariogen

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// timeline is a scenario under construction.
type timeline struct {
	site   Site
	draw   *rand.Rand
	losses budget
	plan   []Event
	faults []Event
}

// newTimeline begins the scenario of one draw.
func newTimeline(site Site, draw *rand.Rand) *timeline {
	return &timeline{site: site, draw: draw, losses: budget{most: site.Tolerate.Machines}}
}

// add puts a fault that brings no loss on the scenario, where its kind is open on the site.
func (t *timeline) add(event Event) Event {
	specification, known := specified(event.Kind)
	if !known || !t.site.open(specification) {
		return event
	}
	event.At = round(max(firstMoment, event.At))
	event.Strength = round(event.Strength)
	event.Share = round(event.Share)
	event.GapSeconds = round(event.GapSeconds)
	event.DurationSeconds = round(event.DurationSeconds)
	if specification.planned {
		t.plan = append(t.plan, event)
	} else {
		t.faults = append(t.faults, event)
	}
	return event
}

// lose puts a fault on the scenario that takes counted machines, as soon from its time on as the budget allows, and
// returns it as placed. A site that tolerates no loss gets none.
func (t *timeline) lose(event Event) Event {
	lost, counted := t.site.lossOf(event)
	if !counted {
		return t.add(event)
	}
	if t.site.Tolerate.Machines == 0 {
		return event
	}
	lost.machines = min(lost.machines, t.site.Tolerate.Machines)
	// A hundredth more, since times are rounded.
	event.At = t.losses.earliest(lost) + 0.01
	event = t.add(event)
	lost = lost.movedTo(event.At)
	t.losses.losses = append(t.losses.losses, lost)
	return event
}

// until is when a fault that takes counted machines is over, but for the recovery.
func (t *timeline) until(event Event) float64 {
	if lost, counted := t.site.lossOf(event); counted {
		return lost.back
	}
	return event.At + event.DurationSeconds
}

// recovered is when the machines that a fault took no longer count as lost.
func (t *timeline) recovered(event Event) float64 {
	if lost, counted := t.site.lossOf(event); counted {
		return lost.settled
	}
	return t.until(event) + t.site.Timing.CatchUpSeconds
}

// between draws a number.
func (t *timeline) between(least, most float64) float64 {
	return least + (most-least)*t.draw.Float64()
}

// number draws an integer, both ends included.
func (t *timeline) number(least, most int) int {
	return least + t.draw.IntN(most-least+1)
}

// chance is true with that probability.
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
	specification, _ := specified(kind)
	if len(specification.variants) == 0 {
		return ""
	}
	return pick(t, specification.variants...)
}

// target draws which machine is hit, as a part of a variant.
func (t *timeline) target() string {
	return pick(t, "leader", "leader", "leader", "seed", "reader", "turn", "")
}

// met draws what else meets a machine as it returns, as parts of a variant.
func (t *timeline) met() string {
	return pick(t, "", "meet", "race", "race drain", "meet drain", "race hard", "meet hard", "race drain hard", "meet drain hard")
}

// joinVariant joins parts of a variant, each once.
func joinVariant(parts ...string) string {
	var joined []string
	for _, part := range parts {
		for word := range strings.FieldsSeq(part) {
			if !hasVariantPart(strings.Join(joined, " "), word) {
				joined = append(joined, word)
			}
		}
	}
	return strings.Join(joined, " ")
}

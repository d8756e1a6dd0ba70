package scenariogen

import (
	"fmt"
	"math/rand/v2"
)

const (
	// firstMoment is the earliest time of a fault.
	firstMoment = 1.0
	// firstPattern is when the first pattern begins: by then the system serves.
	firstPattern = 8.0
	// fewestPatterns and mostPatterns bound how many patterns a scenario has.
	fewestPatterns, mostPatterns = 2, 4
	// quietTail is the time between the last pattern and the closing fault, at most.
	quietTail = 6.0
	// scenarioSlot is the slot of a scenario with faults.
	scenarioSlot = "trouble"
)

// Generate makes the scenarios of a seed for a site.
func Generate(site Site, seed uint64, count int) []Scenario {
	scenarios := make([]Scenario, 0, count)
	order := patternOrder(seed)
	for index := range count {
		draw := rand.New(rand.NewPCG(seed, uint64(index)))
		scenarios = append(scenarios, generate(site, draw, order, seed, index))
	}
	return scenarios
}

// patternOrder is the order in which scenarios of a seed begin with the patterns, so that a run of scenarios comes to each.
func patternOrder(seed uint64) []int {
	return rand.New(rand.NewPCG(seed, ^uint64(0))).Perm(len(patterns))
}

// generate makes one scenario.
func generate(site Site, draw *rand.Rand, order []int, seed uint64, index int) Scenario {
	t := newTimeline(site, draw)
	t.ordinaryWork()
	first := patterns[order[index%len(order)]]
	end := first.play(t, t.between(firstPattern, firstPattern+2))
	name := first.name
	for range t.number(fewestPatterns, mostPatterns) - 1 {
		next := pick(t, patterns...)
		name += "-" + next.name
		end = next.play(t, end+t.between(-1, 1))
	}
	closing, length := t.closing(end)
	return Scenario{
		Name:          fmt.Sprintf("s%d-%03d-%s", seed, index, name),
		Slot:          scenarioSlot,
		Seed:          draw.Uint32(),
		LengthSeconds: round(length),
		Closing:       closing,
		Plan:          t.plan,
		Faults:        t.faults,
	}
}

// ordinaryWork is what every scenario has: a change of the configuration and shifts of demand.
func (t *timeline) ordinaryWork() {
	t.add(Event{At: t.between(1, 3), Kind: ConfigChange, Variant: t.variant(ConfigChange)})
	for at := t.between(1, 4); at < t.site.LengthSeconds; at += t.between(10, 16) {
		t.add(Event{At: at, Kind: ModelShift, Count: 1, DurationSeconds: t.between(5, 7)})
	}
}

// closing draws what hits at the end and when that is: as soon as the site's tolerance allows it, or a
// little later.
func (t *timeline) closing(end float64) (*Closing, float64) {
	length := max(t.site.LengthSeconds, end+t.between(0, quietTail))
	if t.chance(0.1) {
		return nil, length
	}
	specification := pick(t, closingKinds...)
	if specification.kind == WipeAfterAck {
		length = max(length, t.losses.settled()+t.between(0, 1))
	} else {
		length = max(length, t.losses.allBack()+t.between(0, 1))
	}
	return &Closing{Kind: specification.kind, DownSeconds: round(t.between(0.5, 2)), Variant: pick(t, specification.variants...)}, length
}

package scenariogen

import (
	"fmt"
	"math/rand/v2"
)

const (
	// firstMoment is the earliest time of a trouble.
	firstMoment = 1.0
	// firstScene is when the first scene begins: by then the system serves.
	firstScene = 8.0
	// fewestScenes and mostScenes bound how many scenes a day has.
	fewestScenes, mostScenes = 2, 4
	// quietTail is the time between the last scene and the closing fault, at most.
	quietTail = 6.0
	// troubleSlot is the slot of a day with faults.
	troubleSlot = "trouble"
)

// Generate makes the days of a seed for a site.
func Generate(site Site, seed uint64, count int) []Day {
	days := make([]Day, 0, count)
	order := sceneOrder(seed)
	for place := range count {
		draw := rand.New(rand.NewPCG(seed, uint64(place)))
		days = append(days, generate(site, draw, order, seed, place))
	}
	return days
}

// sceneOrder is the order in which days of a seed begin with the scenes, so that a run of days comes to each.
func sceneOrder(seed uint64) []int {
	return rand.New(rand.NewPCG(seed, ^uint64(0))).Perm(len(scenes))
}

// generate makes one day.
func generate(site Site, draw *rand.Rand, order []int, seed uint64, place int) Day {
	t := newTimeline(site, draw)
	t.ordinaryWork()
	first := scenes[order[place%len(order)]]
	end := first.play(t, t.between(firstScene, firstScene+2))
	name := first.name
	for range t.number(fewestScenes, mostScenes) - 1 {
		next := pick(t, scenes...)
		name += "-" + next.name
		end = next.play(t, end+t.between(-1, 1))
	}
	closing, length := t.closing(end)
	return Day{
		Name:          fmt.Sprintf("s%d-%03d-%s", seed, place, name),
		Slot:          troubleSlot,
		Seed:          draw.Uint32(),
		LengthSeconds: round(length),
		Closing:       closing,
		Plan:          t.plan,
		Faults:        t.faults,
	}
}

// ordinaryWork is what every day has: a change of the configuration and shifts of demand.
func (t *timeline) ordinaryWork() {
	t.add(Trouble{At: t.between(1, 3), Kind: ConfigChange, Variant: t.variant(ConfigChange)})
	for at := t.between(1, 4); at < t.site.LengthSeconds; at += t.between(10, 16) {
		t.add(Trouble{At: at, Kind: ModelShift, Count: 1, DurationSeconds: t.between(5, 7)})
	}
}

// closing draws what strikes at the end and when that is: as soon as the site's tolerance has room for it, or a
// little later.
func (t *timeline) closing(end float64) (*Closing, float64) {
	length := max(t.site.LengthSeconds, end+t.between(0, quietTail))
	if t.chance(0.1) {
		return nil, length
	}
	spec := pick(t, closingKinds...)
	if spec.kind == WipeAfterAck {
		length = max(length, t.losses.settled()+t.between(0, 1))
	} else {
		length = max(length, t.losses.allBack()+t.between(0, 1))
	}
	return &Closing{Kind: spec.kind, DownSeconds: round(t.between(0.5, 2)), Variant: pick(t, spec.variants...)}, length
}

package scenariogen

// pattern is a group of faults that belong together.
type pattern struct {
	name string
	// play puts its faults on a scenario from a time on, and is when the last one ends.
	play func(t *timeline, at float64) float64
}

// patterns are all that scenarios are made of.
var patterns = []pattern{
	{"crossed", overlappingFaults},
	{"again", repeatedFault},
	{"edges", changesAtPartitionEdges},
	{"acks", lostAcknowledgements},
	{"replaced", replacedThenLost},
	{"herd", completeCoreLost},
	{"afterack", lostRightAfterAnAcknowledgement},
	{"disks", faultyDisks},
	{"clocks", wrongClocks},
	{"seeds", otherSeedsDuringPartitions},
	{"spoiled", spoiledAnswers},
	{"engines", enginesPartitionedAndDraining},
	{"changes", hundredsOfChanges},
	{"clients", impatientClients},
	{"fronts", lostFronts},
	{"fleet", changingFleet},
}

const (
	// shortestCut and longestCut bound how long a partition lasts.
	shortestCut, longestCut = 5.0, 30.0
	// edge is how far from the edge of a fault changes are sent.
	edge = 0.6
	// repeatSlack is how long after the recovery from a fault the same one may come again.
	repeatSlack = 1.0
)

// counted draws a fault that takes counted machines, mostly one.
func (t *timeline) counted(at float64) Event {
	switch t.number(0, 6) {
	case 0:
		return t.kill(at)
	case 1:
		return t.freeze(at)
	case 2:
		return t.partition(at, t.between(shortestCut, 9))
	case 3:
		return t.replacement(at)
	case 4:
		return t.wipe(at)
	case 5:
		return t.slow(at)
	default:
		return t.faultyDisk(at)
	}
}

// machines draws how many counted machines are lost at once: mostly one, at times as many as the site tolerates.
func (t *timeline) machines() int {
	if t.chance(0.3) {
		return max(1, t.site.Tolerate.Machines)
	}
	return 1
}

func (t *timeline) kill(at float64) Event {
	how := joinVariant(t.variant(NodeKill), t.target(), t.met())
	return Event{At: at, Kind: NodeKill, Machines: Counted, Count: t.machines(), DurationSeconds: t.between(0.5, 4), Variant: how}
}

func (t *timeline) freeze(at float64) Event {
	how := joinVariant(t.target(), t.met())
	return Event{At: at, Kind: NodeFreeze, Machines: Counted, Count: t.machines(), DurationSeconds: t.between(1, 6), Variant: how}
}

func (t *timeline) slow(at float64) Event {
	how := joinVariant(t.target(), t.met())
	return Event{At: at, Kind: NodeSlow, Machines: Counted, Count: t.machines(), Strength: t.between(2, 10), DurationSeconds: t.between(2, 6), Variant: how}
}

func (t *timeline) partition(at, duration float64) Event {
	how := joinVariant(t.variant(CoreCut), t.target(), t.met())
	if t.chance(0.3) {
		how = joinVariant(how, pick(t, "reset", "refuse"))
	}
	return Event{At: at, Kind: CoreCut, Count: t.machines(), DurationSeconds: duration, Variant: how}
}

func (t *timeline) replacement(at float64) Event {
	return Event{At: at, Kind: ReplaceCore, Strength: t.between(0.5, 3), Variant: joinVariant(t.variant(ReplaceCore), pick(t, "", "leader", "seed"))}
}

func (t *timeline) wipe(at float64) Event {
	return Event{At: at, Kind: AfterAckWipe, DurationSeconds: t.between(1, 4), Variant: joinVariant(t.variant(AfterAckWipe), t.met())}
}

func (t *timeline) faultyDisk(at float64) Event {
	disk := Event{At: at, Kind: pick(t, DiskSlow, DiskFull, DiskStall), Count: t.machines(), DurationSeconds: t.between(3, 6), Variant: joinVariant(t.target(), t.met())}
	if disk.Kind == DiskSlow {
		disk.Strength = t.between(10, 60)
	}
	return disk
}

// race sends pairs of changes on the same version.
func (t *timeline) race(at float64) {
	t.add(Event{At: at, Kind: ConfigRace, Count: t.number(1, 6), GapSeconds: t.between(0.2, 1.2)})
}

// storm sends a change after another.
func (t *timeline) storm(at, duration, gap float64) {
	t.add(Event{At: at, Kind: ConfigStorm, DurationSeconds: duration, GapSeconds: gap})
}

// change sends changes of the configuration in one of the ways that there are.
func (t *timeline) change(at float64) {
	switch t.number(0, 4) {
	case 0, 1:
		t.race(at)
	case 2:
		t.storm(at, t.between(1, 5), t.between(0.1, 0.4))
	case 3:
		t.add(Event{At: at, Kind: ConfigChange, Variant: t.variant(ConfigChange)})
	default:
		t.add(Event{At: at, Kind: BadConfig, Count: t.number(1, 4), GapSeconds: t.between(0.2, 1), Variant: t.variant(BadConfig)})
	}
}

// besideLosses draws a fault of control that takes no counted machine.
func (t *timeline) besideLosses(at float64) float64 {
	switch t.number(0, 4) {
	case 0:
		t.change(at)
		return at + 2
	case 1:
		return t.loseAcknowledgements(at, t.between(3, 8))
	case 2:
		return t.stepClocks(at, t.between(2, 6))
	case 3:
		t.add(Event{At: at, Kind: SeedTurnover})
		return at + 2
	default:
		return t.killFronts(at)
	}
}

func (t *timeline) loseAcknowledgements(at, duration float64) float64 {
	t.add(Event{At: at, Kind: AckLost, Share: t.between(0.4, 1), Strength: t.between(0.3, 0.9), DurationSeconds: duration})
	return at + duration
}

func (t *timeline) stepClocks(at, duration float64) float64 {
	step := Event{At: at, Kind: ClockStep, Share: t.between(0.2, 1), Strength: t.between(500, 30000), DurationSeconds: duration}
	step.Variant = joinVariant(t.variant(ClockStep), pick(t, "", "leader"))
	t.add(step)
	return at + duration
}

func (t *timeline) killFronts(at float64) float64 {
	down := t.between(0.5, 3)
	t.add(Event{At: at, Kind: HerdKill, Share: t.between(0.3, 0.9), DurationSeconds: down, Variant: pick(t, "", "power")})
	return at + down
}

package scenariogen

// overlappingFaults puts two faults of control into each other's recovery: as a counted machine comes back, something
// else hits control, and the next machine is lost as soon as the tolerance allows it again.
func overlappingFaults(t *timeline, at float64) float64 {
	first := t.lose(t.counted(at))
	t.change(first.At - t.between(0, edge))
	back := t.until(first)
	t.besideLosses(back + t.between(0, t.site.Timing.CatchUpSeconds))
	second := t.lose(t.counted(back + t.between(0, 1)))
	t.besideLosses(t.until(second) - t.between(0, edge))
	return t.until(second)
}

// repeatedFault brings the same fault again, each time within a second after the recovery from the last.
func repeatedFault(t *timeline, at float64) float64 {
	event := t.counted(at)
	if t.chance(0.5) {
		t.storm(at-t.between(0, edge), t.between(5, 15), t.between(0.15, 0.5))
	}
	for range t.number(2, 4) {
		event = t.lose(event)
		event.At = t.recovered(event) + t.between(0, repeatSlack)
	}
	return event.At
}

// changesAtPartitionEdges has changes in flight as a partition begins, while it lasts, and as it ends.
func changesAtPartitionEdges(t *timeline, at float64) float64 {
	cut := t.lose(t.partition(at, t.between(shortestCut, longestCut)))
	healed := cut.At + cut.DurationSeconds
	t.change(cut.At - t.between(0, edge))
	t.change(t.between(cut.At, healed))
	t.change(healed - t.between(0, edge))
	t.change(healed + t.between(0, edge))
	return t.until(cut)
}

// lostAcknowledgements loses answers to the operator, who sends the same change again elsewhere, while others race.
func lostAcknowledgements(t *timeline, at float64) float64 {
	duration := t.between(8, 25)
	t.loseAcknowledgements(at, duration)
	t.storm(at+t.between(0, 1), duration, t.between(0.15, 0.5))
	t.add(Event{At: at + t.between(0, 2), Kind: ConfigRace, Count: t.number(4, 12), GapSeconds: t.between(0.2, 1)})
	lost := t.lose(t.counted(at + t.between(1, 4)))
	return max(at+duration, t.until(lost))
}

// replacedThenLost replaces a counted machine for good and takes another as soon as its successor counts.
func replacedThenLost(t *timeline, at float64) float64 {
	how := joinVariant(pick(t, "planned", "planned oldest", "oldest"), pick(t, "", "leader"))
	replaced := t.lose(Event{At: at, Kind: ReplaceCore, Strength: t.between(0.5, 3), Variant: how})
	t.change(replaced.At + t.between(0, 1))
	next := t.recovered(replaced) + t.between(0, repeatSlack)
	if t.chance(0.5) {
		return t.until(t.lose(t.kill(next)))
	}
	return t.until(t.lose(t.wipe(next)))
}

// completeCoreLost takes all counted machines at once, as soon as the recovery from the loss of one is over.
func completeCoreLost(t *timeline, at float64) float64 {
	end := at
	if t.chance(0.6) {
		end = t.recovered(t.lose(t.counted(at)))
	}
	t.change(end + t.between(0, 0.5))
	how := t.variant(HerdKill)
	all := t.lose(Event{At: end + t.between(0, repeatSlack), Kind: HerdKill, Machines: Counted, DurationSeconds: t.between(0.3, 2.5), Variant: how})
	if t.chance(0.4) {
		t.killFronts(all.At + t.between(-0.5, 0.5))
	}
	return t.until(all)
}

// lostRightAfterAnAcknowledgement takes the machine that has just acknowledged a change, one after another.
func lostRightAfterAnAcknowledgement(t *timeline, at float64) float64 {
	t.storm(at-t.between(0, edge), t.between(10, 25), t.between(0.15, 0.6))
	end := at
	for range t.number(1, 3) {
		struck := Event{At: end, Kind: pick(t, AfterAckKill, AfterAckWipe), DurationSeconds: t.between(1, 4)}
		struck.Variant = joinVariant(t.variant(struck.Kind), t.met())
		struck = t.lose(struck)
		end = t.recovered(struck) + t.between(0, repeatSlack)
	}
	return end
}

// faultyDisks makes a disk slow, full or unresponsive while changes come and another fault follows.
func faultyDisks(t *timeline, at float64) float64 {
	disk := t.lose(t.faultyDisk(at))
	t.storm(disk.At-t.between(0, edge), t.between(3, 10), t.between(0.1, 0.4))
	if t.chance(0.4) {
		t.add(Event{At: disk.At + t.between(0, 2), Kind: BigConfig, Count: t.number(50, 600)})
	}
	next := t.lose(t.counted(t.until(disk) + t.between(0, 1)))
	return t.until(next)
}

// wrongClocks has the time of day jump while a machine is lost.
func wrongClocks(t *timeline, at float64) float64 {
	lost := t.lose(t.counted(at + t.between(0, 2)))
	duration := t.until(lost) - lost.At + t.between(0, 3)
	end := t.stepClocks(lost.At-t.between(0, edge), duration)
	t.change(lost.At + t.between(0, 1))
	t.change(end - t.between(0, edge))
	return max(end, t.until(lost))
}

// otherSeedsDuringPartitions names other seeds while those are partitioned that the machines know.
func otherSeedsDuringPartitions(t *timeline, at float64) float64 {
	t.add(Event{At: at, Kind: SeedTurnover})
	how := joinVariant(pick(t, "seeds", "both", "lure"), pick(t, "", "leader", "seed"), t.met())
	cut := t.lose(Event{At: at + t.between(0, 3), Kind: CoreCut, Count: 1, DurationSeconds: t.between(shortestCut, 15), Variant: how})
	t.change(cut.At + t.between(0, 2))
	if t.chance(0.5) {
		t.add(Event{At: t.until(cut) - t.between(0, edge), Kind: SeedTurnover})
	}
	if t.chance(0.5) {
		t.reloadSettings(t.until(cut) + t.between(0, 2))
	}
	return t.until(cut)
}

// hundredsOfChanges sends hundreds of changes over a long span, with losses in turn.
func hundredsOfChanges(t *timeline, at float64) float64 {
	count, gap := t.number(150, 400), t.between(0.1, 0.3)
	t.add(Event{At: at, Kind: ConfigStorm, Count: count, GapSeconds: gap})
	end := at + float64(count)*gap
	for next := at + t.between(2, 6); next < end; {
		lost := t.lose(t.counted(next))
		next = t.recovered(lost) + t.between(0, 6)
	}
	return end
}

package scenariogen

// spoiledAnswers has engines corrupt or lose answers while others fail, and control has a fault of its own.
func spoiledAnswers(t *timeline, at float64) float64 {
	duration := t.between(6, 20)
	t.add(Event{At: at, Kind: Garble, Share: t.between(0.4, 0.8), Strength: t.between(0.02, 0.1), DurationSeconds: duration, Variant: t.variant(Garble)})
	t.add(Event{At: at + t.between(0, 3), Kind: AnswerLost, Share: t.between(0.3, 0.7), Strength: t.between(0.02, 0.08), DurationSeconds: duration, Variant: t.variant(AnswerLost)})
	t.unhealthyEngines(at + t.between(0, duration/2))
	t.unhealthyEngines(at + t.between(duration/2, duration))
	if t.chance(0.6) {
		lost := t.lose(t.counted(at + t.between(0, duration)))
		return max(at+duration, t.until(lost))
	}
	return at + duration
}

// unhealthyEngines draws a fault that makes engines fail, slow or report wrongly.
func (t *timeline) unhealthyEngines(at float64) {
	ill := Event{At: at, Kind: t.openOne(ServerGrey, ServerSlow, ServerFlap, ServerLying, IdleRace), Share: t.between(0.08, 0.2), DurationSeconds: t.between(4, 8)}
	ill.Variant = t.variant(ill.Kind)
	switch ill.Kind {
	case ServerGrey:
		ill.Strength = t.between(0.2, 0.5)
		if ill.Variant == "slow" {
			ill.Strength = t.between(4, 10)
		}
	case ServerSlow:
		ill.Strength = t.between(2, 6)
	case ServerFlap:
		ill.GapSeconds = t.between(1, 2)
	}
	t.add(ill)
}

// enginesPartitionedAndDraining partitions engines from control while others drain, crash, or give up their address.
func enginesPartitionedAndDraining(t *timeline, at float64) float64 {
	duration := t.between(shortestCut, 12)
	cut := Event{At: at, Kind: ServerCut, Share: t.between(0.1, 0.3), DurationSeconds: duration, Variant: t.variant(ServerCut)}
	if hasVariantPart(cut.Variant, "fronts") {
		cut.Strength = t.between(0.1, 0.4)
	}
	t.add(cut)
	t.drainEngines(at + t.between(0, duration))
	t.drainEngines(at + t.between(0, duration))
	lost := t.lose(t.counted(at + t.between(0, duration)))
	return max(at+duration, t.until(lost))
}

// drainEngines draws a fault by which engines are removed.
func (t *timeline) drainEngines(at float64) {
	lost := Event{At: at, Kind: pick(t, ScaleIn, Release, ReplaceWithReuse, ServerCrash), Share: t.between(0.08, 0.2)}
	lost.Variant = t.variant(lost.Kind)
	switch lost.Kind {
	case ScaleIn:
		lost.Strength = t.between(1.5, 2.5)
	case Release:
		lost.Strength, lost.GapSeconds = 1, t.between(0.7, 1.2)
	case ServerCrash:
		lost.DurationSeconds = t.between(3, 5)
	}
	t.add(lost)
}

// impatientClients has clients disconnect early, retry at once, and send in bursts, while machines are stopped in turn.
func impatientClients(t *timeline, at float64) float64 {
	duration := t.between(6, 14)
	t.add(Event{At: at, Kind: GiveUp, Share: t.between(0.2, 0.6), Strength: t.between(200, 2000), DurationSeconds: duration})
	t.add(Event{At: at + t.between(0, 3), Kind: RetryAbuse, Share: t.between(0.1, 0.4), Strength: t.between(1, 3), DurationSeconds: duration})
	t.add(Event{At: at + t.between(0, 5), Kind: Burst, Strength: t.between(1.3, 2.6), DurationSeconds: t.between(3, 5)})
	t.add(Event{At: at + t.between(0, 5), Kind: ResetConnections, Share: t.between(0.1, 0.4), Strength: t.between(0.3, 0.8)})
	t.reloadSettings(at + t.between(0, duration))
	roll := Event{At: at + t.between(0, 3), Kind: RollTerm, Share: t.between(0.2, 0.6), Strength: 1, GapSeconds: t.between(0.8, 1.5)}
	roll.Variant = joinVariant(t.variant(RollTerm), pick(t, "", "leader"))
	roll = t.lose(roll)
	return max(at+duration, t.until(roll))
}

// reloadSettings has machines read their settings anew.
func (t *timeline) reloadSettings(at float64) {
	t.add(Event{At: at, Kind: HangUp, Share: t.between(0.2, 0.8), GapSeconds: t.between(0.05, 0.5)})
}

// lostFronts takes machines that take clients' requests, whose loss does not count, beside a counted one.
func lostFronts(t *timeline, at float64) float64 {
	duration := t.between(4, 12)
	t.add(Event{At: at, Kind: NodeCut, Share: t.between(0.1, 0.3), DurationSeconds: duration, Variant: t.variant(NodeCut)})
	t.add(Event{At: at + t.between(0, 4), Kind: NodeFreeze, Machines: Fronts, Share: t.between(0.1, 0.3), DurationSeconds: t.between(1, 5)})
	t.add(Event{At: at + t.between(0, 6), Kind: NodeKill, Machines: Fronts, Share: t.between(0.1, 0.4), DurationSeconds: t.between(0.5, 3), Variant: t.variant(NodeKill)})
	t.add(Event{At: at + t.between(2, 8), Kind: NodeSlow, Machines: Fronts, Share: t.between(0.1, 0.2), Strength: t.between(2, 6), DurationSeconds: t.between(3, 6)})
	if t.chance(0.5) {
		t.add(Event{At: at + t.between(0, 6), Kind: Lossy, Strength: t.between(0.01, 0.03), DurationSeconds: t.between(4, 6)})
	}
	t.killFronts(at + duration)
	lost := t.lose(t.counted(at + t.between(0, duration)))
	return max(at+duration, t.until(lost))
}

// changingFleet has engines are added and removed while demand shifts and control is in fault.
func changingFleet(t *timeline, at float64) float64 {
	t.add(Event{At: at, Kind: ScaleOut, Share: t.between(0.1, 0.3), GapSeconds: t.between(1, 4)})
	t.drainEngines(at + t.between(1, 6))
	t.drainEngines(at + t.between(4, 10))
	t.add(Event{At: at + t.between(0, 4), Kind: ModelShift, Count: t.number(1, 3), DurationSeconds: t.between(3, 6)})
	t.add(Event{At: at + t.between(2, 8), Kind: Burst, Strength: t.between(1.3, 2.4), DurationSeconds: t.between(3, 5)})
	first := t.lose(t.counted(at + t.between(0, 6)))
	t.besideLosses(t.until(first))
	return max(at+12, t.until(first))
}

package scenariogen

// spoiledAnswers has engines spoil or lose answers while others fail, and control has a trouble of its own.
func spoiledAnswers(t *timeline, at float64) float64 {
	duration := t.between(6, 20)
	t.add(Trouble{At: at, Kind: Garble, Share: t.between(0.4, 0.8), Strength: t.between(0.02, 0.1), DurationSeconds: duration, Variant: t.variant(Garble)})
	t.add(Trouble{At: at + t.between(0, 3), Kind: AnswerLost, Share: t.between(0.3, 0.7), Strength: t.between(0.02, 0.08), DurationSeconds: duration, Variant: t.variant(AnswerLost)})
	t.illEngines(at + t.between(0, duration/2))
	t.illEngines(at + t.between(duration/2, duration))
	if t.chance(0.6) {
		lost := t.lose(t.counted(at + t.between(0, duration)))
		return max(at+duration, t.until(lost))
	}
	return at + duration
}

// illEngines draws a trouble that makes engines fail, slow or say what is not so.
func (t *timeline) illEngines(at float64) {
	ill := Trouble{At: at, Kind: t.openOne(ServerGrey, ServerSlow, ServerFlap, ServerLying, IdleRace), Share: t.between(0.08, 0.2), DurationSeconds: t.between(4, 8)}
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

// enginesCutOffAndLeaving cuts engines off from control while others leave, crash, or give up their address.
func enginesCutOffAndLeaving(t *timeline, at float64) float64 {
	duration := t.between(shortestCut, 12)
	cut := Trouble{At: at, Kind: ServerCut, Share: t.between(0.1, 0.3), DurationSeconds: duration, Variant: t.variant(ServerCut)}
	if hasWord(cut.Variant, "fronts") {
		cut.Strength = t.between(0.1, 0.4)
	}
	t.add(cut)
	t.leaving(at + t.between(0, duration))
	t.leaving(at + t.between(0, duration))
	lost := t.lose(t.counted(at + t.between(0, duration)))
	return max(at+duration, t.until(lost))
}

// leaving draws a trouble by which engines go.
func (t *timeline) leaving(at float64) {
	gone := Trouble{At: at, Kind: pick(t, ScaleIn, Release, ReplaceWithReuse, ServerCrash), Share: t.between(0.08, 0.2)}
	gone.Variant = t.variant(gone.Kind)
	switch gone.Kind {
	case ScaleIn:
		gone.Strength = t.between(1.5, 2.5)
	case Release:
		gone.Strength, gone.GapSeconds = 1, t.between(0.7, 1.2)
	case ServerCrash:
		gone.DurationSeconds = t.between(3, 5)
	}
	t.add(gone)
}

// impatientClients has clients leave early, repeat at once, and come in bursts, while machines are stopped in turn.
func impatientClients(t *timeline, at float64) float64 {
	duration := t.between(6, 14)
	t.add(Trouble{At: at, Kind: GiveUp, Share: t.between(0.2, 0.6), Strength: t.between(200, 2000), DurationSeconds: duration})
	t.add(Trouble{At: at + t.between(0, 3), Kind: RetryAbuse, Share: t.between(0.1, 0.4), Strength: t.between(1, 3), DurationSeconds: duration})
	t.add(Trouble{At: at + t.between(0, 5), Kind: Burst, Strength: t.between(1.3, 2.6), DurationSeconds: t.between(3, 5)})
	t.add(Trouble{At: at + t.between(0, 5), Kind: ResetConnections, Share: t.between(0.1, 0.4), Strength: t.between(0.3, 0.8)})
	t.hangUp(at + t.between(0, duration))
	roll := Trouble{At: at + t.between(0, 3), Kind: RollTerm, Share: t.between(0.2, 0.6), Strength: 1, GapSeconds: t.between(0.8, 1.5)}
	roll.Variant = words(t.variant(RollTerm), pick(t, "", "leader"))
	roll = t.lose(roll)
	return max(at+duration, t.until(roll))
}

// hangUp has machines read their settings anew.
func (t *timeline) hangUp(at float64) {
	t.add(Trouble{At: at, Kind: HangUp, Share: t.between(0.2, 0.8), GapSeconds: t.between(0.05, 0.5)})
}

// lostFronts takes machines that take clients' requests, whose loss does not count, beside a counted one.
func lostFronts(t *timeline, at float64) float64 {
	duration := t.between(4, 12)
	t.add(Trouble{At: at, Kind: NodeCut, Share: t.between(0.1, 0.3), DurationSeconds: duration, Variant: t.variant(NodeCut)})
	t.add(Trouble{At: at + t.between(0, 4), Kind: NodeFreeze, Machines: Fronts, Share: t.between(0.1, 0.3), DurationSeconds: t.between(1, 5)})
	t.add(Trouble{At: at + t.between(0, 6), Kind: NodeKill, Machines: Fronts, Share: t.between(0.1, 0.4), DurationSeconds: t.between(0.5, 3), Variant: t.variant(NodeKill)})
	t.add(Trouble{At: at + t.between(2, 8), Kind: NodeSlow, Machines: Fronts, Share: t.between(0.1, 0.2), Strength: t.between(2, 6), DurationSeconds: t.between(3, 6)})
	if t.chance(0.5) {
		t.add(Trouble{At: at + t.between(0, 6), Kind: Lossy, Strength: t.between(0.01, 0.03), DurationSeconds: t.between(4, 6)})
	}
	t.killFronts(at + duration)
	lost := t.lose(t.counted(at + t.between(0, duration)))
	return max(at+duration, t.until(lost))
}

// changingFleet has engines come and go while demand shifts and control is in trouble.
func changingFleet(t *timeline, at float64) float64 {
	t.add(Trouble{At: at, Kind: ScaleOut, Share: t.between(0.1, 0.3), GapSeconds: t.between(1, 4)})
	t.leaving(at + t.between(1, 6))
	t.leaving(at + t.between(4, 10))
	t.add(Trouble{At: at + t.between(0, 4), Kind: ModelShift, Count: t.number(1, 3), DurationSeconds: t.between(3, 6)})
	t.add(Trouble{At: at + t.between(2, 8), Kind: Burst, Strength: t.between(1.3, 2.4), DurationSeconds: t.between(3, 5)})
	first := t.lose(t.counted(at + t.between(0, 6)))
	t.besideLosses(t.until(first))
	return max(at+12, t.until(first))
}

package scenariogen

import (
	"math"
	"slices"
	"strings"
)

// defaultDuration is how long a fault without a duration lasts.
const defaultDuration = 5.0

// loss is the time over which machines whose loss counts are missing.
type loss struct {
	// from is when they go, back when they are there again, settled when they no longer count as lost.
	from, back, settled float64
	// machines is how many go; all of them if complete is set.
	machines int
	whole    bool
}

// lossOf is the loss of counted machines that a fault brings, if it brings one.
func (s Site) lossOf(t Event) (loss, bool) {
	if !strikesCounted(t) {
		return loss{}, false
	}
	lost := loss{from: t.At, machines: max(1, t.Count), whole: t.Kind == HerdKill}
	lost.back = t.At + s.missing(t)
	lost.settled = lost.back + s.recovery(lost)
	return lost, true
}

// recovery is how long machines still count as lost once they are back.
func (s Site) recovery(lost loss) float64 {
	if lost.whole {
		return max(s.Bounds.RecoverSeconds, s.Timing.CatchUpSeconds)
	}
	return s.Timing.CatchUpSeconds
}

// strikesCounted says whether a fault hits machines whose loss counts.
func strikesCounted(t Event) bool {
	switch t.Kind {
	case AfterAckKill, AfterAckWipe, CoreCut, ReplaceCore, DiskFull, DiskSlow, DiskStall, RollTerm:
		return true
	case NodeKill, NodeFreeze, NodeSlow, HerdKill:
		return t.Machines == Counted
	}
	return false
}

// missing is how long the machines that a fault hits are missing.
func (s Site) missing(t Event) float64 {
	switch t.Kind {
	case ReplaceCore:
		return s.replacing(t)
	case RollTerm:
		return s.rolling(t) + s.Bounds.GraceSeconds
	case CoreCut:
		return t.DurationSeconds + s.restarting(t)
	}
	if t.DurationSeconds > 0 {
		return t.DurationSeconds
	}
	return defaultDuration
}

// replacing is how long the replacement of a machine takes: one that is planned ends with a stop, which may take
// its complete grace period.
func (s Site) replacing(t Event) float64 {
	if hasVariantPart(t.Variant, "planned") {
		return 2*t.Strength + s.Bounds.GraceSeconds
	}
	return t.Strength
}

// restarting is how long machines are restarted around a partition, if they are.
func (s Site) restarting(t Event) float64 {
	if hasVariantPart(t.Variant, "both") {
		return s.Bounds.GraceSeconds
	}
	return 0
}

// rolling is how long it takes to stop machines in turn.
func (s Site) rolling(t Event) float64 {
	share, atOnce := t.Share, max(1, t.Strength)
	if share == 0 {
		share = 1
	}
	return math.Ceil(share*float64(s.machineCount())/atOnce) * t.GapSeconds
}

// hasVariantPart says whether a variant has a part.
func hasVariantPart(variant, word string) bool {
	return slices.Contains(strings.Fields(variant), word)
}

// budget keeps the losses of a scenario inside what its site tolerates.
type budget struct {
	most   int
	losses []loss
}

// fits says whether a loss may be added. A loss of all counted machines stands alone.
func (b *budget) fits(added loss) bool {
	apart := !slices.ContainsFunc(b.losses, func(l loss) bool {
		return (l.whole || added.whole) && l.from < added.settled && added.from < l.settled
	})
	return apart && (added.whole || b.lostDuring(added)+added.machines <= b.most)
}

// lostDuring is the most machines that are lost at once while a loss lasts.
func (b *budget) lostDuring(added loss) int {
	most := b.lostAt(added.from)
	for _, l := range b.losses {
		if l.from > added.from && l.from < added.settled {
			most = max(most, b.lostAt(l.from))
		}
	}
	return most
}

// lostAt is how many machines are lost at a time.
func (b *budget) lostAt(at float64) int {
	lost := 0
	for _, l := range b.losses {
		if !l.whole && l.from <= at && at < l.settled {
			lost += l.machines
		}
	}
	return lost
}

// earliest is the first time from at on at which a loss fits.
func (b *budget) earliest(wanted loss) float64 {
	at := wanted.from
	for !b.fits(wanted.movedTo(at)) {
		next := b.nextChange(at)
		if next <= at {
			break
		}
		at = next
	}
	return at
}

// nextChange is the next time after at by which a loss is over.
func (b *budget) nextChange(at float64) float64 {
	next := at
	for _, l := range b.losses {
		if l.settled > at && (next == at || l.settled < next) {
			next = l.settled
		}
	}
	return next
}

// settled is when every loss is over.
func (b *budget) settled() float64 {
	last := 0.0
	for _, l := range b.losses {
		last = max(last, l.settled)
	}
	return last
}

// allBack is when every machine is back, though some may still be in their recovery.
func (b *budget) allBack() float64 {
	last := 0.0
	for _, l := range b.losses {
		last = max(last, l.back)
	}
	return last
}

// movedTo is the loss as it would be from another time on.
func (l loss) movedTo(at float64) loss {
	moved := at - l.from
	l.from, l.back, l.settled = at, l.back+moved, l.settled+moved
	return l
}

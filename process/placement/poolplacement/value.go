package poolplacement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// over says how far the share of one copy is above what is fair, from 0 to 1.
func (s *survey) over(tokens float64, copies int, from float64) float64 {
	if s.fair <= 0 || copies <= 0 {
		return 0
	}
	return min(1, max(0, tokens/(float64(copies)*s.fair)-from))
}

// strain says how much it matters that load is uneven: little while engines are mostly idle.
func strain(heat float64) float64 {
	return math.Pow(min(1, heat/0.4), 1.5)
}

func meanHeat(copies []*engine) float64 {
	total := 0.0
	for _, e := range copies {
		total += e.heat
	}
	return total / float64(max(1, len(copies)))
}

// press says how hard a model's copies are pressed: the share of their places that are taken, by their
// reports or, sooner, by what is known to run and wait there.
func (s *survey) press(a *ask, copies []*engine) float64 {
	slots := 0
	for _, e := range copies {
		slots += e.slots
	}
	return max(meanHeat(copies), a.pressing()/float64(max(1, slots)))
}

// uneven says how far the share of one copy of so many is above what is fair, by what arrives and by what runs.
func (s *survey) uneven(a *ask, copies int, from float64) float64 {
	over := s.over(a.tokens, copies, from)
	if s.running > 0 {
		over = max(over, min(1, max(0, a.pressing()/(float64(copies)*s.running)-from)))
	}
	return over
}

// gain is what one more copy would bring, in requests a second; urgent says that somebody waits for it.
func (s *survey) gain(a *ask, copies []*engine) (gain float64, urgent bool) {
	if len(copies) == 0 {
		gain = a.rate() + s.heldWeight(a)*float64(a.held)
		if !s.off(featuregates.UnmetDemand) {
			gain += debtWeight * a.debt
		}
		return gain, a.held > 0 || a.arrivals > 0.05
	}
	// Some copy stands or is on its way: one more helps as far as those are overloaded.
	if !s.off(featuregates.ReplicasByDemand) {
		gain = a.rate()*s.uneven(a, len(copies), above)*strain(s.press(a, copies)) + queueWeight*max(0, a.heldSlow-1)*strain(s.press(a, copies))
	}
	if len(copies) == 1 && !s.off(featuregates.SecondReplicas) {
		// With a second copy no crash of one engine leaves nobody.
		gain = max(gain, secondCopy*a.rate())
	}
	return gain, gain > 0.5
}

// cost is what is lost, in requests a second, if one copy of something goes.
func (s *survey) cost(a *ask, copies []*engine) float64 {
	if a == nil {
		return 0
	}
	if len(copies) <= 1 {
		return a.rate()*s.absence(a) + useWeight*float64(a.held+a.running)
	}
	rest := len(copies) - 1
	heat := s.press(a, copies) * float64(len(copies)) / float64(rest)
	return a.rate()*(secondCopy/float64(rest*rest)+s.uneven(a, rest, below)*strain(heat)) + 0.1*float64(a.running)/float64(len(copies))
}

// comesInTime says whether something can be loaded within the target of those that ask for it.
func (a *ask) comesInTime() bool { return a.load+reaction <= a.target }

// heldWeight is how many requests a second one held request counts for.
func (s *survey) heldWeight(a *ask) float64 {
	if a.comesInTime() {
		return heldInTimeWeight
	}
	return heldWeight
}

// absence is the share of the requests for something that is lost while it stands nowhere. All are where it can't be
// there within the target of those that ask; else as much as the store and the engines have to do, since it may have
// to wait for both.
func (s *survey) absence(a *ask) float64 {
	if !a.comesInTime() {
		return 1
	}
	return min(1, max(leastAbsence, s.occupied))
}

// occupation is the share taken of what the store allows, or of the engines that may load at a time, whichever is more.
func (s *survey) occupation() float64 {
	store := float64(s.p.pace.count(s.now)) / float64(s.pool.most)
	engines := float64(s.loading+s.intents) / (busyShare * float64(max(1, len(s.engines))))
	return max(store, engines)
}

// light says whether something is asked for much less than an engine's share of all, and is not of the most
// urgent kind.
func (s *survey) light(a *ask) bool {
	return a.behind > 0 && a.rate()+float64(a.held)/4 < s.asks.arrivals/float64(4*max(1, len(s.engines)))
}

// want is one model or adapter that should stand on one more engine.
type want struct {
	registry.Target
	gain   float64
	urgent bool
	ask    *ask
}

func sortWants(wants []want) {
	slices.SortFunc(wants, func(a, b want) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.ask.rank, b.ask.rank), compareTargets(a.Target, b.Target))
	})
}

// dearer is by how much something must be worth more than what makes way for it.
func (s *survey) dearer() float64 {
	if s.off(featuregates.Hysteresis) {
		return 1
	}
	return dearer
}

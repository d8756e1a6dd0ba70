package poolplacement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// overload says how far the share of one replica is above what is fair, from 0 to 1.
func (s *survey) overload(tokens float64, replicas int, from float64) float64 {
	if s.fairTokens <= 0 || replicas <= 0 {
		return 0
	}
	return min(1, max(0, tokens/(float64(replicas)*s.fairTokens)-from))
}

// strain says how much it matters that load is uneven: little while engines are mostly idle.
func strain(utilization float64) float64 {
	return math.Pow(min(1, utilization/0.4), 1.5)
}

func meanUtilization(replicas []*engine) float64 {
	total := 0.0
	for _, e := range replicas {
		total += e.utilization
	}
	return total / float64(max(1, len(replicas)))
}

// pressure says how hard a model's replicas are pressed: the share of their slots that are used, by their
// reports or, sooner, by what is known to run and be queued there.
func (s *survey) pressure(item *itemDemand, replicas []*engine) float64 {
	slots := 0
	for _, e := range replicas {
		slots += e.slots
	}
	return max(meanUtilization(replicas), item.demandOnReplicas()/float64(max(1, slots)))
}

// imbalance says how far the share of one replica of so many is above what is fair, by what arrives and by what runs.
func (s *survey) imbalance(item *itemDemand, replicas int, from float64) float64 {
	over := s.overload(item.tokens, replicas, from)
	if s.fairRunning > 0 {
		over = max(over, min(1, max(0, item.demandOnReplicas()/(float64(replicas)*s.fairRunning)-from)))
	}
	return over
}

// gain is what one more replica would bring, in requests a second; urgent says that somebody waits for it.
func (s *survey) gain(item *itemDemand, replicas []*engine) (gain float64, urgent bool) {
	if len(replicas) == 0 {
		gain = item.rate() + s.queuedWeight(item)*float64(item.queued)
		if !s.disabled(featuregates.UnmetDemand) {
			gain += unmetWeight * item.unmet
		}
		return gain, item.queued > 0 || item.arrivals > 0.05
	}
	// There is a replica, or one is loading: one more helps as far as those are overloaded.
	if !s.disabled(featuregates.ReplicasByDemand) {
		gain = item.rate()*s.imbalance(item, len(replicas), above)*strain(s.pressure(item, replicas)) + queueWeight*max(0, item.slowQueued-1)*strain(s.pressure(item, replicas))
	}
	if len(replicas) == 1 && !s.disabled(featuregates.SecondReplicas) {
		// With a second replica no crash of one engine leaves none.
		gain = max(gain, secondReplicaShare*item.rate())
	}
	return gain, gain > 0.5
}

// cost is what is lost, in requests a second, if one replica of something goes.
func (s *survey) cost(item *itemDemand, replicas []*engine) float64 {
	if item == nil {
		return 0
	}
	if len(replicas) <= 1 {
		return item.rate()*s.absenceLoss(item) + useWeight*float64(item.queued+item.running)
	}
	rest := len(replicas) - 1
	utilization := s.pressure(item, replicas) * float64(len(replicas)) / float64(rest)
	return item.rate()*(secondReplicaShare/float64(rest*rest)+s.imbalance(item, rest, below)*strain(utilization)) + 0.1*float64(item.running)/float64(len(replicas))
}

// loadsInTime says whether something can be loaded within the target of those that request it.
func (item *itemDemand) loadsInTime() bool { return item.loadTime+reaction <= item.latencyTarget }

// queuedWeight is how many requests a second one queued request counts for.
func (s *survey) queuedWeight(item *itemDemand) float64 {
	if item.loadsInTime() {
		return queuedInTimeWeight
	}
	return queuedWeight
}

// absenceLoss is the share of the requests for something that is lost while it has no replica. All are where it can't be
// loaded within the latency target; else the share grows with how occupied the store and the engines are, since it may
// have to wait for both.
func (s *survey) absenceLoss(item *itemDemand) float64 {
	if !item.loadsInTime() {
		return 1
	}
	return min(1, max(minAbsenceLoss, s.occupied))
}

// occupation is the share taken of what the store allows, or of the engines that may load at a time, whichever is more.
func (s *survey) occupation() float64 {
	store := float64(s.planner.loadWindow.count(s.now)) / float64(s.pool.maxLoads)
	engines := float64(s.loading+s.intents) / (busyShare * float64(max(1, len(s.engines))))
	return max(store, engines)
}

// isLight says whether something is requested much less than an engine's share of all, and is not of the most
// urgent kind.
func (s *survey) isLight(item *itemDemand) bool {
	return item.ranksBehind > 0 && item.rate()+float64(item.queued)/4 < s.demand.arrivals/float64(4*max(1, len(s.engines)))
}

// candidate is one model or adapter that should be loaded on one more engine.
type candidate struct {
	registry.Target
	gain   float64
	urgent bool
	demand *itemDemand
}

func sortCandidates(candidates []candidate) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.demand.rank, b.demand.rank), compareTargets(a.Target, b.Target))
	})
}

// evictionMargin is by how much something must be worth more than what is evicted for it.
func (s *survey) evictionMargin() float64 {
	if s.disabled(featuregates.Hysteresis) {
		return 1
	}
	return minEvictionMargin
}

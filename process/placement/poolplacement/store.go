package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/process/engines/registry"
)

// mayLoad says whether the store allows another load now. A load without queued requests leaves half of the rate limit
// for those with.
func (s *survey) mayLoad(e *engine, target registry.Target, urgent, fresh bool) bool {
	return e.loadedBefore[target.Model] || s.storeAllows(urgent, fresh)
}

// storeAllows says so of a model that the engine has not had loaded.
func (s *survey) storeAllows(urgent, fresh bool) bool {
	free := s.planner.loadWindow.free(s.now, s.pool.maxLoads)
	if fresh {
		free -= s.intents
	}
	if urgent {
		return free > 0 && s.loading < s.pool.maxConcurrentLoads
	}
	return free > s.pool.maxLoads/2 && s.loading < max(1, s.pool.maxConcurrentLoads/2)
}

// mayEvictEarly says whether to evict for a model with queued requests before the store is free to load it.
func (s *survey) mayEvictEarly() bool {
	return s.planner.loadWindow.free(s.now, s.pool.maxLoads) > s.intents && s.stillLoading+s.intents < s.pool.maxConcurrentLoads
}

// loadSpan is how long a load is expected to take with so many under way.
func (s *survey) loadSpan(e *engine, target registry.Target, loading int) time.Duration {
	span := s.pool.loadTime(target.Model)
	if loading > s.pool.maxConcurrentLoads {
		span = span * time.Duration(loading) / time.Duration(s.pool.maxConcurrentLoads)
	}
	if e.loadedBefore[target.Model] {
		span /= 2
	}
	return span
}

// recordUnplaced reports that a target is not likely to be loaded before a wait has passed.
func (s *survey) recordUnplaced(target registry.Target, wait time.Duration) {
	s.planner.Unplaced = append(s.planner.Unplaced, Unplaced{s.pool.name, target.Model, target.Adapter, wait})
}

package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/process/engines/registry"
)

// mayLoad says whether the store allows another load now. What nobody waits for leaves half of its pace
// for what somebody will.
func (s *survey) mayLoad(e *engine, target registry.Target, urgent, fresh bool) bool {
	return e.had[target.Model] || s.storeAllows(urgent, fresh)
}

// storeAllows says so of a model that the engine has not had.
func (s *survey) storeAllows(urgent, fresh bool) bool {
	free := s.p.pace.free(s.now, s.pool.most)
	if fresh {
		free -= s.intents
	}
	if urgent {
		return free > 0 && s.loading < s.pool.atOnce
	}
	return free > s.pool.most/2 && s.loading < max(1, s.pool.atOnce/2)
}

// mayMakeRoom says whether room may be made for what somebody waits for: the store need not be free before there
// is room for what it gives.
func (s *survey) mayMakeRoom() bool {
	return s.p.pace.free(s.now, s.pool.most) > s.intents && s.stillLoading+s.intents < s.pool.atOnce
}

// loadSpan is how long a load is expected to take with so many under way.
func (s *survey) loadSpan(e *engine, target registry.Target, loading int) time.Duration {
	span := time.Duration(s.pool.models[target.Model].LoadMs) * time.Millisecond
	if loading > s.pool.atOnce {
		span = span * time.Duration(loading) / time.Duration(s.pool.atOnce)
	}
	if e.had[target.Model] {
		span /= 2
	}
	return span
}

func (s *survey) spanOf(model string) time.Duration {
	return time.Duration(s.pool.models[model].LoadMs) * time.Millisecond
}

func (s *survey) lack(target registry.Target, wait time.Duration) {
	s.p.Lacks = append(s.p.Lacks, Lack{s.pool.name, target.Model, target.Adapter, wait})
}

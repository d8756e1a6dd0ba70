package statemachine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
)

// ClosureAct is one closure or opening, so that one sent again finds itself.
type ClosureChange struct {
	Version  ident.Version  `json:"epoch"`
	Operator string         `json:"operator"`
	Zone     ident.ZoneID   `json:"zone,omitempty"`
	Engine   ident.EngineID `json:"engine,omitempty"`
	Closed   bool           `json:"closed"`
	// Keep says that it was no closure but a KEEP.
	Protect bool `json:"keep,omitempty"`
}

// mostActs is how many closures and openings are remembered, mostLost how many lost daemons.
const (
	maxClosureChanges = 64
	maxLostDaemons    = 64
)

func (s *State) changeClosure(c Command) Result {
	if c.HasBase {
		if result, settled := s.closureRetry(c); settled {
			return result
		}
	}
	if c.Ranking != nil {
		if order := c.rankingDecision(); order.ID != 0 && order == s.LastRanking {
			// This very order was taken, and operators may have acted since.
			return s.closuresNow()
		}
		if verdict, reason := s.checkRanking(c); verdict != Done {
			return Result{Outcome: verdict, Reason: reason}
		}
		s.LastRanking = c.rankingDecision()
	}
	mark := closure.Record{Operator: c.Operator, At: s.Now, Version: s.Closures.Version + 1, Ranking: c.Ranking}
	next := s.Closures.Clone()
	changed := false
	if before, shut := next.Engines[c.Engine]; shut && c.Closed && before.Ranking != nil && c.Ranking == nil {
		// What the ranking shut an operator may shut too; then only an operator opens it.
		delete(next.Engines, c.Engine)
	}
	if c.Zone != "" {
		changed = setRecord(next.Zones, c.Zone, c.Closed, mark)
	}
	if c.Engine != "" {
		changed = setRecord(next.Engines, c.Engine, c.Closed, mark) || changed
	}
	// What is closed already stays as it was, so a repeated order changes nothing.
	if changed {
		next.Version++
		s.setClosures(next)
		s.recordClosureChange(c)
	}
	return s.closuresNow()
}

// mostKept is how many engines may be kept at once: an engine's id is new with each start, so old ones go first.
const maxProtectedEngines = 1024

// keep has an engine kept from the ranking, or no longer.
func (s *State) protect(c Command) Result {
	if c.Engine == "" {
		return Result{Outcome: Malformed, Reason: "no engine is named"}
	}
	if c.HasBase {
		if result, settled := s.closureRetry(c); settled {
			return result
		}
	}
	next := s.Closures.Clone()
	mark := closure.Record{Operator: c.Operator, At: s.Now, Version: next.Version + 1}
	if setRecord(next.Protected, c.Engine, c.Closed, mark) {
		next.Version++
		for len(next.Protected) > maxProtectedEngines {
			oldest := slices.MinFunc(slices.Sorted(maps.Keys(next.Protected)), func(a, b ident.EngineID) int {
				return cmp.Compare(next.Protected[a].Version, next.Protected[b].Version)
			})
			delete(next.Protected, oldest)
		}
		s.setClosures(next)
		s.recordClosureChange(c)
	}
	return s.closuresNow()
}

func (s *State) closuresNow() Result {
	out := s.Closures.Clone()
	return Result{Outcome: Done, Closures: &out}
}

// raiseClosures puts the next closures in force. Refusals on bases that have passed need not be known any more.
func (s *State) setClosures(next closure.Set) {
	s.Closures = next
	s.RejectedClosures = slices.DeleteFunc(s.RejectedClosures, func(act ClosureChange) bool { return act.Version <= next.Version })
}

func setRecord[K comparable](marks map[K]closure.Record, key K, closed bool, mark closure.Record) bool {
	_, already := marks[key]
	if already == closed {
		return false
	}
	if closed {
		marks[key] = mark
	} else {
		delete(marks, key)
	}
	return true
}

// act is what a CLOSURE or KEEP leaves behind if it makes this closure epoch.
func (c Command) closureChange(epoch ident.Version) ClosureChange {
	return ClosureChange{Version: epoch, Operator: c.Operator, Zone: c.Zone, Engine: c.Engine, Closed: c.Closed, Protect: c.Op == OpProtect}
}

// noteAct writes down the closure, opening or keeping that made the newest closure epoch.
func (s *State) recordClosureChange(c Command) {
	s.ClosureChanges = append(s.ClosureChanges, c.closureChange(s.Closures.Version))
	s.ClosureChanges = s.ClosureChanges[max(0, len(s.ClosureChanges)-maxClosureChanges):]
}

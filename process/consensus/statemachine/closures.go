package statemachine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
)

const (
	// maxClosureChanges is how many changes of the closures are remembered, and how many refused ones.
	maxClosureChanges = 64
	// maxProtectedEngines is how many engines may be protected at once: an engine's id is new with each start, so the
	// oldest entries are dropped first.
	maxProtectedEngines = 1024
)

// ClosureChange is one change of the closures by an operator or by the ranking, remembered so that its retry finds it.
type ClosureChange struct {
	// Version is the version of the closures that the change made.
	Version  ident.Version  `json:"epoch"`
	Operator string         `json:"operator"`
	Zone     ident.ZoneID   `json:"zone,omitempty"`
	Engine   ident.EngineID `json:"engine,omitempty"`
	Closed   bool           `json:"closed"`
	// Protect says that the change came of OpProtect and not of OpClosure.
	Protect bool `json:"keep,omitempty"`
}

// closureChange is the change that an OpClosure or OpProtect leaves behind if it makes this version of the closures.
func (c Command) closureChange(version ident.Version) ClosureChange {
	return ClosureChange{Version: version, Operator: c.Operator, Zone: c.Zone, Engine: c.Engine, Closed: c.Closed, Protect: c.Op == OpProtect}
}

// changeClosure closes or opens a zone, or drains an engine or ends its draining.
func (s *State) changeClosure(command Command) Result {
	if command.HasBase {
		if result, decided := s.closureRetry(command); decided {
			return result
		}
	}
	if command.Ranking != nil {
		if decision := command.rankingDecision(); decision.ID != 0 && decision == s.LastRanking {
			// This very decision took effect before, and operators may have acted since.
			return s.currentClosures()
		}
		if outcome, reason := s.checkRanking(command); outcome != Done {
			return Result{Outcome: outcome, Reason: reason}
		}
		s.LastRanking = command.rankingDecision()
	}
	record := closure.Record{Operator: command.Operator, At: s.Now, Version: s.Closures.Version + 1, Ranking: command.Ranking}
	next := s.Closures.Clone()
	changed := false
	if before, closed := next.Engines[command.Engine]; closed && command.Closed && before.Ranking != nil && command.Ranking == nil {
		// An operator may drain what the ranking drains; from then on only an operator ends the draining.
		delete(next.Engines, command.Engine)
	}
	if command.Zone != "" {
		changed = setRecord(next.Zones, command.Zone, command.Closed, record)
	}
	if command.Engine != "" {
		changed = setRecord(next.Engines, command.Engine, command.Closed, record) || changed
	}
	// What is closed already keeps its record, so a repeated command changes nothing.
	if changed {
		next.Version++
		s.setClosures(next)
		s.recordClosureChange(command)
	}
	return s.currentClosures()
}

// protect protects an engine from the ranking, or ends that.
func (s *State) protect(command Command) Result {
	if command.Engine == "" {
		return Result{Outcome: Malformed, Reason: "no engine is named"}
	}
	if command.HasBase {
		if result, decided := s.closureRetry(command); decided {
			return result
		}
	}
	next := s.Closures.Clone()
	record := closure.Record{Operator: command.Operator, At: s.Now, Version: next.Version + 1}
	if setRecord(next.Protected, command.Engine, command.Closed, record) {
		next.Version++
		dropOldestRecords(next.Protected, maxProtectedEngines)
		s.setClosures(next)
		s.recordClosureChange(command)
	}
	return s.currentClosures()
}

func (s *State) currentClosures() Result {
	closures := s.Closures.Clone()
	return Result{Outcome: Done, Closures: &closures}
}

// setClosures puts the next version of the closures in force. Refusals on bases that have passed need not be
// remembered any more.
func (s *State) setClosures(next closure.Set) {
	s.Closures = next
	s.RejectedClosures = slices.DeleteFunc(s.RejectedClosures, func(change ClosureChange) bool { return change.Version <= next.Version })
}

// recordClosureChange remembers the change that made the newest version of the closures.
func (s *State) recordClosureChange(command Command) {
	s.ClosureChanges = append(s.ClosureChanges, command.closureChange(s.Closures.Version))
	s.ClosureChanges = s.ClosureChanges[max(0, len(s.ClosureChanges)-maxClosureChanges):]
}

// setRecord adds or removes an entry, and says whether that changed anything.
func setRecord[K comparable](records map[K]closure.Record, key K, closed bool, record closure.Record) bool {
	_, already := records[key]
	if already == closed {
		return false
	}
	if closed {
		records[key] = record
	} else {
		delete(records, key)
	}
	return true
}

// dropOldestRecords removes the entries of the lowest versions until at most limit are left.
func dropOldestRecords[K cmp.Ordered](records map[K]closure.Record, limit int) {
	for len(records) > limit {
		// Sorted, so that every replica drops the same one of several entries with equal versions.
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(records)), func(a, b K) int {
			return cmp.Compare(records[a].Version, records[b].Version)
		})
		delete(records, oldest)
	}
}

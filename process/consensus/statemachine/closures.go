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

// RankingOrder is the newest order of the ranking that was taken. Its stamp is minted, so that a copy of it, or of an
// earlier one, is known.
type RankingDecision struct {
	Token  ident.FencingToken `json:"claim"`
	ID     ident.SnowflakeID  `json:"stamp"`
	Engine ident.EngineID     `json:"engine,omitempty"`
	Closed bool               `json:"closed,omitempty"`
}

// rankingOrder is what tells one order of the ranking from all others.
func (c Command) rankingDecision() RankingDecision {
	return RankingDecision{Token: c.Ranking.Token, ID: c.Ranking.ID, Engine: c.Engine, Closed: c.Closed}
}

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

// noteAct writes down the closure, opening or keeping that made the newest closure epoch.
func (s *State) recordClosureChange(c Command) {
	s.ClosureChanges = append(s.ClosureChanges, c.closureChange(s.Closures.Version))
	s.ClosureChanges = s.ClosureChanges[max(0, len(s.ClosureChanges)-maxClosureChanges):]
}

// mayRank says whether whoever plans may shut or open an engine: it holds the claim, operators don't keep the engine,
// and it opens only what the ranking shut.
func (s *State) checkRanking(c Command) (Outcome, string) {
	_, kept := s.Closures.Protected[c.Engine]
	before, shut := s.Closures.Engines[c.Engine]
	switch {
	case c.Engine == "" || c.Zone != "":
		return Malformed, "the ranking shuts engines alone"
	case s.PlannerLease.Token != c.Ranking.Token || s.PlannerLease.NodeID != c.NodeID || s.PlannerLease.Expiry <= s.Now:
		return Forbidden, "the claim under which this was ranked is no longer held"
	case s.LastRanking.Token == c.Ranking.Token && c.Ranking.ID < s.LastRanking.ID:
		return Forbidden, "a later order of this claim's ranking was taken"
	case c.Closed && kept:
		return Forbidden, "an operator keeps this engine"
	case !c.Closed && shut && before.Ranking == nil:
		return Forbidden, "an operator drains this engine"
	}
	return Done, ""
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

// act is what a CLOSURE or KEEP leaves behind if it makes this closure epoch.
func (c Command) closureChange(epoch ident.Version) ClosureChange {
	return ClosureChange{Version: epoch, Operator: c.Operator, Zone: c.Zone, Engine: c.Engine, Closed: c.Closed, Protect: c.Op == OpProtect}
}

// closureSettled answers a closure that can't be carried out: its base is not the closures in force, or it was
// refused before. It may be one that was carried out already and lost its answer.
func (s *State) closureRetry(c Command) (Result, bool) {
	act := c.closureChange(c.Base + 1)
	switch {
	case c.Base < s.Closures.Version:
		return s.closureOnPassedBase(act), true
	case slices.Contains(s.RejectedClosures, act):
		return s.closureConflict(), true
	case c.Base == s.Closures.Version:
		return Result{}, false
	case len(s.RejectedClosures) >= maxClosureChanges:
		return s.closureUnproven(), true
	}
	// The base may yet come in force, and a copy of this closure with it: so the refusal is written down.
	s.RejectedClosures = append(slices.Clone(s.RejectedClosures), act)
	return s.closureConflict(), true
}

// closurePassed answers a closure whose base has passed. Each change of the closures leaves one act or, where a
// daemon is declared lost, none: so only the acts before the oldest one known were forgotten.
func (s *State) closureOnPassedBase(act ClosureChange) Result {
	if slices.Contains(s.ClosureChanges, act) {
		return s.closuresNow()
	}
	if len(s.ClosureChanges) == maxClosureChanges && act.Version < s.ClosureChanges[0].Version {
		return s.closureUnproven()
	}
	result := s.closureConflict()
	for _, other := range s.ClosureChanges {
		if other.Version == act.Version {
			result.Winner = other.Operator
		}
	}
	return result
}

func (s *State) closureConflict() Result {
	result := s.closuresNow()
	result.Outcome, result.Reason = Conflict, "the base is not the closure epoch in force"
	return result
}

func (s *State) closureUnproven() Result {
	result := s.closuresNow()
	result.Outcome, result.Reason = Unproven, "what became of this closure is not known any more"
	return result
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

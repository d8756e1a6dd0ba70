package statemachine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
)

// ClosureAct is one closure or opening, so that one sent again finds itself.
type ClosureAct struct {
	Epoch    ident.Version  `json:"epoch"`
	Operator string         `json:"operator"`
	Zone     ident.ZoneID   `json:"zone,omitempty"`
	Engine   ident.EngineID `json:"engine,omitempty"`
	Closed   bool           `json:"closed"`
	// Keep says that it was no closure but a KEEP.
	Keep bool `json:"keep,omitempty"`
}

// mostActs is how many closures and openings are remembered, mostLost how many lost daemons.
const (
	mostActs = 64
	mostLost = 64
)

// RankingOrder is the newest order of the ranking that was taken. Its stamp is minted, so that a copy of it, or of an
// earlier one, is known.
type RankingOrder struct {
	Claim  ident.FencingToken `json:"claim"`
	Stamp  ident.SnowflakeID  `json:"stamp"`
	Engine ident.EngineID     `json:"engine,omitempty"`
	Closed bool               `json:"closed,omitempty"`
}

// rankingOrder is what tells one order of the ranking from all others.
func (c Command) rankingOrder() RankingOrder {
	return RankingOrder{Claim: c.Ranking.Claim, Stamp: c.Ranking.Stamp, Engine: c.Engine, Closed: c.Closed}
}

func (s *State) close(c Command) Result {
	if c.Based {
		if result, settled := s.closureSettled(c); settled {
			return result
		}
	}
	if c.Ranking != nil {
		if order := c.rankingOrder(); order.Stamp != 0 && order == s.Ranked {
			// This very order was taken, and operators may have acted since.
			return s.closuresNow()
		}
		if verdict, reason := s.mayRank(c); verdict != Done {
			return Result{Verdict: verdict, Reason: reason}
		}
		s.Ranked = c.rankingOrder()
	}
	mark := closure.Record{Operator: c.Operator, At: s.Now, Epoch: s.Closures.Epoch + 1, Ranking: c.Ranking}
	next := s.Closures.Clone()
	changed := false
	if before, shut := next.Engines[c.Engine]; shut && c.Closed && before.Ranking != nil && c.Ranking == nil {
		// What the ranking shut an operator may shut too; then only an operator opens it.
		delete(next.Engines, c.Engine)
	}
	if c.Zone != "" {
		changed = setClosure(next.Zones, c.Zone, c.Closed, mark)
	}
	if c.Engine != "" {
		changed = setClosure(next.Engines, c.Engine, c.Closed, mark) || changed
	}
	// What is closed already stays as it was, so a repeated order changes nothing.
	if changed {
		next.Epoch++
		s.raiseClosures(next)
		s.noteAct(c)
	}
	return s.closuresNow()
}

// noteAct writes down the closure, opening or keeping that made the newest closure epoch.
func (s *State) noteAct(c Command) {
	s.Acts = append(s.Acts, c.act(s.Closures.Epoch))
	s.Acts = s.Acts[max(0, len(s.Acts)-mostActs):]
}

// mayRank says whether whoever plans may shut or open an engine: it holds the claim, operators don't keep the engine,
// and it opens only what the ranking shut.
func (s *State) mayRank(c Command) (Verdict, string) {
	_, kept := s.Closures.Kept[c.Engine]
	before, shut := s.Closures.Engines[c.Engine]
	switch {
	case c.Engine == "" || c.Zone != "":
		return Malformed, "the ranking shuts engines alone"
	case s.Claim.Number != c.Ranking.Claim || s.Claim.NodeID != c.NodeID || s.Claim.Until <= s.Now:
		return Forbidden, "the claim under which this was ranked is no longer held"
	case s.Ranked.Claim == c.Ranking.Claim && c.Ranking.Stamp < s.Ranked.Stamp:
		return Forbidden, "a later order of this claim's ranking was taken"
	case c.Closed && kept:
		return Forbidden, "an operator keeps this engine"
	case !c.Closed && shut && before.Ranking == nil:
		return Forbidden, "an operator drains this engine"
	}
	return Done, ""
}

// mostKept is how many engines may be kept at once: an engine's id is new with each start, so old ones go first.
const mostKept = 1024

// keep has an engine kept from the ranking, or no longer.
func (s *State) keep(c Command) Result {
	if c.Engine == "" {
		return Result{Verdict: Malformed, Reason: "no engine is named"}
	}
	if c.Based {
		if result, settled := s.closureSettled(c); settled {
			return result
		}
	}
	next := s.Closures.Clone()
	mark := closure.Record{Operator: c.Operator, At: s.Now, Epoch: next.Epoch + 1}
	if setClosure(next.Kept, c.Engine, c.Closed, mark) {
		next.Epoch++
		for len(next.Kept) > mostKept {
			oldest := slices.MinFunc(slices.Sorted(maps.Keys(next.Kept)), func(a, b ident.EngineID) int {
				return cmp.Compare(next.Kept[a].Epoch, next.Kept[b].Epoch)
			})
			delete(next.Kept, oldest)
		}
		s.raiseClosures(next)
		s.noteAct(c)
	}
	return s.closuresNow()
}

func (s *State) closuresNow() Result {
	out := s.Closures.Clone()
	return Result{Verdict: Done, Closures: &out}
}

// act is what a CLOSURE or KEEP leaves behind if it makes this closure epoch.
func (c Command) act(epoch ident.Version) ClosureAct {
	return ClosureAct{Epoch: epoch, Operator: c.Operator, Zone: c.Zone, Engine: c.Engine, Closed: c.Closed, Keep: c.Op == OpKeep}
}

// closureSettled answers a closure that can't be carried out: its base is not the closures in force, or it was
// refused before. It may be one that was carried out already and lost its answer.
func (s *State) closureSettled(c Command) (Result, bool) {
	act := c.act(c.Base + 1)
	switch {
	case c.Base < s.Closures.Epoch:
		return s.closurePassed(act), true
	case slices.Contains(s.RefusedActs, act):
		return s.closureRefused(), true
	case c.Base == s.Closures.Epoch:
		return Result{}, false
	case len(s.RefusedActs) >= mostActs:
		return s.closureUnproven(), true
	}
	// The base may yet come in force, and a copy of this closure with it: so the refusal is written down.
	s.RefusedActs = append(slices.Clone(s.RefusedActs), act)
	return s.closureRefused(), true
}

// closurePassed answers a closure whose base has passed. Each change of the closures leaves one act or, where a
// daemon is declared lost, none: so only the acts before the oldest one known were forgotten.
func (s *State) closurePassed(act ClosureAct) Result {
	if slices.Contains(s.Acts, act) {
		return s.closuresNow()
	}
	if len(s.Acts) == mostActs && act.Epoch < s.Acts[0].Epoch {
		return s.closureUnproven()
	}
	result := s.closureRefused()
	for _, other := range s.Acts {
		if other.Epoch == act.Epoch {
			result.Winner = other.Operator
		}
	}
	return result
}

func (s *State) closureRefused() Result {
	result := s.closuresNow()
	result.Verdict, result.Reason = Conflict, "the base is not the closure epoch in force"
	return result
}

func (s *State) closureUnproven() Result {
	result := s.closuresNow()
	result.Verdict, result.Reason = Unproven, "what became of this closure is not known any more"
	return result
}

// raiseClosures puts the next closures in force. Refusals on bases that have passed need not be known any more.
func (s *State) raiseClosures(next closure.Set) {
	s.Closures = next
	s.RefusedActs = slices.DeleteFunc(s.RefusedActs, func(act ClosureAct) bool { return act.Epoch <= next.Epoch })
}

func setClosure[K comparable](marks map[K]closure.Record, key K, closed bool, mark closure.Record) bool {
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

package statemachine

import (
	"github.com/cresspond/cresspond/ident"
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

package statemachine

import "github.com/cresspond/cresspond/ident"

// RankingDecision identifies the newest decision of the ranking that took effect. Its id is a snowflake id, so a retry of
// it, or an earlier decision of the same planner, is recognised.
type RankingDecision struct {
	Token  ident.FencingToken `json:"claim"`
	ID     ident.SnowflakeID  `json:"stamp"`
	Engine ident.EngineID     `json:"engine,omitempty"`
	Closed bool               `json:"closed,omitempty"`
}

// rankingDecision is what distinguishes one decision of the ranking from all others.
func (c Command) rankingDecision() RankingDecision {
	return RankingDecision{Token: c.Ranking.Token, ID: c.Ranking.ID, Engine: c.Engine, Closed: c.Closed}
}

// checkRanking says whether the planner may drain an engine or end its draining: it holds the lease, operators don't
// protect the engine, and it ends only what the ranking began.
func (s *State) checkRanking(command Command) (outcome Outcome, reason string) {
	_, protected := s.Closures.Protected[command.Engine]
	before, closed := s.Closures.Engines[command.Engine]
	lease, ranking := s.PlannerLease, command.Ranking
	switch {
	case command.Engine == "" || command.Zone != "":
		return Malformed, "the ranking drains engines alone"
	case lease.Token != ranking.Token || lease.NodeID != command.NodeID || lease.Expiry <= s.Now:
		return Forbidden, "the planner's lease under which this was ranked has ended"
	case s.LastRanking.Token == ranking.Token && ranking.ID < s.LastRanking.ID:
		return Forbidden, "a later decision of this planner's ranking took effect"
	case command.Closed && protected:
		return Forbidden, "an operator protects this engine"
	case !command.Closed && closed && before.Ranking == nil:
		return Forbidden, "an operator drains this engine"
	}
	return Done, ""
}

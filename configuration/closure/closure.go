// Package closure is the versioned set of what operators and the ranking have closed: zones that take no new requests,
// and engines that are draining. The replicated state owns it (process/consensus/statemachine is its only writer);
// routing tables, peers and operators' tools read copies of it.
package closure

import (
	"maps"

	"github.com/cresspond/cresspond/ident"
)

// Set is all closures in force at one version. The zero value is the set of a group in which nothing was closed yet.
type Set struct {
	// Epoch is the version of the set; each change raises it by one.
	Version ident.Version             `json:"epoch"`
	Zones   map[ident.ZoneID]Record   `json:"zones"`
	Engines map[ident.EngineID]Record `json:"engines"`
	// Kept lists the engines that operators protect: the ranking may not drain them.
	Protected map[ident.EngineID]Record `json:"kept,omitempty"`
	// Lost lists the incarnations of daemons that an operator declared lost: one that finds itself here stops.
	Lost map[ident.NodeID]Record `json:"lost,omitempty"`
}

// Record says who made one entry of the set, and when.
type Record struct {
	Operator string          `json:"operator"`
	At       ident.GroupTime `json:"at"`
	// Epoch is the version of the set that the entry made.
	Version ident.Version `json:"epoch"`
	// Ranking is set where the ranking of nodes drained the engine, not an operator.
	Ranking *RankingDecision `json:"ranking,omitempty"`
}

// RankingDecision identifies the decision of the ranking that drained an engine: the planner's claim it was made under, the
// minted id of its record, and the reason.
type RankingDecision struct {
	Token  ident.FencingToken `json:"claim"`
	ID     ident.SnowflakeID  `json:"stamp"`
	Reason string             `json:"reason,omitempty"`
}

// Clone gives a copy that shares no map with the original. All its maps can be written to, whatever the original has.
func (s Set) Clone() Set {
	return Set{
		Version:   s.Version,
		Zones:     cloneRecords(s.Zones),
		Engines:   cloneRecords(s.Engines),
		Protected: cloneRecords(s.Protected),
		Lost:      cloneRecords(s.Lost),
	}
}

func cloneRecords[K comparable](records map[K]Record) map[K]Record {
	cloned := make(map[K]Record, len(records))
	maps.Copy(cloned, records)
	return cloned
}

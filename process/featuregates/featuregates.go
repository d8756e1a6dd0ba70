// Package featuregates names the mechanisms of routing and placement that can be switched off one by one, so that an
// experiment can measure what each is worth. All are on by default.
package featuregates

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrUnknown says that no mechanism has a name.
var ErrUnknown = errors.New("unknown mechanism")

// Mechanism is one mechanism of routing or placement.
type Mechanism uint8

const (
	// PrefixCacheAffinity weighs which parts of a prompt an engine is known to have kept.
	PrefixCacheAffinity Mechanism = iota
	// PrefixOwners sends prompts with the same shared parts to few engines, by rendezvous.
	PrefixOwners
	// ZoneCost makes an engine in another zone dearer.
	ZoneCost
	// WarmConnections prefers engines that a connection is kept to.
	WarmConnections
	// FirstByteWait weighs for how long an engine's oldest first byte has been awaited.
	FirstByteWait
	// SpeculativeDispatch sends one request ahead of the news that a load is done.
	SpeculativeDispatch
	// Shedding refuses by a draw what is expected to be answered long after its target.
	Shedding
	// LoadEstimates refuses at once what a load will come too late for.
	LoadEstimates
	// ErrorPenalty makes engines dearer whose attempts failed lately.
	ErrorPenalty
	// SlowStart makes engines dearer that are slow from their start.
	SlowStart
	// Resumption takes broken streams up at another engine.
	Resumption
	// Retries sends a request again that provably did not run.
	Retries
	// UnloadNotice tells all daemons of an unload before it is ordered.
	UnloadNotice
	// RankWeight places models of urgent paths before others.
	RankWeight
	// ReplicasByDemand places further copies of models whose copies have too much to do.
	ReplicasByDemand
	// DemandTrend foresees from how demand grows what will be asked for once a load has ended.
	DemandTrend
	// SecondReplicas places a second copy of what stands on one engine only.
	SecondReplicas
	// UnmetDemand lets requests that came in vain count for the model they asked for.
	UnmetDemand
	// AdapterDwell keeps adapters in use on an engine for a while before one is exchanged.
	AdapterDwell
	// Hysteresis asks a load to be worth clearly more than what makes way for it.
	Hysteresis
	count
)

// Description is a mechanism's name in settings and what it does.
type Description struct{ Name, Purpose string }

var descriptions = [count]Description{
	PrefixCacheAffinity: {"kept-prefixes", "weigh which parts of a prompt an engine has kept"},
	PrefixOwners:        {"homes", "send prompts with the same shared parts to few engines"},
	ZoneCost:            {"zone-cost", "prefer engines of the own zone"},
	WarmConnections:     {"warm-connections", "prefer engines that a connection is kept to"},
	FirstByteWait:       {"awaiting", "weigh for how long an engine's oldest first byte has been awaited"},
	SpeculativeDispatch: {"speculation", "send one request ahead of the news that a load is done"},
	Shedding:            {"shedding", "refuse by a draw what is expected long after its target"},
	LoadEstimates:       {"load-estimates", "refuse at once what a load will come too late for"},
	ErrorPenalty:        {"badness", "prefer engines that did not fail lately"},
	SlowStart:           {"slow-start", "send less to engines that are slow from their start"},
	Resumption:          {"resumption", "take broken streams up at another engine"},
	Retries:             {"retries", "send again what provably did not run"},
	UnloadNotice:        {"notice", "tell all daemons of an unload before it is ordered"},
	RankWeight:          {"rank-weight", "place models of urgent paths before others"},
	ReplicasByDemand:    {"copies-by-demand", "place further copies of models that have too much to do"},
	DemandTrend:         {"trend", "foresee what will be asked for once a load has ended"},
	SecondReplicas:      {"second-copies", "place a second copy of what stands on one engine"},
	UnmetDemand:         {"debt", "count requests that came in vain for the model they asked for"},
	AdapterDwell:        {"adapter-turns", "keep adapters in use for a while before one is exchanged"},
	Hysteresis:          {"hysteresis", "load only what is worth clearly more than what makes way"},
}

// Descriptions lists all mechanisms.
func Descriptions() []Description { return slices.Clone(descriptions[:]) }

// Names lists the names of all mechanisms.
func Names() []string {
	names := make([]string, 0, count)
	for _, one := range descriptions {
		names = append(names, one.Name)
	}
	return names
}

// Set is a set of mechanisms. The zero set is empty.
type Set uint32

// Has says whether a mechanism is in the set.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// With gives the set with one more mechanism.
func (s Set) With(m Mechanism) Set { return s | 1<<m }

// String lists the names in the set, in the order of Descriptions.
func (s Set) String() string {
	var names []string
	for m, one := range descriptions {
		if s.Has(Mechanism(m)) {
			names = append(names, one.Name)
		}
	}
	return strings.Join(names, ",")
}

// Parse gives the set of the mechanisms named. The error wraps ErrUnknown and bears the first name that is none.
func Parse(names []string) (Set, error) {
	var set Set
	for _, name := range names {
		m := slices.IndexFunc(descriptions[:], func(one Description) bool { return one.Name == name })
		if m < 0 {
			return 0, fmt.Errorf("%w: %q", ErrUnknown, name)
		}
		set = set.With(Mechanism(m))
	}
	return set, nil
}

// Package featuregates names the mechanisms of routing and placement that can be disabled one by one, so that an experiment
// can measure what each contributes. All are enabled by default. The settings (daemonconfig.Experiments) name the disabled
// ones; request/forwarding and process/placement look them up where the mechanism acts.
package featuregates

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrUnknown is wrapped by the error of Parse for a name that no mechanism has.
var ErrUnknown = errors.New("unknown mechanism")

// Mechanism is one mechanism of routing or placement that can be disabled.
type Mechanism uint8

const (
	// PrefixCacheAffinity scores engines by which prefixes of the prompt their prefix caches are known to hold.
	PrefixCacheAffinity Mechanism = iota
	// PrefixOwners sends prompts with the same prefixes to few engines, by rendezvous hashing.
	PrefixOwners
	// ZoneCost adds a penalty to engines in other zones.
	ZoneCost
	// WarmConnections prefers engines with an idle connection.
	WarmConnections
	// FirstByteWait scores engines by how long their oldest outstanding first byte has been awaited.
	FirstByteWait
	// SpeculativeDispatch sends one request before the completion of a load is reported.
	SpeculativeDispatch
	// Shedding rejects, at random, requests whose response is expected long after their latency target.
	Shedding
	// LoadEstimates rejects requests at once for which a load will complete too late.
	LoadEstimates
	// ErrorPenalty adds a penalty to engines with recent failures.
	ErrorPenalty
	// SlowStart adds a penalty to engines that started recently.
	SlowStart
	// Resumption resumes broken streams at another engine.
	Resumption
	// Retries retries requests that provably did not run.
	Retries
	// UnloadNotice notifies all daemons of an unload before it is commanded.
	UnloadNotice
	// RankWeight places models of urgent paths before others.
	RankWeight
	// ReplicasByDemand adds replicas of models whose replicas are overloaded.
	ReplicasByDemand
	// DemandTrend extrapolates demand to the time at which a load would complete.
	DemandTrend
	// SecondReplicas adds a second replica of models on one engine only.
	SecondReplicas
	// UnmetDemand counts rejected requests as demand for their model.
	UnmetDemand
	// AdapterDwell keeps adapters in use on an engine for a minimum time before one is exchanged.
	AdapterDwell
	// Hysteresis requires a load to be worth clearly more than what it evicts.
	Hysteresis
	count
)

// Description describes a mechanism.
type Description struct {
	// Name is its name in settings and flags, which stays when the constant's name changes.
	Name string
	// Purpose says what it does, for the command's help.
	Purpose string
}

// descriptions are by Mechanism.

var descriptions = [count]Description{
	PrefixCacheAffinity: {"kept-prefixes", "score engines by which prefixes of the prompt their prefix caches are known to hold"},
	PrefixOwners:        {"homes", "send prompts with the same prefixes to few engines, by rendezvous hashing"},
	ZoneCost:            {"zone-cost", "add a penalty to engines in other zones"},
	WarmConnections:     {"warm-connections", "prefer engines with an idle connection"},
	FirstByteWait:       {"awaiting", "score engines by how long their oldest outstanding first byte has been awaited"},
	SpeculativeDispatch: {"speculation", "send one request before the completion of a load is reported"},
	Shedding:            {"shedding", "reject, at random, requests whose response is expected long after their latency target"},
	LoadEstimates:       {"load-estimates", "reject requests at once for which a load will complete too late"},
	ErrorPenalty:        {"badness", "add a penalty to engines with recent failures"},
	SlowStart:           {"slow-start", "add a penalty to engines that started recently"},
	Resumption:          {"resumption", "resume broken streams at another engine"},
	Retries:             {"retries", "retry requests that provably did not run"},
	UnloadNotice:        {"notice", "notify all daemons of an unload before it is commanded"},
	RankWeight:          {"rank-weight", "place models of urgent paths before others"},
	ReplicasByDemand:    {"copies-by-demand", "add replicas of models whose replicas are overloaded"},
	DemandTrend:         {"trend", "extrapolate demand to the time at which a load would complete"},
	SecondReplicas:      {"second-copies", "add a second replica of models on one engine only"},
	UnmetDemand:         {"debt", "count rejected requests as demand for their model"},
	AdapterDwell:        {"adapter-turns", "keep adapters in use on an engine for a minimum time before one is exchanged"},
	Hysteresis:          {"hysteresis", "require a load to be worth clearly more than what it evicts"},
}

// Descriptions returns the descriptions of all mechanisms, in their order.
func Descriptions() []Description { return slices.Clone(descriptions[:]) }

// Names returns the names of all mechanisms.
func Names() []string {
	names := make([]string, 0, count)
	for _, description := range descriptions {
		names = append(names, description.Name)
	}
	return names
}

// Set is a set of mechanisms. The zero set is empty.
type Set uint32

// Has reports whether a mechanism is in the set.
func (s Set) Has(mechanism Mechanism) bool { return s&(1<<mechanism) != 0 }

// With returns the set with one more mechanism.
func (s Set) With(mechanism Mechanism) Set { return s | 1<<mechanism }

// String returns the names in the set, separated by commas, in the order of Descriptions.
func (s Set) String() string {
	var names []string
	for index, description := range descriptions {
		if s.Has(Mechanism(index)) {
			names = append(names, description.Name)
		}
	}
	return strings.Join(names, ",")
}

// Parse returns the set of the mechanisms named. Its error wraps ErrUnknown and holds the first unknown name.
func Parse(names []string) (Set, error) {
	var set Set
	for _, name := range names {
		index := slices.IndexFunc(descriptions[:], func(description Description) bool { return description.Name == name })
		if index < 0 {
			return 0, fmt.Errorf("%w: %q", ErrUnknown, name)
		}
		set = set.With(Mechanism(index))
	}
	return set, nil
}

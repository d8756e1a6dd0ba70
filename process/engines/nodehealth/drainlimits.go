package nodehealth

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cresspond/cresspond/ident"
)

// Target names a model, or one adapter of it.
type Target struct{ Model, Adapter string }

// Engine is one engine as far as draining goes. It says nothing of whose requests the engine serves.
type Engine struct {
	ID   ident.EngineID
	Pool string
	Zone ident.ZoneID
	// Open says that new requests may go to it. DrainedByRanking says that the ranking closed it, KeptOpen that an operator
	// forbids the ranking to.
	Open, DrainedByRanking, KeptOpen bool
	Loaded                           []Target
}

// Fleet is all registered engines, by id.
type Fleet map[ident.EngineID]Engine

// Refusal is why an engine may not be drained now. Its strings are on pages and in counters. Its strings are on pages and in counters.
type Refusal uint8

const (
	// Allowed is no refusal.
	Allowed Refusal = iota
	// Unknown is an engine that is not registered.
	Unknown
	// AlreadyClosed is an engine that gets nothing new already.
	AlreadyClosed
	// OperatorKeepsOpen is an engine that an operator keeps open.
	OperatorKeepsOpen
	// PoolLimit says that too many engines of its pool are closed.
	PoolLimit
	// ZoneLimit says that too many engines of its zone are closed.
	ZoneLimit
	// ReplicaLimit says that too many replicas of something that it has loaded are closed.
	ReplicaLimit
	// LastReplica says that it has the only replica of something, which must be loaded elsewhere first.
	LastReplica
	refusalCount
)

func (r Refusal) String() string {
	return [...]string{"allowed", "unknown", "shut-already", "kept", "past-pool", "past-zone", "past-holders", "last-holder"}[r]
}

// Name is the refusal as it is in the names of counters.
func (r Refusal) Name() string { return strings.ReplaceAll(r.String(), "-", "_") }

// Reason is a refusal in words for operators.
func (r Refusal) Reason() string {
	return [...]string{"nothing speaks against it", "no such engine is registered", "nothing new goes to this engine already",
		"an operator keeps this engine", "too many engines of its pool are shut", "too many engines of its zone are shut",
		"too many holders of a model or adapter that it holds are shut", "it alone holds a model or adapter, which must be loaded elsewhere first"}[r]
}

// refusal is one rule; it returns Allowed where it does not apply.
type refusal func(s Settings, fleet Fleet, engine Engine) Refusal

func defaultRefusals() []refusal {
	return []refusal{refuseClosed, refuseKept, refusePool, refuseZone, refuseReplicas, refuseLastReplica}
}

func (r rules) checkDrain(s Settings, fleet Fleet, id ident.EngineID) Refusal {
	engine, known := fleet[id]
	if !known {
		return Unknown
	}
	for _, rule := range r.refusals {
		if why := rule(s, fleet, engine); why != Allowed {
			return why
		}
	}
	return Allowed
}

func refuseClosed(_ Settings, _ Fleet, engine Engine) Refusal {
	if !engine.Open {
		return AlreadyClosed
	}
	return Allowed
}

func refuseKept(_ Settings, _ Fleet, engine Engine) Refusal {
	if engine.KeptOpen {
		return OperatorKeepsOpen
	}
	return Allowed
}

// countClosed counts the engines that match, and those among them that get nothing new, whatever closed them.
func (f Fleet) countClosed(meant func(Engine) bool) (shut, all int) {
	for _, engine := range f {
		if meant(engine) {
			all++
			if !engine.Open {
				shut++
			}
		}
	}
	return shut, all
}

func refusePool(s Settings, fleet Fleet, engine Engine) Refusal {
	shut, all := fleet.countClosed(func(e Engine) bool { return e.Pool == engine.Pool })
	if shut+1 > int(s.MostOfPool*float64(all)) {
		return PoolLimit
	}
	return Allowed
}

func refuseZone(s Settings, fleet Fleet, engine Engine) Refusal {
	shut, all := fleet.countClosed(func(e Engine) bool { return e.Pool == engine.Pool && e.Zone == engine.Zone })
	most := int(s.MostOfZone * float64(all))
	if most == 0 && s.MostOfZone > 0 {
		// The only engine of a zone may be drained where other zones have some; the pool's limit bounds how many.
		if _, pool := fleet.countClosed(func(e Engine) bool { return e.Pool == engine.Pool }); pool > all {
			most = 1
		}
	}
	if shut+1 > most {
		return ZoneLimit
	}
	return Allowed
}

// replicas counts the engines of a pool that have something loaded.
func (f Fleet) replicas(pool string, target Target) (shut, all int) {
	return f.countClosed(func(e Engine) bool { return e.Pool == pool && slices.Contains(e.Loaded, target) })
}

func refuseReplicas(s Settings, fleet Fleet, engine Engine) Refusal {
	for _, target := range engine.Loaded {
		shut, all := fleet.replicas(engine.Pool, target)
		// Of two or three replicas one may be closed; a single one is refused by refuseLastReplica.
		if all > 1 && shut > 0 && shut+1 > int(s.MostOfHolders*float64(all)) {
			return ReplicaLimit
		}
	}
	return Allowed
}

func refuseLastReplica(_ Settings, fleet Fleet, engine Engine) Refusal {
	if len(fleet.soleReplicas(engine)) > 0 {
		return LastReplica
	}
	return Allowed
}

// soleReplicas lists what no other open engine of the pool has loaded.
func (f Fleet) soleReplicas(engine Engine) []Target {
	var out []Target
	for _, target := range engine.Loaded {
		if shut, all := f.replicas(engine.Pool, target); all-shut <= 1 {
			out = append(out, target)
		}
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter)) })
	return out
}

// withClosed gives a fleet in which one more engine is closed.
func (f Fleet) withClosed(id ident.EngineID) Fleet {
	out := make(Fleet, len(f))
	for other, engine := range f {
		if other == id {
			engine.Open = false
		}
		out[other] = engine
	}
	return out
}

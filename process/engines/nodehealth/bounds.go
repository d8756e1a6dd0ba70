package nodehealth

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cresspond/cresspond/ident"
)

// Target names a model, or one adapter of it.
type Target struct{ Model, Adapter string }

// Engine is one engine as far as draining goes. There is nothing in it of who asks for what.
type Engine struct {
	ID   ident.EngineID
	Pool string
	Zone ident.ZoneID
	// Open says that new requests may go to it. Ranked says that the ranking shut it, Kept that an operator forbids it to.
	Open, DrainedByRanking, KeptOpen bool
	Loaded                           []Target
}

// Fleet is all registered engines, by id.
type Fleet map[ident.EngineID]Engine

// Refusal is why an engine may not be drained now.
type Refusal uint8

const (
	// Allowed: nothing speaks against it.
	Allowed Refusal = iota
	// Unknown: no such engine is registered.
	Unknown
	// ShutAlready: nothing new goes to it anyhow.
	AlreadyClosed
	// KeptOpen: an operator keeps it.
	OperatorKeepsOpen
	// PastPool: too many of its pool are shut.
	PoolLimit
	// PastZone: too many of its zone are shut.
	ZoneLimit
	// PastHolders: too many of the holders of something that it holds are shut.
	ReplicaLimit
	// LastHolder: something stands there alone, and must be loaded elsewhere first.
	LastReplica
	refusalCount
)

func (r Refusal) String() string {
	return [...]string{"allowed", "unknown", "shut-already", "kept", "past-pool", "past-zone", "past-holders", "last-holder"}[r]
}

// Name is the refusal as counters name it.
func (r Refusal) Name() string { return strings.ReplaceAll(r.String(), "-", "_") }

// Reason puts a refusal into words.
func (r Refusal) Reason() string {
	return [...]string{"nothing speaks against it", "no such engine is registered", "nothing new goes to this engine already",
		"an operator keeps this engine", "too many engines of its pool are shut", "too many engines of its zone are shut",
		"too many holders of a model or adapter that it holds are shut", "it alone holds a model or adapter, which must be loaded elsewhere first"}[r]
}

// refusal is one rule; it gives Allowed where it has nothing to say.
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

// countClosed counts, of the engines that are meant, all and those that nothing new goes to, whoever shut them.
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
		// A lone engine of a zone may go where other zones have some; how many go at all the pool's bound says.
		if _, pool := fleet.countClosed(func(e Engine) bool { return e.Pool == engine.Pool }); pool > all {
			most = 1
		}
	}
	if shut+1 > most {
		return ZoneLimit
	}
	return Allowed
}

// replicas counts the engines of a pool that hold something.
func (f Fleet) replicas(pool string, target Target) (shut, all int) {
	return f.countClosed(func(e Engine) bool { return e.Pool == pool && slices.Contains(e.Loaded, target) })
}

func refuseReplicas(s Settings, fleet Fleet, engine Engine) Refusal {
	for _, target := range engine.Loaded {
		shut, all := fleet.replicas(engine.Pool, target)
		// Of two or three one may go; a lone one is a case of its own.
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

// soleReplicas lists what no other open engine of the pool holds.
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

// withClosed gives a fleet in which one more engine is shut.
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

package forwarding

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/registry"
)

// lack is why nothing can take a record now.
type lack uint8

const (
	// nothing lacks.
	noLack lack = iota
	// noEngines: the pool has no engine that may get anything new.
	noEngines
	// noModel: no engine holds what is asked for.
	noModel
	// allTried: all that fit were tried by this record.
	allTried
	// allFull: all that fit have all that this daemon may send them, or rest.
	allFull
)

// choose gives the best engine for a record, or why there is none.
func (c *Core) choose(r *Record, w World) (*registry.Engine, lack) {
	if w.View == nil {
		return nil, noEngines
	}
	why := noEngines
	var best *registry.Engine
	bestScore := math.Inf(1)
	pool, _ := w.Index.Pool(r.pool)
	var fits []*registry.Engine
	for _, engine := range w.View.Pools[r.pool] {
		if !engine.Usable() {
			continue
		}
		why = max(why, noModel)
		if r.Ask.Model != "" && pool != nil && pool.Catalogue != nil && !engine.Holds(r.Ask.Model, r.Ask.Adapter) {
			continue
		}
		why = max(why, allTried)
		if slices.Contains(r.tried, engine.ID) {
			continue
		}
		fits = append(fits, engine)
	}
	if len(fits) == 0 {
		return nil, why
	}
	home := rendezvous(r, fits)
	for _, engine := range fits {
		state := c.engine(engine.ID)
		if state.resting(w.Now) || state.inFlight >= c.most(engine, w, pool != nil && pool.Catalogue != nil) {
			continue
		}
		if score := c.score(r, engine, state, w, engine == home); score < bestScore {
			best, bestScore = engine, score
		}
	}
	if best == nil {
		return nil, allFull
	}
	return best, noLack
}

// most is how many attempts this daemon has at an engine at most. Small engines are shared out, since what
// piles up there is turned away; batching ones take a queue, and order it by urgency over all daemons.
func (c *Core) most(engine *registry.Engine, w World, batching bool) int {
	slots := max(engine.Slots, 1)
	if batching {
		return slots
	}
	edges := max(w.Edges, 1)
	return max(2, (2*slots+edges-1)/edges)
}

// rendezvous names the engine at which a prompt's shared parts are kept if all daemons choose alike.
func rendezvous(r *Record, fits []*registry.Engine) *registry.Engine {
	if len(r.Ask.Parts) == 0 {
		return nil
	}
	// The last part is the request's own or its session's; the one before it is what others share.
	part := r.Ask.Parts[max(0, len(r.Ask.Parts)-2)].ID
	var home *registry.Engine
	var highest uint64
	for _, engine := range fits {
		hash := xxhash.New()
		_, _ = hash.WriteString(r.Ask.Model)
		_, _ = hash.WriteString("/" + r.Ask.Adapter + "/" + part + "/")
		_, _ = hash.WriteString(string(engine.ID))
		if sum := hash.Sum64(); home == nil || sum > highest {
			home, highest = engine, sum
		}
	}
	return home
}

const (
	// perRunning is what one more running request costs, in tokens that could be read meanwhile.
	perRunning = 24
	// crowded is the cost of a prompt that does not fit into the memory left.
	crowded = 4000
	// homeShare is how much of the shared parts the home of a prompt is expected to have kept.
	homeShare = 0.7
	// farCost is what another zone costs.
	farCost = 20
)

// score is the expected wait at an engine, in tokens to be read before this request's first.
func (c *Core) score(r *Record, engine *registry.Engine, state *engineState, w World, home bool) float64 {
	edges := float64(max(w.Edges, 1))
	active, queued := float64(state.inFlight), 0.0
	memoryUsed, memory := 0.0, 0.0
	if plan := engine.Plan; plan != nil && w.Now.Since(plan.Told) < c.settings.ReportFresh {
		if state.told != plan.Told {
			state.told, state.ownThen = plan.Told, state.inFlight
		}
		// What others do is known from the report, and what this daemon did since from itself.
		since := float64(max(0, state.inFlight-state.ownThen))
		active = max(active, float64(plan.Active+plan.Queued)+since)
		queued = float64(plan.Queued)
		memoryUsed, memory = float64(plan.MemoryUsed), float64(plan.Memory)
	} else {
		// Without a word of it, others are taken to do as much there as this daemon does.
		active *= math.Min(edges, 4)
	}
	kept := float64(state.kept.keptTokens(r))
	if home {
		for _, part := range r.Ask.Parts[:max(0, len(r.Ask.Parts)-1)] {
			kept = max(kept, 0) + 0*float64(part.Tokens)
		}
		kept = max(kept, homeShare*float64(sharedTokens(r)))
	}
	score := max(0, float64(r.Ask.TokensIn)-kept) + float64(state.reading) + perRunning*active + float64(r.Ask.TokensIn)*queued
	if r.Ask.TokensIn == 0 {
		// Nothing is known of its size: places taken are all there is to go by.
		score = 100 * active / float64(max(engine.Slots, 1)) * 10
	}
	if memory > 0 && memoryUsed+float64(r.needs) > memory {
		score += crowded
	}
	if left := engine.ColdMs - w.Now.Since(engine.Heard).Milliseconds(); left > 0 {
		score = 2*score + 200
	}
	score *= 1 + 4*state.badness
	if w.Zone != "" && engine.Zone != w.Zone {
		score += farCost
	}
	// Among equals each daemon and request has its own order, so that not all go to the same.
	return score + float64(xxhash.Sum64String(r.Ask.Attempt+string(engine.ID))%1000)/1000*10
}

// sharedTokens counts the tokens of all parts but the last.
func sharedTokens(r *Record) int {
	tokens := 0
	for place := range len(r.Ask.Parts) - 1 {
		tokens += r.Ask.Parts[place].Tokens
	}
	return tokens
}

// least is the time that an attempt needs at least to be worth sending.
func (c *Core) least(r *Record) time.Duration {
	if r.Path == nil {
		return 0
	}
	return max(time.Duration(r.Path.TargetMs)*time.Millisecond/10, 5*time.Millisecond)
}

// comeBack is when asking again makes sense.
func (c *Core) comeBack(r *Record, w World) time.Duration {
	if r.Path == nil {
		return time.Second
	}
	return max(time.Duration(r.Path.TargetMs)*time.Millisecond/4, 50*time.Millisecond)
}

// hopeless says whether it is known that nothing can serve a record in time, and when that may change.
func (c *Core) hopeless(r *Record, w World, why lack) (time.Duration, bool) {
	left := r.Deadline.Since(w.Now) - c.least(r)
	switch why {
	case noModel:
		wait, known := c.loadWait(r, w)
		return wait, known && wait > left
	case allTried:
		// Those that were tried won't do better for this one.
		return c.comeBack(r, w), true
	default:
		// Half of its time is all that a request may wait without a word.
		half := clock.Mark(r.Deadline.Since(r.Arrived)) / 2
		return c.comeBack(r, w), w.Now >= r.Arrived+half
	}
}

// loadWait is how long a model that no engine holds is likely to take to be there.
func (c *Core) loadWait(r *Record, w World) (time.Duration, bool) {
	soonest, coming := time.Duration(math.MaxInt64), false
	for _, engine := range w.View.Pools[r.pool] {
		if engine.Plan == nil || !engine.Usable() {
			continue
		}
		for _, one := range engine.Plan.Coming {
			if one.Model == r.Ask.Model && (r.Ask.Adapter == "" || one.Adapter == r.Ask.Adapter) {
				soonest, coming = min(soonest, max(0, one.Ready.Since(w.Now))), true
			}
		}
	}
	if coming {
		return soonest, true
	}
	if w.Lacks != nil {
		if wait, lacks := w.Lacks(r.pool, r.Ask.Model, r.Ask.Adapter); lacks {
			return wait, true
		}
	}
	if model, known := w.Index.Model(r.pool, r.Ask.Model); known {
		return time.Duration(model.LoadMs) * time.Millisecond, true
	}
	return 0, false
}

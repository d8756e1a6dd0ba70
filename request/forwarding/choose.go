package forwarding

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// lack is why nothing can take a record now; of several reasons the greatest counts.
type lack uint8

const (
	noLack lack = iota
	// noEngines: the pool has no engine that may get anything new.
	noEngines
	// noModel: no engine holds what is asked for.
	noModel
	// allTried: all that fit were tried by this record.
	allTried
	// allFull: all that fit have all that this daemon may send them, or rest.
	allFull
	lacks
)

// LackNames are the names of what may lack, in the order in which they are counted.
var LackNames = [lacks]string{"nothing", "engines", "models", "untried", "room"}

// candidate is an engine that may be sent a record.
type candidate struct {
	engine *registry.Engine
	state  *engineState
	// order is its place by rendezvous: the higher first, the same at all daemons.
	order uint64
}

// homes is how many engines, by rendezvous, a prompt's shared parts live on. Choosing between few keeps the
// parts together, and keeps daemons that look at the same old report from all running to the same engine.
const homes = 2

// choose gives the best engine for a record, or why there is none.
func (c *Core) choose(r *Record, w World) (*registry.Engine, lack) {
	if w.View == nil {
		return nil, noEngines
	}
	pool, _ := w.Index.Pool(r.pool)
	batching := pool != nil && pool.Catalogue != nil
	why := noEngines
	c.candidates, c.weighedOut, c.failing = c.candidates[:0], c.weighedOut[:0], c.failing[:0]
	for _, engine := range w.View.Pools[r.pool] {
		if !engine.Usable() || w.Open != nil && !w.Open(engine) {
			continue
		}
		why = max(why, noModel)
		if r.boundTo != "" && r.boundTo != engine.ID {
			continue
		}
		if batching && r.Ask.Model != "" && !engine.Holds(r.Ask.Model, r.Ask.Adapter) {
			continue
		}
		state := c.engine(engine.ID)
		if state.lacks(r, w.Now) {
			continue
		}
		if batching && state.gone() && (slices.Contains(r.tried, engine.ID) || state.resting(w.Now)) {
			// What holds it can't be reached, so it counts for no more than one that does not hold it: the model must
			// be loaded elsewhere, and that is what is to be waited for.
			continue
		}
		why = max(why, allTried)
		if slices.Contains(r.tried, engine.ID) {
			continue
		}
		why = max(why, allFull)
		if state.resting(w.Now) || state.inFlight >= most(engine, pool, w) {
			continue
		}
		if state.failing(w.Now) {
			c.failing = append(c.failing, candidate{engine: engine, state: state})
			continue
		}
		if c.settings.HoldBack && !weighedIn(r, engine, w) {
			c.weighedOut = append(c.weighedOut, candidate{engine: engine, state: state})
			continue
		}
		c.candidates = append(c.candidates, candidate{engine: engine, state: state})
	}
	near := c.candidates
	if len(near) == 0 {
		near = c.weighedOut
		if len(near) > 0 {
			c.Counters.LastResort++
		}
	}
	if len(near) == 0 {
		// An engine that fails some is better than none.
		near = c.failing
	}
	if len(near) == 0 {
		if batching && why == noModel {
			if engine := c.due(r, w, pool); engine != nil {
				return engine, noLack
			}
		}
		return nil, why
	}
	r.speculative = false
	if batching {
		// Whoever rests or is full has left the list, so the next by rendezvous stands in.
		near = c.nearest(r, near, w)
	}
	best, lowest := c.cheapest(r, near, batching, w)
	if len(c.candidates) > 0 && len(c.weighedOut) > 0 {
		// One that is held back is better than a sound one that has far too much to do.
		near = c.weighedOut
		if batching {
			near = c.nearest(r, near, w)
		}
		if other, score := c.cheapest(r, near, batching, w); heldBackCost*score < lowest {
			c.Counters.LastResort++
			best, lowest = other, score
		}
	}
	if r.score = 0; batching {
		r.score = lowest
	}
	return best, noLack
}

// heldBackCost is how many times dearer an engine is that the fleet holds back, to a request that is not of its share.
const heldBackCost = 8

// cheapest gives the engine that costs least, and what it costs.
func (c *Core) cheapest(r *Record, near []candidate, batching bool, w World) (best *registry.Engine, lowest float64) {
	for place, one := range near {
		score := c.plainScore(r, one, w)
		if batching {
			score = c.batchScore(r, one, w, place)
		}
		if best == nil || score < lowest {
			best, lowest = one.engine, score
		}
	}
	return best, lowest
}

// weighedIn says whether a request is of the share that an engine is to get: less than all where the fleet has found
// it ill. The same request draws the same, or a second look would let in what the first left out.
func weighedIn(r *Record, engine *registry.Engine, w World) bool {
	share := engine.Plan.Weight(w.Zone, w.Now)
	if share >= 1 {
		return true
	}
	drawn := float64(xxhash.Sum64String(r.Ask.Attempt+string(engine.ID))>>40) / (1 << 24)
	return drawn < share
}

// most is how many attempts this daemon has at an engine at most. Small engines are shared out, since what
// piles up there is turned away; batching ones take a queue, and order it by urgency over all daemons.
func most(engine *registry.Engine, pool *upstream.Pool, w World) int {
	slots, edges := max(engine.Slots, 1), max(w.Edges, 1)
	bound := max(2, (2*slots+edges-1)/edges)
	if pool != nil && pool.Catalogue != nil {
		bound = slots
	}
	// Each attempt takes a connection of its own while it lasts.
	if share := connectionShare(pool, edges); share > 0 {
		bound = min(bound, share)
	}
	return bound
}

// nearest moves the engines to choose from to the front, and gives them: a prompt's homes by rendezvous, in
// order, then the one that this daemon knows to have kept most of it, one that a connection is kept to, and one drawn by
// the request.
func (c *Core) nearest(r *Record, all []candidate, w World) []candidate {
	c.scratch = append(c.scratch[:0], r.Ask.Model...)
	c.scratch = append(append(append(append(c.scratch, '/'), r.Ask.Adapter...), '/'), affinity(r)...)
	length := len(c.scratch)
	for place := range all {
		all[place].order = xxhash.Sum64(append(c.scratch[:length], all[place].engine.ID...))
	}
	found := min(homes, len(all))
	if c.settings.Off.Has(featuregates.Homes) {
		found = 0
	}
	for place := range found {
		bring(all, place, func(a, b candidate) bool { return a.order > b.order })
	}
	if len(r.Ask.Parts) > 0 && len(all) > found && !c.settings.Off.Has(featuregates.KeptPrefixes) {
		most := 0
		for _, one := range all[:found] {
			most = max(most, one.state.kept.keptTokens(r))
		}
		bring(all, found, func(a, b candidate) bool { return a.state.kept.keptTokens(r) > b.state.kept.keptTokens(r) })
		if all[found].state.kept.keptTokens(r) > most {
			found++
		}
	}
	if warm := slices.IndexFunc(all[found:], func(one candidate) bool { return c.warm(r, one.engine, w) }); warm >= 0 {
		all[found], all[found+warm] = all[found+warm], all[found]
		found++
	}
	if len(all) > found {
		// Any one besides: where many ask about one thing, its homes are not enough, and all must not run to the same.
		at := found + int(xxhash.Sum64String(r.Ask.Attempt)%uint64(len(all)-found))
		all[found], all[at] = all[at], all[found]
		found++
	}
	return all[:found]
}

// warm says whether a connection to an engine is kept that a record's attempt could use.
func (c *Core) warm(r *Record, engine *registry.Engine, w World) bool {
	return w.Warm != nil && !c.settings.Off.Has(featuregates.WarmConnections) && w.Warm(engine, r.pool, !r.mayRepeat())
}

// bring swaps the first of those from place on to place.
func bring(all []candidate, place int, before func(a, b candidate) bool) {
	first := place
	for other := place + 1; other < len(all); other++ {
		if before(all[other], all[first]) {
			first = other
		}
	}
	all[place], all[first] = all[first], all[place]
}

// affinity is what a prompt shares with others: the last part is its own or its session's, so the one before
// that. Those of a session go where its shared parts are, and so meet its own there.
func affinity(r *Record) string {
	if len(r.Ask.Parts) == 0 {
		// Nothing is shared, so each request goes its own way.
		return r.Ask.Attempt
	}
	return r.Ask.Parts[max(0, len(r.Ask.Parts)-2)].ID
}

const (
	// perRunning is what one more running request costs, in tokens that could be read meanwhile.
	perRunning = 24
	// lately is how much the time that an engine took lately counts against what is known to be there now.
	lately = 0.2
	// awaited is the same of the time for which a first byte is awaited there already. That grows with a queue at
	// once; first bytes tell of it only when they have come through it.
	awaited = 0.7
	// crowded, coldCost and farTokens are costs as shares of a usual prompt: of one that does not fit into the
	// memory left, of an engine that is slow from its start, of another zone.
	crowded   = 2.0
	coldCost  = 0.25
	farTokens = 0.3
	// connectTokens is the same of a connection that must be made, connectPlaces its cost as a share of an engine's places.
	connectTokens = 0.3
	connectPlaces = 0.15
	// farPlaces is another zone's cost as a share of an engine's places.
	farPlaces = 0.1
	// perBadness is how many times dearer an engine is that fails all it gets.
	perBadness = 6
)

// keptAtHome is how much of the shared parts the homes of a prompt are expected to have kept, by place.
var keptAtHome = [homes]float64{0.8, 0.3}

// batchScore is the expected cost of a batching engine, in tokens to be read before this request's first.
// Queues that reports tell of are left out: they are a second old, and daemons that all go by the same old
// word run to the same engine (0.90 of requests in time without, 0.80 with them, at four fifths of the load).
func (c *Core) batchScore(r *Record, one candidate, w World, place int) float64 {
	state, engine := one.state, one.engine
	state.hear(engine.Plan)
	kept := 0.0
	if !c.settings.Off.Has(featuregates.KeptPrefixes) {
		kept = float64(state.kept.keptTokens(r))
	}
	if place < homes && !c.settings.Off.Has(featuregates.Homes) {
		kept = max(kept, keptAtHome[place]*float64(sharedTokens(r)))
	}
	score := max(0, float64(r.Ask.TokensIn)-kept) + float64(state.reading)
	active := float64(state.inFlight)
	if plan := engine.Plan; plan != nil && w.Now.Since(plan.Received) < c.settings.ReportFresh {
		since := max(0, state.inFlight-state.ownThen)
		active = max(active, float64(plan.Active+since))
		if plan.Memory > 0 && plan.MemoryUsed+int64(r.needs+since*r.needs) > plan.Memory {
			score += crowded * c.meanTokens
		}
	}
	score += perRunning * active
	path := c.path(r)
	score += lately * path.tokens(fading(state.firstByte, state.firstAt, w.Now))
	if !c.settings.Off.Has(featuregates.Awaiting) {
		score += awaited * path.tokens(state.oldest(w.Now))
	}
	// An engine that has kept silent for long although it was asked is likely to go on so.
	score += path.tokens(state.quiet(w.Now)-2*state.firstByte) / 2
	if one.cold(w) && !c.settings.Off.Has(featuregates.SlowStart) {
		score = 2*score + coldCost*c.meanTokens
	}
	if w.Warm != nil && !c.warm(r, engine, w) {
		score += connectTokens * c.meanTokens
	}
	return score*(1+perBadness*c.worse(state, w)) + c.far(engine, w, farTokens*c.meanTokens)
}

// plainScore is the share of an engine's places that are taken, as far as this daemon knows.
func (c *Core) plainScore(r *Record, one candidate, w World) float64 {
	score := float64(one.state.inFlight) / float64(max(one.engine.Slots, 1))
	if quiet := one.state.quiet(w.Now) - 2*one.state.firstByte; quiet > 0 {
		score += float64(quiet) / float64(time.Second)
	}
	score = 4*c.worse(one.state, w) + score
	if one.cold(w) && !c.settings.Off.Has(featuregates.SlowStart) {
		score = 2*score + 0.5
	}
	if w.Warm != nil && !c.warm(r, one.engine, w) {
		score += connectPlaces
	}
	// Among equals each request has an order of its own, so that not all go to the same.
	c.scratch = append(append(c.scratch[:0], r.Ask.Attempt...), one.engine.ID...)
	drawn := xxhash.Sum64(c.scratch)
	return score + c.far(one.engine, w, farPlaces) + 0.1*float64(drawn>>40)/(1<<24)
}

func (c candidate) cold(w World) bool {
	return c.engine.SlowStartMs > 0 && c.engine.SlowStartMs > w.Now.Since(c.engine.LastHeartbeat).Milliseconds()
}

// worse is the smoothed share of an engine's failures that its choice goes by.
func (c *Core) worse(state *engineState, w World) float64 {
	if c.settings.Off.Has(featuregates.Badness) {
		return 0
	}
	return state.worse(w.Now)
}

// far is the cost of an engine that stands in another zone.
func (c *Core) far(engine *registry.Engine, w World, cost float64) float64 {
	if c.settings.Off.Has(featuregates.ZoneCost) || w.Zone == "" || engine.Zone == w.Zone {
		return 0
	}
	return cost
}

// sharedTokens counts the tokens of all parts but the last.
func sharedTokens(r *Record) int {
	tokens := 0
	for place := range len(r.Ask.Parts) - 1 {
		tokens += r.Ask.Parts[place].Tokens
	}
	return tokens
}

// connectionShare is this daemon's part of the connections that an engine takes.
func connectionShare(pool *upstream.Pool, edges int) int {
	if pool == nil || pool.MaxConnections == 0 {
		return 0
	}
	return max(1, pool.MaxConnections/max(edges, 1))
}

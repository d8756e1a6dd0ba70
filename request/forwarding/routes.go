package forwarding

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/configuration/upstream"
)

// drawPool draws a pool by the weights of the path, the same for the same attempt.
func drawPool(path *upstream.Path, attempt string) string {
	var sum uint64
	for _, share := range path.Shares {
		sum += uint64(share.Weight)
	}
	if sum == 0 {
		return path.Shares[0].Pool
	}
	drawn := xxhash.Sum64String(attempt) % sum
	for _, share := range path.Shares {
		if drawn < uint64(share.Weight) {
			return share.Pool
		}
		drawn -= uint64(share.Weight)
	}
	return path.Shares[len(path.Shares)-1].Pool
}

// Leads says whether the table in force still sends a request to a pool.
func Leads(index *upstream.Index, host, prefixed, pool string) bool {
	if index == nil {
		return false
	}
	path, found := index.Lookup(host, prefixed)
	return found && leadsTo(path, pool)
}

func leadsTo(path *upstream.Path, pool string) bool {
	return slices.ContainsFunc(path.Shares, func(share upstream.Share) bool { return share.Pool == pool && share.Weight > 0 })
}

// rerouted takes up the table in force for a record. It says false when the record has ended.
func (c *Core) rerouted(r *Record, w World) bool {
	if w.Index == nil {
		c.finish(r, w, NoTable, time.Second)
		return false
	}
	path, found := w.Index.Lookup(r.Host, r.Prefixed)
	switch {
	case !found && w.Current:
		c.finish(r, w, NoPath, 0)
		return false
	case !found:
		c.finish(r, w, NoTable, time.Second)
		return false
	}
	r.Path = path
	if r.mayHaveRun && (!r.mayRepeat() || !leadsTo(path, r.pool)) {
		// What may have run goes on only where, and if, the newest table lets it.
		c.finish(r, w, Broken, 0)
		return false
	}
	if !leadsTo(path, r.pool) {
		wasHeld := r.stage == Held
		if wasHeld {
			c.demand(r).held--
		}
		r.pool = drawPool(path, r.Ask.Attempt)
		if wasHeld {
			c.demand(r).held++
		}
	}
	return true
}

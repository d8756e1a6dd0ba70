package forwarding

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/configuration/upstream"
)

// selectPool selects a pool by the path's weights. The same attempt id gives the same pool.
func selectPool(path *upstream.Path, attempt string) string {
	var sum uint64
	for _, share := range path.Shares {
		sum += uint64(share.Weight)
	}
	if sum == 0 {
		return path.Shares[0].Pool
	}
	draw := xxhash.Sum64String(attempt) % sum
	for _, share := range path.Shares {
		if draw < uint64(share.Weight) {
			return share.Pool
		}
		draw -= uint64(share.Weight)
	}
	return path.Shares[len(path.Shares)-1].Pool
}

// RoutesTo reports whether the routing table still sends a request to a pool.
func RoutesTo(index *upstream.Index, host, urlPath, pool string) bool {
	if index == nil {
		return false
	}
	path, found := index.Lookup(host, urlPath)
	return found && pathRoutesTo(path, pool)
}

// pathRoutesTo reports whether a path sends requests to a pool.
func pathRoutesTo(path *upstream.Path, pool string) bool {
	return slices.ContainsFunc(path.Shares, func(share upstream.Share) bool { return share.Pool == pool && share.Weight > 0 })
}

// reroute applies the routing table in force to a request. It reports false if that ended the request.
func (c *Core) reroute(request *Request, env Environment) bool {
	if env.Index == nil {
		c.finish(request, env, CauseNoTable, time.Second)
		return false
	}
	path, found := env.Index.Lookup(request.Host, request.URLPath)
	switch {
	case !found && env.IndexCurrent:
		c.finish(request, env, CauseNoPath, 0)
		return false
	case !found:
		c.finish(request, env, CauseNoTable, time.Second)
		return false
	}
	request.usePath(path)
	if !c.authenticate(request, env) {
		return false
	}
	if request.mayHaveRun && (!request.mayRepeat() || !pathRoutesTo(path, request.pool)) {
		// A request that may have run continues only where the current table allows it.
		c.finish(request, env, CauseResponseLost, 0)
		return false
	}
	if !pathRoutesTo(path, request.pool) {
		wasQueued := request.stage == StageQueued
		if wasQueued {
			c.demandState(request).queued--
		}
		request.pool = selectPool(path, request.Attributes.Attempt)
		if wasQueued {
			c.demandState(request).queued++
		}
	}
	return true
}

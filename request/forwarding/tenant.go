package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/configuration/upstream"
)

// TenantName gives the name of the tenant whose key a request bears, by a routing table; false where the path needs a key
// and the request bears none that is known there.
func TenantName(index *upstream.Index, path *upstream.Path, key string) (name string, allowed bool) {
	if tenant, known := index.TenantOf(key); known {
		return tenant.Name, true
	}
	return "", !index.RequiresKey(path)
}

// authenticate sets the request's tenant by the routing table in force. It reports false if that ended the request: a key
// may be withdrawn while its request is queued, or between two attempts.
func (c *Core) authenticate(request *Request, env Environment) bool {
	tenant, known := env.Index.TenantOf(request.Attributes.Key)
	request.tenant = tenant
	switch {
	case !env.Index.RequiresKey(request.Path):
		return true
	case env.KeysOutdated || !known && !env.IndexCurrent:
		// Only a table that is known to be new enough can say that nobody holds the key.
		c.finish(request, env, CauseNoTable, time.Second)
		return false
	case !known:
		c.Counters.UnknownKeys++
		c.finish(request, env, CauseUnknownKey, 0)
		return false
	}
	return true
}

// rank is the urgency of the request: its tenant's where that has one, else its path's. The lowest is served first.
func (r *Request) rank() int {
	if r.tenant != nil && r.tenant.Rank != nil {
		return *r.tenant.Rank
	}
	return r.Path.Rank
}

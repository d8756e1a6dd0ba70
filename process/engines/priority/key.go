// Package priority orders requests that wait for capacity. The queue of a daemon and the slots of an engine use the same
// order. It is pure; a [ServedCounts] belongs to whoever keeps the queue.
package priority

import "cmp"

// Key is what a request is ordered by.
type Key struct {
	// Assigned says that the request's session is assigned to the engine.
	Assigned bool
	// Value and Rank are those of the request's route: the higher value and the lower rank go first.
	Value int64
	Rank  int
	// Tenant is whose request it is.
	Tenant string
}

// ServedCounts counts how often each tenant was served.
type ServedCounts map[string]float64

// Compare is negative if a goes before b: requests of assigned sessions, then the higher value, then the lower rank, then
// the tenant that was served least.
func (c ServedCounts) Compare(a, b Key) int {
	return cmp.Or(
		cmp.Compare(unassigned(a), unassigned(b)),
		cmp.Compare(b.Value, a.Value),
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(c[a.Tenant], c[b.Tenant]),
	)
}

func unassigned(key Key) int {
	if key.Assigned {
		return 0
	}
	return 1
}

// Serve counts that a tenant was served; waiting yields the tenants that still wait. A tenant that was idle starts at
// their lowest count, so that it collects no credit while it asks for nothing.
func (c ServedCounts) Serve(tenant string, waiting func(yield func(string) bool)) {
	lowest := -1.0
	for other := range waiting {
		if count := c[other]; lowest < 0 || count < lowest {
			lowest = count
		}
	}
	c[tenant] = max(c[tenant], lowest) + 1
}

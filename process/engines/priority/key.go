// Package priority orders the requests that want room: the same for the queue of a daemon and for an engine's slots.
package priority

import "cmp"

// Bid is what one request offers.
type Key struct {
	Assigned bool
	Value    int64
	Rank     int
	Tenant   string
}

// Turns counts how often each tenant was served.
type ServedCounts map[string]float64

// Compare puts the bid that goes first in front: requests of assigned sessions, then the higher worth, then the lower
// rank, then the tenant that was served least.
func (t ServedCounts) Compare(a, b Key) int {
	return cmp.Or(
		cmp.Compare(unassigned(a), unassigned(b)),
		cmp.Compare(b.Value, a.Value),
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(t[a.Tenant], t[b.Tenant]),
	)
}

func unassigned(b Key) int {
	if b.Assigned {
		return 0
	}
	return 1
}

// Serve counts a tenant's turn, given the houses that still wait. One that was quiet joins at their
// least count and brings no credit.
func (t ServedCounts) Serve(tenant string, waiting func(yield func(string) bool)) {
	least := -1.0
	for other := range waiting {
		if count := t[other]; least < 0 || count < least {
			least = count
		}
	}
	t[tenant] = max(t[tenant], least) + 1
}

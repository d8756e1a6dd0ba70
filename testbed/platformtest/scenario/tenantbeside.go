package scenario

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
)

// besideEvery: one drawn fault in so many has a tenant fault beside it.
const besideEvery = 2

// withTenantFaults plays a tenant fault beside every second fault, so that they overlap with kills, stops, freezes and
// changes of the configuration. They are drawn from a stream of their own: a seed plays the other faults that it always
// played.
func withTenantFaults(plan []fault, random *rand.Rand) []fault {
	out := append([]fault(nil), plan...)
	order := random.Perm(len(tenantFaults))
	for n := 0; n < len(out); n += besideEvery {
		out[n] = beside(out[n], tenantFaults[order[n/besideEvery%len(order)]])
	}
	return out
}

// beside plays two faults at once.
func beside(one, other fault) fault {
	both := one
	both.name, both.rest = one.name+" beside "+other.name, max(one.rest, other.rest)
	both.play = func(r *Run, ctx context.Context) error {
		var failures [2]error
		var playing sync.WaitGroup
		playing.Go(func() { failures[0] = one.play(r, ctx) })
		playing.Go(func() { failures[1] = other.play(r, ctx) })
		playing.Wait()
		return errors.Join(failures[:]...)
	}
	return both
}

package forwarding

import (
	"fmt"
	"math"
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
)

// TestPoolSelectionFollowsWeightsAndIsDeterministic: each pool gets about its weight's share, and the same attempt id
// always the same pool.
func TestPoolSelectionFollowsWeightsAndIsDeterministic(t *testing.T) {
	path := pathOf("p", upstream.Idempotent, "plain", "other", "batch")
	weights := map[string]int64{"plain": 90, "other": 10, "batch": 0}
	for index := range path.Shares {
		path.Shares[index].Weight = weights[path.Shares[index].Pool]
	}
	const tries = 20_000
	draw := map[string]int{}
	for n := range tries {
		attempt := fmt.Sprintf("%016x", n*7919)
		pool := selectPool(&path, attempt)
		if again := selectPool(&path, attempt); again != pool {
			t.Fatalf("%s is drawn to %s and %s", attempt, pool, again)
		}
		draw[pool]++
	}
	for pool, weight := range weights {
		if got, want := float64(draw[pool])/tries, float64(weight)/100; math.Abs(got-want) > 0.02 {
			t.Errorf("%s got %.3f of the tries and not %.2f", pool, got, want)
		}
	}
}

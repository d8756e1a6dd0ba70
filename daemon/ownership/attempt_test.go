package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
)

const minute = clock.Mark(time.Minute)

// fleetOf is a view of routing daemons that were all just in contact, seen by one that sees the leader.
func fleetOf(size int) *membership.View {
	view := &membership.View{Members: map[ident.NodeID]membership.Member{}, LastLeaderContact: minute}
	for i := range size {
		id := ident.NodeID(fmt.Sprintf("d%d#1", i))
		view.Members[id] = membership.Member{
			NodeID:      id,
			Address:     fmt.Sprintf("10.0.0.%d:1", i),
			Roles:       []string{"route"},
			LastContact: minute,
			Ready:       true,
		}
	}
	return view
}

// changeFleet has some daemons of a view fail, drain or join by now, and returns the addresses of those that failed. The
// daemon that queries later does not fail.
func changeFleet(view *membership.View, random *rand.Rand, now clock.Mark) (dead map[string]bool) {
	dead = map[string]bool{}
	ids := make([]ident.NodeID, 0, len(view.Members))
	for id := range view.Members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		peer := view.Members[id]
		peer.LastContact = now
		switch random.IntN(4) {
		case 0:
			if id != "d1#1" {
				peer.LastContact = minute
				dead[peer.Address] = true
			}
		case 1:
			peer.Ready = random.IntN(3) > 0
		}
		view.Members[id] = peer
	}
	for i := range random.IntN(3) {
		id := ident.NodeID(fmt.Sprintf("new%d#1", i))
		view.Members[id] = membership.Member{
			NodeID:      id,
			Address:     fmt.Sprintf("10.0.1.%d:1", i),
			Roles:       []string{"route"},
			LastContact: now,
			Ready:       true,
		}
	}
	view.LastLeaderContact = now
	return dead
}

// TestLaterAttemptQueryMeetsAnInformedOwnerOrIsUncertain: one daemon records an attempt at its owners, then daemons
// fail, drain or join, and another daemon queries. It must query a live owner that has the record, or have no owner
// that counts as informed.
func TestLaterAttemptQueryMeetsAnInformedOwnerOrIsUncertain(t *testing.T) {
	met, doubted := 0, 0
	run := func(seed uint64, sinceContact time.Duration) (unsafe bool) {
		random := rand.New(rand.NewPCG(seed, 1))
		view := fleetOf(2 + random.IntN(10))
		attempt := fmt.Sprint("attempt-", seed)
		written := OfAttempt(attempt, view, minute, "10.0.0.0:1").Query
		now := minute + clock.Mark(sinceContact)
		dead := changeFleet(view, random, now)
		later := OfAttempt(attempt, view, now, "10.0.0.1:1")
		knows, meets := false, false
		for _, owner := range later.Query {
			if dead[owner] {
				continue
			}
			fresh := owner[:6] == "10.0.1"
			_, knower := later.Informed[owner]
			knows = knows || knower && !fresh
			meets = meets || slices.Contains(written, owner)
		}
		if meets {
			met++
		} else if !knows {
			doubted++
		}
		return knows && !meets
	}
	for seed := range uint64(20_000) {
		if run(seed, time.Second) || run(seed, 5*time.Second) {
			t.Fatalf("seed %d: an owner that was never informed counts as informed", seed)
		}
	}
	if met == 0 || doubted == 0 {
		t.Fatalf("met %d, doubted %d: the histories are too tame", met, doubted)
	}
	// A variant that forgets unreachable daemons at once must be caught by the same check.
	caught := false
	for seed := range uint64(20_000) {
		caught = caught || run(seed, ContactWindow+UncertainWindow+time.Second)
	}
	if !caught {
		t.Error("forgetting unreachable daemons at once was not caught")
	}
}

func TestOnlyOneSideOfAPartitionRunsNonIdempotentAttempts(t *testing.T) {
	for size := 2; size <= 11; size++ {
		for there := 0; there <= size; there++ {
			for _, leaderHere := range []bool{true, false} {
				// Each side is in contact with its own daemons now, and last was with the others two seconds before
				// the contact window ended.
				now := minute + clock.Mark(ContactWindow+2*time.Second)
				side := func(from, to int, seesLeader bool) bool {
					if from == to {
						return false
					}
					view := fleetOf(size)
					for i := from; i < to; i++ {
						id := ident.NodeID(fmt.Sprintf("d%d#1", i))
						peer := view.Members[id]
						peer.LastContact = now
						view.Members[id] = peer
					}
					if seesLeader {
						view.LastLeaderContact = now
					}
					return !OfAttempt("x", view, now, fmt.Sprintf("10.0.0.%d:1", from)).MinoritySide
				}
				here, other := side(0, there, leaderHere), side(there, size, !leaderHere)
				if here && other {
					t.Errorf("%d daemons split at %d: both sides go on", size, there)
				}
				if !here && !other {
					t.Errorf("%d daemons split at %d, leader here %t: neither side goes on", size, there, leaderHere)
				}
			}
		}
	}
}

package workerid

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cresspond/cresspond/ident"
)

const leaseDuration = 30 * time.Second

func TestAcquireGrantsTheLowestFreeIDAndRepeatsIt(t *testing.T) {
	table := New()
	for want := range ident.WorkerID(5) {
		grant, outcome := table.Acquire(ident.NodeID(fmt.Sprint("node", want)), 1000, leaseDuration)
		if outcome != Granted || grant.WorkerID != want || grant.LeaseExpiry != 31000 {
			t.Fatalf("got %+v, %s", grant, outcome)
		}
	}
	if grant, _ := table.Acquire("node3", 2000, leaseDuration); grant.WorkerID != 3 || grant.LeaseExpiry != 31000 {
		t.Fatalf("an unexpired lease must be given again as it is, got %+v", grant)
	}
	if outcome := table.Release("node1", 1, 1500); outcome != Released {
		t.Fatal(outcome)
	}
	if grant, _ := table.Acquire("other", 3000, leaseDuration); grant.WorkerID != 1 || grant.Floor != 1500 {
		t.Fatalf("the lowest free id and its floor must be given, got %+v", grant)
	}
}

func TestRenewAndReleaseOfAnotherHolderMismatch(t *testing.T) {
	table := New()
	table.Acquire("a", 1000, leaseDuration)
	table.Acquire("b", 1000, leaseDuration)
	if _, outcome := table.Renew("a", 1, 2000, leaseDuration); outcome != Mismatch {
		t.Fatal("a renewed b's id:", outcome)
	}
	if outcome := table.Release("a", 1, 2000); outcome != Mismatch {
		t.Fatal("a released b's id:", outcome)
	}
	if _, outcome := table.Renew("a", 0, 31000, leaseDuration); outcome != Mismatch {
		t.Fatal("an expired lease was renewed:", outcome)
	}
	if grant, outcome := table.Renew("b", 1, 20000, leaseDuration); outcome != Granted || grant.LeaseExpiry != 50000 {
		t.Fatal(grant, outcome)
	}
}

func TestAcquireWithoutFreeIDIsExhausted(t *testing.T) {
	table := New()
	for i := range MaxWorkerID + 1 {
		if _, outcome := table.Acquire(ident.NodeID(fmt.Sprint(i)), 1000, leaseDuration); outcome != Granted {
			t.Fatal(i, outcome)
		}
	}
	if _, outcome := table.Acquire("one more", 1000, leaseDuration); outcome != Exhausted {
		t.Fatal(outcome)
	}
	if n := table.Reclaim(31000); n != int(MaxWorkerID)+1 {
		t.Fatal(n, "were reclaimed")
	}
	if grant, outcome := table.Acquire("one more", 31001, leaseDuration); outcome != Granted || grant.Floor != 31000 {
		t.Fatal(grant, outcome)
	}
}

// randomCommand is one command of a random history; the numbers pick node, kind and time.
type randomCommand struct {
	Kind, Node uint8
	Wait       uint16
}

// TestLeasesNeverOverlap runs random histories, and checks that no timestamp can be used twice
// under one worker id: each grant's window lies above the floor left by all before it.
func TestLeasesNeverOverlap(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	commands := gen.SliceOfN(60, gen.Struct(typeOf(randomCommand{}), map[string]gopter.Gen{"Kind": gen.UInt8(), "Node": gen.UInt8Range(0, 5), "Wait": gen.UInt16Range(0, 15000)}))
	properties.Property("windows of one worker id are apart", prop.ForAll(func(history []randomCommand) bool {
		table := New()
		now := ident.GroupTime(1)
		latestTimestamps := map[ident.WorkerID]ident.GroupTime{}
		holders := map[ident.WorkerID]ident.NodeID{}
		leasedBy := map[ident.NodeID]ident.WorkerID{}
		for _, command := range history {
			now += ident.GroupTime(command.Wait)
			node := ident.NodeID(fmt.Sprint(command.Node))
			switch command.Kind % 4 {
			case 0:
				grant, outcome := table.Acquire(node, now, leaseDuration)
				if outcome != Granted {
					return false
				}
				fresh := holders[grant.WorkerID] != node
				// A new holder generates above the floor, which must cover all that was allowed before.
				if fresh && grant.Floor < latestTimestamps[grant.WorkerID] || fresh && now <= grant.Floor {
					return false
				}
				holders[grant.WorkerID], leasedBy[node] = node, grant.WorkerID
				latestTimestamps[grant.WorkerID] = max(latestTimestamps[grant.WorkerID], grant.LeaseExpiry)
			case 1:
				if worker, ok := leasedBy[node]; ok {
					if grant, outcome := table.Renew(node, worker, now, leaseDuration); outcome == Granted {
						latestTimestamps[worker] = max(latestTimestamps[worker], grant.LeaseExpiry)
					}
				}
			case 2:
				if worker, ok := leasedBy[node]; ok && holders[worker] == node {
					if table.Release(node, worker, now) == Released {
						latestTimestamps[worker], holders[worker] = min(now, latestTimestamps[worker]), ""
					}
				}
			case 3:
				table.Reclaim(now)
			}
			if len(table.Leases) != len(table.Nodes) {
				return false
			}
			for worker, lease := range table.Leases {
				if table.Nodes[lease.NodeID] != worker {
					return false
				}
				if lease.LeaseExpiry <= now {
					holders[worker] = ""
				}
			}
			for worker, node := range holders {
				if _, leased := table.Leases[worker]; !leased && node != "" {
					holders[worker] = ""
				}
			}
		}
		return true
	}, commands))
	properties.TestingRun(t)
}

func typeOf(value any) reflect.Type { return reflect.TypeOf(value) }

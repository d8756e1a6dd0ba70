// Package workerid is the replicated table of worker-id leases: which daemon may generate snowflake ids under which
// worker id, until when, and above which floor. DESIGN.md names the commands ACQUIRE, RENEW and RELEASE.
//
// The table is a part of the replicated state (process/consensus/statemachine), which is its only writer; the time is the
// group's, given with each call. A daemon has at most one lease, and a worker id at most one holder. A floor never falls:
// every timestamp that a former holder may have used lies at or below it, and the next holder generates above it. So no
// two ids are equal, even where the holders' clocks differ.
package workerid

import (
	"container/heap"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// MaxWorkerID is the largest number that ten bits hold.
const MaxWorkerID ident.WorkerID = 1<<10 - 1

// Lease is one row of the table: a daemon may use a worker id until the group's time reaches LeaseExpiry.
type Lease struct {
	WorkerID    ident.WorkerID  `json:"workerId"`
	NodeID      ident.NodeID    `json:"nodeId"`
	LeaseExpiry ident.GroupTime `json:"leaseExpiry"`
}

// Grant is what a lease holder receives: its lease, the group's time when it was granted, and the floor; it generates
// ids with timestamps above the floor alone.
type Grant struct {
	Lease
	Now   ident.GroupTime `json:"now"`
	Floor ident.GroupTime `json:"floor"`
}

// LeaseOutcome is the outcome of a request for a lease.
type LeaseOutcome string

const (
	// Granted: the daemon holds the lease that is given with it.
	Granted LeaseOutcome = "granted"
	// Mismatch: the daemon does not hold a lease on that worker id.
	Mismatch LeaseOutcome = "mismatch"
	// Exhausted: every worker id is leased, or has a floor that is not below the time yet.
	Exhausted LeaseOutcome = "exhausted"
	// Released: the lease has ended before its expiry.
	Released LeaseOutcome = "released"
)

// Table is the replicated table. Its zero value is not usable; make it with New, and after decoding one call
// RebuildExpiries.
type Table struct {
	Leases map[ident.WorkerID]Lease        `json:"tenures"`
	Nodes  map[ident.NodeID]ident.WorkerID `json:"nodes"`
	// Floors outlive release and reclaim: no id with a timestamp at or below its worker id's may be generated again.
	Floors map[ident.WorkerID]ident.GroupTime `json:"floors"`

	expiries expiryHeap
}

// New makes an empty table.
func New() *Table {
	return &Table{
		Leases: map[ident.WorkerID]Lease{},
		Nodes:  map[ident.NodeID]ident.WorkerID{},
		Floors: map[ident.WorkerID]ident.GroupTime{},
	}
}

// RebuildExpiries remakes the expiry heap after the table was read from a snapshot.
func (t *Table) RebuildExpiries() {
	t.expiries = t.expiries[:0]
	for _, lease := range t.Leases {
		t.expiries = append(t.expiries, expiry{lease.LeaseExpiry, lease.WorkerID})
	}
	heap.Init(&t.expiries)
}

// Acquire gives the daemon its unexpired lease, or the lowest free worker id.
func (t *Table) Acquire(node ident.NodeID, now ident.GroupTime, duration time.Duration) (Grant, LeaseOutcome) {
	if worker, known := t.Nodes[node]; known {
		lease := t.Leases[worker]
		if lease.LeaseExpiry > now {
			return Grant{Lease: lease, Now: now, Floor: t.Floors[worker]}, Granted
		}
		// Its lease expired before Reclaim found it: it counts as reclaimed, so the floor binds its next holder.
		t.end(lease, lease.LeaseExpiry)
	}
	for worker := ident.WorkerID(0); worker <= MaxWorkerID; worker++ {
		// A floor ahead of the group's time would leave the holder unable to generate, so such an id is skipped.
		if _, leased := t.Leases[worker]; leased || t.Floors[worker] >= now {
			continue
		}
		lease := Lease{WorkerID: worker, NodeID: node, LeaseExpiry: now.Add(duration)}
		t.put(lease)
		return Grant{Lease: lease, Now: now, Floor: t.Floors[worker]}, Granted
	}
	return Grant{}, Exhausted
}

// Renew moves the expiry of a lease that this daemon holds.
func (t *Table) Renew(node ident.NodeID, worker ident.WorkerID, now ident.GroupTime, duration time.Duration) (Grant, LeaseOutcome) {
	lease, isHolder := t.leaseOf(node, worker)
	if !isHolder || lease.LeaseExpiry <= now {
		return Grant{}, Mismatch
	}
	lease.LeaseExpiry = max(lease.LeaseExpiry, now.Add(duration))
	t.put(lease)
	return Grant{Lease: lease, Now: now, Floor: t.Floors[worker]}, Granted
}

// Release ends a lease early; lastTimestamp is that of the last id that was generated under it.
func (t *Table) Release(node ident.NodeID, worker ident.WorkerID, lastTimestamp ident.GroupTime) LeaseOutcome {
	lease, isHolder := t.leaseOf(node, worker)
	if !isHolder {
		return Mismatch
	}
	t.end(lease, min(lastTimestamp, lease.LeaseExpiry))
	return Released
}

// Reclaim ends all leases that expired by now, and says how many.
func (t *Table) Reclaim(now ident.GroupTime) int {
	count := 0
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		due := heap.Pop(&t.expiries).(expiry)
		lease, leased := t.Leases[due.worker]
		// A renewed or released lease leaves its old expiry in the heap; only the table decides.
		if leased && lease.LeaseExpiry <= now {
			t.end(lease, lease.LeaseExpiry)
			count++
		}
	}
	return count
}

// HasExpired says whether Reclaim may find an expired lease.
func (t *Table) HasExpired(now ident.GroupTime) bool {
	return len(t.expiries) > 0 && t.expiries[0].at <= now
}

// leaseOf gives the lease that this daemon has on this worker id.
func (t *Table) leaseOf(node ident.NodeID, worker ident.WorkerID) (Lease, bool) {
	known, ok := t.Nodes[node]
	if !ok || known != worker {
		return Lease{}, false
	}
	return t.Leases[worker], true
}

// put writes a row, and remembers its expiry for Reclaim.
func (t *Table) put(lease Lease) {
	t.Leases[lease.WorkerID] = lease
	t.Nodes[lease.NodeID] = lease.WorkerID
	heap.Push(&t.expiries, expiry{lease.LeaseExpiry, lease.WorkerID})
}

// end removes a row and raises its worker id's floor.
func (t *Table) end(lease Lease, floor ident.GroupTime) {
	delete(t.Leases, lease.WorkerID)
	delete(t.Nodes, lease.NodeID)
	t.Floors[lease.WorkerID] = max(t.Floors[lease.WorkerID], floor)
}

// expiry is one entry of the heap: a lease's expiry as it was when the entry was made.
type expiry struct {
	at     ident.GroupTime
	worker ident.WorkerID
}

// expiryHeap is a heap.Interface with the earliest expiry first.
type expiryHeap []expiry

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].worker < h[j].worker)
}
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

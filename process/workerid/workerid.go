// Package workerid is the replicated table of worker-id tenures: which daemon may mint ids
// under which worker id, until when, and above which floor.
package workerid

import (
	"container/heap"
	"time"

	"github.com/cresspond/cresspond/process/ident"
)

// MaxWorkerID is the largest number that ten bits hold.
const MaxWorkerID ident.WorkerID = 1<<10 - 1

// Tenure is one row of the table.
type Tenure struct {
	WorkerID    ident.WorkerID  `json:"workerId"`
	NodeID      ident.NodeID    `json:"nodeId"`
	LeaseExpiry ident.GroupTime `json:"leaseExpiry"`
}

// Grant is what a holder is told: its tenure, the group's time, and the floor it must mint above.
type Grant struct {
	Tenure
	Now   ident.GroupTime `json:"now"`
	Floor ident.GroupTime `json:"floor"`
}

// Verdict is the outcome of a command on the table.
type Verdict string

const (
	Granted   Verdict = "granted"
	Mismatch  Verdict = "mismatch"
	Exhausted Verdict = "exhausted"
	Released  Verdict = "released"
)

// Table is the replicated state. Its zero value is not usable; make it with New.
type Table struct {
	Tenures map[ident.WorkerID]Tenure       `json:"tenures"`
	Nodes   map[ident.NodeID]ident.WorkerID `json:"nodes"`
	// Floors outlive release and reclaim: no id at or below them may be minted again.
	Floors map[ident.WorkerID]ident.GroupTime `json:"floors"`

	expiries expiryHeap
}

// New makes an empty table.
func New() *Table {
	return &Table{
		Tenures: map[ident.WorkerID]Tenure{},
		Nodes:   map[ident.NodeID]ident.WorkerID{},
		Floors:  map[ident.WorkerID]ident.GroupTime{},
	}
}

// Rebuild remakes the expiry heap after the table was read from a snapshot.
func (t *Table) Rebuild() {
	t.expiries = t.expiries[:0]
	for _, tenure := range t.Tenures {
		t.expiries = append(t.expiries, expiry{tenure.LeaseExpiry, tenure.WorkerID})
	}
	heap.Init(&t.expiries)
}

// Acquire gives the daemon its unexpired tenure, or the lowest free worker id.
func (t *Table) Acquire(node ident.NodeID, now ident.GroupTime, span time.Duration) (Grant, Verdict) {
	if worker, known := t.Nodes[node]; known {
		tenure := t.Tenures[worker]
		if tenure.LeaseExpiry > now {
			return Grant{Tenure: tenure, Now: now, Floor: t.Floors[worker]}, Granted
		}
		// Its tenure lapsed before the scan found it: it counts as reclaimed, so the floor holds for its next holder.
		t.end(tenure, tenure.LeaseExpiry)
	}
	for worker := ident.WorkerID(0); worker <= MaxWorkerID; worker++ {
		// A floor ahead of the group's time would leave the holder unable to mint, so such an id is passed by.
		if _, taken := t.Tenures[worker]; taken || t.Floors[worker] >= now {
			continue
		}
		tenure := Tenure{WorkerID: worker, NodeID: node, LeaseExpiry: now.Add(span)}
		t.put(tenure)
		return Grant{Tenure: tenure, Now: now, Floor: t.Floors[worker]}, Granted
	}
	return Grant{}, Exhausted
}

// Renew moves the expiry of a tenure that this daemon holds.
func (t *Table) Renew(node ident.NodeID, worker ident.WorkerID, now ident.GroupTime, span time.Duration) (Grant, Verdict) {
	tenure, held := t.holder(node, worker)
	if !held || tenure.LeaseExpiry <= now {
		return Grant{}, Mismatch
	}
	tenure.LeaseExpiry = max(tenure.LeaseExpiry, now.Add(span))
	t.put(tenure)
	return Grant{Tenure: tenure, Now: now, Floor: t.Floors[worker]}, Granted
}

// Release ends a tenure early; last is the last timestamp that was minted under it.
func (t *Table) Release(node ident.NodeID, worker ident.WorkerID, last ident.GroupTime) Verdict {
	tenure, held := t.holder(node, worker)
	if !held {
		return Mismatch
	}
	t.end(tenure, min(last, tenure.LeaseExpiry))
	return Released
}

// Reclaim ends all tenures that lapsed by now, and says how many.
func (t *Table) Reclaim(now ident.GroupTime) int {
	count := 0
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		due := heap.Pop(&t.expiries).(expiry)
		tenure, held := t.Tenures[due.worker]
		// A renewed or released tenure leaves its old expiry in the heap; only the row decides.
		if held && tenure.LeaseExpiry <= now {
			t.end(tenure, tenure.LeaseExpiry)
			count++
		}
	}
	return count
}

// Due says whether Reclaim would find anything.
func (t *Table) Due(now ident.GroupTime) bool {
	return len(t.expiries) > 0 && t.expiries[0].at <= now
}

func (t *Table) holder(node ident.NodeID, worker ident.WorkerID) (Tenure, bool) {
	known, ok := t.Nodes[node]
	if !ok || known != worker {
		return Tenure{}, false
	}
	return t.Tenures[worker], true
}

func (t *Table) put(tenure Tenure) {
	t.Tenures[tenure.WorkerID] = tenure
	t.Nodes[tenure.NodeID] = tenure.WorkerID
	heap.Push(&t.expiries, expiry{tenure.LeaseExpiry, tenure.WorkerID})
}

func (t *Table) end(tenure Tenure, floor ident.GroupTime) {
	delete(t.Tenures, tenure.WorkerID)
	delete(t.Nodes, tenure.NodeID)
	t.Floors[tenure.WorkerID] = max(t.Floors[tenure.WorkerID], floor)
}

type expiry struct {
	at     ident.GroupTime
	worker ident.WorkerID
}

type expiryHeap []expiry

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].worker < h[j].worker)
}
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push and Pop serve container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

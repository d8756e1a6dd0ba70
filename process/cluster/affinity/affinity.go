// Package affinity remembers which engine each session is assigned to. Every session has two owners among the routing
// daemons, found by rendezvous hashing of its name with their addresses, so that all daemons agree on who knows the
// assignment without talking to each other.
package affinity

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// assignment is the engine of one session.
type assignment struct {
	engine   ident.EngineID
	lastUsed clock.Mark
}

// Table holds the assignments that this daemon owns. It may be used by several goroutines.
type Table struct {
	mutex       sync.Mutex
	assignments map[string]assignment
	lastSweep   clock.Mark
}

// maxAssignments bounds how many assignments are kept; sessions beyond it stay without one.
const maxAssignments = 1 << 20

// NewTable makes an empty table.
func NewTable() *Table { return &Table{assignments: map[string]assignment{}} }

// Assign returns the session's engine and marks the assignment as used. A session without an assignment, or whose engine
// is the one to be replaced, is assigned the preferred engine, which the result assigned reports. Assignments expire when
// they were not used for idle. found is false where there is neither an assignment nor a preferred engine, or no capacity.
func (t *Table) Assign(now clock.Mark, idle time.Duration, session string, preferred, replaces ident.EngineID) (engine ident.EngineID, found, assigned bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Since(t.lastSweep) > idle/2 {
		t.lastSweep = now
		for name, current := range t.assignments {
			if now.Since(current.lastUsed) > idle {
				delete(t.assignments, name)
			}
		}
	}
	current, known := t.assignments[session]
	if known && now.Since(current.lastUsed) <= idle && current.engine != replaces {
		t.assignments[session] = assignment{current.engine, now}
		return current.engine, true, false
	}
	if preferred == "" || !known && len(t.assignments) >= maxAssignments {
		return "", false, false
	}
	t.assignments[session] = assignment{preferred, now}
	return preferred, true, true
}

// Record keeps an assignment that its owners made, so that it outlives them.
func (t *Table) Record(now clock.Mark, session string, engine ident.EngineID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.assignments[session]; known || len(t.assignments) < maxAssignments {
		t.assignments[session] = assignment{engine, now}
	}
}

// Lookup returns an assignment and the time since its last use, without marking it as used.
func (t *Table) Lookup(now clock.Mark, idle time.Duration, session string) (engine ident.EngineID, used time.Duration, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current, known := t.assignments[session]
	used = now.Since(current.lastUsed)
	return current.engine, used, known && used <= idle
}

// Assignments returns a copy of all assignments that are kept here, by session.
func (t *Table) Assignments() map[string]ident.EngineID {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	engines := make(map[string]ident.EngineID, len(t.assignments))
	for session, current := range t.assignments {
		engines[session] = current.engine
	}
	return engines
}

// Delete removes a session's assignment.
func (t *Table) Delete(session string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.assignments, session)
}

// fibonacciMultiplier is 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing.
const fibonacciMultiplier = 0x9E3779B97F4A7C15

// Owners picks the first and the second owner of a session among the daemons at these addresses by rendezvous hashing
// (Thaler and Ravishankar, 1998): those with the highest weights. A daemon that leaves moves only the sessions that it
// owned, and the first owner's to the second, which knows them already.
func Owners(session string, addresses []string) (first, second string) {
	var firstWeight, secondWeight uint64
	for _, address := range addresses {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(session + "\x00" + address))
		// A final mixing step, since FNV's high bits hardly depend on the last bytes.
		weight := hash.Sum64() * fibonacciMultiplier
		weight ^= weight >> 29
		switch {
		case first == "" || weight > firstWeight:
			first, second, firstWeight, secondWeight = address, first, weight, firstWeight
		case second == "" || weight > secondWeight:
			second, secondWeight = address, weight
		}
	}
	return first, second
}

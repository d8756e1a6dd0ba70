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

// maxAssignments bounds how many assignments are remembered.
const maxAssignments = 1 << 20

// NewTable makes an empty table.
func NewTable() *Table { return &Table{assignments: map[string]assignment{}} }

// Assign gives the session's engine. A session without an assignment takes the wished engine, and one whose engine is
// the one to be replaced takes the wished one instead; fresh says that it did.
func (h *Table) Assign(now clock.Mark, idle time.Duration, session string, preferred, replaces ident.EngineID) (engine ident.EngineID, found, assigned bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Since(h.lastSweep) > idle/2 {
		h.lastSweep = now
		for name, current := range h.assignments {
			if now.Since(current.lastUsed) > idle {
				delete(h.assignments, name)
			}
		}
	}
	current, known := h.assignments[session]
	if known && now.Since(current.lastUsed) <= idle && current.engine != replaces {
		h.assignments[session] = assignment{current.engine, now}
		return current.engine, true, false
	}
	if preferred == "" || !known && len(h.assignments) >= maxAssignments {
		return "", false, false
	}
	h.assignments[session] = assignment{preferred, now}
	return preferred, true, true
}

// Record remembers an assignment that its owners made, so that it outlives them.
func (h *Table) Record(now clock.Mark, session string, engine ident.EngineID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if _, known := h.assignments[session]; known || len(h.assignments) < maxAssignments {
		h.assignments[session] = assignment{engine, now}
	}
}

// Lookup gives an assignment and how long ago it was last used, and changes nothing.
func (h *Table) Lookup(now clock.Mark, idle time.Duration, session string) (engine ident.EngineID, used time.Duration, found bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	current, known := h.assignments[session]
	used = now.Since(current.lastUsed)
	return current.engine, used, known && used <= idle
}

// Assignments lists the assignments that are kept here.
func (h *Table) Assignments() map[string]ident.EngineID {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	out := make(map[string]ident.EngineID, len(h.assignments))
	for session, current := range h.assignments {
		out[session] = current.engine
	}
	return out
}

// Delete forgets a session.
func (h *Table) Delete(session string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.assignments, session)
}

// mixer is 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing.
const fibonacciMultiplier = 0x9E3779B97F4A7C15

// Owners picks the first and the second owner of a session among daemons: those with the highest weights,
// so that a daemon that leaves moves only the sessions it owned, and to where they are known.
func Owners(session string, addresses []string) (first, second string) {
	var firstWeight, secondWeight uint64
	for _, address := range addresses {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(session + "\x00" + address))
		// A last mixing step, since FNV's high bits hardly depend on the last bytes.
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

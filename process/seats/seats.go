// Package seats is the home of sessions' seats: each session has one home among the routing
// daemons, found by weighing its name against theirs, so two daemons agree on where it sits.
package seats

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
)

type seat struct {
	engine ident.EngineID
	used   clock.Mark
}

// Home holds the seats whose home this daemon is.
type Home struct {
	mutex sync.Mutex
	seats map[string]seat
	swept clock.Mark
}

// most bounds how many seats are remembered.
const most = 1 << 20

// NewHome makes an empty home.
func NewHome() *Home { return &Home{seats: map[string]seat{}} }

// Claim gives the session's seat. One without a seat takes the wished engine; one whose seat is the
// engine that was found gone takes the wished one instead.
func (h *Home) Claim(now clock.Mark, idle time.Duration, session string, wished, replaces ident.EngineID) (engine ident.EngineID, found, fresh bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Since(h.swept) > idle/2 {
		h.swept = now
		for name, held := range h.seats {
			if now.Since(held.used) > idle {
				delete(h.seats, name)
			}
		}
	}
	held, known := h.seats[session]
	if known && now.Since(held.used) <= idle && held.engine != replaces {
		h.seats[session] = seat{held.engine, now}
		return held.engine, true, false
	}
	if wished == "" || !known && len(h.seats) >= most {
		return "", false, false
	}
	h.seats[session] = seat{wished, now}
	return wished, true, true
}

// Note remembers a seat that its homes gave, so that it outlives them.
func (h *Home) Note(now clock.Mark, session string, engine ident.EngineID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if _, known := h.seats[session]; known || len(h.seats) < most {
		h.seats[session] = seat{engine, now}
	}
}

// Find gives a seat and when it was last used, and changes nothing.
func (h *Home) Find(now clock.Mark, idle time.Duration, session string) (engine ident.EngineID, used time.Duration, found bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held, known := h.seats[session]
	used = now.Since(held.used)
	return held.engine, used, known && used <= idle
}

// All lists the seats that are kept here.
func (h *Home) All() map[string]ident.EngineID {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	out := make(map[string]ident.EngineID, len(h.seats))
	for session, held := range h.seats {
		out[session] = held.engine
	}
	return out
}

// End forgets a session.
func (h *Home) End(session string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.seats, session)
}

// Of picks the first and the second home of a session among daemons: those with the highest weights,
// so that a daemon that leaves moves only the sessions it was home to, and to where they are known.
func Of(session string, addresses []string) (first, second string) {
	var firstWeight, secondWeight uint64
	for _, address := range addresses {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(session + "\x00" + address))
		// A last stir, since FNV's high bits hardly depend on the last bytes.
		weight := hash.Sum64() * 0x9E3779B97F4A7C15
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

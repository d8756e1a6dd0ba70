package replica

import (
	"fmt"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
)

// simHolder is a daemon that holds a worker id and mints.
type simHolder struct {
	sim       *sim
	name      string
	life      int
	generator *snowflake.Generator
	renewed   clock.Mark
	frozen    clock.Mark
	rate      float64
	asking    clock.Mark
}

// Elapsed is the holder's own clock, which may run a little fast or slow.
func (h *simHolder) Elapsed() clock.Mark { return clock.Mark(float64(h.sim.now) * h.rate) }

// Wall is not used by holders.
func (h *simHolder) Wall() time.Time { return time.Time{} }

func (h *simHolder) node() ident.NodeID { return ident.NodeID(fmt.Sprintf("%s#%d", h.name, h.life)) }

func (h *simHolder) begin() {
	h.life++
	margin := time.Second
	if h.sim.broken == tenureOverrun {
		margin = -time.Minute
	}
	h.generator = snowflake.New(h, margin)
	h.step(h.life)
}

func (h *simHolder) step(life int) {
	s := h.sim
	s.after(s.ms(20, 120), func() {
		if h.life != life {
			return
		}
		if s.now >= h.frozen {
			h.act()
		}
		h.step(life)
	})
}

func (h *simHolder) act() {
	s := h.sim
	worker, held := h.generator.Worker()
	now := h.Elapsed()
	if now.Since(h.asking) > 400*time.Millisecond && (!held || now.Since(h.renewed) >= 10*time.Second) {
		h.asking = now
		command := statemachine.Command{Op: statemachine.OpAcquire, NodeID: h.node()}
		if held {
			command = statemachine.Command{Op: statemachine.OpRenew, NodeID: h.node(), WorkerID: worker}
		}
		life := h.life
		s.ask(s.some(1)[0], &command, func(a Response) {
			if h.life != life || a.Outcome != Applied || a.Result.Grant == nil {
				return
			}
			grant := *a.Result.Grant
			if s.broken == tenureOverrun {
				grant.LeaseExpiry += 600000
			}
			h.generator.Take(grant, now)
			h.renewed = now
		})
	}
	for range 3 {
		id, verdict := h.generator.Mint()
		if verdict != snowflake.Minted {
			return
		}
		s.mints++
		if other, twice := s.minted[id]; twice {
			s.fault("id %d was minted by %s and by %s", id, other, h.node())
		}
		s.minted[id] = string(h.node())
	}
}

// leave releases the tenure and begins another life.
func (h *simHolder) leave() {
	worker, last, held := h.generator.Drop()
	if held {
		if h.sim.broken == floorForgotten {
			last = 0
		}
		for _, n := range h.sim.nodes {
			h.sim.ask(n, &statemachine.Command{Op: statemachine.OpRelease, NodeID: h.node(), WorkerID: worker, LastTimestamp: last}, func(Response) {})
		}
	}
	h.begin()
}

// operate closes and opens a zone over and over, and reads back: no acknowledged closure may be missing from a later read.
func (s *sim) operate() {
	s.after(s.ms(40, 160), func() {
		if s.ended {
			return
		}
		to := s.some(1)[0]
		if s.random.IntN(2) == 0 {
			command := statemachine.Command{Op: statemachine.OpClosure, Zone: ident.ZoneID(fmt.Sprint(s.random.IntN(3))), Closed: s.random.IntN(2) == 0}
			s.ask(to, &command, func(a Response) {
				if a.Outcome == Applied && a.Result.Closures != nil {
					s.acks++
					s.ackedEpoch = max(s.ackedEpoch, a.Result.Closures.Version)
				}
			})
		} else {
			before := s.ackedEpoch
			s.ask(to, nil, func(a Response) {
				if a.Outcome != Applied {
					return
				}
				s.reads++
				if a.Result.Version < before {
					s.fault("a read saw closures at epoch %d after %d was acknowledged", a.Result.Version, before)
				}
			})
		}
		s.operate()
	})
}

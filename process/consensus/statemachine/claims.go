package statemachine

import (
	"time"

	"github.com/cresspond/cresspond/ident"
)

// History is what the planners of pools have told: it goes on from claim to claim.
type History struct {
	// Since is when the first of it was told: of what was before nothing is known.
	Since  ident.GroupTime              `json:"since"`
	Orders map[ident.EngineID]ToldOrder `json:"orders,omitempty"`
	Loads  []ToldLoads                  `json:"loads,omitempty"`
}

// ToldOrder is the newest order told of for one engine.
type ToldOrder struct {
	Taken uint64          `json:"taken"`
	At    ident.GroupTime `json:"at"`
}

// ToldLoads is a number of loads told of at one moment.
type ToldLoads struct {
	At    ident.GroupTime `json:"at"`
	Count int             `json:"count"`
}

// Claim is the right to plan and to command engines.
type Claim struct {
	Number ident.FencingToken `json:"number"`
	NodeID ident.NodeID       `json:"nodeId"`
	Until  ident.GroupTime    `json:"until"`
	Now    ident.GroupTime    `json:"now"`
	// Orders is the call-seq each engine must show before its reports tell of all orders given under this
	// claim and those before: its holder says so before each order leaves.
	Orders     map[ident.EngineID]uint64 `json:"orders,omitempty"`
	OrdersTurn uint64                    `json:"ordersTurn,omitempty"`
	// Pools is what the planners of pools told; a result has it where it was asked for.
	Pools *History `json:"pools,omitempty"`
	// TellsAll says that the holder tells of every order before it leaves, Ordered when it last did.
	TellsAll bool            `json:"tellsAll,omitempty"`
	Ordered  ident.GroupTime `json:"ordered,omitempty"`
}

// FreeAt is when a successor may have the claim, with this quiet time between the orders of two holders.
// Where every order was told of, the quiet time counts from the newest and may have passed already when the
// claim lapses; else any order may have left at the claim's very end.
func (c Claim) FreeAt(gap time.Duration) ident.GroupTime {
	if c.TellsAll {
		return max(c.Until, c.Ordered.Add(gap))
	}
	return c.Until.Add(gap)
}

func (s *State) claim(c Command) Result {
	live := s.Claim.Until > s.Now
	span := time.Duration(c.SpanMs) * time.Millisecond
	switch {
	case s.Claim.Number > 0 && s.Claim.NodeID == c.NodeID && (live || c.Resume):
		s.Claim.Until = max(s.Claim.Until, s.Now.Add(span))
		if c.OrdersTurn > s.Claim.OrdersTurn {
			s.Claim.Orders, s.Claim.OrdersTurn = c.Orders, c.OrdersTurn
		}
	case live || s.Claim.Number > 0 && s.Now < s.Claim.FreeAt(time.Duration(c.GapMs)*time.Millisecond):
		// A successor waits out the old claim and the quiet gap, so no engine is commanded in quick turns.
		return Result{Verdict: Waiting, Reason: "another claim is in force or has just ended", Claim: s.claimNow(false)}
	default:
		s.Claim = Claim{Number: max(s.Claim.Number, c.Above) + 1, NodeID: c.NodeID, Orders: s.Claim.Orders, Pools: s.Claim.Pools, Until: s.Now.Add(span), TellsAll: c.TellsAll}
	}
	if c.Told != nil {
		s.Claim.Ordered = s.Now
		s.Claim.Pools = s.Claim.Pools.add(s.Now, *c.Told)
	}
	return Result{Verdict: Done, Claim: s.claimNow(c.Whole)}
}

// add takes in what was told, and forgets what no longer counts. What comes twice only counts for more.
func (h *History) add(now ident.GroupTime, told Told) *History {
	next := &History{Since: now, Orders: map[ident.EngineID]ToldOrder{}}
	kept := now - ident.GroupTime(told.KeepMs)
	if h != nil {
		next.Since = h.Since
		for engine, order := range h.Orders {
			if order.At > kept {
				next.Orders[engine] = order
			}
		}
		for _, loads := range h.Loads {
			if loads.At > kept {
				next.Loads = append(next.Loads, loads)
			}
		}
	}
	for engine, taken := range told.Orders {
		next.Orders[engine] = ToldOrder{Taken: max(taken, next.Orders[engine].Taken), At: now}
	}
	if told.Loads > 0 {
		next.Loads = append(next.Loads, ToldLoads{At: now, Count: told.Loads})
	}
	return next
}

// claimNow copies the claim; the pools' history goes along only where it was asked for, since it may be long.
func (s *State) claimNow(whole bool) *Claim {
	claim := s.Claim
	claim.Now = s.Now
	if !whole {
		claim.Pools = nil
	}
	return &claim
}

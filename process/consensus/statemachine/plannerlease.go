package statemachine

import (
	"time"

	"github.com/cresspond/cresspond/ident"
)

// Claim is the right to plan and to command engines.
type PlannerLease struct {
	Token  ident.FencingToken `json:"number"`
	NodeID ident.NodeID       `json:"nodeId"`
	Expiry ident.GroupTime    `json:"until"`
	Now    ident.GroupTime    `json:"now"`
	// Orders is the call-seq each engine must show before its reports tell of all orders given under this
	// claim and those before: its holder says so before each order leaves.
	Orders         map[ident.EngineID]uint64 `json:"orders,omitempty"`
	OrdersSequence uint64                    `json:"ordersTurn,omitempty"`
	// Pools is what the planners of pools told; a result has it where it was asked for.
	Announced *AnnouncedOrders `json:"pools,omitempty"`
	// TellsAll says that the holder tells of every order before it leaves, Ordered when it last did.
	AnnouncesAll  bool            `json:"tellsAll,omitempty"`
	LastAnnounced ident.GroupTime `json:"ordered,omitempty"`
}

// FreeAt is when a successor may have the claim, with this quiet time between the orders of two holders.
// Where every order was told of, the quiet time counts from the newest and may have passed already when the
// claim lapses; else any order may have left at the claim's very end.
func (c PlannerLease) FreeAt(gap time.Duration) ident.GroupTime {
	if c.AnnouncesAll {
		return max(c.Expiry, c.LastAnnounced.Add(gap))
	}
	return c.Expiry.Add(gap)
}

func (s *State) acquirePlannerLease(c Command) Result {
	live := s.PlannerLease.Expiry > s.Now
	span := time.Duration(c.LeaseMs) * time.Millisecond
	switch {
	case s.PlannerLease.Token > 0 && s.PlannerLease.NodeID == c.NodeID && (live || c.Resume):
		s.PlannerLease.Expiry = max(s.PlannerLease.Expiry, s.Now.Add(span))
		if c.OrdersSequence > s.PlannerLease.OrdersSequence {
			s.PlannerLease.Orders, s.PlannerLease.OrdersSequence = c.Orders, c.OrdersSequence
		}
	case live || s.PlannerLease.Token > 0 && s.Now < s.PlannerLease.FreeAt(time.Duration(c.HandoverGapMs)*time.Millisecond):
		// A successor waits out the old claim and the quiet gap, so no engine is commanded in quick turns.
		return Result{Outcome: Waiting, Reason: "another claim is in force or has just ended", PlannerLease: s.currentPlannerLease(false)}
	default:
		s.PlannerLease = PlannerLease{Token: max(s.PlannerLease.Token, c.TokenAbove) + 1, NodeID: c.NodeID, Orders: s.PlannerLease.Orders, Announced: s.PlannerLease.Announced, Expiry: s.Now.Add(span), AnnouncesAll: c.AnnouncesAll}
	}
	if c.Announcement != nil {
		s.PlannerLease.LastAnnounced = s.Now
		s.PlannerLease.Announced = s.PlannerLease.Announced.add(s.Now, *c.Announcement)
	}
	return Result{Outcome: Done, PlannerLease: s.currentPlannerLease(c.WithAnnounced)}
}

// claimNow copies the claim; the pools' history goes along only where it was asked for, since it may be long.
func (s *State) currentPlannerLease(whole bool) *PlannerLease {
	claim := s.PlannerLease
	claim.Now = s.Now
	if !whole {
		claim.Announced = nil
	}
	return &claim
}

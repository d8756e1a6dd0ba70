package statemachine

import (
	"time"

	"github.com/cresspond/cresspond/ident"
)

// PlannerLease is the right to plan placements and to send orders to engines. One daemon holds it at a time.
type PlannerLease struct {
	// Token is the fencing token: each new holder's is higher than all before.
	Token  ident.FencingToken `json:"number"`
	NodeID ident.NodeID       `json:"nodeId"`
	Expiry ident.GroupTime    `json:"until"`
	// Now is the group's time when a result was made; in the state it is 0.
	Now ident.GroupTime `json:"now"`
	// Orders is, by engine, the call sequence number that an engine's report must show before it reflects every order
	// sent under this lease and those before. The holder raises it before each order leaves.
	Orders         map[ident.EngineID]uint64 `json:"orders,omitempty"`
	OrdersSequence uint64                    `json:"ordersTurn,omitempty"`
	// Announced holds the orders that planners of pools announced; a result has it only where it was asked for.
	Announced *AnnouncedOrders `json:"pools,omitempty"`
	// AnnouncesAll says that the holder announces every order before it leaves, LastAnnounced when it last did.
	AnnouncesAll  bool            `json:"tellsAll,omitempty"`
	LastAnnounced ident.GroupTime `json:"ordered,omitempty"`
}

// FreeAt is when a successor may acquire the lease, with this quiet period between the orders of two holders.
// Where every order was announced, the period counts from the newest and may have passed already when the
// lease expires; otherwise an order may have left at the lease's very end.
func (l PlannerLease) FreeAt(quietPeriod time.Duration) ident.GroupTime {
	if l.AnnouncesAll {
		return max(l.Expiry, l.LastAnnounced.Add(quietPeriod))
	}
	return l.Expiry.Add(quietPeriod)
}

// acquirePlannerLease grants the lease or renews it.
func (s *State) acquirePlannerLease(command Command) Result {
	lease := &s.PlannerLease
	unexpired := lease.Expiry > s.Now
	everGranted := lease.Token > 0
	quietPeriod := time.Duration(command.HandoverGapMs) * time.Millisecond
	switch {
	case everGranted && lease.NodeID == command.NodeID && (unexpired || command.Resume):
		lease.Expiry = max(lease.Expiry, s.Now.Add(command.leaseDuration()))
		if command.OrdersSequence > lease.OrdersSequence {
			lease.Orders, lease.OrdersSequence = command.Orders, command.OrdersSequence
		}
	case unexpired || everGranted && s.Now < lease.FreeAt(quietPeriod):
		// A successor waits out the old lease and the quiet period, so that no engine gets the orders of two planners
		// one right after the other.
		return Result{Outcome: Waiting, Reason: "another planner's lease is in force or has just ended", PlannerLease: s.currentPlannerLease(false)}
	default:
		s.PlannerLease = PlannerLease{
			Token:        max(lease.Token, command.TokenAbove) + 1,
			NodeID:       command.NodeID,
			Orders:       lease.Orders,
			Announced:    lease.Announced,
			Expiry:       s.Now.Add(command.leaseDuration()),
			AnnouncesAll: command.AnnouncesAll,
		}
	}
	if command.Announcement != nil {
		lease.LastAnnounced = s.Now
		lease.Announced = lease.Announced.add(s.Now, *command.Announcement)
	}
	return Result{Outcome: Done, PlannerLease: s.currentPlannerLease(command.WithAnnounced)}
}

// releasePlannerLease ends the lease of its holder early.
func (s *State) releasePlannerLease(command Command) Result {
	lease := &s.PlannerLease
	if lease.NodeID == command.NodeID {
		lease.Expiry = min(lease.Expiry, s.Now)
		// The release is final, so a late renewal must not resume the lease.
		lease.NodeID = ""
	}
	return Result{Outcome: Done}
}

// currentPlannerLease copies the lease. The announced orders come with it only where they were asked for, since they
// may be many.
func (s *State) currentPlannerLease(withAnnounced bool) *PlannerLease {
	lease := s.PlannerLease
	lease.Now = s.Now
	if !withAnnounced {
		lease.Announced = nil
	}
	return &lease
}

package interleaving

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/process/workerid"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/engineapi"
)

const mostOrders = 2_000_000

// holds explores and fails the test on the first bad order.
func holds(t *testing.T, fresh func() Case) {
	t.Helper()
	result := Explore(mostOrders, fresh)
	t.Logf("%d orders", result.Orders)
	if result.Failure != nil {
		t.Errorf("order %v: %v", result.Order, result.Failure)
	}
	if result.Orders < 2 {
		t.Error("there was nothing to interleave")
	}
}

// bites holds that a broken variant is caught.
func bites(t *testing.T, fresh func() Case) {
	t.Helper()
	result := Explore(mostOrders, fresh)
	if result.Failure == nil {
		t.Errorf("the broken variant passed in all %d orders", result.Orders)
		return
	}
	t.Logf("caught in order %d: %v", result.Orders, result.Failure)
}

func TestExploreRunsEveryOrder(t *testing.T) {
	t.Parallel()
	seen := map[string]bool{}
	result := Explore(1000, func() Case {
		trail := ""
		body := func(name string) func(func()) {
			return func(yield func()) { trail += name; yield(); trail += name }
		}
		return Case{Threads: []func(func()){body("a"), body("b")}, Check: func() error { seen[trail] = true; return nil }}
	})
	if len(seen) != 6 || result.Orders != 6 {
		t.Fatalf("%d orders, %v", result.Orders, seen)
	}
}

// yieldingClock gives up the turn wherever the clock is read.
type yieldingClock struct {
	now   *clock.Mark
	yield func()
}

func (c yieldingClock) Elapsed() clock.Mark {
	now := *c.now
	if c.yield != nil {
		c.yield()
	}
	return now
}
func (c yieldingClock) Wall() time.Time { return time.Time{} }

// switching passes clock reads on to the thread that runs.
type switching struct{ current *yieldingClock }

func (s switching) Elapsed() clock.Mark { return s.current.Elapsed() }
func (s switching) Wall() time.Time     { return time.Time{} }

const second = clock.Mark(time.Second)

// mintCase: one minter, a release, and the group that gives the same worker id to another at once.
func mintCase(handIn bool) func() Case {
	return func() Case {
		start := snowflake.BaseTime + 1_000_000
		now := second
		group := workerid.New()
		var ids []ident.SnowflakeID
		current := &yieldingClock{now: &now}
		first := snowflake.New(switching{current}, 0)
		grant, _ := group.Acquire("first", start, 30*time.Second)
		first.SetLease(grant, now)
		second := snowflake.New(yieldingClock{now: &now}, 0)
		mint := func(g *snowflake.Generator) {
			if id, verdict := g.Next(); verdict == snowflake.Generated {
				ids = append(ids, id)
			}
		}
		minter := func(yield func()) {
			for range 2 {
				yield()
				current.yield = yield
				mint(first)
				current.yield = nil
			}
		}
		handover := func(yield func()) {
			worker, last, held := first.ReleaseLease()
			if !held {
				return
			}
			if !handIn {
				last = 0
			}
			yield()
			group.Release("first", worker, last)
			yield()
			// The group's time may stand at the very millisecond of the last id.
			grant, verdict := group.Acquire("second", start+1, 30*time.Second)
			if verdict != workerid.Granted {
				return
			}
			yield()
			second.SetLease(grant, now)
			mint(second)
			mint(second)
		}
		ticker := func(yield func()) {
			for range 2 {
				yield()
				now += clock.Mark(time.Millisecond)
			}
		}
		return Case{Threads: []func(func()){minter, handover, ticker}, Check: func() error { return noTwins(ids) }}
	}
}

func noTwins(ids []ident.SnowflakeID) error {
	seen := map[ident.SnowflakeID]bool{}
	for _, id := range ids {
		if seen[id] {
			return fmt.Errorf("id %d was minted twice", id)
		}
		seen[id] = true
	}
	return nil
}

func TestMintAgainstRelease(t *testing.T) {
	t.Parallel()
	holds(t, mintCase(true))
	bites(t, mintCase(false))
}

// expiryCase: a holder mints while its tenure runs out and the group reclaims it for another.
func expiryCase(margin time.Duration) func() Case {
	return func() Case {
		start := snowflake.BaseTime + 1_000_000
		now := second
		span := 3 * time.Second
		group := workerid.New()
		groupNow := func() ident.GroupTime { return start + ident.GroupTime(time.Duration(now-second)/time.Millisecond) }
		grant, _ := group.Acquire("first", groupNow(), span)
		first, next := snowflake.New(yieldingClock{now: &now}, margin), snowflake.New(yieldingClock{now: &now}, 0)
		if margin < 0 {
			// The broken holder believes its tenure to be longer than it is.
			grant.LeaseExpiry += ident.GroupTime(-margin / time.Millisecond)
		}
		first.SetLease(grant, now)
		var ids []ident.SnowflakeID
		minter := func(yield func()) {
			for range 3 {
				yield()
				if id, verdict := first.Next(); verdict == snowflake.Generated {
					ids = append(ids, id)
				}
			}
		}
		other := func(yield func()) {
			for range 2 {
				yield()
				group.Reclaim(groupNow())
				grant, verdict := group.Acquire("second", groupNow(), span)
				if verdict != workerid.Granted || grant.WorkerID != 0 {
					continue
				}
				next.SetLease(grant, now)
				if id, verdict := next.Next(); verdict == snowflake.Generated {
					ids = append(ids, id)
				}
			}
		}
		ticker := func(yield func()) {
			for range 4 {
				yield()
				now += second
			}
		}
		return Case{Threads: []func(func()){minter, other, ticker}, Check: func() error { return noTwins(ids) }}
	}
}

func TestMintAgainstExpiry(t *testing.T) {
	t.Parallel()
	holds(t, expiryCase(0))
	bites(t, expiryCase(-time.Minute))
}

func bench(zoneShut bool) *routingtable.Table {
	s := &document.Configuration{
		Name: "x", Zones: []document.Zone{{Name: "z"}}, Engines: []document.Engine{{ID: "e", Zone: "z", Capacity: 10, Slots: 1}},
		Models: []document.Model{{Name: "m", Size: 5}}, Routes: []document.Route{{Name: "r", Tenant: "h", Models: []string{"m"}}},
		Limits: document.Limits{MaxPending: 10, MaxPendingBytes: 1000, MaxRetryRatio: 0.1, AssignmentIdleMs: 1000},
	}
	closures := closure.Set{Zones: map[ident.ZoneID]closure.Record{}}
	if zoneShut {
		closures.Version, closures.Zones["z"] = 1, closure.Record{}
	}
	return routingtable.Build(1, nil, s, closures)
}

func engineView() *discovery.View {
	return &discovery.View{Engines: map[ident.EngineID]*discovery.Engine{"e": {ID: "e", Address: "x", Zone: "z", Condition: discovery.Healthy,
		Report: engineapi.Report{Models: []engineapi.ModelReport{{Model: "m", State: engineapi.Loaded}}}}}}
}

// router is the dispatch core with a sender whose last look and write are two steps.
type router struct {
	core    *dispatch.Core
	now     clock.Mark
	table   *routingtable.Table
	written map[dispatch.RecordID]bool
	refused map[dispatch.RecordID]bool
	sends   []dispatch.Send
	stamp   ident.SnowflakeID
	// blind leaves the last look out; hasty tells a refusal to all that are late, sent or not.
	blind, hasty bool
	lookedAfter  bool
	swapped      bool
}

func newRouter() *router {
	return &router{core: dispatch.NewCore(), now: 100 * second, table: bench(false), written: map[dispatch.RecordID]bool{}, refused: map[dispatch.RecordID]bool{}}
}

func (r *router) step(event dispatch.Event) {
	effects := r.core.Step(dispatch.World{Now: r.now, Table: r.table, Engines: engineView(), Zone: "z", Mint: func() (ident.SnowflakeID, snowflake.Outcome) {
		r.stamp++
		return r.stamp, snowflake.Generated
	}}, event)
	for _, tell := range effects.Replies {
		r.refused[tell.ID] = r.refused[tell.ID] || tell.Answer.Kind == dispatch.Refused
	}
	r.sends = append(r.sends, effects.Sends...)
}

func (r *router) send(yield func()) {
	for len(r.sends) > 0 {
		send := r.sends[0]
		r.sends = r.sends[1:]
		yield()
		late := r.now >= send.Deadline || !r.table.Open(send.Engine)
		if late && !r.blind {
			r.step(dispatch.AttemptEnded{ID: send.ID, Outcome: dispatch.Withdrawn, Reason: "late"})
			continue
		}
		r.lookedAfter = r.lookedAfter || r.swapped
		yield()
		r.written[send.ID] = true
		yield()
		r.step(dispatch.AttemptEnded{ID: send.ID, Outcome: dispatch.Completed})
	}
}

func (r *router) late() {
	if !r.hasty {
		return
	}
	for id := range dispatch.RecordID(3) {
		r.refused[id] = true
	}
}

func refuseCase(hasty bool) func() Case {
	return func() Case {
		r := newRouter()
		r.hasty = hasty
		r.step(dispatch.Arrive{ID: 1, Request: dispatch.Request{Attempt: "a", Route: "r", Tenant: "h", Model: "m", Deadline: r.now + second}})
		r.step(dispatch.Arrive{ID: 2, Request: dispatch.Request{Attempt: "b", Route: "r", Tenant: "h", Model: "m", Deadline: r.now + 2*second}})
		sender := func(yield func()) { r.send(yield); yield(); r.send(yield) }
		ticker := func(yield func()) {
			for range 2 {
				yield()
				r.now += second
				yield()
				r.step(dispatch.Tick{})
				if r.now >= 101*second {
					r.late()
				}
			}
		}
		leaver := func(yield func()) { yield(); r.step(dispatch.ClientGone{ID: 2}) }
		return Case{Threads: []func(func()){sender, ticker, leaver}, Check: func() error {
			for id := range r.refused {
				if r.refused[id] && r.written[id] {
					return fmt.Errorf("record %d was refused and sent", id)
				}
			}
			return nil
		}}
	}
}

func TestRefuseAgainstSend(t *testing.T) {
	t.Parallel()
	holds(t, refuseCase(false))
	bites(t, refuseCase(true))
}

func swapCase(blind bool) func() Case {
	return func() Case {
		r := newRouter()
		r.blind = blind
		r.step(dispatch.Arrive{ID: 1, Request: dispatch.Request{Attempt: "a", Route: "r", Tenant: "h", Model: "m", Deadline: r.now + 9*second}})
		sender := func(yield func()) { r.send(yield) }
		swapper := func(yield func()) { yield(); r.table = bench(true); r.swapped = true; yield(); r.step(dispatch.Tick{}) }
		return Case{Threads: []func(func()){sender, swapper}, Check: func() error {
			if r.lookedAfter && r.written[1] {
				return errors.New("a record whose last look came after the swap was sent under the old table")
			}
			return nil
		}}
	}
}

func TestSwapAgainstDispatch(t *testing.T) {
	t.Parallel()
	holds(t, swapCase(false))
	bites(t, swapCase(true))
}

// operatorsCase: two operators take two bundles on one base through all stages.
func operatorsCase(unchecked bool) func() Case {
	return func() Case {
		state := statemachine.New()
		apply := func(c statemachine.Command) statemachine.Result {
			if unchecked && c.Op == statemachine.OpRollOut {
				// The broken variant forgets what base the bundle was made on.
				state.Proposals[c.ProposalID].Base, state.Proposals[c.ProposalID].Stage = state.Version(), statemachine.StageSigned
			}
			return state.Apply(encode(c))
		}
		won := map[string]bool{}
		operator := func(id, author, signer string) func(func()) {
			return func(yield func()) {
				for _, c := range []statemachine.Command{
					{Op: statemachine.OpPropose, ProposalID: id, Operator: author, Configuration: []byte(id)},
					{Op: statemachine.OpReview, ProposalID: id, Operator: signer},
					{Op: statemachine.OpSignOff, ProposalID: id, Operator: signer},
					{Op: statemachine.OpRollOut, ProposalID: id, Operator: author},
				} {
					yield()
					result := apply(c)
					if c.Op == statemachine.OpRollOut && result.Outcome == statemachine.Done {
						won[id] = true
					}
					if result.Outcome != statemachine.Done {
						return
					}
				}
			}
		}
		return Case{Threads: []func(func()){operator("a", "ana", "berta"), operator("b", "eva", "chen")}, Check: func() error {
			if len(won) != 1 || len(state.History) != 1 || !won[state.History[0]] {
				return fmt.Errorf("winners %v, in force %v", won, state.History)
			}
			return nil
		}}
	}
}

func TestTwoOperators(t *testing.T) {
	t.Parallel()
	holds(t, operatorsCase(false))
	bites(t, operatorsCase(true))
}

func encode(c statemachine.Command) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// plannersCase: two planners claim, order for a while, stop, and claim again, while time passes and answers are late.
func plannersCase(gap time.Duration, overrun bool) func() Case {
	config := replica.DefaultConfig()
	const orderLimit = clock.Mark(1500 * time.Millisecond)
	return func() Case {
		state := statemachine.New()
		now := second
		type order struct {
			at    clock.Mark
			claim ident.FencingToken
		}
		var orders []order
		planner := func(name ident.NodeID, rounds int) func(func()) {
			return func(yield func()) {
				for range rounds {
					asked := now
					yield()
					result := state.Apply(encode(statemachine.Command{Op: statemachine.OpAcquirePlanner, NodeID: name, At: ident.GroupTime(now / 1e6),
						LeaseMs: config.PlannerLease.Milliseconds(), HandoverGapMs: gap.Milliseconds()}))
					yield()
					if result.Outcome != statemachine.Done {
						continue
					}
					until := asked + clock.Mark(time.Duration(result.PlannerLease.Expiry-result.PlannerLease.Now)*time.Millisecond)
					if overrun {
						until += 10 * second
					}
					if now < until {
						// The order was checked now, and may reach the engine as late as its limit.
						orders = append(orders, order{now, result.PlannerLease.Token}, order{min(now, until) + orderLimit, result.PlannerLease.Token})
					}
				}
			}
		}
		ticker := func(yield func()) {
			for range 4 {
				yield()
				now += 5 * second / 2
			}
		}
		return Case{Threads: []func(func()){planner("p", 2), planner("q", 1), ticker}, Check: func() error {
			for _, a := range orders {
				for _, b := range orders {
					if a.claim < b.claim && a.at >= b.at {
						return fmt.Errorf("an order under claim %d at %v, one under claim %d at %v", a.claim, time.Duration(a.at), b.claim, time.Duration(b.at))
					}
				}
			}
			return nil
		}}
	}
}

func TestTwoPlanners(t *testing.T) {
	t.Parallel()
	gap := replica.DefaultConfig().PlannerLeaseGap
	holds(t, plannersCase(gap, false))
	bites(t, plannersCase(gap, true))
}

package replica

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/linearizability"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout/directapply"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// orderBreak names a way to break how orders are decided, to see that the checker bites.
type orderBreak string

const (
	hasty     orderBreak = "an order ahead of the bundle in force is refused by what was read, not by the log"
	baseFirst orderBreak = "the base is looked at before the order itself is looked for"
	// The next three need a state that forgets, or a read.
	readsAlone        orderBreak = "the newest bundle is read without a quorum"
	takenForgotten    orderBreak = "an order that is forgotten is refused"
	refusalsForgotten orderBreak = "a refused base comes back"
)

// simOrders are operators who put bundles in force in one step, and what the checker keeps of them.
type simOrders struct {
	*sim
	// acked and refused hold the calls that had a clear answer, by digest, with the epoch and the base.
	acked   map[string]ident.Version
	refused map[string]bool
	base    map[string]ident.Revision
	// newest is the highest revision that was acknowledged.
	newest           ident.Revision
	resends, unclear int
	// calls are all calls as their senders saw them, orders what was in them, sent all orders in their turn.
	calls  []*linearizability.Call
	orders map[string]*linearizability.Order
	sent   []operatorapi.ApplyRequest
	// lossy is the share of messages between operators and members that is lost, beside the network's own.
	lossy float64
	// way breaks the way of an order on purpose.
	way orderBreak
}

// carry brings one copy of a call to a member over the network; the answer may be lost on the way.
func (o *simOrders) carry(to *simNode, call operatorapi.ApplyRequest, answer func(operatorapi.ApplyResponse)) {
	if o.loses() {
		return
	}
	back := func(got operatorapi.ApplyResponse) {
		if !o.loses() {
			o.after(o.ms(1, 10), func() { answer(got) })
		}
	}
	unknown := operatorapi.ApplyResponse{Outcome: operatorapi.Unknown}
	o.after(o.ms(1, 10), func() {
		if !to.up || o.now < to.frozenUntil {
			return
		}
		life := to.life
		o.refs++
		o.asked[o.refs] = func(a Response) {
			if a.Outcome != Applied {
				back(unknown)
				return
			}
			standing := directapply.ViewOf(a.State, call)
			// Working it out takes a while, in which anything may happen.
			o.after(o.ms(1, 60), func() {
				if to.life != life || !to.up || o.now < to.frozenUntil {
					return
				}
				decision := standing.Decide(call)
				if o.way == hasty && call.Base > standing.Revision || o.way == baseFirst && call.Base != standing.Revision {
					decision = directapply.Decision{Response: operatorapi.ApplyResponse{Outcome: operatorapi.Conflicted, Revision: standing.Revision}}
				}
				if decision.Submit == nil {
					back(decision.Response)
					return
				}
				o.refs++
				o.asked[o.refs] = func(b Response) {
					if b.Outcome != Applied {
						back(unknown)
						return
					}
					back(directapply.ResponseTo(b.Result))
				}
				to.carryOut(to.core.Submit(o.now, o.refs, *decision.Submit))
			})
		}
		to.carryOut(to.core.Read(o.now, o.refs))
	})
}

// operateOrders lets one operator change the bundle again and again: on the newest that it knows of, now and then on
// one that it only expects or on an old one. Some of its calls are those of another operator, byte for byte, and
// some are its own earlier ones, sent again long after they were answered. Between them it reads.
func (o *simOrders) operateOrders(who int, turn int, base ident.Revision) {
	if o.ended {
		return
	}
	next := func(newest ident.Revision) {
		o.after(o.ms(20, 400), func() { o.operateOrders(who, turn+1, newest) })
	}
	switch o.random.IntN(10) {
	case 0, 1:
		o.look(who, base, next)
	case 2:
		if len(o.sent) > 0 {
			o.call(who, o.sent[len(o.sent)-1-min(o.random.IntN(len(o.sent)), o.random.IntN(len(o.sent)))], base, next)
			return
		}
		fallthrough
	default:
		o.call(who, o.invent(who, turn, base), base, next)
	}
}

// invent makes a new order.
func (o *simOrders) invent(who, turn int, base ident.Revision) operatorapi.ApplyRequest {
	switch o.random.IntN(10) {
	case 0, 1:
		base += ident.Revision(1 + o.random.IntN(4))
	case 2:
		base -= min(base, ident.Revision(1+o.random.IntN(6)))
	}
	revision := uint64(base) + 1 + o.random.Uint64N(4)
	digest := fmt.Sprintf("%d-%d", who, turn)
	call := operatorapi.ApplyRequest{Base: base, Digest: digest, Operator: fmt.Sprint(who)}
	if base > 0 && o.random.IntN(2) == 0 {
		call.Patch = &upstream.Patch{Revision: revision, Upsert: upstream.Items{Pools: []upstream.Pool{{Name: fmt.Sprint("p", turn%9)}}}}
	} else {
		whole, err := json.Marshal(document.Configuration{Name: digest, Forward: &upstream.Section{Revision: revision, Pools: []upstream.Pool{{Name: "p"}}}})
		if err != nil {
			panic(err)
		}
		call.Configuration = whole
	}
	o.orders[digest] = &linearizability.Order{Digest: digest, Base: uint64(base), Revision: revision, Content: statemachine.AppliedID(digest), Validity: linearizability.Sound}
	o.base[digest] = base
	o.sent = append(o.sent, call)
	return call
}

// begin notes a call's start, and gives what notes its clear answer.
func (o *simOrders) begin(call linearizability.Call) *linearizability.Call {
	call.Start, call.Outcome = int64(o.now), linearizability.Unanswered
	o.calls = append(o.calls, &call)
	return &call
}

// look reads the newest bundle through some member, and gives up after a while.
func (o *simOrders) look(who int, base ident.Revision, next func(ident.Revision)) {
	noted := o.begin(linearizability.Call{Client: who, Read: &linearizability.Read{}})
	done := false
	finish := func(revision ident.Revision) {
		if !done {
			done = true
			next(revision)
		}
	}
	o.askNewest(o.some(1)[0], func(newest directapply.Latest) {
		if !done {
			noted.End, noted.Outcome = int64(o.now), linearizability.Acknowledged
			noted.Read.Revision = uint64(newest.Revision)
			if newest.Proposal != nil {
				noted.Read.Content = newest.Proposal.ID
			}
		}
		finish(newest.Revision)
	})
	o.after(o.ms(300, 1200), func() { finish(base) })
}

// watch reads again and again, so that a member which serves what has been replaced is met.
func (o *simOrders) watch(who int) {
	if o.ended {
		return
	}
	o.look(who, 0, func(ident.Revision) { o.after(o.ms(1, 60), func() { o.watch(who) }) })
}

// askNewest brings one reading to a member over the network; request and answer may be lost.
func (o *simOrders) askNewest(to *simNode, answer func(directapply.Latest)) {
	if o.loses() {
		return
	}
	o.after(o.ms(1, 10), func() {
		if !to.up || o.now < to.frozenUntil {
			return
		}
		seen := func(state *statemachine.State) {
			newest := directapply.LatestOf(state)
			if !o.loses() {
				o.after(o.ms(1, 10), func() { answer(newest) })
			}
		}
		if o.way == readsAlone {
			if to.core.raft.Role() == raft.Leader {
				seen(to.core.state)
			}
			return
		}
		o.refs++
		o.asked[o.refs] = func(a Response) {
			if a.Outcome == Applied {
				seen(a.State)
			}
		}
		to.carryOut(to.core.Read(o.now, o.refs))
	})
}

// call sends an order, and the same again to other members as long as there is no clear answer; some go to three
// members at once. A few operators give up.
func (o *simOrders) call(who int, order operatorapi.ApplyRequest, base ident.Revision, next func(ident.Revision)) {
	noted := o.begin(linearizability.Call{Client: who, Order: o.orders[order.Digest]})
	done := false
	finish := func(revision ident.Revision) {
		done = true
		next(revision)
	}
	take := func(got operatorapi.ApplyResponse) {
		outcome := linearizability.Acknowledged
		switch got.Outcome {
		case operatorapi.Applied:
			o.acknowledged(order, got)
		case operatorapi.Conflicted, operatorapi.Invalid:
			o.wasRefused(order, got)
			outcome = linearizability.Refused
		default:
			o.unclear++
			return
		}
		if !done {
			noted.End, noted.Outcome = int64(o.now), outcome
			finish(got.Revision)
		}
	}
	var send func(sendings int)
	send = func(sendings int) {
		switch {
		case done || o.ended:
			return
		case sendings > 1 && o.random.IntN(25) == 0, sendings > 12:
			// It gives up; what it sent may still lie about.
			finish(base)
			return
		case sendings > 0:
			o.resends++
		}
		members := 1
		if o.random.IntN(4) == 0 {
			members = 3
		}
		for _, to := range o.some(members) {
			o.carry(to, order, take)
		}
		if other := o.some(1)[0]; o.random.IntN(2) == 0 {
			// A copy may lie about for long, in a daemon that goes on looking for a leader.
			o.after(o.ms(0, 800), func() { o.carry(other, order, take) })
		}
		o.after(o.ms(300, 1200), func() { send(sendings + 1) })
	}
	send(0)
}

// loses says whether a message is lost: on some seeds, every fifth at each step.
func (o *simOrders) loses() bool { return o.random.Float64() < max(o.loss, o.lossy) }

func (o *simOrders) acknowledged(order operatorapi.ApplyRequest, got operatorapi.ApplyResponse) {
	if o.refused[order.Digest] {
		o.fault("order %s was refused and then acknowledged", order.Digest)
	}
	if known, before := o.acked[order.Digest]; before && known != got.Version {
		o.fault("order %s is acknowledged as epoch %d and as %d", order.Digest, known, got.Version)
	}
	o.acked[order.Digest], o.newest = got.Version, max(o.newest, got.Revision)
}

func (o *simOrders) wasRefused(order operatorapi.ApplyRequest, got operatorapi.ApplyResponse) {
	if _, taken := o.acked[order.Digest]; taken {
		o.fault("order %s was acknowledged and then refused: %+v", order.Digest, got)
	}
	o.refused[order.Digest] = true
}

// forget does to the members what a rule that forgets would have done.
func (o *simOrders) forget() {
	o.after(20*time.Millisecond, func() {
		for _, n := range o.nodes {
			switch o.way {
			case refusalsForgotten:
				n.core.state.RejectedAhead = nil
			case takenForgotten:
				n.core.state.AppliesKnownFrom = 0
			}
		}
		o.forget()
	})
}

// linearizable checks the history of all calls against the model.
func (o *simOrders) linearizable(within time.Duration) linearizability.Result {
	calls := make([]linearizability.Call, len(o.calls))
	for place, call := range o.calls {
		calls[place] = *call
	}
	return linearizability.Check(calls, within)
}

// check looks at what all members hold in the end.
func (o *simOrders) check() {
	for _, n := range o.nodes {
		if n.gone {
			continue
		}
		state := n.core.state
		wonOn := map[ident.Revision]string{}
		for epoch := ident.Version(1); epoch <= state.Version(); epoch++ {
			found, ok := state.ProposalAt(epoch)
			if !ok {
				if epoch > state.Dropped {
					o.fault("member %d lacks epoch %d", n.id, epoch)
				}
				continue
			}
			digest := found.ID[len(statemachine.AppliedID("")):]
			if o.refused[digest] {
				o.fault("member %d has %s in force as epoch %d, and it was refused", n.id, digest, epoch)
			}
			if other, won := wonOn[o.base[digest]]; won {
				o.fault("member %d: %s and %s won on base %d", n.id, other, digest, o.base[digest])
			}
			wonOn[o.base[digest]] = digest
		}
		for digest, epoch := range o.acked {
			if found, ok := state.Applied(digest); ok && found.Version != epoch || !ok && epoch > state.Dropped {
				o.fault("member %d: %s was acknowledged as epoch %d and is not there", n.id, digest, epoch)
			}
		}
		if state.Revision < o.newest {
			o.fault("member %d ends at revision %d, and %d was acknowledged", n.id, state.Revision, o.newest)
		}
	}
}

// newOrders makes a group and its operators: up to eight, since as many orders may be under way at once.
func newOrders(t *testing.T, seed uint64, size int, limits statemachine.Limits) *simOrders {
	adjust := func(config *Config) {
		// So few entries between snapshots that members which lag are sent one, and those that restart read one.
		config.CompactEntries, config.RetainEntries = 12, 3
		config.HistoryLimits = limits
	}
	o := &simOrders{sim: newAdjustedSim(t, seed, size, sound, adjust), acked: map[string]ident.Version{}, refused: map[string]bool{}, base: map[string]ident.Revision{},
		orders: map[string]*linearizability.Order{}}
	if seed%4 == 3 {
		o.lossy = 0.2
	}
	for who := range 2 + seed%7 {
		o.operateOrders(int(who), 0, 0)
	}
	for who := range 3 {
		o.watch(100 + who)
	}
	return o
}

// tinyLimits have a group forget orders all the time.
func tinyLimits() statemachine.Limits { return statemachine.Limits{Versions: 4, RejectedApplies: 3} }

// TestOrdersUnderTrouble holds that an acknowledged order is never lost nor refused, and a refused one never in
// force, through all the troubles of the simulated group, and that one order of effects explains all answers. Every
// other group remembers so few orders that it forgets all the time.
func TestOrdersUnderTrouble(t *testing.T) {
	seeds := uint64(24)
	// More seeds for a search: CRESSPOND_SEEDS=5000 go test ./process/consensus/replica -run Orders
	if wanted, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEEDS"), 10, 64); err == nil {
		seeds = wanted
	}
	acked, refused, resends, crashes, calls, unclear, dropped := 0, 0, 0, 0, 0, 0, ident.Version(0)
	for seed := range seeds {
		size := []int{3, 3, 5, 3, 1, 3}[seed%6]
		limits := statemachine.DefaultLimits()
		if seed%2 == 1 {
			limits = tinyLimits()
		}
		o := newOrders(t, seed, size, limits)
		o.run(60 * time.Second)
		o.check()
		for _, violation := range o.violations {
			t.Errorf("seed %d, %d members: %s", seed, size, violation)
		}
		if got := o.linearizable(time.Minute); got.Verdict != linearizability.Linearizable {
			t.Errorf("seed %d, %d members: %s: %s", seed, size, got.Verdict, got.Reason)
		}
		acked, refused, resends, crashes = acked+len(o.acked), refused+len(o.refused), resends+o.resends, crashes+o.crashes
		calls, unclear = calls+len(o.calls), unclear+o.unclear
		dropped += o.nodes[len(o.nodes)-1].core.state.Dropped
	}
	t.Logf("seeds 0 to %d: %d orders acknowledged, %d refused, %d sent again, %d crashes; %d calls judged, %d answers unclear, %d epochs forgotten", seeds-1, acked, refused, resends, crashes, calls, unclear, dropped)
	if acked == 0 || refused == 0 || resends == 0 || dropped == 0 {
		t.Error("nothing was checked")
	}
}

// TestTheOrdersCheckerBites breaks the way of orders on purpose: each break must be caught by some seed.
func TestTheOrdersCheckerBites(t *testing.T) {
	for _, way := range []orderBreak{hasty, baseFirst} {
		t.Run(string(way), func(t *testing.T) {
			for seed := range uint64(80) {
				o := newOrders(t, seed, 3, statemachine.DefaultLimits())
				o.way = way
				o.run(60 * time.Second)
				if o.check(); len(o.violations) > 0 {
					t.Logf("seed %d: %s", seed, o.violations[0])
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}

// TestTheLinearizabilityCheckerBites does the same, and lets nothing but the model judge.
func TestTheLinearizabilityCheckerBites(t *testing.T) {
	for _, way := range []orderBreak{hasty, baseFirst, readsAlone, takenForgotten, refusalsForgotten} {
		t.Run(string(way), func(t *testing.T) {
			for seed := range uint64(80) {
				o := newOrders(t, seed, 3, tinyLimits())
				o.way = way
				o.forget()
				o.run(60 * time.Second)
				// What no order of effects explains can take long to rule out: then the next seed is looked at.
				if got := o.linearizable(2 * time.Second); got.Verdict == linearizability.Broken {
					t.Logf("seed %d: %s", seed, got.Reason)
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}

package replica

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cresspond/cresspond/epoch/forward"
	"github.com/cresspond/cresspond/epoch/spec"
	"github.com/cresspond/cresspond/process/applying"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/statemachine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// orderBreak names a way to break how orders are decided, to see that the checker bites.
type orderBreak string

const (
	hasty     orderBreak = "an order ahead of the bundle in force is refused by what was read, not by the log"
	baseFirst orderBreak = "the base is looked at before the order itself is looked for"
)

// simOrders are operators who put bundles in force in one step, and what the checker keeps of them.
type simOrders struct {
	*sim
	// acked and refused hold the calls that had a clear answer, by digest, with the epoch and the base.
	acked   map[string]ident.Epoch
	refused map[string]bool
	base    map[string]ident.Revision
	// newest is the highest revision that was acknowledged.
	newest  ident.Revision
	resends int
	// way breaks the way of an order on purpose.
	way orderBreak
}

// carry brings one copy of a call to a member over the network; the answer may be lost on the way.
func (o *simOrders) carry(to *simNode, call operatorapi.Apply, answer func(operatorapi.Applying)) {
	if o.random.Float64() < o.loss {
		return
	}
	back := func(got operatorapi.Applying) {
		if o.random.Float64() >= o.loss {
			o.after(o.ms(1, 10), func() { answer(got) })
		}
	}
	unknown := operatorapi.Applying{Outcome: operatorapi.Unknown}
	o.after(o.ms(1, 10), func() {
		if !to.up || o.now < to.frozenUntil {
			return
		}
		life := to.life
		o.refs++
		o.asked[o.refs] = func(a Answer) {
			if a.Outcome != Applied {
				back(unknown)
				return
			}
			standing := applying.Look(a.State, call)
			// Working it out takes a while, in which anything may happen.
			o.after(o.ms(1, 60), func() {
				if to.life != life || !to.up || o.now < to.frozenUntil {
					return
				}
				decision := standing.Decide(call)
				if o.way == hasty && call.Base > standing.Revision || o.way == baseFirst && call.Base != standing.Revision {
					decision = applying.Decision{Answer: operatorapi.Applying{Outcome: operatorapi.Conflicted, Revision: standing.Revision}}
				}
				if decision.Submit == nil {
					back(decision.Answer)
					return
				}
				o.refs++
				o.asked[o.refs] = func(b Answer) {
					if b.Outcome != Applied {
						back(unknown)
						return
					}
					back(applying.After(b.Result))
				}
				to.carryOut(to.core.Submit(o.now, o.refs, *decision.Submit))
			})
		}
		to.carryOut(to.core.Read(o.now, o.refs))
	})
}

// operateOrders lets one operator change the bundle again and again: on the newest that it knows of, and now
// and then on one that it only expects.
func (o *simOrders) operateOrders(who int, turn int, base ident.Revision) {
	if o.ended {
		return
	}
	if o.random.IntN(5) == 0 {
		base += ident.Revision(1 + o.random.IntN(4))
	}
	revision := uint64(base) + 1 + o.random.Uint64N(4)
	digest := fmt.Sprintf("%d-%d", who, turn)
	call := operatorapi.Apply{Base: base, Digest: digest, Operator: fmt.Sprint(who)}
	if base > 0 && o.random.IntN(2) == 0 {
		call.Patch = &forward.Patch{Revision: revision, Upsert: forward.Items{Pools: []forward.Pool{{Name: fmt.Sprint("p", turn%9)}}}}
	} else {
		whole, err := json.Marshal(spec.Spec{Name: digest, Forward: &forward.Section{Revision: revision, Pools: []forward.Pool{{Name: "p"}}}})
		if err != nil {
			panic(err)
		}
		call.Whole = whole
	}
	o.base[digest] = base
	o.send(who, turn, call, false)
}

// send sends a call, and the same again to another member as long as there is no clear answer; sometimes a
// second copy goes out though the first may still be under way.
func (o *simOrders) send(who, turn int, call operatorapi.Apply, again bool) {
	if o.ended {
		return
	}
	if again {
		o.resends++
	}
	done := false
	finish := func(next ident.Revision) {
		if !done {
			done = true
			o.after(o.ms(20, 400), func() { o.operateOrders(who, turn+1, next) })
		}
	}
	take := func(got operatorapi.Applying) {
		switch got.Outcome {
		case operatorapi.Applied:
			if o.refused[call.Digest] {
				o.fault("order %s was refused and then acknowledged", call.Digest)
			}
			if known, before := o.acked[call.Digest]; before && known != got.Epoch {
				o.fault("order %s is acknowledged as epoch %d and as %d", call.Digest, known, got.Epoch)
			}
			o.acked[call.Digest], o.newest = got.Epoch, max(o.newest, got.Revision)
		case operatorapi.Conflicted, operatorapi.Invalid:
			if _, taken := o.acked[call.Digest]; taken {
				o.fault("order %s was acknowledged and then refused: %+v", call.Digest, got)
			}
			o.refused[call.Digest] = true
		default:
			return
		}
		finish(got.Revision)
	}
	o.carry(o.some(1)[0], call, take)
	if other := o.some(1)[0]; o.random.IntN(2) == 0 {
		// A copy may lie about for long, in a daemon that goes on looking for a leader.
		o.after(o.ms(0, 800), func() { o.carry(other, call, take) })
	}
	o.after(o.ms(300, 1200), func() {
		if !done {
			done = true
			o.send(who, turn, call, true)
		}
	})
}

// check looks at what all members hold in the end.
func (o *simOrders) check() {
	for _, n := range o.nodes {
		if n.gone {
			continue
		}
		state := n.core.state
		wonOn := map[ident.Revision]string{}
		for epoch := ident.Epoch(1); epoch <= state.Epoch(); epoch++ {
			found, ok := state.At(epoch)
			if !ok {
				o.fault("member %d lacks epoch %d", n.id, epoch)
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
			if found, ok := state.Applied(digest); !ok || found.Epoch != epoch {
				o.fault("member %d: %s was acknowledged as epoch %d and is not there", n.id, digest, epoch)
			}
		}
		if state.Revision < o.newest {
			o.fault("member %d ends at revision %d, and %d was acknowledged", n.id, state.Revision, o.newest)
		}
	}
}

func newOrders(t *testing.T, seed uint64, size int) *simOrders {
	o := &simOrders{sim: newSim(t, seed, size, sound), acked: map[string]ident.Epoch{}, refused: map[string]bool{}, base: map[string]ident.Revision{}}
	for who := range 2 {
		o.operateOrders(who, 0, 0)
	}
	return o
}

// TestOrdersUnderTrouble holds that an acknowledged order is never lost nor refused, and a refused one never in
// force, through all the troubles of the simulated group.
func TestOrdersUnderTrouble(t *testing.T) {
	seeds := uint64(24)
	// More seeds for a search: CRESSPOND_SEEDS=5000 go test ./process/replica -run Orders
	if wanted, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEEDS"), 10, 64); err == nil {
		seeds = wanted
	}
	acked, refused, resends, crashes := 0, 0, 0, 0
	for seed := range seeds {
		size := []int{3, 3, 5, 3, 1, 3}[seed%6]
		o := newOrders(t, seed, size)
		o.run(60 * time.Second)
		o.check()
		for _, violation := range o.violations {
			t.Errorf("seed %d, %d members: %s", seed, size, violation)
		}
		acked, refused, resends, crashes = acked+len(o.acked), refused+len(o.refused), resends+o.resends, crashes+o.crashes
	}
	t.Logf("seeds 0 to %d: %d orders acknowledged, %d refused, %d sent again, %d crashes", seeds-1, acked, refused, resends, crashes)
	if acked == 0 || refused == 0 || resends == 0 {
		t.Error("nothing was checked")
	}
}

// TestTheOrdersCheckerBites breaks the way of orders on purpose: each break must be caught by some seed.
func TestTheOrdersCheckerBites(t *testing.T) {
	for _, way := range []orderBreak{hasty, baseFirst} {
		t.Run(string(way), func(t *testing.T) {
			for seed := range uint64(80) {
				o := newOrders(t, seed, 3)
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

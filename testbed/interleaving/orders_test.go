package interleaving

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout/directapply"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// orderLog is the group as far as orders see it: commands are put in the log, and later committed or, where
// the leader changes, dropped from its end.
type orderLog struct {
	state   *statemachine.State
	entries []*orderEntry
	applied int
	// taken is told the digest of each order that wins.
	taken func(digest string)
}

type orderEntry struct {
	command statemachine.Command
	result  *statemachine.Result
	dropped bool
}

func (l *orderLog) put(c statemachine.Command) *orderEntry {
	entry := &orderEntry{command: c}
	l.entries = append(l.entries, entry)
	return entry
}

// commit applies all up to an entry; it says false of one that was dropped.
func (l *orderLog) commit(entry *orderEntry) bool {
	for !entry.dropped && entry.result == nil {
		next := l.entries[l.applied]
		data, err := json.Marshal(next.command)
		if err != nil {
			panic(err)
		}
		before := l.state.Version()
		result := l.state.Apply(data)
		if l.taken != nil && l.state.Version() > before {
			l.taken(next.command.Digest)
		}
		next.result, l.applied = &result, l.applied+1
	}
	return !entry.dropped
}

// drop loses what is not committed, as a new leader may.
func (l *orderLog) drop() {
	for _, entry := range l.entries[l.applied:] {
		entry.dropped = true
	}
	l.entries = l.entries[:l.applied]
}

// standingKey is all of a standing and a call that a decision can rest on: a digest stands for a call's content.
type standingKey struct {
	revision          ident.Revision
	epoch, takenEpoch ident.Version
	newest, taken     string
	bundle            string
	digest            string
	base              ident.Revision
	order             statemachine.ApplyStatus
}

func keyOf(standing directapply.View, call operatorapi.ApplyRequest) standingKey {
	key := standingKey{revision: standing.Revision, epoch: standing.Version, digest: call.Digest, base: call.Base, order: standing.Status}
	if standing.Proposal != nil {
		key.newest, key.bundle = standing.Proposal.ID, string(standing.Proposal.Configuration)
	}
	if standing.Committed != nil {
		key.taken, key.takenEpoch = standing.Committed.ID, standing.Committed.Version
	}
	return key
}

// decisions remembers what was decided in earlier orders. A decision reads a standing and a call and nothing else,
// so the same two decide the same; orders differ in which of them meet.
type decisions map[standingKey]decided

type decided struct {
	standing directapply.View
	call     operatorapi.ApplyRequest
	decision directapply.Decision
}

func (d decisions) of(standing directapply.View, call operatorapi.ApplyRequest) directapply.Decision {
	key := keyOf(standing, call)
	known, again := d[key]
	if !again {
		known = decided{standing, call, standing.Decide(call)}
		d[key] = known
	}
	return known.decision
}

// same holds that what was remembered is still what is decided, so that no order was judged by another's.
func (d decisions) same(t *testing.T) {
	t.Helper()
	for _, known := range d {
		if now := known.standing.Decide(known.call); !reflect.DeepEqual(now, known.decision) {
			t.Errorf("decided anew it is %+v, and was %+v", now, known.decision)
		}
	}
}

// carry is one copy of a call at whoever leads, with a turn given up between each two of its steps.
func carry(l *orderLog, known decisions, call operatorapi.ApplyRequest, broken string, out *operatorapi.ApplyResponse) func(func()) {
	return func(yield func()) {
		out.Outcome = operatorapi.Unknown
		standing := directapply.ViewOf(l.state, call)
		yield()
		decision := known.of(standing, call)
		switch {
		case broken == "hasty" && call.Base > standing.Revision:
			// It answers by what it read, though the base may still come in force.
			out.Outcome = operatorapi.Conflicted
			return
		case broken == "base first" && call.Base != standing.Revision:
			// It looks at the base before it looks for the call itself.
			out.Outcome = operatorapi.Conflicted
			return
		case decision.Submit == nil:
			*out = decision.Response
			return
		}
		entry := l.put(*decision.Submit)
		yield()
		if l.commit(entry) {
			*out = directapply.ResponseTo(*entry.result)
		}
	}
}

func orderBundle(revision uint64, pool string) []byte {
	section := &upstream.Section{Revision: revision, Pools: []upstream.Pool{{Name: pool}}, Paths: []upstream.Path{
		{Name: "r", Host: "h", Prefix: "/", Class: upstream.Once, DeadlineMs: 1, Attempts: 1, Shares: []upstream.Share{{Pool: pool, Weight: 1}}}}}
	data, err := json.Marshal(document.Configuration{Name: "b", Forward: section})
	if err != nil {
		panic(err)
	}
	return data
}

func wholeCall(base, revision uint64) operatorapi.ApplyRequest {
	whole := orderBundle(revision, "p")
	return operatorapi.ApplyRequest{Base: ident.Revision(base), Digest: operatorapi.RequestDigest("PUT", ident.Revision(base), whole), Configuration: whole}
}

func patchCall(base, revision uint64) operatorapi.ApplyRequest {
	patch := &upstream.Patch{Revision: revision, Upsert: upstream.Items{Pools: []upstream.Pool{{Name: "q"}}}}
	return operatorapi.ApplyRequest{Base: ident.Revision(base), Digest: fmt.Sprint("patch ", base, revision), Patch: patch}
}

// orderCase: copies of a few calls race on a group that has revision 5 in force; where crash is set, what is
// not committed may be lost at any moment.
func orderCase(t *testing.T, crash bool, broken string, calls ...operatorapi.ApplyRequest) func() Case {
	return limitedOrderCase(t, statemachine.DefaultLimits(), crash, broken, calls...)
}

// limitedOrderCase does so with a state that remembers only so much.
func limitedOrderCase(t *testing.T, limits statemachine.Limits, crash bool, broken string, calls ...operatorapi.ApplyRequest) func() Case {
	known := decisions{}
	t.Cleanup(func() { known.same(t) })
	return func() Case {
		l := &orderLog{state: statemachine.New(statemachine.WithLimits(limits))}
		var first operatorapi.ApplyResponse
		carry(l, known, wholeCall(0, 5), "", &first)(func() {})
		answers := make([]operatorapi.ApplyResponse, len(calls))
		c := Case{}
		for i, call := range calls {
			c.Threads = append(c.Threads, carry(l, known, call, broken, &answers[i]))
		}
		if crash {
			c.Threads = append(c.Threads, func(func()) { l.drop() })
		}
		if broken == "refusals forgotten" {
			// At any moment all refusals are forgotten.
			c.Threads = append(c.Threads, func(func()) { l.state.RejectedAhead = nil })
		}
		if broken == "winners forgotten" {
			// The state forgets that it forgot.
			c.Threads = append(c.Threads, func(func()) { l.state.AppliesKnownFrom = 0 })
		}
		won := map[string]bool{}
		l.taken = func(digest string) { won[digest] = true }
		c.Check = func() error {
			// What is still in the log may be committed later.
			for _, entry := range l.entries {
				l.commit(entry)
			}
			wonOn := map[ident.Revision]string{}
			for i, call := range calls {
				proposal, known := l.state.Applied(call.Digest)
				inForce := won[call.Digest]
				switch answers[i].Outcome {
				case operatorapi.Applied:
					if !inForce || known && answers[i].Version != proposal.Version {
						return fmt.Errorf("call %d was acknowledged and is not there", i)
					}
				case operatorapi.Conflicted, operatorapi.Invalid:
					if inForce {
						return fmt.Errorf("call %d was refused (%s) and is in force", i, answers[i].Outcome)
					}
				}
				if other, won := wonOn[call.Base]; inForce && won && other != call.Digest {
					return fmt.Errorf("two won on base %d", call.Base)
				}
				if inForce {
					wonOn[call.Base] = call.Digest
				}
			}
			return nil
		}
		return c
	}
}

func TestOrdersOnOneBase(t *testing.T) {
	t.Parallel()
	x, y, z := wholeCall(5, 7), wholeCall(5, 8), patchCall(5, 9)
	holds(t, orderCase(t, true, "", x, x, y))
	holds(t, orderCase(t, true, "", z, z, y))
	holds(t, orderCase(t, false, "", x, y, z))
	bites(t, orderCase(t, false, "base first", x, x, y))
	bites(t, orderCase(t, false, "base first", z, z, y))
}

func TestOrdersOnABaseThatIsNotThereYet(t *testing.T) {
	t.Parallel()
	y, x, z := wholeCall(5, 8), wholeCall(8, 9), patchCall(8, 10)
	holds(t, orderCase(t, true, "", y, x, x))
	holds(t, orderCase(t, true, "", y, z, z))
	holds(t, orderCase(t, false, "", y, x, z))
	bites(t, orderCase(t, false, "hasty", y, x, x))
	bites(t, orderCase(t, false, "hasty", y, z, z))
}

// TestOrdersThatAreForgotten has a state remember one order and one refusal, so that both are forgotten within a few
// steps.
func TestOrdersThatAreForgotten(t *testing.T) {
	t.Parallel()
	tiny := statemachine.Limits{Versions: 1, RejectedApplies: 1}
	y, x, z := wholeCall(5, 8), wholeCall(8, 9), patchCall(8, 10)
	holds(t, limitedOrderCase(t, tiny, false, "", y, x, z))
	holds(t, limitedOrderCase(t, tiny, true, "", y, x, y))
	holds(t, limitedOrderCase(t, tiny, true, "", x, z, y))
	bites(t, limitedOrderCase(t, tiny, false, "refusals forgotten", y, x, x))
	bites(t, limitedOrderCase(t, tiny, false, "winners forgotten", y, x, y))
}

func TestFaultyOrders(t *testing.T) {
	t.Parallel()
	unknownPool := &upstream.Patch{Revision: 7, Remove: upstream.Names{Pools: []string{"p"}}}
	faulty := operatorapi.ApplyRequest{Base: 5, Digest: "faulty", Patch: unknownPool}
	// The base that makes it sound comes from another order, and is not its own base.
	holds(t, orderCase(t, true, "", faulty, faulty, wholeCall(5, 8)))
	holds(t, orderCase(t, true, "", wholeCall(5, 5), wholeCall(5, 3), patchCall(5, 6)))
}

package interleave

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cresspond/cresspond/epoch/forward"
	"github.com/cresspond/cresspond/epoch/spec"
	"github.com/cresspond/cresspond/process/applying"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/statemachine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// orderLog is the group as far as orders see it: commands are put in the log, and later committed or, where
// the leader changes, dropped from its end.
type orderLog struct {
	state   *statemachine.State
	entries []*orderEntry
	applied int
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
		result := l.state.Apply(data)
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

// carry is one copy of a call at whoever leads, with a turn given up between each two of its steps.
func carry(l *orderLog, call operatorapi.Apply, broken string, out *operatorapi.Applying) func(func()) {
	return func(yield func()) {
		out.Outcome = operatorapi.Unknown
		standing := applying.Look(l.state, call.Digest)
		yield()
		decision := standing.Decide(call)
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
			*out = decision.Answer
			return
		}
		entry := l.put(*decision.Submit)
		yield()
		if l.commit(entry) {
			*out = applying.After(*entry.result)
		}
	}
}

func orderBundle(revision uint64, pool string) []byte {
	section := &forward.Section{Revision: revision, Pools: []forward.Pool{{Name: pool}}, Paths: []forward.Path{
		{Name: "r", Host: "h", Prefix: "/", Class: forward.Once, DeadlineMs: 1, Attempts: 1, Shares: []forward.Share{{Pool: pool, Weight: 1}}}}}
	data, err := json.Marshal(spec.Spec{Name: "b", Forward: section})
	if err != nil {
		panic(err)
	}
	return data
}

func wholeCall(base, revision uint64) operatorapi.Apply {
	whole := orderBundle(revision, "p")
	return operatorapi.Apply{Base: ident.Revision(base), Digest: operatorapi.Digest("PUT", ident.Revision(base), whole), Whole: whole}
}

func patchCall(base, revision uint64) operatorapi.Apply {
	patch := &forward.Patch{Revision: revision, Upsert: forward.Items{Pools: []forward.Pool{{Name: "q"}}}}
	return operatorapi.Apply{Base: ident.Revision(base), Digest: fmt.Sprint("patch ", base, revision), Patch: patch}
}

// orderCase: copies of a few calls race on a group that has revision 5 in force; where crash is set, what is
// not committed may be lost at any moment.
func orderCase(crash bool, broken string, calls ...operatorapi.Apply) func() Case {
	return func() Case {
		l := &orderLog{state: statemachine.New()}
		var first operatorapi.Applying
		carry(l, wholeCall(0, 5), "", &first)(func() {})
		answers := make([]operatorapi.Applying, len(calls))
		c := Case{}
		for i, call := range calls {
			c.Threads = append(c.Threads, carry(l, call, broken, &answers[i]))
		}
		if crash {
			c.Threads = append(c.Threads, func(func()) { l.drop() })
		}
		c.Check = func() error {
			// What is still in the log may be committed later.
			for _, entry := range l.entries {
				l.commit(entry)
			}
			wonOn := map[ident.Revision]string{}
			for i, call := range calls {
				proposal, inForce := l.state.Applied(call.Digest)
				switch answers[i].Outcome {
				case operatorapi.Applied:
					if !inForce || answers[i].Epoch != proposal.Epoch {
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
	holds(t, orderCase(true, "", x, x, y))
	holds(t, orderCase(true, "", z, z, y))
	holds(t, orderCase(false, "", x, y, z))
	bites(t, orderCase(false, "base first", x, x, y))
	bites(t, orderCase(false, "base first", z, z, y))
}

func TestOrdersOnABaseThatIsNotThereYet(t *testing.T) {
	t.Parallel()
	y, x, z := wholeCall(5, 8), wholeCall(8, 9), patchCall(8, 10)
	holds(t, orderCase(true, "", y, x, x))
	holds(t, orderCase(true, "", y, z, z))
	holds(t, orderCase(false, "", y, x, z))
	bites(t, orderCase(false, "hasty", y, x, x))
	bites(t, orderCase(false, "hasty", y, z, z))
}

func TestFaultyOrders(t *testing.T) {
	t.Parallel()
	unknownPool := &forward.Patch{Revision: 7, Remove: forward.Names{Pools: []string{"p"}}}
	faulty := operatorapi.Apply{Base: 5, Digest: "faulty", Patch: unknownPool}
	// The base that makes it sound comes from another order, and is not its own base.
	holds(t, orderCase(true, "", faulty, faulty, wholeCall(5, 8)))
	holds(t, orderCase(true, "", wholeCall(5, 5), wholeCall(5, 3), patchCall(5, 6)))
}

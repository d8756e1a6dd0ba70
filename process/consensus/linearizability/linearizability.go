// Package linearizability checks what operators were told against a model: a register that holds the configuration
// in force, is read, and is written on the condition that it still has the revision that the writer names. Tests and
// rehearsals use it; no daemon does.
package linearizability

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcome is what a call ended with, as its caller saw it.
type Outcome string

const (
	// Unanswered calls may take effect at any time after their start, or never.
	Unanswered Outcome = "unanswered"
	// Acknowledged says that the order was taken, by this call or an earlier one.
	Acknowledged Outcome = "acknowledged"
	// Refused says that the order never was in force and never will be.
	Refused Outcome = "refused"
)

// Validity says what is known of an order's content.
type Validity string

const (
	// Sound orders must not be refused on the revision in force.
	Sound Validity = "sound"
	// Invalid orders must never be taken.
	Invalid Validity = "invalid"
	// Uncertain orders may be either.
	Uncertain Validity = "uncertain"
)

// Order is one change of the configuration. The same bytes sent again, by whomever, are the same order.
type Order struct {
	// Digest names the order.
	Digest string
	// Base is the revision that it builds on, Revision the one that it leads to.
	Base, Revision uint64
	// Content tells what is read once it has won; empty where that is not known.
	Content  string
	Validity Validity
}

// Read is what a reading call saw. An empty content is not known.
type Read struct {
	Revision uint64
	Content  string
}

// Call is one operator's call with all its sendings. Either Order or Read is there.
type Call struct {
	// Client makes one call at a time.
	Client int
	// Start is when it was first sent, End when a clear answer came, by one clock.
	Start, End int64
	Order      *Order
	Read       *Read
	Outcome    Outcome
}

func (c Call) String() string {
	if c.Read != nil {
		return fmt.Sprintf("client %d [%d, %d] read revision %d %s", c.Client, c.Start, c.End, c.Read.Revision, c.Read.Content)
	}
	return fmt.Sprintf("client %d [%d, %d] order %s (%s, %d to %d) %s", c.Client, c.Start, c.End, c.Order.Digest, c.Order.Validity, c.Order.Base, c.Order.Revision, c.Outcome)
}

// Verdict is the outcome of a check.
type Verdict string

const (
	// Linearizable: one order of effects explains all answers.
	Linearizable Verdict = "linearizable"
	// Broken: no order of effects does.
	Broken Verdict = "broken"
	// Undecided: the search ran out of time.
	Undecided Verdict = "undecided"
)

// Result is what a check found.
type Result struct {
	Verdict Verdict
	// Reason names the call at which the longest explanation ends, where there is none for all.
	Reason string
}

// Check looks for one order of effects that explains all answers, for so long at most. Reads without an answer
// tell nothing and are left out.
func Check(calls []Call, within time.Duration) Result {
	operations, kept := toOperations(calls)
	checked, info := porcupine.CheckOperationsVerbose(model(), operations, within)
	switch checked {
	case porcupine.Ok:
		return Result{Verdict: Linearizable}
	case porcupine.Illegal:
		return Result{Verdict: Broken, Reason: reason(kept, info.PartialLinearizations())}
	}
	return Result{Verdict: Undecided, Reason: fmt.Sprintf("%d calls could not be judged within %v", len(kept), within)}
}

// reason names the first call that the longest explanation leaves out.
func reason(calls []Call, partial [][][]int) string {
	longest := []int{}
	for _, partition := range partial {
		for _, explained := range partition {
			if len(explained) > len(longest) {
				longest = explained
			}
		}
	}
	in := map[int]bool{}
	for _, place := range longest {
		in[place] = true
	}
	first := -1
	for place, call := range calls {
		if !in[place] && call.Outcome != Unanswered && (first < 0 || call.End < calls[first].End) {
			first = place
		}
	}
	if first < 0 {
		return "no order of effects explains the answers"
	}
	return fmt.Sprintf("%d of %d calls can be explained, and not: %s", len(longest), len(calls), calls[first])
}

// input is a call as the model takes it, with its order's place in the sets of the state.
type input struct {
	order *Order
	place int
}

// output is its answer.
type output struct {
	outcome Outcome
	read    Read
}

func toOperations(calls []Call) (operations []porcupine.Operation, kept []Call) {
	places := map[string]int{}
	for _, call := range calls {
		in, out := input{order: call.Order}, output{outcome: call.Outcome}
		if call.Order != nil {
			place, known := places[call.Order.Digest]
			if !known {
				place = len(places)
				places[call.Order.Digest] = place
			}
			in.place = place
		} else if call.Outcome == Unanswered {
			continue
		} else {
			out.read = *call.Read
		}
		end := call.End
		if call.Outcome == Unanswered {
			end = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: call.Client, Input: in, Call: call.Start, Output: out, Return: end})
		kept = append(kept, call)
	}
	return operations, kept
}

// register is the model's state.
type register struct {
	revision uint64
	content  string
	// taken and refused are sets of orders by place.
	taken, refused placeSet
}

// placeSet is a set of small numbers that can be compared.
type placeSet string

func (s placeSet) has(place int) bool { return place/8 < len(s) && s[place/8]&(1<<(place%8)) != 0 }

func (s placeSet) with(place int) placeSet {
	bytes := []byte(s)
	if missing := place/8 + 1 - len(bytes); missing > 0 {
		bytes = append(bytes, strings.Repeat("\x00", missing)...)
	}
	bytes[place/8] |= 1 << (place % 8)
	return placeSet(bytes)
}

func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return register{} },
		Step: func(state, in, out any) (bool, any) {
			asked, answered := in.(input), out.(output)
			if asked.order == nil {
				return state.(register).read(answered.read), state
			}
			return state.(register).take(asked, answered.outcome)
		},
	}
}

// read says whether the register can be read so.
func (r register) read(seen Read) bool {
	return seen.Revision == r.revision && (seen.Content == "" || r.content == "" || seen.Content == r.content)
}

// take says whether an order can be answered so, and what the register is then.
func (r register) take(in input, answer Outcome) (bool, register) {
	if r.taken.has(in.place) {
		return answer != Refused, r
	}
	if r.refused.has(in.place) {
		return answer != Acknowledged, r
	}
	wins := in.order.Base == r.revision && in.order.Revision > r.revision && in.order.Validity != Invalid
	switch answer {
	case Acknowledged:
		return wins, r.after(in)
	case Refused:
		return !wins || in.order.Validity == Uncertain, r.without(in)
	}
	// Whatever it did, it did as an answered call would have; one that did nothing comes last of all.
	if wins {
		return true, r.after(in)
	}
	return true, r.without(in)
}

// after is the register once an order has won.
func (r register) after(in input) register {
	r.revision, r.content, r.taken = in.order.Revision, in.order.Content, r.taken.with(in.place)
	return r
}

// without is the register once an order has been refused. One on a base that has passed can't win anyway.
func (r register) without(in input) register {
	if in.order.Base >= r.revision {
		r.refused = r.refused.with(in.place)
	}
	return r
}

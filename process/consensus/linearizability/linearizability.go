// Package linearizability checks a history of operators' calls against a model: a register that holds the configuration
// in force. It can be read, and written on the condition that its revision is still the one that the writer names. The
// search is that of Wing and Gong, with the improvements of Lowe, by github.com/anishathalye/porcupine. Tests and the
// testbed use the package; no daemon does.
package linearizability

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcome is the result of a call, as its caller saw it.
type Outcome string

const (
	// Unknown says that no clear answer came: a write may take effect at any time after its start, or never.
	Unknown Outcome = "unknown"
	// Acknowledged says that the write took effect, by this call or by an earlier one with the same bytes.
	Acknowledged Outcome = "acknowledged"
	// Rejected says that the write never took effect and never will.
	Rejected Outcome = "rejected"
)

// Validity says what the test knows about the content of a write.
type Validity string

const (
	// Valid writes must not be rejected on the revision in force.
	Valid Validity = "valid"
	// Invalid writes must never take effect.
	Invalid Validity = "invalid"
	// Uncertain writes may do either.
	Uncertain Validity = "uncertain"
)

// Write is one conditional change of the configuration. The same bytes sent again, by whomever, are the same write.
type Write struct {
	// Digest identifies the write.
	Digest string
	// Base is the revision that must be in force, Revision the one that is in force afterwards.
	Base, Revision uint64
	// Content is what is read once the write took effect; empty where that is not known.
	Content  string
	Validity Validity
}

// Read is what a reading call returned. An empty Content is not known.
type Read struct {
	Revision uint64
	Content  string
}

// Call is one operator's call with all its attempts. Exactly one of Write and Read is set.
type Call struct {
	// Client makes one call at a time.
	Client int
	// Start is the time of the first attempt, End that of a clear answer, on one clock of any unit.
	Start, End int64
	Write      *Write
	Read       *Read
	Outcome    Outcome
}

// String describes the call for a test failure.
func (c Call) String() string {
	if c.Read != nil {
		return fmt.Sprintf("client %d [%d, %d] read revision %d %s", c.Client, c.Start, c.End, c.Read.Revision, c.Read.Content)
	}
	return fmt.Sprintf("client %d [%d, %d] write %s (%s, %d to %d) %s", c.Client, c.Start, c.End,
		c.Write.Digest, c.Write.Validity, c.Write.Base, c.Write.Revision, c.Outcome)
}

// Status is the outcome of a check.
type Status string

const (
	// Linearizable says that one sequence of effects explains all outcomes.
	Linearizable Status = "linearizable"
	// Violated says that no sequence of effects does.
	Violated Status = "violated"
	// Undecided says that the search timed out.
	Undecided Status = "undecided"
)

// Result is the result of a check.
type Result struct {
	Status Status
	// Reason says, unless Linearizable, why not: it names the first call that the longest explanation leaves out.
	Reason string
}

// Check searches for one sequence of effects that explains all outcomes, until the time-out. Reads without an answer
// prove nothing and are left out.
func Check(history []Call, timeout time.Duration) Result {
	operations, calls := toOperations(history)
	outcome, info := porcupine.CheckOperationsVerbose(model(), operations, timeout)
	switch outcome {
	case porcupine.Ok:
		return Result{Status: Linearizable}
	case porcupine.Illegal:
		return Result{Status: Violated, Reason: reason(calls, info.PartialLinearizations())}
	}
	return Result{Status: Undecided, Reason: fmt.Sprintf("%d calls could not be checked within %v", len(calls), timeout)}
}

// reason names the first call that the longest partial linearization leaves out.
func reason(calls []Call, partial [][][]int) string {
	longest := []int{}
	for _, partition := range partial {
		for _, explained := range partition {
			if len(explained) > len(longest) {
				longest = explained
			}
		}
	}
	inLongest := map[int]bool{}
	for _, index := range longest {
		inLongest[index] = true
	}
	first := -1
	for index, call := range calls {
		if !inLongest[index] && call.Outcome != Unknown && (first < 0 || call.End < calls[first].End) {
			first = index
		}
	}
	if first < 0 {
		return "no sequence of effects explains the outcomes"
	}
	return fmt.Sprintf("%d of %d calls can be explained, and not: %s", len(longest), len(calls), calls[first])
}

// input is the input of an operation of the model. A nil write is a read; index numbers the write in the sets of the
// register.
type input struct {
	write *Write
	index int
}

// output is the output of an operation of the model.
type output struct {
	outcome Outcome
	read    Read
}

// toOperations converts calls, and returns those that were converted in the same order. An unknown write never ends.
func toOperations(history []Call) (operations []porcupine.Operation, converted []Call) {
	indexes := map[string]int{}
	for _, call := range history {
		in, out := input{write: call.Write}, output{outcome: call.Outcome}
		switch {
		case call.Write != nil:
			index, known := indexes[call.Write.Digest]
			if !known {
				index = len(indexes)
				indexes[call.Write.Digest] = index
			}
			in.index = index
		case call.Outcome == Unknown:
			continue
		default:
			out.read = *call.Read
		}
		end := call.End
		if call.Outcome == Unknown {
			end = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: call.Client, Input: in, Call: call.Start, Output: out, Return: end})
		converted = append(converted, call)
	}
	return operations, converted
}

// register is the state of the model. It is comparable, as the search requires.
type register struct {
	revision uint64
	content  string
	// acknowledged and rejected are the writes that took effect, and those that never will, by index.
	acknowledged, rejected indexSet
}

// indexSet is a comparable set of small numbers: a bit set in a string.
type indexSet string

// contains says whether index is in the set.
func (s indexSet) contains(index int) bool { return index/8 < len(s) && s[index/8]&(1<<(index%8)) != 0 }

// with returns a copy that contains index.
func (s indexSet) with(index int) indexSet {
	bytes := []byte(s)
	if missing := index/8 + 1 - len(bytes); missing > 0 {
		bytes = append(bytes, strings.Repeat("\x00", missing)...)
	}
	bytes[index/8] |= 1 << (index % 8)
	return indexSet(bytes)
}

// model is the sequential specification of the register.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return register{} },
		Step: func(state, in, out any) (bool, any) {
			operation, result := in.(input), out.(output)
			if operation.write == nil {
				return state.(register).allowsRead(result.read), state
			}
			return state.(register).applyWrite(operation, result.outcome)
		},
	}
}

// allowsRead says whether a read may return this.
func (r register) allowsRead(read Read) bool {
	return read.Revision == r.revision && (read.Content == "" || r.content == "" || read.Content == r.content)
}

// applyWrite says whether a write may have this outcome, and returns the register after it.
func (r register) applyWrite(in input, outcome Outcome) (bool, register) {
	if r.acknowledged.contains(in.index) {
		return outcome != Rejected, r
	}
	if r.rejected.contains(in.index) {
		return outcome != Acknowledged, r
	}
	effective := in.write.Base == r.revision && in.write.Revision > r.revision && in.write.Validity != Invalid
	switch outcome {
	case Acknowledged:
		return effective, r.afterAcknowledged(in)
	case Rejected:
		return !effective || in.write.Validity == Uncertain, r.afterRejected(in)
	}
	// An unknown write takes effect as an acknowledged one would. One that had no effect is linearized last of all.
	if effective {
		return true, r.afterAcknowledged(in)
	}
	return true, r.afterRejected(in)
}

// afterAcknowledged is the register after a write took effect.
func (r register) afterAcknowledged(in input) register {
	r.revision, r.content, r.acknowledged = in.write.Revision, in.write.Content, r.acknowledged.with(in.index)
	return r
}

// afterRejected is the register after a write was rejected. One on a superseded base can't take effect anyway.
func (r register) afterRejected(in input) register {
	if in.write.Base >= r.revision {
		r.rejected = r.rejected.with(in.index)
	}
	return r
}

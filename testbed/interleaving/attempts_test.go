package interleaving

import (
	"errors"
	"testing"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
)

// attemptCase: one attempt is in hand at two daemons at once; each asks the two homes, in its own order.
// The first daemon wants to send, the second to send or to refuse. lax askers go by the first answer alone.
func attemptCase(second deduplication.Action, lax bool) func() Case {
	return func() Case {
		homes := [2]*deduplication.Memory{deduplication.NewMemory(), deduplication.NewMemory()}
		var ran, refused int
		daemon := func(owner string, act deduplication.Action, arrived clock.Mark, order [2]int) func(func()) {
			return func(yield func()) {
				heard := deduplication.Responses{Authoritative: true, Replicated: true}
				for _, home := range order {
					yield()
					heard.Received = append(heard.Received, homes[home].Handle(10, deduplication.Request{Attempt: "x", Owner: owner, Age: clock.Mark(10).Since(arrived), Action: act}))
					if lax {
						break
					}
				}
				yield()
				switch {
				case deduplication.Decide(heard) != deduplication.Proceed:
				case act == deduplication.ActionClaim:
					ran++
				default:
					refused++
				}
			}
		}
		return Case{Threads: []func(func()){daemon("a", deduplication.ActionClaim, 1, [2]int{0, 1}), daemon("b", second, 5, [2]int{1, 0})}, Check: func() error {
			if ran > 1 {
				return errors.New("it ran twice")
			}
			if ran > 0 && refused > 0 {
				return errors.New("it was refused and ran")
			}
			return nil
		}}
	}
}

func TestOneAttemptAtTwoDaemons(t *testing.T) {
	t.Parallel()
	holds(t, attemptCase(deduplication.ActionClaim, false))
	bites(t, attemptCase(deduplication.ActionClaim, true))
	holds(t, attemptCase(deduplication.ActionReject, false))
	bites(t, attemptCase(deduplication.ActionReject, true))
}

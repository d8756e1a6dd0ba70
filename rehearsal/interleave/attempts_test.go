package interleave

import (
	"errors"
	"testing"

	"github.com/cresspond/cresspond/process/attempts"
	"github.com/cresspond/cresspond/process/clock"
)

// attemptCase: one attempt is in hand at two daemons at once; each asks the two homes, in its own order.
// The first daemon wants to send, the second to send or to refuse. lax askers go by the first answer alone.
func attemptCase(second attempts.Act, lax bool) func() Case {
	return func() Case {
		homes := [2]*attempts.Memory{attempts.NewMemory(), attempts.NewMemory()}
		var ran, refused int
		daemon := func(owner string, act attempts.Act, arrived clock.Mark, order [2]int) func(func()) {
			return func(yield func()) {
				heard := attempts.Answers{Knew: true, Written: true}
				for _, home := range order {
					yield()
					heard.Given = append(heard.Given, homes[home].Take(10, attempts.Ask{Attempt: "x", Owner: owner, Age: clock.Mark(10).Since(arrived), Act: act}))
					if lax {
						break
					}
				}
				yield()
				switch {
				case attempts.Decide(heard) != attempts.May:
				case act == attempts.Claim:
					ran++
				default:
					refused++
				}
			}
		}
		return Case{Threads: []func(func()){daemon("a", attempts.Claim, 1, [2]int{0, 1}), daemon("b", second, 5, [2]int{1, 0})}, Check: func() error {
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
	holds(t, attemptCase(attempts.Claim, false))
	bites(t, attemptCase(attempts.Claim, true))
	holds(t, attemptCase(attempts.Refuse, false))
	bites(t, attemptCase(attempts.Refuse, true))
}

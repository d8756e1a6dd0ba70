package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// oneSeed is a fleet of which one address answers, and all others say nothing.
type oneSeed struct {
	lone
	answers string
}

func (s *oneSeed) PullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error) {
	if address != s.answers {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.lone.PullFrom(ctx, address, request)
}

// TestTheOneSeedThatAnswersIsFound: however many were told, all others may be down, and it may stand anywhere.
func TestTheOneSeedThatAnswersIsFound(t *testing.T) {
	for count := 1; count <= 6; count++ {
		for place := range count {
			synctest.Test(t, func(t *testing.T) {
				var seeds []string
				for n := range count {
					seeds = append(seeds, fmt.Sprint("seed-", n))
				}
				fleet := &oneSeed{answers: seeds[place]}
				m := New(madeUp{time.Now()}, fleet, func() []string { return seeds }, "self", Pace{MinWait: 600 * time.Millisecond, MaxWait: 750 * time.Millisecond})
				ctx, cancel := context.WithCancel(t.Context())
				go m.Run(ctx)
				<-time.After(3 * time.Second)
				cancel()
				synctest.Wait()
				fleet.mutex.Lock()
				defer fleet.mutex.Unlock()
				if len(fleet.asked) == 0 {
					t.Errorf("of %d seeds the one in place %d answers, and is never asked", count, place)
				}
			})
		}
	}
}

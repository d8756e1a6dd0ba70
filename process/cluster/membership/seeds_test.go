package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// oneSeedHost is a daemon of whose seeds one replies, and all others time out.
type oneSeedHost struct {
	singlePeerHost
	responding string
}

func (s *oneSeedHost) PullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error) {
	if address != s.responding {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.singlePeerHost.PullFrom(ctx, address, request)
}

// TestOnlyRespondingSeedIsFound: of any number of seeds all but one may be down, at any position in the list.
func TestOnlyRespondingSeedIsFound(t *testing.T) {
	for count := 1; count <= 6; count++ {
		for position := range count {
			synctest.Test(t, func(t *testing.T) {
				var seeds []string
				for n := range count {
					seeds = append(seeds, fmt.Sprint("seed-", n))
				}
				fleet := &oneSeedHost{responding: seeds[position]}
				m := New(syntheticClock{time.Now()}, fleet, func() []string { return seeds }, "self", Pace{MinWait: 600 * time.Millisecond, MaxWait: 750 * time.Millisecond})
				ctx, cancel := context.WithCancel(t.Context())
				go m.Run(ctx)
				<-time.After(3 * time.Second)
				cancel()
				synctest.Wait()
				fleet.mutex.Lock()
				defer fleet.mutex.Unlock()
				if len(fleet.pulls) == 0 {
					t.Errorf("of %d seeds the one at position %d replies, and is never pulled from", count, position)
				}
			})
		}
	}
}

package membership

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

type (
	pullCompleted struct {
		pullKey
		sentAt, receivedAt clock.Mark
		maxWait            time.Duration
		// reportsDemand says that it told of something that waits here; skipped, that there was nothing to ask.
		reportsDemand, skipped bool
		reply                  *peerapi.PullReply
		err                    error
	}
	pullReceived struct {
		request *peerapi.PullRequest
		known   chan uint64
	}
	membersRequested struct {
		request *peerapi.PullRequest
		reply   chan *peerapi.PullReply
	}
	rolloutWaiter struct {
		configuration, closure ident.Version
		deadline               clock.Mark
		serving                func() []ident.NodeID
		done                   chan RolloutReach
	}
)

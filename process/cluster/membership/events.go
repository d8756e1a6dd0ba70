package membership

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// event is what the actor's mailbox holds: one of the types of this file.
type event interface{ isEvent() }

// pullCompleted is the end of a pull that startPull began.
type pullCompleted struct {
	pullKey
	sentAt, receivedAt clock.Mark
	// maxWait is how long the peer was allowed to delay its reply.
	maxWait time.Duration
	// newestStep is the newest rollout step that the peer has with this pull; nil is none.
	newestStep *peerapi.RolloutStep
	// reportsDemand says that the request reported demand to the planner.
	reportsDemand bool
	// skipped says that nothing was sent, since there was no demand to report.
	skipped bool
	reply   *peerapi.PullReply
	err     error
}

// pullReceived is a peer's pull; known gets the version of the peer's attributes that is known here.
type pullReceived struct {
	request *peerapi.PullRequest
	known   chan uint64
}

// membersRequested asks for the members to put into the reply to a peer's pull.
type membersRequested struct {
	request *peerapi.PullRequest
	reply   chan *peerapi.PullReply
}

// rolloutWaiter is a caller of AwaitRollout.
type rolloutWaiter struct {
	configuration, closure ident.Version
	deadline               clock.Mark
	// serving lists the daemons that may be serving, by the replicated state.
	serving func() []ident.NodeID
	done    chan RolloutReach
}

func (pullCompleted) isEvent()    {}
func (pullReceived) isEvent()     {}
func (membersRequested) isEvent() {}
func (*rolloutWaiter) isEvent()   {}

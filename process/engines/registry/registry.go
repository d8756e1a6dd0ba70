package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	// maxRecordsPerDelta bounds the records of one delta; the rest follows with the next request.
	maxRecordsPerDelta = 512
	// tickPeriod is how often the core's Tick is called.
	tickPeriod = 200 * time.Millisecond
	// mailboxSize is how many events may wait for the actor.
	mailboxSize = 1024
)

// Registry is the actor around a [Core]. Its methods may be called from any goroutine. Those that ask the actor return
// zero values when it has ended.
type Registry struct {
	clock           clock.Clock
	heartbeatPeriod func() time.Duration
	connectivity    func() Connectivity
	incarnation     string
	mailbox         *actor.Mailbox[func(now clock.Mark)]

	// core and publication belong to the actor's goroutine.
	core        *Core
	publication publication

	// What was last published, for readers outside of the actor.
	view                                                  atomic.Pointer[View]
	latestChange, latestUrgentChange, latestNonLoadChange atomic.Uint64

	mutex       sync.Mutex
	subscribers []func()

	acknowledgements acknowledgements
}

// New makes the registry of one incarnation of a daemon; control says that engines send their heartbeats to it.
// heartbeatPeriod is how often they do, and connectivity how well this daemon gets what other control daemons receive.
func New(c clock.Clock, incarnation string, control bool, heartbeatPeriod func() time.Duration, connectivity func() Connectivity) *Registry {
	r := &Registry{
		clock: c, core: NewCore(incarnation, control, heartbeatPeriod(), c.Elapsed()), heartbeatPeriod: heartbeatPeriod, connectivity: connectivity,
		incarnation: incarnation, mailbox: actor.NewMailbox[func(clock.Mark)](mailboxSize),
		acknowledgements: acknowledgements{complete: map[ident.NodeID]uint64{}, changed: make(chan struct{})},
	}
	r.view.Store(r.core.View())
	return r
}

// Run runs the actor until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	r.mailbox.Run(ctx, tickPeriod, func(event func(clock.Mark)) {
		event(r.clock.Elapsed())
		r.publish()
	}, func() {
		r.core.Tick(r.clock.Elapsed(), r.heartbeatPeriod(), r.connectivity())
		r.publish()
	})
}

// View is all engines as they were last published.
func (r *Registry) View() *View { return r.view.Load() }

// LatestChange is the number of the newest published change.
func (r *Registry) LatestChange() uint64 { return r.latestChange.Load() }

// LatestUrgentChange is the number of the newest published urgent change: an engine came, or nothing may be sent to one
// any more.
func (r *Registry) LatestUrgentChange() uint64 { return r.latestUrgentChange.Load() }

// LatestNonLoadChange is the number of the newest published change of anything but load figures.
func (r *Registry) LatestNonLoadChange() uint64 { return r.latestNonLoadChange.Load() }

// Subscribe has notify called on the actor's goroutine after each new view; it must not block.
func (r *Registry) Subscribe(notify func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.subscribers = append(r.subscribers, notify)
}

// call runs do on the actor's goroutine and waits for it; it returns false when the actor has ended.
func (r *Registry) call(do func(now clock.Mark)) bool {
	done := make(chan struct{})
	return r.sendAndWait(done, func(now clock.Mark) { do(now); close(done) })
}

// callAndPublish is call, and waits until what do changed is published as well.
func (r *Registry) callAndPublish(do func(now clock.Mark)) bool {
	done := make(chan struct{})
	return r.sendAndWait(done, func(now clock.Mark) {
		do(now)
		r.publication.waiting = append(r.publication.waiting, done)
	})
}

func (r *Registry) sendAndWait(done chan struct{}, event func(now clock.Mark)) bool {
	if !r.mailbox.Send(event) {
		return false
	}
	select {
	case <-done:
		return true
	case <-r.mailbox.Done():
		return false
	}
}

// ReceiveHeartbeat takes an engine's heartbeat; ok is false when the actor has ended. See [Core.ReceiveHeartbeat].
func (r *Registry) ReceiveHeartbeat(registration Registration) (result HeartbeatResult, ok bool) {
	ok = r.call(func(now clock.Mark) { result = r.core.ReceiveHeartbeat(now, registration) })
	return result, ok
}

// Deregister takes an engine's statement that it is gone, and returns once that is published; ok is false when the actor
// has ended. See [Core.Deregister].
func (r *Registry) Deregister(id ident.EngineID) (result HeartbeatResult, ok bool) {
	ok = r.callAndPublish(func(now clock.Mark) { result = r.core.Deregister(now, id) })
	return result, ok
}

// MarkDraining records that engines drain or are deregistered, and returns the number of the newest change once that is
// published. See [Core.MarkDraining].
func (r *Registry) MarkDraining(ids []ident.EngineID, deregistered, committed bool) (change uint64) {
	r.callAndPublish(func(now clock.Mark) {
		for _, id := range ids {
			change = max(change, r.core.MarkDraining(now, id, deregistered, committed))
		}
	})
	return change
}

// RecordDepartures records ids whose draining was committed long ago. See [Core.RecordDepartures].
func (r *Registry) RecordDepartures(ids []ident.EngineID) {
	r.call(func(now clock.Mark) { r.core.RecordDepartures(now, ids) })
}

// PublishPlans takes the plans of the planner in this daemon, and does not wait. See [Core.PublishPlans].
func (r *Registry) PublishPlans(plans map[ident.EngineID]Plan) {
	r.mailbox.Send(func(now clock.Mark) { r.core.PublishPlans(now, plans) })
}

// LastHeartbeats gives each engine's newest heartbeat, whichever control daemon received it.
func (r *Registry) LastHeartbeats() (heartbeats map[ident.EngineID]LastHeartbeat) {
	r.call(func(clock.Mark) { heartbeats = r.core.LastHeartbeats() })
	return heartbeats
}

// NextRequest gives the cursor to ask a peer with, and the engines of which its full records are needed.
func (r *Registry) NextRequest(peer string) (cursor Cursor, fullRecordsOf []ident.EngineID) {
	r.call(func(clock.Mark) { cursor, fullRecordsOf = r.core.NextRequest(peer) })
	return cursor, fullRecordsOf
}

// DeltaSince answers a peer's request. See [Core.DeltaSince].
func (r *Registry) DeltaSince(request DeltaRequest) (delta Delta) {
	newest := r.latestChange.Load()
	if request.Filter == UrgentOnly {
		newest = r.latestUrgentChange.Load()
	}
	if request.Incarnation == r.incarnation && request.Filter != WithHeartbeats && len(request.FullRecordsOf) == 0 && request.Cursor.Complete >= newest {
		// Nothing is new, so the actor need not be woken.
		return Delta{Cursor: request.Cursor}
	}
	r.call(func(clock.Mark) { delta = r.core.DeltaSince(request, maxRecordsPerDelta) })
	return delta
}

// ApplyDelta merges what a peer sent, and returns once that is published; a delta that holds nothing is not waited for.
// requested are the engines whose full records the peer was asked for.
func (r *Registry) ApplyDelta(peer string, delta Delta, requested []ident.EngineID) {
	if len(delta.Records) == 0 && !delta.FullResync {
		r.mailbox.Send(func(now clock.Mark) { r.core.ApplyDelta(now, peer, delta, requested) })
		return
	}
	r.callAndPublish(func(now clock.Mark) { r.core.ApplyDelta(now, peer, delta, requested) })
}

// RecordAcknowledgement records the cursor that a peer's request showed.
func (r *Registry) RecordAcknowledgement(peer ident.NodeID, cursor Cursor) {
	if cursor.Incarnation == r.incarnation {
		r.acknowledgements.record(peer, cursor.Complete)
	}
}

// AwaitPropagation waits until all peers have acknowledged a change of this daemon. It returns false when the timeout has
// passed or ctx has ended first.
func (r *Registry) AwaitPropagation(ctx context.Context, change uint64, timeout time.Duration, peers func() []ident.NodeID) bool {
	return r.acknowledgements.await(ctx, change, timeout, peers)
}

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

// mostRecords bounds what is told at once; the rest follows with the next question.
const maxRecordsPerDelta = 512

// judgeEvery is how often time is let pass.
const tickPeriod = 200 * time.Millisecond

// Registry is the actor around a core.
type Registry struct {
	clock               clock.Clock
	core                *Core
	heartbeatPeriod     func() time.Duration
	connectivity        func() Connectivity
	incarnation         string
	mailbox             *actor.Mailbox[func(now clock.Mark)]
	view                atomic.Pointer[View]
	latestChange        atomic.Uint64
	latestUrgentChange  atomic.Uint64
	latestNonLoadChange atomic.Uint64
	// unpublished are those who wait for what they brought to be in the view; putOff is since when.
	awaitingPublication []chan struct{}
	publishDelayedSince clock.Mark
	// published is when the view was last replaced; gathering says that what came since is waited for.
	lastPublished    clock.Mark
	publishScheduled bool

	mutex            sync.Mutex
	subscribers      []func()
	acknowledgements acknowledgements
}

// New makes the actor of one life of a daemon. period is how often engines beat; contact says how well a
// control daemon hears the others.
func New(c clock.Clock, life string, control bool, period func() time.Duration, contact func() Connectivity) *Registry {
	r := &Registry{clock: c, core: NewCore(life, control, period(), c.Elapsed()), heartbeatPeriod: period, connectivity: contact, incarnation: life,
		mailbox: actor.NewMailbox[func(clock.Mark)](1024), acknowledgements: acknowledgements{complete: map[ident.NodeID]uint64{}, changed: make(chan struct{})}}
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

// View is all engines as they are now.
func (r *Registry) View() *View { return r.view.Load() }

// Newest numbers the newest change that all are told of.
func (r *Registry) LatestChange() uint64 { return r.latestChange.Load() }

// Urgent numbers the newest change that must not wait for others: who came, and who must not be sent to.
func (r *Registry) LatestUrgentChange() uint64 { return r.latestUrgentChange.Load() }

// Solid numbers the last change that tells of anything but how busy engines are.
func (r *Registry) LatestNonLoadChange() uint64 { return r.latestNonLoadChange.Load() }

// Subscribe has notify called after each change of the view; it must not wait.
func (r *Registry) Subscribe(notify func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.subscribers = append(r.subscribers, notify)
}

// ask has the actor do something; it says false when the actor has ended.
func (r *Registry) call(do func(now clock.Mark)) bool {
	done := make(chan struct{})
	return r.sendAndWait(done, func(now clock.Mark) { do(now); close(done) })
}

// change has the actor do something, and waits until that is in the view; it says false when the actor has ended.
func (r *Registry) callAndPublish(do func(now clock.Mark)) bool {
	done := make(chan struct{})
	return r.sendAndWait(done, func(now clock.Mark) { do(now); r.awaitingPublication = append(r.awaitingPublication, done) })
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

// Hear takes what an engine says of itself.
func (r *Registry) ReceiveHeartbeat(registration Registration) (result HeartbeatResult, ok bool) {
	ok = r.call(func(now clock.Mark) { result = r.core.ReceiveHeartbeat(now, registration) })
	return result, ok
}

// End takes an engine's word that it is gone.
func (r *Registry) Deregister(id ident.EngineID) (result HeartbeatResult, ok bool) {
	ok = r.callAndPublish(func(now clock.Mark) { result = r.core.Deregister(now, id) })
	return result, ok
}

// Leave notes that engines leave, or are gone; committed, that the group has written it down. It gives the
// number of the newest change that this made.
func (r *Registry) MarkDraining(ids []ident.EngineID, gone, committed bool) (change uint64) {
	r.callAndPublish(func(now clock.Mark) {
		for _, id := range ids {
			change = max(change, r.core.MarkDraining(now, id, gone, committed))
		}
	})
	return change
}

// Remember notes ids that left so long ago that nobody need be told.
func (r *Registry) RecordDepartures(ids []ident.EngineID) {
	r.call(func(now clock.Mark) { r.core.RecordDepartures(now, ids) })
}

// TellPlan takes the planner's word on engines; it spreads like all else.
func (r *Registry) PublishPlans(plans map[ident.EngineID]Plan) {
	r.mailbox.Send(func(now clock.Mark) { r.core.PublishPlans(now, plans) })
}

// Beats gives each engine's newest beat to any control daemon, as far as is known here.
func (r *Registry) LastHeartbeats() (beats map[ident.EngineID]LastHeartbeat) {
	r.call(func(clock.Mark) { beats = r.core.LastHeartbeats() })
	return beats
}

// Asked is the cursor to ask a peer with, and the engines that are wanted whole.
func (r *Registry) NextRequest(peer string) (cursor Cursor, wanted []ident.EngineID) {
	r.call(func(clock.Mark) { cursor, wanted = r.core.NextRequest(peer) })
	return cursor, wanted
}

// Since answers a peer's question.
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

// Learn takes what a peer told, and returns when it is in the view.
func (r *Registry) ApplyDelta(peer string, delta Delta, asked []ident.EngineID) {
	if len(delta.Records) == 0 && !delta.FullResync {
		r.mailbox.Send(func(now clock.Mark) { r.core.ApplyDelta(now, peer, delta, asked) })
		return
	}
	r.callAndPublish(func(now clock.Mark) { r.core.ApplyDelta(now, peer, delta, asked) })
}

// Saw notes how much of this daemon's changes a peer has.
func (r *Registry) RecordAcknowledgement(peer ident.NodeID, cursor Cursor) {
	if cursor.Incarnation == r.incarnation {
		r.acknowledgements.record(peer, cursor.Complete)
	}
}

// AwaitReach waits until all peers asked for have seen a change here, or until within has passed.
func (r *Registry) AwaitPropagation(ctx context.Context, change uint64, within time.Duration, peers func() []ident.NodeID) bool {
	return r.acknowledgements.await(ctx, change, within, peers)
}

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
const mostRecords = 512

// judgeEvery is how often time is let pass.
const judgeEvery = 200 * time.Millisecond

// Registry is the actor around a core.
type Registry struct {
	clock   clock.Clock
	core    *Core
	period  func() time.Duration
	contact func() Connectivity
	life    string
	box     *actor.Mailbox[func(now clock.Mark)]
	view    atomic.Pointer[View]
	newest  atomic.Uint64
	urgent  atomic.Uint64
	solid   atomic.Uint64
	// unpublished are those who wait for what they brought to be in the view; putOff is since when.
	unpublished []chan struct{}
	putOff      clock.Mark
	// published is when the view was last replaced; gathering says that what came since is waited for.
	published clock.Mark
	gathering bool

	mutex       sync.Mutex
	subscribers []func()
	reach       reach
}

// New makes the actor of one life of a daemon. period is how often engines beat; contact says how well a
// control daemon hears the others.
func New(c clock.Clock, life string, control bool, period func() time.Duration, contact func() Connectivity) *Registry {
	r := &Registry{clock: c, core: NewCore(life, control, period(), c.Elapsed()), period: period, contact: contact, life: life,
		box: actor.NewMailbox[func(clock.Mark)](1024), reach: reach{seen: map[ident.NodeID]uint64{}, told: make(chan struct{})}}
	r.view.Store(r.core.View())
	return r
}

// Run runs the actor until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	r.box.Run(ctx, judgeEvery, func(event func(clock.Mark)) {
		event(r.clock.Elapsed())
		r.publish()
	}, func() {
		r.core.Tick(r.clock.Elapsed(), r.period(), r.contact())
		r.publish()
	})
}

// View is all engines as they are now.
func (r *Registry) View() *View { return r.view.Load() }

// Newest numbers the newest change that all are told of.
func (r *Registry) LatestChange() uint64 { return r.newest.Load() }

// Urgent numbers the newest change that must not wait for others: who came, and who must not be sent to.
func (r *Registry) LatestUrgentChange() uint64 { return r.urgent.Load() }

// Solid numbers the last change that tells of anything but how busy engines are.
func (r *Registry) LatestNonLoadChange() uint64 { return r.solid.Load() }

// Subscribe has notify called after each change of the view; it must not wait.
func (r *Registry) Subscribe(notify func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.subscribers = append(r.subscribers, notify)
}

const (
	// publishWithin bounds how long a view is put off while events pile up.
	publishWithin = 10 * time.Millisecond
	// gatherEach is how long a view that brings nothing urgent is put off for each engine in it, since that is
	// what making it costs; gatherMost bounds it.
	gatherEach = 35 * time.Microsecond
	gatherMost = 50 * time.Millisecond
)

// publish is the one place where the view is replaced. While more is waiting it is put off, so that many
// changes at once cost one view; what is not urgent, and what nobody waits for, is put off for longer.
func (r *Registry) publish() {
	now := r.clock.Elapsed()
	if r.box.Waiting() > 0 && (r.putOff == 0 || now.Since(r.putOff) < publishWithin) {
		if r.putOff == 0 {
			r.putOff = now
		}
		return
	}
	r.putOff = 0
	gather := min(time.Duration(len(r.view.Load().Engines))*gatherEach, gatherMost)
	if passed := now.Since(r.published); passed < gather && len(r.unpublished) == 0 && r.core.LatestUrgentChange() == r.urgent.Load() {
		if r.core.Changed() && !r.gathering {
			r.gathering = true
			time.AfterFunc(gather-passed, func() { r.box.Send(func(clock.Mark) { r.gathering = false }) })
		}
		return
	}
	r.newest.Store(r.core.LatestChange())
	r.urgent.Store(r.core.LatestUrgentChange())
	r.solid.Store(r.core.LatestNonLoadChange())
	next := r.core.View()
	changed := next != r.view.Load()
	r.view.Store(next)
	for _, done := range r.unpublished {
		close(done)
	}
	r.unpublished = r.unpublished[:0]
	if !changed {
		return
	}
	r.published = now
	r.mutex.Lock()
	subscribers := r.subscribers
	r.mutex.Unlock()
	for _, notify := range subscribers {
		notify()
	}
}

// ask has the actor do something; it says false when the actor has ended.
func (r *Registry) ask(do func(now clock.Mark)) bool {
	done := make(chan struct{})
	return r.await(done, func(now clock.Mark) { do(now); close(done) })
}

// change has the actor do something, and waits until that is in the view; it says false when the actor has ended.
func (r *Registry) change(do func(now clock.Mark)) bool {
	done := make(chan struct{})
	return r.await(done, func(now clock.Mark) { do(now); r.unpublished = append(r.unpublished, done) })
}

func (r *Registry) await(done chan struct{}, event func(now clock.Mark)) bool {
	if !r.box.Send(event) {
		return false
	}
	select {
	case <-done:
		return true
	case <-r.box.Done():
		return false
	}
}

// Hear takes what an engine says of itself.
func (r *Registry) ReceiveHeartbeat(word Registration) (hearing HeartbeatResult, ok bool) {
	ok = r.ask(func(now clock.Mark) { hearing = r.core.ReceiveHeartbeat(now, word) })
	return hearing, ok
}

// End takes an engine's word that it is gone.
func (r *Registry) Deregister(id ident.EngineID) (hearing HeartbeatResult, ok bool) {
	ok = r.change(func(now clock.Mark) { hearing = r.core.Deregister(now, id) })
	return hearing, ok
}

// Leave notes that engines leave, or are gone; committed, that the group has written it down. It gives the
// number of the newest change that this made.
func (r *Registry) MarkDraining(ids []ident.EngineID, gone, committed bool) (change uint64) {
	r.change(func(now clock.Mark) {
		for _, id := range ids {
			change = max(change, r.core.MarkDraining(now, id, gone, committed))
		}
	})
	return change
}

// Remember notes ids that left so long ago that nobody need be told.
func (r *Registry) RecordDepartures(ids []ident.EngineID) {
	r.ask(func(now clock.Mark) { r.core.RecordDepartures(now, ids) })
}

// TellPlan takes the planner's word on engines; it spreads like all else.
func (r *Registry) PublishPlans(plans map[ident.EngineID]Plan) {
	r.box.Send(func(now clock.Mark) { r.core.PublishPlans(now, plans) })
}

// Beats gives each engine's newest beat to any control daemon, as far as is known here.
func (r *Registry) LastHeartbeats() (beats map[ident.EngineID]LastHeartbeat) {
	r.ask(func(clock.Mark) { beats = r.core.LastHeartbeats() })
	return beats
}

// Asked is the cursor to ask a peer with, and the engines that are wanted whole.
func (r *Registry) NextRequest(peer string) (cursor Cursor, wanted []ident.EngineID) {
	r.ask(func(clock.Mark) { cursor, wanted = r.core.NextRequest(peer) })
	return cursor, wanted
}

// Since answers a peer's question.
func (r *Registry) DeltaSince(question DeltaRequest) (difference Delta) {
	newest := r.newest.Load()
	if question.Filter == UrgentOnly {
		newest = r.urgent.Load()
	}
	if question.Incarnation == r.life && question.Filter != WithHeartbeats && len(question.FullRecordsOf) == 0 && question.Cursor.Complete >= newest {
		// Nothing is new, so the actor need not be woken.
		return Delta{Cursor: question.Cursor}
	}
	r.ask(func(clock.Mark) { difference = r.core.DeltaSince(question, mostRecords) })
	return difference
}

// Learn takes what a peer told, and returns when it is in the view.
func (r *Registry) ApplyDelta(peer string, difference Delta, asked []ident.EngineID) {
	if len(difference.Records) == 0 && !difference.FullResync {
		r.box.Send(func(now clock.Mark) { r.core.ApplyDelta(now, peer, difference, asked) })
		return
	}
	r.change(func(now clock.Mark) { r.core.ApplyDelta(now, peer, difference, asked) })
}

// Saw notes how much of this daemon's changes a peer has.
func (r *Registry) RecordAcknowledgement(peer ident.NodeID, cursor Cursor) {
	if cursor.Incarnation == r.life {
		r.reach.saw(peer, cursor.Complete)
	}
}

// AwaitReach waits until all peers asked for have seen a change here, or until within has passed.
func (r *Registry) AwaitPropagation(ctx context.Context, change uint64, within time.Duration, peers func() []ident.NodeID) bool {
	return r.reach.await(ctx, change, within, peers)
}

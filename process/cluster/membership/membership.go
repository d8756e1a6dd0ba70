package membership

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Host is what the actor needs of the daemon it runs in. Methods are called from the actor's goroutine, except AddDemand,
// PullFrom and ApplyReply, which are called from a goroutine per pull.
type Host interface {
	// DescribeSelf returns a pull request with this daemon's attributes and the versions it has in force.
	DescribeSelf() *peerapi.PullRequest
	// AddDemand adds this daemon's demand to a pull to the planner and reports whether any request is queued. With
	// onlyWaiting it adds it only in that case.
	AddDemand(request *peerapi.PullRequest, onlyWaiting bool) bool
	// InForce returns the versions that this daemon has in force.
	InForce() (configuration, closure ident.Version)
	// ApplyReply applies the updates in a reply, and returns when they are in force.
	ApplyReply(reply *peerapi.PullReply)
	// PullFrom sends a pull to a peer.
	PullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error)
	// IsLeader reports whether this daemon leads the group.
	IsLeader() bool
	// FirstRolloutAge is, on the leader, the time since the first bundle came in force: negative if none did, zero if
	// unknown.
	FirstRolloutAge() time.Duration
	// EnlistedAt is when the group committed this incarnation as one that may be serving; zero before.
	EnlistedAt() clock.Mark
	// IsPlanner reports whether this daemon is the planner.
	IsPlanner() bool
	// ConfirmedAsLeader is, on the leader, the time up to which a majority has confirmed its leadership, for what is in
	// force here; zero elsewhere.
	ConfirmedAsLeader() clock.Mark
	// SourceFreshnessChanged is called when a source became stale or recovered.
	SourceFreshnessChanged(FreshnessChange)
	// MembersChanged is called when the member list changed, to wake the long polls that wait for it.
	MembersChanged()
	// Tick is called with each tick of the actor.
	Tick()
}

// mailboxSize is how many events may be queued before senders wait.
const mailboxSize = 512

// Membership is the actor: it owns a Tracker, sends its pulls and publishes its View. Exported methods are safe for
// concurrent use; other fields than the atomic ones belong to the actor's goroutine.
type Membership struct {
	clock             clock.Clock
	host              Host
	seeds             func() []string
	address           string
	pace              Pace
	mailbox           *actor.Mailbox[event]
	tracker           *Tracker
	view              atomic.Pointer[View]
	changeIndex       atomic.Uint64
	statusChangeIndex atomic.Uint64
	pendingPulls      map[pullKey]bool
	// demandReported says that the last pull to the planner reported queued requests.
	demandReported bool
	waiters        []*rolloutWaiter
	// nextProbeSeed and nextLinkSeed are round-robin positions in the seeds, for probes and for links.
	nextProbeSeed int
	nextLinkSeed  int
	ticks         int
	// self is this daemon's own record.
	self          MemberRecord
	servesControl bool
	// Pulls counts the pulls that were sent, FailedPulls those without a reply.
	Pulls       atomic.Uint64
	FailedPulls atomic.Uint64
	// StaleSources counts how often a source became stale: no majority had confirmed it lately.
	StaleSources atomic.Uint64
}

// New makes the actor. seeds returns the configured addresses to start from; address is this daemon's own peer address.
func New(timer clock.Clock, host Host, seeds func() []string, address string, pace Pace) *Membership {
	m := &Membership{
		clock: timer, host: host, seeds: seeds, address: address, pace: pace,
		mailbox: actor.NewMailbox[event](mailboxSize), pendingPulls: map[pullKey]bool{},
	}
	m.view.Store(&View{Members: map[ident.NodeID]Member{}, Started: timer.Elapsed()})
	return m
}

// View returns the newest view.
func (m *Membership) View() *View { return m.view.Load() }

// ZoneOf returns a daemon's zone; empty if it is not known yet.
func (m *Membership) ZoneOf(node ident.NodeID) ident.ZoneID { return m.view.Load().Members[node].Zone }

// ChangeIndex is the index of the newest change of the member list.
func (m *Membership) ChangeIndex() uint64 { return m.changeIndex.Load() }

// StatusChangeIndex is the index of the newest change other than of the versions that members have in force.
func (m *Membership) StatusChangeIndex() uint64 { return m.statusChangeIndex.Load() }

// Ready reports whether this daemon may accept new requests, and if not, why.
func (m *Membership) Ready() (bool, string) {
	view, now := m.view.Load(), m.clock.Elapsed()
	reason := view.NotReadyReason(now, m.inForce())
	return reason == "", reason
}

// Run runs the actor until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	described := m.host.DescribeSelf()
	m.servesControl = slices.Contains(described.Roles, controlRole)
	m.tracker = NewTracker(m.view.Load().Started, ident.NodeID(described.NodeId), m.address, m.servesControl)
	m.mailbox.Run(ctx, pullEvery, func(received event) { m.handle(ctx, received) }, func() { m.tick(ctx) })
}

// RecordPull records a peer's pull, and returns the version of its attributes that is known here: zero if none is.
func (m *Membership) RecordPull(request *peerapi.PullRequest) uint64 {
	received := pullReceived{request, make(chan uint64, 1)}
	if !m.mailbox.Send(received) {
		return 0
	}
	select {
	case known := <-received.known:
		return known
	case <-m.mailbox.Done():
		return 0
	}
}

// AddMembers adds to a reply the changes of the member list that the caller misses.
func (m *Membership) AddMembers(request *peerapi.PullRequest, reply *peerapi.PullReply) {
	if !request.AllMembers && request.IntervalMs == 0 {
		return
	}
	requested := membersRequested{request, make(chan *peerapi.PullReply, 1)}
	if !m.mailbox.Send(requested) {
		return
	}
	select {
	case members := <-requested.reply:
		reply.Members, reply.AllMembers = members.Members, members.AllMembers
		reply.MembersIncarnation, reply.MembersSeen, reply.MembersFullResync = members.MembersIncarnation, members.MembersSeen, members.MembersFullResync
	case <-m.mailbox.Done():
	}
}

func (m *Membership) handle(ctx context.Context, received event) {
	now := m.clock.Elapsed()
	switch e := received.(type) {
	case pullCompleted:
		m.handlePullCompleted(ctx, now, e)
	case pullReceived:
		e.known <- m.tracker.RecordPull(now, e.request)
		m.publishChanges()
		if len(m.waiters) > 0 {
			m.notifyWaiters()
		}
	case membersRequested:
		e.reply <- m.tracker.MembersFor(now, e.request)
	case *rolloutWaiter:
		m.waiters = append(m.waiters, e)
		m.notifyWaiters()
	}
}

// inForce returns the versions that this daemon has in force.
func (m *Membership) inForce() InForce {
	configuration, closure := m.host.InForce()
	return InForce{Configuration: configuration, Closure: closure}
}

// publish is the only place where the view is replaced.
func (m *Membership) publish() {
	now := m.clock.Elapsed()
	m.publishChanges()
	view := m.tracker.Refresh(now, m.localState())
	m.view.Store(&view)
}

// publishChanges publishes the change indices, and wakes the long polls if the member list changed.
func (m *Membership) publishChanges() {
	if changes := m.tracker.memberList.ChangeIndex(); changes != m.changeIndex.Load() {
		m.changeIndex.Store(changes)
		m.statusChangeIndex.Store(m.tracker.memberList.StatusChangeIndex())
		m.host.MembersChanged()
	}
}

// localState collects what this daemon knows of itself. The confirmation is read first, and what is in force last, so
// that what the confirmation is about is in force.
func (m *Membership) localState() LocalState {
	state := LocalState{ConfirmedAt: m.host.ConfirmedAsLeader(), IsLeader: m.host.IsLeader(), EnlistedAt: m.host.EnlistedAt(), IsPlanner: m.host.IsPlanner()}
	if state.IsLeader {
		state.FirstRolloutAge = m.host.FirstRolloutAge()
	}
	state.InForce = m.inForce()
	return state
}

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

// Host is what the actor needs of its daemon.
type Host interface {
	// DescribeSelf is what this daemon says of itself, and what it has in force.
	DescribeSelf() *peerapi.PullRequest
	// AddDemand adds what this daemon holds and asks for, for whoever plans, if that is asked for or something waits;
	// it says whether anything does.
	AddDemand(request *peerapi.PullRequest, onlyWaiting bool) bool
	// InForce is what this daemon has in force.
	InForce() (spec, closure ident.Version)
	// ApplyReply takes over what a reply brought, and returns when it is in force.
	ApplyReply(reply *peerapi.PullReply)
	// PullFrom asks another daemon.
	PullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error)
	// IsLeader says whether this daemon leads the group.
	IsLeader() bool
	// FirstRolloutAge is, where this daemon leads, how long any bundle has been in force; negative while none was, zero if it can't tell.
	FirstRolloutAge() time.Duration
	// EnlistedAt is when the group wrote this life down as one that may be serving; zero before.
	EnlistedAt() clock.Mark
	// IsPlanner says whether this daemon plans.
	IsPlanner() bool
	// ConfirmedAsLeader is, where this daemon leads, up to when a majority has confirmed that, for what is in force
	// here; zero elsewhere.
	ConfirmedAsLeader() clock.Mark
	// SourceFreshnessChanged is called when a source of news came to be stale, or is so no more.
	SourceFreshnessChanged(FreshnessChange)
	// MembersChanged is called when the list of members changed, so that those whose answers are held back hear of it.
	MembersChanged()
	// Tick is called with each beat.
	Tick()
}

// Membership is the actor.
type Membership struct {
	clock             clock.Clock
	host              Host
	seeds             func() []string
	address           string
	pace              Pace
	mailbox           *actor.Mailbox[any]
	tracker           *Tracker
	view              atomic.Pointer[View]
	changeIndex       atomic.Uint64
	statusChangeIndex atomic.Uint64
	inFlight          map[pullKey]bool
	// demandReported says that the last question to the planner told of something that waits here.
	demandReported bool
	waiters        []*rolloutWaiter
	// nextProbeSeed and linkTurn count the seeds asked, now and then and in place of links.
	nextProbeSeed int
	nextLinkSeed  int
	ticks         int
	self          MemberRecord
	servesControl bool
	Pulls         atomic.Uint64
	FailedPulls   atomic.Uint64
	// StaleSources counts how often a source of news was left because no majority had confirmed it lately.
	StaleSources atomic.Uint64
}

// New makes the actor; self is this daemon's own fellow address.
func New(c clock.Clock, fleet Host, seeds func() []string, self string, pace Pace) *Membership {
	m := &Membership{clock: c, host: fleet, seeds: seeds, address: self, pace: pace, mailbox: actor.NewMailbox[any](512), inFlight: map[pullKey]bool{}}
	m.view.Store(&View{Members: map[ident.NodeID]Member{}, Started: c.Elapsed()})
	return m
}

// View gives the newest view.
func (m *Membership) View() *View { return m.view.Load() }

// ZoneOf is where a daemon stands; empty where that is not known yet.
func (m *Membership) ZoneOf(node ident.NodeID) ident.ZoneID { return m.view.Load().Members[node].Zone }

// ChangeIndex numbers the newest change of the list of members.
func (m *Membership) ChangeIndex() uint64 { return m.changeIndex.Load() }

// StatusChangeIndex numbers the newest that is of more than what daemons have in force.
func (m *Membership) StatusChangeIndex() uint64 { return m.statusChangeIndex.Load() }

// Ready says whether this daemon may take new work, and if not, why.
func (m *Membership) Ready() (bool, string) {
	view, now := m.view.Load(), m.clock.Elapsed()
	var force InForce
	force.Configuration, force.Closure = m.host.InForce()
	why := view.NotReadyReason(now, force)
	return why == "", why
}

// Run runs the actor.
func (m *Membership) Run(ctx context.Context) {
	described := m.host.DescribeSelf()
	m.servesControl = slices.Contains(described.Roles, controlRole)
	m.tracker = NewTracker(m.view.Load().Started, ident.NodeID(described.NodeId), m.address, m.servesControl)
	m.mailbox.Run(ctx, pullEvery, func(event any) { m.handle(ctx, event) }, func() { m.tick(ctx) })
}

// RecordPull notes a fellow's question, and gives the version of its row that is known here.
func (m *Membership) RecordPull(request *peerapi.PullRequest) uint64 {
	event := pullReceived{request, make(chan uint64, 1)}
	if !m.mailbox.Send(event) {
		return 0
	}
	select {
	case known := <-event.known:
		return known
	case <-m.mailbox.Done():
		return 0
	}
}

// AddMembers puts into a reply what the asker lacks of the list of members.
func (m *Membership) AddMembers(request *peerapi.PullRequest, reply *peerapi.PullReply) {
	if !request.AllMembers && request.IntervalMs == 0 {
		return
	}
	event := membersRequested{request, make(chan *peerapi.PullReply, 1)}
	if !m.mailbox.Send(event) {
		return
	}
	select {
	case members := <-event.reply:
		reply.Members, reply.AllMembers = members.Members, members.AllMembers
		reply.MembersIncarnation, reply.MembersSeen, reply.MembersFullResync = members.MembersIncarnation, members.MembersSeen, members.MembersFullResync
	case <-m.mailbox.Done():
	}
}

func (m *Membership) handle(ctx context.Context, event any) {
	now := m.clock.Elapsed()
	switch e := event.(type) {
	case pullCompleted:
		delete(m.inFlight, e.pullKey)
		if e.skipped {
			return
		}
		if e.address == m.tracker.planner {
			m.demandReported = e.reportsDemand
		}
		m.Pulls.Add(1)
		m.handleResult(now, e)
		m.publish()
		m.notifyWaiters()
		// One that answered is asked on at once; one that did not, or had nothing to hold back for, with the next beat.
		if e.err == nil && e.linked && e.maxWait > 0 && now.Since(e.sentAt) >= minPullGap && slices.Contains(m.tracker.Links(now), e.address) {
			m.startPull(ctx, e.pullKey)
		}
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

// publish is the one place where the view is replaced.
func (m *Membership) publish() {
	now := m.clock.Elapsed()
	m.publishChanges()
	view := m.tracker.Refresh(now, m.localState())
	m.view.Store(&view)
}

// publishChanges lets others know that the list of members changed.
func (m *Membership) publishChanges() {
	if changes := m.tracker.memberList.ChangeIndex(); changes != m.changeIndex.Load() {
		m.changeIndex.Store(changes)
		m.statusChangeIndex.Store(m.tracker.memberList.StatusChangeIndex())
		m.host.MembersChanged()
	}
}

// localState is what this daemon knows of itself now. The confirmation comes first: what it vouches for is then in force.
func (m *Membership) localState() LocalState {
	state := LocalState{ConfirmedAt: m.host.ConfirmedAsLeader(), IsLeader: m.host.IsLeader(), EnlistedAt: m.host.EnlistedAt(), IsPlanner: m.host.IsPlanner()}
	if state.IsLeader {
		state.FirstRolloutAge = m.host.FirstRolloutAge()
	}
	state.Configuration, state.Closure = m.host.InForce()
	return state
}

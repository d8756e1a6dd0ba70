// Package membership is how daemons find each other and keep in touch: every daemon asks the leader and
// another control daemon again and again, tells what it has in force, and so learns what is newer and who
// lives. Answers are held back while nothing is new.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	pullEvery = 150 * time.Millisecond
	// controlRole is the role of the group's members.
	controlRole = "control"
	// PullTimeout bounds one pull, beside what its answer may be held back for.
	PullTimeout = 700 * time.Millisecond
	// ContactWindow is how long a daemon counts as in contact after it was heard.
	ContactWindow = 1500 * time.Millisecond
	// isolatedAfter is how long a daemon that hears nobody goes on calling itself ready.
	isolatedAfter = 2500 * time.Millisecond
	forgetAfter   = 60 * time.Second
)

// Member is another daemon, or this one, as last heard.
type Member struct {
	NodeID      ident.NodeID
	Address     string
	Zone        ident.ZoneID
	Roles       []string
	LastContact clock.Mark
	// FirstContact is when this life was first heard of here, if that was after the view's own beginning.
	FirstContact         clock.Mark
	ConfigurationVersion ident.Version
	ClosureVersion       ident.Version
	Ready                bool
	Steps                []*peerapi.RolloutStep
}

// Serves says whether the fellow has a role.
func (f Member) Serves(role string) bool { return slices.Contains(f.Roles, role) }

// View is what is known of the fleet of daemons at one moment; it is never changed.
type View struct {
	Members map[ident.NodeID]Member
	// LeaderAddress is where the group's leader was last known to be.
	LeaderAddress string
	// RelayAddress is whom a daemon that only routes asks for all that is new.
	RelayAddress string
	// LeaderTerm is the newest term in which a leader was heard of. Unreached is the term of one that could
	// not be reached: hearsay of it counts for nothing, or stale words of it would go round among daemons.
	LeaderTerm, UnreachableTerm uint64
	Group                       ident.GroupID
	// LastLeaderContact and HeardAny are when a pull was last answered.
	LastLeaderContact, LastContact clock.Mark
	// NewestConfiguration and NewestClosure are the highest epochs anyone told of.
	NewestConfiguration, NewestClosure ident.Version
	// CaughtUp says that this daemon has made sure that what it has is not old.
	CaughtUp bool
	// PredatesFirstRollout says that this life began before any bundle was in force, so nothing can have run before it.
	PredatesFirstRollout bool
	Started              clock.Mark
	// PlannerAddress is where whoever plans is, as far as is known.
	PlannerAddress string
	// ConfirmedAt is up to when a majority has confirmed that what is in force here is all that was acknowledged; zero
	// is never.
	ConfirmedAt clock.Mark
}

// InContact lists the fellows heard within the window.
func (v *View) InContact(now clock.Mark, window time.Duration) []Member {
	var out []Member
	for _, fellow := range v.Members {
		if now.Since(fellow.LastContact) <= window {
			out = append(out, fellow)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		switch {
		case a.NodeID < b.NodeID:
			return -1
		case a.NodeID > b.NodeID:
			return 1
		}
		return 0
	})
	return out
}

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

// Pace is how often daemons ask each other again.
type Pace struct {
	// MinWait and Most bound how long an answer is held back while nothing is new; between them it grows with the
	// fleet, so that what a leader has to answer does not.
	MinWait, MaxWait time.Duration
}

// waitFor is how long an answer is held back in a fleet of a size.
func (p Pace) waitFor(daemons int) time.Duration {
	return min(max(p.MinWait, time.Duration(daemons)*2500*time.Microsecond), p.MaxWait)
}

// waitWithDemand is the same where the asker has something to tell the planner.
func (p Pace) waitWithDemand(daemons int) time.Duration {
	return min(max(pullEvery, time.Duration(daemons)*2500*time.Microsecond), p.MaxWait)
}

// batchDelayFor is how long what is new and not urgent may wait for more of its kind.
func batchDelayFor(daemons int) time.Duration {
	return min(max(50*time.Millisecond, time.Duration(daemons)*800*time.Microsecond), 300*time.Millisecond)
}

// controlMaxWait is how long control daemons hold back answers to each other: they tell each other of beats.
const controlMaxWait = 250 * time.Millisecond

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

// RolloutReach says who has a change in force, and who may be serving or was in contact and has not. All
// says that nobody lacked it.
type RolloutReach struct {
	Applied, Missing []ident.NodeID
	Complete         bool
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
	case told := <-event.reply:
		reply.Members, reply.AllMembers = told.Members, told.AllMembers
		reply.MembersIncarnation, reply.MembersSeen, reply.MembersFullResync = told.MembersIncarnation, told.MembersSeen, told.MembersFullResync
	case <-m.mailbox.Done():
	}
}

// AwaitRollout waits until every daemon that may be serving, and every one in contact, has the epochs in
// force, or until within has passed.
func (m *Membership) AwaitRollout(ctx context.Context, spec, closure ident.Version, within time.Duration, serving func() []ident.NodeID) RolloutReach {
	w := &rolloutWaiter{configuration: spec, closure: closure, deadline: m.clock.Elapsed() + clock.Mark(within), serving: serving, done: make(chan RolloutReach, 1)}
	if !m.mailbox.Send(w) {
		return RolloutReach{}
	}
	select {
	case reach := <-w.done:
		return reach
	case <-ctx.Done():
	case <-m.mailbox.Done():
	}
	return RolloutReach{}
}

const (
	// probeTicks is how many beats pass between questions to a seed and to any daemon, so that a split that
	// healed is noticed from either side.
	probeTicks = 10
	// controlLostAfter is how long no control daemon must have answered for all to be asked for all they know.
	controlLostAfter = 1500 * time.Millisecond
	// minPullGap is how soon after a question the next may follow at once.
	minPullGap = 50 * time.Millisecond
)

func (m *Membership) tick(ctx context.Context) {
	m.refreshSelf()
	now := m.clock.Elapsed()
	forgetBefore := now - clock.Mark(forgetAfter)
	if now.Since(m.tracker.view.LastLeaderContact) > ContactWindow {
		// Out of the leader's sight nobody is forgotten: those who fell silent may be on the other side of a split.
		forgetBefore = 0
	}
	m.tracker.memberList.Sweep(now, forgetBefore)
	for _, address := range m.links(now) {
		m.startPull(ctx, pullKey{address: address, linked: true})
	}
	if !m.demandReported {
		// The answer to the last question may be held back for long; what has come to wait since must be heard of sooner.
		m.startPull(ctx, pullKey{address: m.tracker.planner, onlyWithDemand: true})
	}
	troubled := m.tracker.ControlLost(now)
	if m.ticks++; troubled || m.tracker.MemberList().Unconfirmed(now) || m.ticks%probeTicks == 0 {
		if seeds := m.seeds(); len(seeds) > 0 {
			m.startPull(ctx, pullKey{address: seeds[m.nextProbeSeed%len(seeds)], allMembers: troubled})
			m.nextProbeSeed++
		}
		if contacts := m.view.Load().InContact(now, 10*time.Second); len(contacts) > 0 {
			m.startPull(ctx, pullKey{address: contacts[rand.IntN(len(contacts))].Address, allMembers: troubled})
		}
	}
	m.publish()
	m.notifyWaiters()
	m.host.Tick()
}

// links lists whom to ask again and again; before any control daemon is known, the seeds in turn.
func (m *Membership) links(now clock.Mark) []string {
	links := m.tracker.Links(now)
	if seeds := m.seeds(); len(links) == 0 && len(seeds) > 0 {
		// A turn of its own: two of one count would pass by every other seed of an even number.
		m.nextLinkSeed++
		return []string{seeds[m.nextLinkSeed%len(seeds)]}
	}
	return links
}

// refreshSelf takes up what this daemon says of itself now.
func (m *Membership) refreshSelf() {
	described := m.host.DescribeSelf()
	row := recordOf(described)
	row.Version = m.self.Version
	if row.Version == 0 || row.Ready != m.self.Ready || !slices.Equal(row.Roles, m.self.Roles) || len(row.Steps) != len(m.self.Steps) ||
		len(row.Steps) > 0 && row.Steps[len(row.Steps)-1].UnixMs != m.self.Steps[len(m.self.Steps)-1].UnixMs {
		row.Version++
	}
	m.self = row
	m.tracker.memberList.SetSelf(m.clock.Elapsed(), row)
}

// pullKey is one question to one address.
type pullKey struct {
	address string
	// linked questions follow each other, and their answers are held back while nothing is new.
	linked bool
	// allMembers asks for all that is known of members, with ages.
	allMembers bool
	// onlyWithDemand is asked only if something waits here that the planner must hear of, beside any other question.
	onlyWithDemand bool
}

// startPull puts a question, if it is not being asked already.
func (m *Membership) startPull(ctx context.Context, q pullKey) {
	if q.address == m.address || q.address == "" || m.inFlight[q] {
		return
	}
	m.inFlight[q] = true
	now, daemons, planner := m.clock.Elapsed(), len(m.view.Load().Members), m.tracker.planner
	request := m.host.DescribeSelf()
	request.AttributesVersion, request.HasAttributes, request.AllMembers = m.self.Version, true, q.allMembers
	m.tracker.FillRequest(request, PullTarget{Address: q.address, Linked: q.linked})
	hold := time.Duration(0)
	if q.linked {
		switch {
		case !m.tracker.view.CaughtUp:
			// It is not ready before it has heard all there is, so nothing is held back.
		case m.servesControl:
			hold = min(m.pace.waitFor(daemons), controlMaxWait)
		default:
			hold = m.pace.waitFor(daemons)
		}
	}
	go func() {
		waits := q.address == planner && m.host.AddDemand(request, q.onlyWithDemand)
		if q.onlyWithDemand && !waits {
			m.mailbox.Send(pullCompleted{pullKey: q, skipped: true})
			return
		}
		if waits {
			hold = min(hold, m.pace.waitWithDemand(daemons))
		}
		if q.linked {
			request.MaxWaitMs, request.BatchDelayMs, request.IntervalMs = hold.Milliseconds(), batchDelayFor(daemons).Milliseconds(), max(hold, pullEvery).Milliseconds()
		}
		bounded, cancel := context.WithTimeout(ctx, hold+PullTimeout)
		defer cancel()
		reply, err := m.host.PullFrom(bounded, q.address, request)
		heard := m.clock.Elapsed()
		if err == nil {
			m.host.ApplyReply(reply)
		}
		m.mailbox.Send(pullCompleted{pullKey: q, sentAt: now, receivedAt: heard, maxWait: hold, reportsDemand: waits, reply: reply, err: err})
	}()
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

// allMembersWindow is how lately those must have been heard that are told of to one that has lost the control daemons.
const allMembersWindow = 5 * time.Second

func recordOf(request *peerapi.PullRequest) MemberRecord {
	return MemberRecord{Member: Member{NodeID: ident.NodeID(request.NodeId), Address: request.Address, Zone: ident.ZoneID(request.Zone), Roles: request.Roles,
		ConfigurationVersion: ident.Version(request.ConfigurationVersion), ClosureVersion: ident.Version(request.ClosureVersion), Ready: request.Ready, Steps: request.Steps}}
}

func encodeUpdates(told []MemberUpdate) []*peerapi.Member {
	out := make([]*peerapi.Member, 0, len(told))
	for _, one := range told {
		out = append(out, &peerapi.Member{NodeId: string(one.NodeID), Address: one.Address, Zone: string(one.Zone), Roles: one.Roles, LastContactMsAgo: one.Age.Milliseconds(),
			ConfigurationVersion: uint64(one.ConfigurationVersion), ClosureVersion: uint64(one.ClosureVersion), Ready: one.Ready, AttributesVersion: one.Version,
			Overdue: one.Overdue, Direct: one.FirstHand, Ended: one.Ended})
	}
	return out
}

func decodeUpdates(contacts []*peerapi.Member) []MemberUpdate {
	out := make([]MemberUpdate, 0, len(contacts))
	for _, contact := range contacts {
		out = append(out, MemberUpdate{MemberRecord: MemberRecord{Version: contact.AttributesVersion, Member: Member{NodeID: ident.NodeID(contact.NodeId), Address: contact.Address,
			Zone: ident.ZoneID(contact.Zone), Roles: contact.Roles, ConfigurationVersion: ident.Version(contact.ConfigurationVersion), ClosureVersion: ident.Version(contact.ClosureVersion),
			Ready: contact.Ready}},
			Age: time.Duration(contact.LastContactMsAgo) * time.Millisecond, Overdue: contact.Overdue, FirstHand: contact.Direct, Ended: contact.Ended})
	}
	return out
}

// predatesFirstRollout says whether a life that has lasted so long began before the first bundle was in force.
func predatesFirstRollout(firstRollAgo, lived time.Duration) bool {
	return firstRollAgo < 0 || firstRollAgo > 0 && firstRollAgo < lived
}

// publishChanges lets others know that the list of members changed.
func (m *Membership) publishChanges() {
	if changes := m.tracker.memberList.ChangeIndex(); changes != m.changeIndex.Load() {
		m.changeIndex.Store(changes)
		m.statusChangeIndex.Store(m.tracker.memberList.StatusChangeIndex())
		m.host.MembersChanged()
	}
}

// publish is the one place where the view is replaced.
func (m *Membership) publish() {
	now := m.clock.Elapsed()
	m.publishChanges()
	view := m.tracker.Refresh(now, m.localState())
	m.view.Store(&view)
}

// localState is what this daemon knows of itself now. The confirmation comes first: what it vouches for is then in force.
func (m *Membership) localState() LocalState {
	own := LocalState{ConfirmedAt: m.host.ConfirmedAsLeader(), IsLeader: m.host.IsLeader(), EnlistedAt: m.host.EnlistedAt(), IsPlanner: m.host.IsPlanner()}
	if own.IsLeader {
		own.FirstRolloutAge = m.host.FirstRolloutAge()
	}
	own.Configuration, own.Closure = m.host.InForce()
	return own
}

func (m *Membership) handleResult(now clock.Mark, e pullCompleted) {
	if e.err != nil {
		m.FailedPulls.Add(1)
	}
	var force InForce
	force.Configuration, force.Closure = m.host.InForce()
	question := PullTarget{Address: e.address, Linked: e.linked, MaxWait: e.maxWait}
	if turned := m.tracker.HandleResult(now, PullResult{PullTarget: question, SentAt: e.sentAt, ReceivedAt: e.receivedAt, Reply: e.reply, Err: e.err}, force); turned != nil {
		if turned.Stale {
			m.StaleSources.Add(1)
		}
		m.host.SourceFreshnessChanged(*turned)
	}
}

// replySlack is how much later than it was held back for an answer may come and still count as fresh.
const replySlack = 300 * time.Millisecond

func (m *Membership) notifyWaiters() {
	if len(m.waiters) == 0 {
		return
	}
	now := m.clock.Elapsed()
	fellows := m.tracker.memberList.Members()
	m.waiters = slices.DeleteFunc(m.waiters, func(w *rolloutWaiter) bool {
		asked := w.serving()
		for id, fellow := range fellows {
			if now.Since(fellow.LastContact) <= ContactWindow && !slices.Contains(asked, id) {
				asked = append(slices.Clip(asked), id)
			}
		}
		slices.Sort(asked)
		var reach RolloutReach
		for _, node := range asked {
			// Epochs only rise, so an old word that it has them still holds.
			if fellow, known := fellows[node]; known && fellow.ConfigurationVersion >= w.configuration && fellow.ClosureVersion >= w.closure {
				reach.Applied = append(reach.Applied, node)
			} else {
				reach.Missing = append(reach.Missing, node)
			}
		}
		reach.Complete = len(reach.Missing) == 0
		if !reach.Complete && now < w.deadline {
			return false
		}
		w.done <- reach
		return true
	})
}

// Ready says whether this daemon may take new work, and if not, why.
func (m *Membership) Ready() (bool, string) {
	view, now := m.view.Load(), m.clock.Elapsed()
	var force InForce
	force.Configuration, force.Closure = m.host.InForce()
	why := view.NotReadyReason(now, force)
	return why == "", why
}

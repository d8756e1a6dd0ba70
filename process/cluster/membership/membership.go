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
	// aloneAfter is how long a daemon that hears nobody goes on calling itself ready.
	aloneAfter  = 2500 * time.Millisecond
	forgetAfter = 60 * time.Second
)

// Fellow is another daemon, or this one, as last heard.
type Fellow struct {
	NodeID  ident.NodeID
	Address string
	Zone    ident.ZoneID
	Serve   []string
	Heard   clock.Mark
	// Met is when this life was first heard of here, if that was after the view's own beginning.
	Met          clock.Mark
	SpecEpoch    ident.Version
	ClosureEpoch ident.Version
	Ready        bool
	Steps        []*peerapi.RolloutStep
}

// Serves says whether the fellow has a role.
func (f Fellow) Serves(role string) bool { return slices.Contains(f.Serve, role) }

// View is what is known of the fleet of daemons at one moment; it is never changed.
type View struct {
	Fellows map[ident.NodeID]Fellow
	// LeaderAddress is where the group's leader was last known to be.
	LeaderAddress string
	// TellerAddress is whom a daemon that only routes asks for all that is new.
	TellerAddress string
	// LeaderTerm is the newest term in which a leader was heard of. Unreached is the term of one that could
	// not be reached: hearsay of it counts for nothing, or stale words of it would go round among daemons.
	LeaderTerm, Unreached uint64
	Group                 ident.GroupID
	// HeardLeader and HeardAny are when a pull was last answered.
	HeardLeader, HeardAny clock.Mark
	// NewestSpec and NewestClosure are the highest epochs anyone told of.
	NewestSpec, NewestClosure ident.Version
	// Settled says that this daemon has made sure that what it has is not old.
	Settled bool
	// BeforeAll says that this life began before any bundle was in force, so nothing can have run before it.
	BeforeAll bool
	Started   clock.Mark
	// PlannerAddress is where whoever plans is, as far as is known.
	PlannerAddress string
	// Confirmed is up to when a majority has confirmed that what is in force here is all that was acknowledged; zero
	// is never.
	Confirmed clock.Mark
}

// InContact lists the fellows heard within the window.
func (v *View) InContact(now clock.Mark, window time.Duration) []Fellow {
	var out []Fellow
	for _, fellow := range v.Fellows {
		if now.Since(fellow.Heard) <= window {
			out = append(out, fellow)
		}
	}
	slices.SortFunc(out, func(a, b Fellow) int {
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

// Fleet is what the actor needs of its daemon.
type Fleet interface {
	// Describe is what this daemon says of itself, and what it has in force.
	Describe() *peerapi.PullRequest
	// Wants adds what this daemon holds and asks for, for whoever plans, if that is asked for or something waits;
	// it says whether anything does.
	Wants(request *peerapi.PullRequest, onlyWaiting bool) bool
	// InForce is what this daemon has in force.
	InForce() (spec, closure ident.Version)
	// Learn takes over what a reply brought, and returns when it is in force.
	Learn(reply *peerapi.PullReply)
	// PullFrom asks another daemon.
	PullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error)
	// Leads says whether this daemon leads the group.
	Leads() bool
	// FirstRollAgo is, where this daemon leads, how long any bundle has been in force; negative while none was, zero if it can't tell.
	FirstRollAgo() time.Duration
	// EnlistedAt is when the group wrote this life down as one that may be serving; zero before.
	EnlistedAt() clock.Mark
	// Plans says whether this daemon plans.
	Plans() bool
	// ConfirmedAsLeader is, where this daemon leads, up to when a majority has confirmed that, for what is in force
	// here; zero elsewhere.
	ConfirmedAsLeader() clock.Mark
	// SourceTurned is called when a source of news came to be stale, or is so no more.
	SourceTurned(Turned)
	// News is called when the list of members changed, so that those whose answers are held back hear of it.
	News()
	// Beat is called with each beat.
	Beat()
}

// Pace is how often daemons ask each other again.
type Pace struct {
	// Least and Most bound how long an answer is held back while nothing is new; between them it grows with the
	// fleet, so that what a leader has to answer does not.
	Least, Most time.Duration
}

// holdFor is how long an answer is held back in a fleet of a size.
func (p Pace) holdFor(daemons int) time.Duration {
	return min(max(p.Least, time.Duration(daemons)*2500*time.Microsecond), p.Most)
}

// busyHold is the same where the asker has something to tell the planner.
func (p Pace) busyHold(daemons int) time.Duration {
	return min(max(pullEvery, time.Duration(daemons)*2500*time.Microsecond), p.Most)
}

// gapFor is how long what is new and not urgent may wait for more of its kind.
func gapFor(daemons int) time.Duration {
	return min(max(50*time.Millisecond, time.Duration(daemons)*800*time.Microsecond), 300*time.Millisecond)
}

// controlHold is how long control daemons hold back answers to each other: they tell each other of beats.
const controlHold = 250 * time.Millisecond

// Membership is the actor.
type Membership struct {
	clock   clock.Clock
	fleet   Fleet
	seeds   func() []string
	self    string
	pace    Pace
	box     *actor.Mailbox[any]
	tracker *Tracker
	view    atomic.Pointer[View]
	changes atomic.Uint64
	solid   atomic.Uint64
	asking  map[question]bool
	// waited says that the last question to the planner told of something that waits here.
	waited  bool
	waiters []*waiter
	// seedTurn and linkTurn count the seeds asked, now and then and in place of links.
	seedTurn int
	linkTurn int
	beats    int
	row      Row
	control  bool
	Pulls    atomic.Uint64
	Failed   atomic.Uint64
	// StaleSources counts how often a source of news was left because no majority had confirmed it lately.
	StaleSources atomic.Uint64
}

type (
	pulled struct {
		question
		asked, heard clock.Mark
		hold         time.Duration
		// waits says that it told of something that waits here; skipped, that there was nothing to ask.
		waits, skipped bool
		reply          *peerapi.PullReply
		err            error
	}
	served struct {
		request *peerapi.PullRequest
		known   chan uint64
	}
	telling struct {
		request *peerapi.PullRequest
		told    chan *peerapi.PullReply
	}
	waiter struct {
		spec, closure ident.Version
		until         clock.Mark
		serving       func() []ident.NodeID
		done          chan Reach
	}
)

// Reach says who has a change in force, and who may be serving or was in contact and has not. All
// says that nobody lacked it.
type Reach struct {
	Have, Lack []ident.NodeID
	All        bool
}

// New makes the actor; self is this daemon's own fellow address.
func New(c clock.Clock, fleet Fleet, seeds func() []string, self string, pace Pace) *Membership {
	m := &Membership{clock: c, fleet: fleet, seeds: seeds, self: self, pace: pace, box: actor.NewMailbox[any](512), asking: map[question]bool{}}
	m.view.Store(&View{Fellows: map[ident.NodeID]Fellow{}, Started: c.Elapsed()})
	return m
}

// View gives the newest view.
func (m *Membership) View() *View { return m.view.Load() }

// ZoneOf is where a daemon stands; empty where that is not known yet.
func (m *Membership) ZoneOf(node ident.NodeID) ident.ZoneID { return m.view.Load().Fellows[node].Zone }

// Changes numbers the newest change of the list of members.
func (m *Membership) Changes() uint64 { return m.changes.Load() }

// Solid numbers the newest that is of more than what daemons have in force.
func (m *Membership) Solid() uint64 { return m.solid.Load() }

// Run runs the actor.
func (m *Membership) Run(ctx context.Context) {
	described := m.fleet.Describe()
	m.control = slices.Contains(described.Roles, controlRole)
	m.tracker = NewTracker(m.view.Load().Started, ident.NodeID(described.NodeId), m.self, m.control)
	m.box.Run(ctx, pullEvery, func(event any) { m.take(ctx, event) }, func() { m.beat(ctx) })
}

// Served notes a fellow's question, and gives the version of its row that is known here.
func (m *Membership) Served(request *peerapi.PullRequest) uint64 {
	event := served{request, make(chan uint64, 1)}
	if !m.box.Send(event) {
		return 0
	}
	select {
	case known := <-event.known:
		return known
	case <-m.box.Done():
		return 0
	}
}

// Tell puts into a reply what the asker lacks of the list of members.
func (m *Membership) Tell(request *peerapi.PullRequest, reply *peerapi.PullReply) {
	if !request.AllMembers && request.IntervalMs == 0 {
		return
	}
	event := telling{request, make(chan *peerapi.PullReply, 1)}
	if !m.box.Send(event) {
		return
	}
	select {
	case told := <-event.told:
		reply.Members, reply.AllMembers = told.Members, told.AllMembers
		reply.MembersIncarnation, reply.MembersSeen, reply.MembersFullResync = told.MembersIncarnation, told.MembersSeen, told.MembersFullResync
	case <-m.box.Done():
	}
}

// AwaitReach waits until every daemon that may be serving, and every one in contact, has the epochs in
// force, or until within has passed.
func (m *Membership) AwaitReach(ctx context.Context, spec, closure ident.Version, within time.Duration, serving func() []ident.NodeID) Reach {
	w := &waiter{spec: spec, closure: closure, until: m.clock.Elapsed() + clock.Mark(within), serving: serving, done: make(chan Reach, 1)}
	if !m.box.Send(w) {
		return Reach{}
	}
	select {
	case reach := <-w.done:
		return reach
	case <-ctx.Done():
	case <-m.box.Done():
	}
	return Reach{}
}

const (
	// probeBeats is how many beats pass between questions to a seed and to any daemon, so that a split that
	// healed is noticed from either side.
	probeBeats = 10
	// lostControl is how long no control daemon must have answered for all to be asked for all they know.
	lostControl = 1500 * time.Millisecond
	// soonest is how soon after a question the next may follow at once.
	soonest = 50 * time.Millisecond
)

func (m *Membership) beat(ctx context.Context) {
	m.describe()
	now := m.clock.Elapsed()
	forgetBefore := now - clock.Mark(forgetAfter)
	if now.Since(m.tracker.view.HeardLeader) > ContactWindow {
		// Out of the leader's sight nobody is forgotten: those who fell silent may be on the other side of a split.
		forgetBefore = 0
	}
	m.tracker.members.Sweep(now, forgetBefore)
	for _, address := range m.links(now) {
		m.ask(ctx, question{address: address, linked: true})
	}
	if !m.waited {
		// The answer to the last question may be held back for long; what has come to wait since must be heard of sooner.
		m.ask(ctx, question{address: m.tracker.planner, pressing: true})
	}
	troubled := m.tracker.Lost(now)
	if m.beats++; troubled || m.tracker.Members().Unconfirmed(now) || m.beats%probeBeats == 0 {
		if seeds := m.seeds(); len(seeds) > 0 {
			m.ask(ctx, question{address: seeds[m.seedTurn%len(seeds)], everyone: troubled})
			m.seedTurn++
		}
		if contacts := m.view.Load().InContact(now, 10*time.Second); len(contacts) > 0 {
			m.ask(ctx, question{address: contacts[rand.IntN(len(contacts))].Address, everyone: troubled})
		}
	}
	m.publish()
	m.tellWaiters()
	m.fleet.Beat()
}

// links lists whom to ask again and again; before any control daemon is known, the seeds in turn.
func (m *Membership) links(now clock.Mark) []string {
	links := m.tracker.Links(now)
	if seeds := m.seeds(); len(links) == 0 && len(seeds) > 0 {
		// A turn of its own: two of one count would pass by every other seed of an even number.
		m.linkTurn++
		return []string{seeds[m.linkTurn%len(seeds)]}
	}
	return links
}

// describe takes up what this daemon says of itself now.
func (m *Membership) describe() {
	described := m.fleet.Describe()
	row := rowOf(described)
	row.Version = m.row.Version
	if row.Version == 0 || row.Ready != m.row.Ready || !slices.Equal(row.Serve, m.row.Serve) || len(row.Steps) != len(m.row.Steps) ||
		len(row.Steps) > 0 && row.Steps[len(row.Steps)-1].UnixMs != m.row.Steps[len(m.row.Steps)-1].UnixMs {
		row.Version++
	}
	m.row = row
	m.tracker.members.Describe(m.clock.Elapsed(), row)
}

// question is one question to one address.
type question struct {
	address string
	// linked questions follow each other, and their answers are held back while nothing is new.
	linked bool
	// everyone asks for all that is known of members, with ages.
	everyone bool
	// pressing is asked only if something waits here that the planner must hear of, beside any other question.
	pressing bool
}

// ask puts a question, if it is not being asked already.
func (m *Membership) ask(ctx context.Context, q question) {
	if q.address == m.self || q.address == "" || m.asking[q] {
		return
	}
	m.asking[q] = true
	now, daemons, planner := m.clock.Elapsed(), len(m.view.Load().Fellows), m.tracker.planner
	request := m.fleet.Describe()
	request.AttributesVersion, request.HasAttributes, request.AllMembers = m.row.Version, true, q.everyone
	m.tracker.Fill(request, Question{Address: q.address, Linked: q.linked})
	hold := time.Duration(0)
	if q.linked {
		switch {
		case !m.tracker.view.Settled:
			// It is not ready before it has heard all there is, so nothing is held back.
		case m.control:
			hold = min(m.pace.holdFor(daemons), controlHold)
		default:
			hold = m.pace.holdFor(daemons)
		}
	}
	go func() {
		waits := q.address == planner && m.fleet.Wants(request, q.pressing)
		if q.pressing && !waits {
			m.box.Send(pulled{question: q, skipped: true})
			return
		}
		if waits {
			hold = min(hold, m.pace.busyHold(daemons))
		}
		if q.linked {
			request.MaxWaitMs, request.BatchDelayMs, request.IntervalMs = hold.Milliseconds(), gapFor(daemons).Milliseconds(), max(hold, pullEvery).Milliseconds()
		}
		bounded, cancel := context.WithTimeout(ctx, hold+PullTimeout)
		defer cancel()
		reply, err := m.fleet.PullFrom(bounded, q.address, request)
		heard := m.clock.Elapsed()
		if err == nil {
			m.fleet.Learn(reply)
		}
		m.box.Send(pulled{question: q, asked: now, heard: heard, hold: hold, waits: waits, reply: reply, err: err})
	}()
}

func (m *Membership) take(ctx context.Context, event any) {
	now := m.clock.Elapsed()
	switch e := event.(type) {
	case pulled:
		delete(m.asking, e.question)
		if e.skipped {
			return
		}
		if e.address == m.tracker.planner {
			m.waited = e.waits
		}
		m.Pulls.Add(1)
		m.takeReply(now, e)
		m.publish()
		m.tellWaiters()
		// One that answered is asked on at once; one that did not, or had nothing to hold back for, with the next beat.
		if e.err == nil && e.linked && e.hold > 0 && now.Since(e.asked) >= soonest && slices.Contains(m.tracker.Links(now), e.address) {
			m.ask(ctx, e.question)
		}
	case served:
		e.known <- m.tracker.Hear(now, e.request)
		m.noteChanges()
		if len(m.waiters) > 0 {
			m.tellWaiters()
		}
	case telling:
		e.told <- m.tracker.Tell(now, e.request)
	case *waiter:
		m.waiters = append(m.waiters, e)
		m.tellWaiters()
	}
}

// everyoneWindow is how lately those must have been heard that are told of to one that has lost the control daemons.
const everyoneWindow = 5 * time.Second

func rowOf(request *peerapi.PullRequest) Row {
	return Row{Fellow: Fellow{NodeID: ident.NodeID(request.NodeId), Address: request.Address, Zone: ident.ZoneID(request.Zone), Serve: request.Roles,
		SpecEpoch: ident.Version(request.ConfigurationVersion), ClosureEpoch: ident.Version(request.ClosureVersion), Ready: request.Ready, Steps: request.Steps}}
}

func encodeTold(told []Told) []*peerapi.Member {
	out := make([]*peerapi.Member, 0, len(told))
	for _, one := range told {
		out = append(out, &peerapi.Member{NodeId: string(one.NodeID), Address: one.Address, Zone: string(one.Zone), Roles: one.Serve, LastContactMsAgo: one.Age.Milliseconds(),
			ConfigurationVersion: uint64(one.SpecEpoch), ClosureVersion: uint64(one.ClosureEpoch), Ready: one.Ready, AttributesVersion: one.Version,
			Overdue: one.Late, Direct: one.Direct, Ended: one.Ended})
	}
	return out
}

func decodeTold(contacts []*peerapi.Member) []Told {
	out := make([]Told, 0, len(contacts))
	for _, contact := range contacts {
		out = append(out, Told{Row: Row{Version: contact.AttributesVersion, Fellow: Fellow{NodeID: ident.NodeID(contact.NodeId), Address: contact.Address,
			Zone: ident.ZoneID(contact.Zone), Serve: contact.Roles, SpecEpoch: ident.Version(contact.ConfigurationVersion), ClosureEpoch: ident.Version(contact.ClosureVersion),
			Ready: contact.Ready}},
			Age: time.Duration(contact.LastContactMsAgo) * time.Millisecond, Late: contact.Overdue, Direct: contact.Direct, Ended: contact.Ended})
	}
	return out
}

// beforeAll says whether a life that has lasted so long began before the first bundle was in force.
func beforeAll(firstRollAgo, lived time.Duration) bool {
	return firstRollAgo < 0 || firstRollAgo > 0 && firstRollAgo < lived
}

// noteChanges lets others know that the list of members changed.
func (m *Membership) noteChanges() {
	if changes := m.tracker.members.Changes(); changes != m.changes.Load() {
		m.changes.Store(changes)
		m.solid.Store(m.tracker.members.Solid())
		m.fleet.News()
	}
}

// publish is the one place where the view is replaced.
func (m *Membership) publish() {
	now := m.clock.Elapsed()
	m.noteChanges()
	view := m.tracker.Refresh(now, m.own())
	m.view.Store(&view)
}

// own is what this daemon knows of itself now. The confirmation comes first: what it vouches for is then in force.
func (m *Membership) own() Own {
	own := Own{Confirmed: m.fleet.ConfirmedAsLeader(), Leads: m.fleet.Leads(), Enlisted: m.fleet.EnlistedAt(), Plans: m.fleet.Plans()}
	if own.Leads {
		own.FirstRollAgo = m.fleet.FirstRollAgo()
	}
	own.Spec, own.Closure = m.fleet.InForce()
	return own
}

func (m *Membership) takeReply(now clock.Mark, e pulled) {
	if e.err != nil {
		m.Failed.Add(1)
	}
	var force InForce
	force.Spec, force.Closure = m.fleet.InForce()
	question := Question{Address: e.address, Linked: e.linked, Hold: e.hold}
	if turned := m.tracker.Take(now, Answer{Question: question, Asked: e.asked, Heard: e.heard, Reply: e.reply, Err: e.err}, force); turned != nil {
		if turned.Stale {
			m.StaleSources.Add(1)
		}
		m.fleet.SourceTurned(*turned)
	}
}

// answerSlack is how much later than it was held back for an answer may come and still count as fresh.
const answerSlack = 300 * time.Millisecond

func (m *Membership) tellWaiters() {
	if len(m.waiters) == 0 {
		return
	}
	now := m.clock.Elapsed()
	fellows := m.tracker.members.Fellows()
	m.waiters = slices.DeleteFunc(m.waiters, func(w *waiter) bool {
		asked := w.serving()
		for id, fellow := range fellows {
			if now.Since(fellow.Heard) <= ContactWindow && !slices.Contains(asked, id) {
				asked = append(slices.Clip(asked), id)
			}
		}
		slices.Sort(asked)
		var reach Reach
		for _, node := range asked {
			// Epochs only rise, so an old word that it has them still holds.
			if fellow, known := fellows[node]; known && fellow.SpecEpoch >= w.spec && fellow.ClosureEpoch >= w.closure {
				reach.Have = append(reach.Have, node)
			} else {
				reach.Lack = append(reach.Lack, node)
			}
		}
		reach.All = len(reach.Lack) == 0
		if !reach.All && now < w.until {
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
	force.Spec, force.Closure = m.fleet.InForce()
	why := view.Unready(now, force)
	return why == "", why
}

// Package membership is how daemons find each other and keep in touch: every daemon pulls from the
// leader and from fellows, tells what it has in force, and so learns what is newer and who lives.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/process/actor"
	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/wire/fellowapi"
)

const (
	pullEvery = 150 * time.Millisecond
	// PullTimeout bounds one pull.
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
	SpecEpoch    ident.Epoch
	ClosureEpoch ident.Epoch
	Ready        bool
	Steps        []*fellowapi.Step
}

// Serves says whether the fellow has a role.
func (f Fellow) Serves(role string) bool { return slices.Contains(f.Serve, role) }

// View is what is known of the fleet of daemons at one moment; it is never changed.
type View struct {
	Fellows map[ident.NodeID]Fellow
	// LeaderAddress is where the group's leader was last known to be.
	LeaderAddress string
	// LeaderTerm is the newest term in which a leader was heard of. Unreached is the term of one that could
	// not be reached: hearsay of it counts for nothing, or stale words of it would go round among daemons.
	LeaderTerm, Unreached uint64
	Group                 ident.GroupID
	// HeardLeader and HeardAny are when a pull was last answered.
	HeardLeader, HeardAny clock.Mark
	// NewestSpec and NewestClosure are the highest epochs anyone told of.
	NewestSpec, NewestClosure ident.Epoch
	// Settled says that this daemon has made sure that what it has is not old.
	Settled bool
	// BeforeAll says that this life began before any bundle was in force, so nothing can have run before it.
	BeforeAll bool
	Started   clock.Mark
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
	// Describe is this daemon's own row and what it wants said in a pull.
	Describe() *fellowapi.PullRequest
	// InForce is what this daemon has in force.
	InForce() (spec, closure ident.Epoch)
	// Learn takes over what a reply brought, and returns when it is in force.
	Learn(reply *fellowapi.PullReply)
	// PullFrom asks another daemon.
	PullFrom(ctx context.Context, address string, request *fellowapi.PullRequest) (*fellowapi.PullReply, error)
	// Leads says whether this daemon leads the group.
	Leads() bool
	// FirstRollAgo is, where this daemon leads, how long any bundle has been in force; negative while none was, zero if it can't tell.
	FirstRollAgo() time.Duration
	// EnlistedAt is when the group wrote this life down as one that may be serving; zero before.
	EnlistedAt() clock.Mark
	// Plans says whether this daemon plans, and so must hear from all.
	Plans() bool
}

// Membership is the actor.
type Membership struct {
	clock    clock.Clock
	fleet    Fleet
	seeds    func() []string
	self     string
	box      *actor.Mailbox[any]
	view     atomic.Pointer[View]
	asking   map[string]bool
	waiters  []*waiter
	seedTurn int
	Pulls    atomic.Uint64
	Failed   atomic.Uint64
}

type (
	pulled struct {
		address string
		asked   clock.Mark
		reply   *fellowapi.PullReply
		err     error
	}
	served struct{ request *fellowapi.PullRequest }
	waiter struct {
		spec, closure ident.Epoch
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
func New(c clock.Clock, fleet Fleet, seeds func() []string, self string) *Membership {
	m := &Membership{clock: c, fleet: fleet, seeds: seeds, self: self, box: actor.NewMailbox[any](512), asking: map[string]bool{}}
	m.view.Store(&View{Fellows: map[ident.NodeID]Fellow{}, Started: c.Elapsed()})
	return m
}

// View gives the newest view.
func (m *Membership) View() *View { return m.view.Load() }

// Run runs the actor.
func (m *Membership) Run(ctx context.Context) {
	m.box.Run(ctx, pullEvery, m.take, func() { m.beat(ctx) })
}

// Served notes a fellow's pull.
func (m *Membership) Served(request *fellowapi.PullRequest) { m.box.Offer(served{request}) }

// AwaitReach waits until every daemon that may be serving, and every one in contact, has the epochs in
// force, or until within has passed.
func (m *Membership) AwaitReach(ctx context.Context, spec, closure ident.Epoch, within time.Duration, serving func() []ident.NodeID) Reach {
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

func (m *Membership) beat(ctx context.Context) {
	view := m.view.Load()
	targets := map[string]bool{}
	if view.LeaderAddress != "" {
		targets[view.LeaderAddress] = true
	}
	contacts := view.InContact(m.clock.Elapsed(), 10*time.Second)
	if m.fleet.Plans() {
		for _, contact := range contacts {
			targets[contact.Address] = true
		}
	} else if len(contacts) > 0 {
		targets[contacts[rand.IntN(len(contacts))].Address] = true
	}
	for _, address := range controlToAsk(contacts, m.self, view.LeaderAddress) {
		targets[address] = true
	}
	// A seed a beat, in turn, so that a split that healed is noticed from either side.
	seeds := m.seeds()
	targets[seeds[m.seedTurn%len(seeds)]] = true
	m.seedTurn++
	for address := range targets {
		if address == m.self || address == "" || m.asking[address] {
			continue
		}
		m.asking[address] = true
		request, asked := m.fleet.Describe(), m.clock.Elapsed()
		go func() {
			bounded, cancel := context.WithTimeout(ctx, PullTimeout)
			defer cancel()
			reply, err := m.fleet.PullFrom(bounded, address, request)
			if err == nil {
				m.fleet.Learn(reply)
			}
			m.box.Send(pulled{address, asked, reply, err})
		}()
	}
	m.note(m.fleet.Describe())
	m.update(func(next *View, now clock.Mark) {
		// Out of the leader's sight nobody is forgotten: those who fell silent may be on the other side of a split.
		if now.Since(next.HeardLeader) > ContactWindow {
			return
		}
		for id, fellow := range next.Fellows {
			if now.Since(fellow.Heard) > forgetAfter {
				delete(next.Fellows, id)
			}
		}
	})
}

// controlToAsk lists the daemons serving control to ask besides the leader: one that serves it too asks them
// all, since only together they know which engines are silent; any other asks one, so that news reaches it
// while the leader is frozen or cut off.
func controlToAsk(contacts []Fellow, self, leader string) []string {
	serves := false
	var others []string
	for _, contact := range contacts {
		switch {
		case !contact.Serves(controlRole):
		case contact.Address == self:
			serves = true
		case contact.Address != leader:
			others = append(others, contact.Address)
		}
	}
	if serves || len(others) == 0 {
		return others
	}
	return []string{others[rand.IntN(len(others))]}
}

// controlRole is the role of the group's members.
const controlRole = "control"

func (m *Membership) take(event any) {
	switch e := event.(type) {
	case pulled:
		delete(m.asking, e.address)
		m.Pulls.Add(1)
		m.takeReply(e)
	case served:
		m.note(e.request)
	case *waiter:
		m.waiters = append(m.waiters, e)
	}
	m.tellWaiters()
}

// beforeAll says whether a life that has lasted so long began before the first bundle was in force.
func beforeAll(firstRollAgo, lived time.Duration) bool {
	return firstRollAgo < 0 || firstRollAgo > 0 && firstRollAgo < lived
}

// update is the one place where the view is replaced.
func (m *Membership) update(change func(next *View, now clock.Mark)) {
	now := m.clock.Elapsed()
	next := *m.view.Load()
	fellows := make(map[ident.NodeID]Fellow, len(next.Fellows)+1)
	for id, fellow := range next.Fellows {
		fellows[id] = fellow
	}
	next.Fellows = fellows
	change(&next, now)
	ownSpec, ownClosure := m.fleet.InForce()
	if m.fleet.Leads() {
		next.LeaderAddress, next.HeardLeader, next.HeardAny = m.self, now, now
		next.BeforeAll = next.BeforeAll || beforeAll(m.fleet.FirstRollAgo(), now.Since(next.Started))
	}
	if !next.Settled {
		current := next.NewestSpec <= ownSpec && next.NewestClosure <= ownClosure && ownSpec > 0
		// Only the leader's word counts, and only from after the group knew that this life may be serving:
		// what is acknowledged later waits for it, and what was acknowledged before the leader had.
		enlisted := m.fleet.EnlistedAt()
		next.Settled = current && enlisted > 0 && next.HeardLeader > enlisted
	}
	m.view.Store(&next)
	m.tellWaiters()
}

// note takes a daemon's own word on itself.
func (m *Membership) note(request *fellowapi.PullRequest) {
	m.update(func(next *View, now clock.Mark) {
		fellow := Fellow{
			NodeID: ident.NodeID(request.NodeId), Address: request.Address, Zone: ident.ZoneID(request.Zone), Serve: request.Serve,
			Heard: now, SpecEpoch: ident.Epoch(request.SpecEpoch), ClosureEpoch: ident.Epoch(request.ClosureEpoch),
			Ready: request.Ready, Steps: request.Steps,
		}
		next.meet(fellow)
	})
}

// meet takes a fellow into the view. Of two lives with one name or one address the one heard later is the one that lives.
func (v *View) meet(fellow Fellow) {
	for id, other := range v.Fellows {
		if id == fellow.NodeID || other.Address != fellow.Address && id.Name() != fellow.NodeID.Name() {
			continue
		}
		if other.Heard > fellow.Heard {
			return
		}
		delete(v.Fellows, id)
		// It follows another life, so what that one knew is gone.
		fellow.Met = fellow.Heard
	}
	if known, again := v.Fellows[fellow.NodeID]; again {
		fellow.Met = known.Met
	}
	v.Fellows[fellow.NodeID] = fellow
}

func (m *Membership) takeReply(e pulled) {
	if e.err != nil {
		m.Failed.Add(1)
		m.update(func(next *View, _ clock.Mark) {
			if next.LeaderAddress == e.address {
				next.LeaderAddress, next.Unreached = "", next.LeaderTerm
			}
		})
		return
	}
	m.update(func(next *View, now clock.Mark) {
		// A reply may have waited in a frozen machine's buffers: it vouches for the moment it was asked for.
		next.HeardAny = max(next.HeardAny, e.asked)
		if group := ident.GroupID(e.reply.Group); group != "" {
			if group != next.Group {
				// Another generation counts its terms anew.
				next.LeaderTerm, next.Unreached = 0, 0
			}
			next.Group = group
		}
		switch {
		case e.reply.IsLeader && e.reply.LeaderTerm < next.LeaderTerm:
			// One that was followed by another and has not noticed yet.
		case e.reply.IsLeader:
			next.HeardLeader, next.LeaderAddress, next.LeaderTerm = max(next.HeardLeader, e.asked), e.address, e.reply.LeaderTerm
			next.BeforeAll = next.BeforeAll || beforeAll(time.Duration(e.reply.FirstRollMsAgo)*time.Millisecond, e.asked.Since(next.Started))
		case e.reply.LeaderAddress != "" && (e.reply.LeaderTerm > max(next.LeaderTerm, next.Unreached) ||
			next.LeaderAddress == "" && e.reply.LeaderTerm == next.LeaderTerm && next.Unreached < next.LeaderTerm || e.reply.LeaderTerm == 0):
			next.LeaderAddress, next.LeaderTerm = e.reply.LeaderAddress, max(next.LeaderTerm, e.reply.LeaderTerm)
		}
		next.NewestSpec = max(next.NewestSpec, ident.Epoch(e.reply.SpecEpoch))
		next.NewestClosure = max(next.NewestClosure, ident.Epoch(e.reply.ClosureEpoch))
		for _, contact := range e.reply.Contacts {
			id := ident.NodeID(contact.NodeId)
			heard := now - clock.Mark(time.Duration(contact.HeardMsAgo)*time.Millisecond)
			if known, ok := next.Fellows[id]; ok && known.Heard >= heard || id == "" || heard < 0 {
				continue
			}
			next.meet(Fellow{
				NodeID: id, Address: contact.Address, Zone: ident.ZoneID(contact.Zone), Serve: contact.Serve, Heard: heard,
				SpecEpoch: ident.Epoch(contact.SpecEpoch), ClosureEpoch: ident.Epoch(contact.ClosureEpoch), Ready: contact.Ready, Steps: contact.Steps,
			})
		}
	})
}

func (m *Membership) tellWaiters() {
	now := m.clock.Elapsed()
	view := m.view.Load()
	m.waiters = slices.DeleteFunc(m.waiters, func(w *waiter) bool {
		asked := w.serving()
		for _, fellow := range view.InContact(now, ContactWindow) {
			if !slices.Contains(asked, fellow.NodeID) {
				asked = append(slices.Clip(asked), fellow.NodeID)
			}
		}
		var reach Reach
		for _, node := range asked {
			// Epochs only rise, so an old word that it has them still holds.
			if fellow, known := view.Fellows[node]; known && fellow.SpecEpoch >= w.spec && fellow.ClosureEpoch >= w.closure {
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
	ownSpec, ownClosure := m.fleet.InForce()
	switch {
	case ownSpec == 0:
		return false, "no spec is in force here yet"
	case !view.Settled:
		return false, "it is not yet sure that the spec here is the newest"
	case view.NewestSpec > ownSpec || view.NewestClosure > ownClosure:
		return false, "a newer spec or closure is known and not yet in force here"
	case now.Since(view.HeardAny) > aloneAfter:
		return false, "neither the leader nor any fellow has been heard lately"
	}
	return true, ""
}

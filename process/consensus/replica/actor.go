package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Disk is where a member keeps its state; a write returns when it is synced.
type Disk interface {
	Write(group ident.GroupID, save raft.Save) error
}

// Links carries raft messages to other members; it may lose them, and must not block.
type Links interface {
	Send(group ident.GroupID, member raft.Member, messages []raft.Message)
}

// Tick is how often the core's clock beats.
const Tick = 50 * time.Millisecond

// stallAfter is how long a write may take before this member counts its disk as stalled.
const stallAfter = 700 * time.Millisecond

// Condition is what others may know of this member, read without asking the actor.
type Condition struct {
	Group   ident.GroupID
	Role    raft.Role
	Term    raft.Term
	Leads   bool
	Leader  raft.Member
	Members raft.Membership
	Commit  raft.Index
	Stalled bool
	Now     ident.GroupTime
	// FirstRollAgo is how long any bundle has been in force by the state applied so far; negative while none was.
	FirstRollAgo time.Duration
	// Serving lists the daemons that may be serving, by the state applied so far.
	Serving []ident.NodeID
	// Claim is the planner's claim by the state applied so far.
	Claim statemachine.PlannerLease
	// ConfirmedUntil is, where this member leads, up to when a majority has confirmed that; Spec and Closures are what
	// is committed by the state applied so far.
	ConfirmedUntil clock.Mark
	Spec, Closures ident.Version
	// Applied is how far the state is, Digest its newest digest.
	Applied raft.Index
	Digest  raft.StateDigest
	// Differing lists, at a leader, the members whose state differed from a majority's when last compared.
	Differing []raft.MemberID
}

// Counters count what an operator may want to know of a member.
type Counters struct {
	SnapshotsSent, SnapshotsTaken, SnapshotsRefused, MessagesRefused, StatesDiffer atomic.Uint64
}

// of gives the counter of one kind of notice.
func (c *Counters) of(kind raft.NoticeKind) *atomic.Uint64 {
	switch kind {
	case raft.NoticeSnapshotSent:
		return &c.SnapshotsSent
	case raft.NoticeSnapshotTaken:
		return &c.SnapshotsTaken
	case raft.NoticeSnapshotRefused:
		return &c.SnapshotsRefused
	case raft.NoticeStateDiffers:
		return &c.StatesDiffer
	default:
		return &c.MessagesRefused
	}
}

// Replica is the actor around a core.
type Replica struct {
	self    raft.Member
	core    *Core
	clock   clock.Clock
	disk    Disk
	links   Links
	changed func(*statemachine.State)
	turned  func(before, after Condition)
	noticed func(raft.Notice)
	fatal   func(error)
	box     *actor.Mailbox[any]

	group     ident.GroupID
	condition atomic.Pointer[Condition]
	// Refused counts batches of other groups, for other members, or before a group is known.
	Refused atomic.Uint64
	// Counters count notices, by their kinds.
	Counters *Counters

	refs    uint64
	waiting map[uint64]func(Answer)

	writes      chan write
	outstanding []clock.Mark
	stalled     bool
	// failed says that a write failed, after which this member says nothing any more.
	failed bool
	// beaten is when the last beat came.
	beaten  clock.Mark
	joins   map[raft.MemberID]raft.Member
	heardAt map[raft.MemberID]string
}

type write struct {
	group ident.GroupID
	save  *raft.Save
	later []raft.Message
}

type (
	received struct {
		group    ident.GroupID
		address  string
		messages []raft.Message
	}
	written struct {
		write write
		err   error
	}
	submitted struct {
		command statemachine.Command
		answer  func(Answer)
	}
	readAsked struct{ answer func(Answer) }
	handOver  struct{}
	joinAsked struct{ member raft.Member }
	leaveSaid struct {
		member raft.MemberID
		// held is told whether a majority holds all that is committed without this member.
		held chan bool
	}
)

// Option sets one thing of a replica.
type Option func(*Replica)

// WithChanged calls back, on the actor, when the spec in force, the closures or the engines that left changed. The state may not be kept.
func WithChanged(changed func(*statemachine.State)) Option {
	return func(r *Replica) { r.changed = changed }
}

// WithTurned calls back, on the actor, when this member's condition is another than before.
func WithTurned(turned func(before, after Condition)) Option {
	return func(r *Replica) { r.turned = turned }
}

// WithCounters has notices counted where they outlive this replica.
func WithCounters(counters *Counters) Option {
	return func(r *Replica) { r.Counters = counters }
}

// WithNoticed calls back, on the actor, with each notice for an operator.
func WithNoticed(noticed func(raft.Notice)) Option {
	return func(r *Replica) { r.noticed = noticed }
}

// WithFatal is called when the disk failed, or with a StateDiffersError; this member must then leave.
func WithFatal(fatal func(error)) Option {
	return func(r *Replica) { r.fatal = fatal }
}

// New makes a replica from what the disk holds.
func New(self raft.Member, group ident.GroupID, restored raft.Restored, config Config, c clock.Clock, disk Disk, links Links, options ...Option) (*Replica, error) {
	random := rand.New(rand.NewPCG(uint64(self.ID), uint64(c.Elapsed())))
	member := raft.New(self.ID, config.Timing, restored, random)
	core, err := NewCore(config, member, restored.Snapshot.Data, c.Elapsed(), c.Wall)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		self: self, core: core, clock: c, disk: disk, links: links, group: group,
		changed: func(*statemachine.State) {}, turned: func(_, _ Condition) {}, noticed: func(raft.Notice) {}, Counters: &Counters{}, fatal: func(error) {},
		box: actor.NewMailbox[any](1024), waiting: map[uint64]func(Answer){},
		writes: make(chan write, 4096), joins: map[raft.MemberID]raft.Member{}, heardAt: map[raft.MemberID]string{},
	}
	for _, option := range options {
		option(r)
	}
	r.publish()
	return r, nil
}

// Condition tells where this member stands.
func (r *Replica) Condition() Condition { return *r.condition.Load() }

// Run runs the actor until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	left := make(chan struct{})
	go func() {
		defer close(left)
		r.runDisk(ctx)
	}()
	r.changed(r.core.State())
	r.box.Run(ctx, Tick, r.take, r.beat)
	// The folder is in use until the last write has returned, and may be opened again after that.
	<-left
}

// runDisk is the one place that writes; the actor never waits for it.
func (r *Replica) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-r.writes:
			var err error
			if next.save != nil {
				err = r.disk.Write(next.group, *next.save)
			}
			if !r.box.Send(written{next, err}) {
				return
			}
		}
	}
}

// Receive takes raft messages from another member.
func (r *Replica) Receive(group ident.GroupID, address string, messages []raft.Message) {
	r.box.Offer(received{group, address, messages})
}

// Submit puts a command forward and waits for its answer.
func (r *Replica) Submit(ctx context.Context, command statemachine.Command) Answer {
	return r.ask(ctx, func(answer func(Answer)) any { return submitted{command, answer} })
}

// Read runs look on the state at a linearizable point.
func (r *Replica) Read(ctx context.Context, look func(*statemachine.State)) Outcome {
	return r.ask(ctx, func(answer func(Answer)) any {
		return readAsked{func(a Answer) {
			if a.Outcome == Applied {
				look(a.State)
			}
			answer(a)
		}}
	}).Outcome
}

func (r *Replica) ask(ctx context.Context, event func(func(Answer)) any) Answer {
	answers := make(chan Answer, 1)
	if !r.box.Send(event(func(a Answer) { answers <- a })) {
		return Answer{Outcome: NotLeader}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
	case <-r.box.Done():
	}
	return Answer{Outcome: Unknown}
}

// HandOver asks a leader to pass its office on.
func (r *Replica) HandOver() { r.box.Send(handOver{}) }

// Join asks a leader to take a member into the group, first as a learner.
func (r *Replica) Join(member raft.Member) { r.box.Send(joinAsked{member}) }

// Leave tells a leader that a member stops. It says whether this member leads, and a majority of the voters holds all
// that is committed without the one that stops, so that it may end.
func (r *Replica) Leave(ctx context.Context, member raft.MemberID) bool {
	held := make(chan bool, 1)
	if !r.box.Send(leaveSaid{member, held}) {
		return false
	}
	select {
	case answer := <-held:
		return answer
	case <-ctx.Done():
	case <-r.box.Done():
	}
	return false
}

func (r *Replica) take(event any) {
	if r.failed {
		// Whoever waits is told when the actor ends.
		return
	}
	now := r.clock.Elapsed()
	switch e := event.(type) {
	case received:
		r.receive(now, e)
	case written:
		r.finishWrite(now, e)
	case submitted:
		r.refs++
		r.waiting[r.refs] = e.answer
		r.carryOut(r.core.Submit(now, r.refs, e.command))
	case readAsked:
		r.refs++
		r.waiting[r.refs] = e.answer
		r.carryOut(r.core.Read(now, r.refs))
	case handOver:
		r.carryOut(r.core.Step(now, raft.Transfer{}))
	case leaveSaid:
		r.core.Leave(now, e.member)
		e.held <- r.core.HeldWithout(now, e.member)
	case joinAsked:
		if r.core.Leads() {
			r.joins[e.member.ID] = e.member
		}
	}
}

func (r *Replica) receive(now clock.Mark, e received) {
	for _, message := range e.messages {
		if r.failed {
			return
		}
		if message.To != r.self.ID {
			r.Refused.Add(1)
			continue
		}
		if r.group == "" {
			// Only a group that was told this folder's identity can address it, so it may be joined.
			r.group = e.group
		}
		if r.group != e.group {
			r.Refused.Add(1)
			continue
		}
		r.heardAt[message.From] = e.address
		r.carryOut(r.core.Step(now, raft.Receive{Message: message}))
	}
}

func (r *Replica) finishWrite(now clock.Mark, e written) {
	r.outstanding = r.outstanding[1:]
	if e.err != nil {
		r.giveUp(now, eris.Wrap(e.err, "the disk failed"))
		return
	}
	if r.stalled && len(r.outstanding) == 0 {
		r.stalled = false
		r.carryOut(r.core.Step(now, raft.DiskStalled{Stalled: false}))
	}
	if save := e.write.save; save != nil {
		last := raft.Persisted{}
		if n := len(save.Entries); n > 0 {
			last = raft.Persisted{Index: save.Entries[n-1].Index, Term: save.Entries[n-1].Term}
		} else if save.Snapshot != nil {
			last = raft.Persisted{Index: save.Snapshot.Index, Term: save.Snapshot.Term}
		}
		if last.Index > 0 {
			r.carryOut(r.core.Step(now, last))
		}
	}
	r.send(now, e.write.later)
}

// giveUp ends this member's part: what a failed write left behind is unknown, or the state is not what a majority
// holds, so nothing may be said that rests on it. A leader hands over first, so that the others need not wait for an
// election.
func (r *Replica) giveUp(now clock.Mark, why error) {
	if !r.failed {
		effects := r.core.Step(now, raft.DiskStalled{Stalled: true})
		r.failed, r.stalled = true, true
		for _, answer := range effects.Answers {
			if reply, ok := r.waiting[answer.Ref]; ok {
				delete(r.waiting, answer.Ref)
				reply(answer)
			}
		}
		r.publish()
		r.send(now, effects.Now)
	}
	r.fatal(why)
}

func (r *Replica) beat() {
	if r.failed {
		return
	}
	now := r.clock.Elapsed()
	if !r.stalled && len(r.outstanding) > 0 && now.Since(r.outstanding[0]) > stallAfter {
		r.stalled = true
		r.carryOut(r.core.Step(now, raft.DiskStalled{Stalled: true}))
	}
	if late := now.Since(r.beaten); r.beaten > 0 && late > r.core.config.Timing.Span(Tick) {
		// This process stood still for so long that the others may follow another by now.
		r.carryOut(r.core.Step(now, raft.StandDown{}))
	}
	r.beaten = now
	r.carryOut(r.core.Step(now, raft.Tick{}))
	if r.core.Leads() {
		if next, ok := r.core.MembershipPlan(now, r.joins).Next(); ok {
			r.carryOut(r.core.Step(now, raft.ProposeMembership{Membership: next}))
		}
	} else {
		clear(r.joins)
	}
}

// notice counts and passes on what an operator may want to know.
func (r *Replica) notice(notices []raft.Notice) {
	for _, notice := range notices {
		r.Counters.of(notice.Kind).Add(1)
		r.noticed(notice)
	}
}

// abandon ends this member's part with a state that must not be served: whoever waits learns nothing from it.
func (r *Replica) abandon(now clock.Mark, effects Effects) {
	for _, answer := range effects.Answers {
		if reply, ok := r.waiting[answer.Ref]; ok {
			delete(r.waiting, answer.Ref)
			reply(Answer{Ref: answer.Ref, Outcome: Unknown})
		}
	}
	r.giveUp(now, effects.GiveUp)
}

func (r *Replica) carryOut(effects Effects) {
	now := r.clock.Elapsed()
	r.notice(effects.Notices)
	if effects.GiveUp != nil {
		r.abandon(now, effects)
		return
	}
	switch {
	case effects.Save != nil || len(effects.Later) > 0 && len(r.outstanding) > 0 && !r.stalled:
		r.outstanding = append(r.outstanding, now)
		r.writes <- write{group: r.group, save: effects.Save, later: effects.Later}
	case len(r.outstanding) == 0:
		// Nothing unsynced lies before these, so they need not pass by the disk.
		defer r.send(now, effects.Later)
	}
	// With a stalled disk the rest is not said at all: a member that can't write is silent.
	for _, answer := range effects.Answers {
		if reply, ok := r.waiting[answer.Ref]; ok {
			delete(r.waiting, answer.Ref)
			reply(answer)
		}
	}
	if effects.Changed {
		r.changed(r.core.State())
	}
	r.publish()
	r.send(now, effects.Now)
}

// send groups messages by member; those to this member itself are taken at once.
func (r *Replica) send(now clock.Mark, messages []raft.Message) {
	byMember := map[raft.MemberID][]raft.Message{}
	for _, message := range messages {
		if message.To == r.self.ID {
			r.carryOut(r.core.Step(now, raft.Receive{Message: message}))
			continue
		}
		byMember[message.To] = append(byMember[message.To], message)
	}
	for id, batch := range byMember {
		member, known := r.core.Raft().Membership().Find(id)
		if !known {
			// A fresh member has no membership yet, and a removed one is in none: they are answered where they spoke from.
			member = raft.Member{ID: id, Address: r.heardAt[id]}
		}
		r.links.Send(r.group, member, batch)
	}
}

func (r *Replica) publish() {
	core := r.core.Raft()
	condition := Condition{
		Group: r.group, Role: core.Role(), Term: core.Term(), Leads: r.core.Leads(), Members: core.Membership(),
		Commit: core.CommitIndex(), Stalled: r.stalled, Now: r.core.State().Now, FirstRollAgo: r.core.FirstRollAgo(r.clock.Elapsed()), Serving: r.core.State().ServingDaemons(), Claim: r.core.State().PlannerLease,
		ConfirmedUntil: r.core.ConfirmedUntil(), Spec: r.core.State().Version(), Closures: r.core.State().Closures.Version,
		Applied: r.core.applied, Digest: r.core.Digest(), Differing: r.core.Differing(),
	}
	condition.Leader, _ = condition.Members.Find(core.LeaderID())
	before := r.condition.Swap(&condition)
	if before != nil && before.otherThan(condition) {
		r.turned(*before, condition)
	}
}

// otherThan says whether what an operator would want to know is different.
func (c *Condition) otherThan(next Condition) bool {
	return c.Leads != next.Leads || c.Stalled != next.Stalled || !slices.Equal(c.Members.Members, next.Members.Members) ||
		!slices.Equal(c.Differing, next.Differing)
}

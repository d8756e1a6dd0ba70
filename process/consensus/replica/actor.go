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
type Transport interface {
	Send(group ident.GroupID, member raft.Member, messages []raft.Message)
}

// Tick is how often the core's clock beats.
const TickInterval = 50 * time.Millisecond

// stallAfter is how long a write may take before this member counts its disk as stalled.
const diskStallTimeout = 700 * time.Millisecond

// Condition is what others may know of this member, read without asking the actor.
type Status struct {
	Group       ident.GroupID
	Role        raft.Role
	Term        raft.Term
	IsLeader    bool
	Leader      raft.Member
	Membership  raft.Membership
	CommitIndex raft.Index
	DiskStalled bool
	GroupTime   ident.GroupTime
	// FirstRollAgo is how long any bundle has been in force by the state applied so far; negative while none was.
	SinceFirstRollout time.Duration
	// Serving lists the daemons that may be serving, by the state applied so far.
	ServingDaemons []ident.NodeID
	// Claim is the planner's claim by the state applied so far.
	PlannerLease statemachine.Claim
	// ConfirmedUntil is, where this member leads, up to when a majority has confirmed that; Spec and Closures are what
	// is committed by the state applied so far.
	ConfirmedUntil                        clock.Mark
	ConfigurationVersion, ClosuresVersion ident.Version
	// Applied is how far the state is, Digest its newest digest.
	AppliedIndex raft.Index
	Digest       raft.StateDigest
	// Differing lists, at a leader, the members whose state differed from a majority's when last compared.
	DivergentMembers []raft.MemberID
}

// Counters count what an operator may want to know of a member.
type Counters struct {
	SnapshotsSent, SnapshotsInstalled, SnapshotsRejected, MessagesRejected, StateDivergences atomic.Uint64
}

// of gives the counter of one kind of notice.
func (c *Counters) forNotice(kind raft.NoticeKind) *atomic.Uint64 {
	switch kind {
	case raft.NoticeSnapshotSent:
		return &c.SnapshotsSent
	case raft.NoticeSnapshotTaken:
		return &c.SnapshotsInstalled
	case raft.NoticeSnapshotRefused:
		return &c.SnapshotsRejected
	case raft.NoticeStateDiffers:
		return &c.StateDivergences
	default:
		return &c.MessagesRejected
	}
}

// Replica is the actor around a core.
type Replica struct {
	self                  raft.Member
	core                  *Core
	clock                 clock.Clock
	disk                  Disk
	transport             Transport
	onConfigurationChange func(*statemachine.State)
	onStatusChange        func(before, after Status)
	onNotice              func(raft.Notice)
	onFatal               func(error)
	mailbox               *actor.Mailbox[any]

	group  ident.GroupID
	status atomic.Pointer[Status]
	// Refused counts batches of other groups, for other members, or before a group is known.
	Rejected atomic.Uint64
	// Counters count notices, by their kinds.
	Counters *Counters

	lastRequestID uint64
	waiters       map[uint64]func(Response)

	writeQueue    chan diskWrite
	unsyncedSince []clock.Mark
	diskStalled   bool
	// failed says that a write failed, after which this member says nothing any more.
	failed bool
	// beaten is when the last beat came.
	lastTick     clock.Mark
	joinRequests map[raft.MemberID]raft.Member
	lastAddress  map[raft.MemberID]string
}

type diskWrite struct {
	group     ident.GroupID
	save      *raft.Save
	afterSync []raft.Message
}

type (
	messagesReceived struct {
		group    ident.GroupID
		address  string
		messages []raft.Message
	}
	writeFinished struct {
		write diskWrite
		err   error
	}
	commandSubmitted struct {
		command statemachine.Command
		respond func(Response)
	}
	readRequested     struct{ respond func(Response) }
	transferRequested struct{}
	joinRequested     struct{ member raft.Member }
	leavingAnnounced  struct {
		member raft.MemberID
		// held is told whether a majority holds all that is committed without this member.
		safeToStop chan bool
	}
)

// Option sets one thing of a replica.
type Option func(*Replica)

// WithChanged calls back, on the actor, when the spec in force, the closures or the engines that left changed. The state may not be kept.
func WithConfigurationChangeHandler(changed func(*statemachine.State)) Option {
	return func(r *Replica) { r.onConfigurationChange = changed }
}

// WithTurned calls back, on the actor, when this member's condition is another than before.
func WithStatusChangeHandler(turned func(before, after Status)) Option {
	return func(r *Replica) { r.onStatusChange = turned }
}

// WithCounters has notices counted where they outlive this replica.
func WithCounters(counters *Counters) Option {
	return func(r *Replica) { r.Counters = counters }
}

// WithNoticed calls back, on the actor, with each notice for an operator.
func WithNoticeHandler(noticed func(raft.Notice)) Option {
	return func(r *Replica) { r.onNotice = noticed }
}

// WithFatal is called when the disk failed, or with a StateDiffersError; this member must then leave.
func WithFatalHandler(fatal func(error)) Option {
	return func(r *Replica) { r.onFatal = fatal }
}

// New makes a replica from what the disk holds.
func New(self raft.Member, group ident.GroupID, restored raft.Restored, config Config, c clock.Clock, disk Disk, links Transport, options ...Option) (*Replica, error) {
	random := rand.New(rand.NewPCG(uint64(self.ID), uint64(c.Elapsed())))
	member := raft.New(self.ID, config.Timing, restored, random)
	core, err := NewCore(config, member, restored.Snapshot.Data, c.Elapsed(), c.Wall)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		self: self, core: core, clock: c, disk: disk, transport: links, group: group,
		onConfigurationChange: func(*statemachine.State) {}, onStatusChange: func(_, _ Status) {}, onNotice: func(raft.Notice) {}, Counters: &Counters{}, onFatal: func(error) {},
		mailbox: actor.NewMailbox[any](1024), waiters: map[uint64]func(Response){},
		writeQueue: make(chan diskWrite, 4096), joinRequests: map[raft.MemberID]raft.Member{}, lastAddress: map[raft.MemberID]string{},
	}
	for _, option := range options {
		option(r)
	}
	r.publishStatus()
	return r, nil
}

// Condition tells where this member stands.
func (r *Replica) Status() Status { return *r.status.Load() }

// Run runs the actor until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	left := make(chan struct{})
	go func() {
		defer close(left)
		r.runDiskWriter(ctx)
	}()
	r.onConfigurationChange(r.core.State())
	r.mailbox.Run(ctx, TickInterval, r.handleEvent, r.tick)
	// The folder is in use until the last write has returned, and may be opened again after that.
	<-left
}

// runDisk is the one place that writes; the actor never waits for it.
func (r *Replica) runDiskWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-r.writeQueue:
			var err error
			if next.save != nil {
				err = r.disk.Write(next.group, *next.save)
			}
			if !r.mailbox.Send(writeFinished{next, err}) {
				return
			}
		}
	}
}

// Receive takes raft messages from another member.
func (r *Replica) Receive(group ident.GroupID, address string, messages []raft.Message) {
	r.mailbox.Offer(messagesReceived{group, address, messages})
}

// Submit puts a command forward and waits for its answer.
func (r *Replica) Submit(ctx context.Context, command statemachine.Command) Response {
	return r.request(ctx, func(answer func(Response)) any { return commandSubmitted{command, answer} })
}

// Read runs look on the state at a linearizable point.
func (r *Replica) Read(ctx context.Context, look func(*statemachine.State)) Outcome {
	return r.request(ctx, func(answer func(Response)) any {
		return readRequested{func(a Response) {
			if a.Outcome == Applied {
				look(a.State)
			}
			answer(a)
		}}
	}).Outcome
}

func (r *Replica) request(ctx context.Context, event func(func(Response)) any) Response {
	answers := make(chan Response, 1)
	if !r.mailbox.Send(event(func(a Response) { answers <- a })) {
		return Response{Outcome: NotLeader}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
	case <-r.mailbox.Done():
	}
	return Response{Outcome: Unknown}
}

// HandOver asks a leader to pass its office on.
func (r *Replica) TransferLeadership() { r.mailbox.Send(transferRequested{}) }

// Join asks a leader to take a member into the group, first as a learner.
func (r *Replica) Join(member raft.Member) { r.mailbox.Send(joinRequested{member}) }

// Leave tells a leader that a member stops. It says whether this member leads, and a majority of the voters holds all
// that is committed without the one that stops, so that it may end.
func (r *Replica) AnnounceLeaving(ctx context.Context, member raft.MemberID) bool {
	held := make(chan bool, 1)
	if !r.mailbox.Send(leavingAnnounced{member, held}) {
		return false
	}
	select {
	case answer := <-held:
		return answer
	case <-ctx.Done():
	case <-r.mailbox.Done():
	}
	return false
}

func (r *Replica) handleEvent(event any) {
	if r.failed {
		// Whoever waits is told when the actor ends.
		return
	}
	now := r.clock.Elapsed()
	switch e := event.(type) {
	case messagesReceived:
		r.receive(now, e)
	case writeFinished:
		r.handleWriteFinished(now, e)
	case commandSubmitted:
		r.lastRequestID++
		r.waiters[r.lastRequestID] = e.respond
		r.execute(r.core.Submit(now, r.lastRequestID, e.command))
	case readRequested:
		r.lastRequestID++
		r.waiters[r.lastRequestID] = e.respond
		r.execute(r.core.Read(now, r.lastRequestID))
	case transferRequested:
		r.execute(r.core.Step(now, raft.Transfer{}))
	case leavingAnnounced:
		r.core.MarkLeaving(now, e.member)
		e.safeToStop <- r.core.SafeToStop(now, e.member)
	case joinRequested:
		if r.core.IsLeader() {
			r.joinRequests[e.member.ID] = e.member
		}
	}
}

func (r *Replica) receive(now clock.Mark, e messagesReceived) {
	for _, message := range e.messages {
		if r.failed {
			return
		}
		if message.To != r.self.ID {
			r.Rejected.Add(1)
			continue
		}
		if r.group == "" {
			// Only a group that was told this folder's identity can address it, so it may be joined.
			r.group = e.group
		}
		if r.group != e.group {
			r.Rejected.Add(1)
			continue
		}
		r.lastAddress[message.From] = e.address
		r.execute(r.core.Step(now, raft.Receive{Message: message}))
	}
}

func (r *Replica) handleWriteFinished(now clock.Mark, e writeFinished) {
	r.unsyncedSince = r.unsyncedSince[1:]
	if e.err != nil {
		r.fail(now, eris.Wrap(e.err, "the disk failed"))
		return
	}
	if r.diskStalled && len(r.unsyncedSince) == 0 {
		r.diskStalled = false
		r.execute(r.core.Step(now, raft.DiskStalled{Stalled: false}))
	}
	if save := e.write.save; save != nil {
		last := raft.Persisted{}
		if n := len(save.Entries); n > 0 {
			last = raft.Persisted{Index: save.Entries[n-1].Index, Term: save.Entries[n-1].Term}
		} else if save.Snapshot != nil {
			last = raft.Persisted{Index: save.Snapshot.Index, Term: save.Snapshot.Term}
		}
		if last.Index > 0 {
			r.execute(r.core.Step(now, last))
		}
	}
	r.send(now, e.write.afterSync)
}

// giveUp ends this member's part: what a failed write left behind is unknown, or the state is not what a majority
// holds, so nothing may be said that rests on it. A leader hands over first, so that the others need not wait for an
// election.
func (r *Replica) fail(now clock.Mark, why error) {
	if !r.failed {
		effects := r.core.Step(now, raft.DiskStalled{Stalled: true})
		r.failed, r.diskStalled = true, true
		for _, answer := range effects.Responses {
			if reply, ok := r.waiters[answer.RequestID]; ok {
				delete(r.waiters, answer.RequestID)
				reply(answer)
			}
		}
		r.publishStatus()
		r.send(now, effects.Now)
	}
	r.onFatal(why)
}

func (r *Replica) tick() {
	if r.failed {
		return
	}
	now := r.clock.Elapsed()
	if !r.diskStalled && len(r.unsyncedSince) > 0 && now.Since(r.unsyncedSince[0]) > diskStallTimeout {
		r.diskStalled = true
		r.execute(r.core.Step(now, raft.DiskStalled{Stalled: true}))
	}
	if late := now.Since(r.lastTick); r.lastTick > 0 && late > r.core.config.Timing.Span(TickInterval) {
		// This process stood still for so long that the others may follow another by now.
		r.execute(r.core.Step(now, raft.StandDown{}))
	}
	r.lastTick = now
	r.execute(r.core.Step(now, raft.Tick{}))
	if r.core.IsLeader() {
		if next, ok := r.core.MembershipPlan(now, r.joinRequests).Next(); ok {
			r.execute(r.core.Step(now, raft.ProposeMembership{Membership: next}))
		}
	} else {
		clear(r.joinRequests)
	}
}

// notice counts and passes on what an operator may want to know.
func (r *Replica) reportNotices(notices []raft.Notice) {
	for _, notice := range notices {
		r.Counters.forNotice(notice.Kind).Add(1)
		r.onNotice(notice)
	}
}

// abandon ends this member's part with a state that must not be served: whoever waits learns nothing from it.
func (r *Replica) discardEffects(now clock.Mark, effects Effects) {
	for _, answer := range effects.Responses {
		if reply, ok := r.waiters[answer.RequestID]; ok {
			delete(r.waiters, answer.RequestID)
			reply(Response{RequestID: answer.RequestID, Outcome: Unknown})
		}
	}
	r.fail(now, effects.Fatal)
}

func (r *Replica) execute(effects Effects) {
	now := r.clock.Elapsed()
	r.reportNotices(effects.Notices)
	if effects.Fatal != nil {
		r.discardEffects(now, effects)
		return
	}
	switch {
	case effects.Save != nil || len(effects.Later) > 0 && len(r.unsyncedSince) > 0 && !r.diskStalled:
		r.unsyncedSince = append(r.unsyncedSince, now)
		r.writeQueue <- diskWrite{group: r.group, save: effects.Save, afterSync: effects.Later}
	case len(r.unsyncedSince) == 0:
		// Nothing unsynced lies before these, so they need not pass by the disk.
		defer r.send(now, effects.Later)
	}
	// With a stalled disk the rest is not said at all: a member that can't write is silent.
	for _, answer := range effects.Responses {
		if reply, ok := r.waiters[answer.RequestID]; ok {
			delete(r.waiters, answer.RequestID)
			reply(answer)
		}
	}
	if effects.ConfigurationChanged {
		r.onConfigurationChange(r.core.State())
	}
	r.publishStatus()
	r.send(now, effects.Now)
}

// send groups messages by member; those to this member itself are taken at once.
func (r *Replica) send(now clock.Mark, messages []raft.Message) {
	byMember := map[raft.MemberID][]raft.Message{}
	for _, message := range messages {
		if message.To == r.self.ID {
			r.execute(r.core.Step(now, raft.Receive{Message: message}))
			continue
		}
		byMember[message.To] = append(byMember[message.To], message)
	}
	for id, batch := range byMember {
		member, known := r.core.Raft().Membership().Find(id)
		if !known {
			// A fresh member has no membership yet, and a removed one is in none: they are answered where they spoke from.
			member = raft.Member{ID: id, Address: r.lastAddress[id]}
		}
		r.transport.Send(r.group, member, batch)
	}
}

func (r *Replica) publishStatus() {
	core := r.core.Raft()
	condition := Status{
		Group: r.group, Role: core.Role(), Term: core.Term(), IsLeader: r.core.IsLeader(), Membership: core.Membership(),
		CommitIndex: core.CommitIndex(), DiskStalled: r.diskStalled, GroupTime: r.core.State().Now, SinceFirstRollout: r.core.SinceFirstRollout(r.clock.Elapsed()), ServingDaemons: r.core.State().ServingNow(), PlannerLease: r.core.State().Claim,
		ConfirmedUntil: r.core.ConfirmedUntil(), ConfigurationVersion: r.core.State().Epoch(), ClosuresVersion: r.core.State().Closures.Epoch,
		AppliedIndex: r.core.applied, Digest: r.core.Digest(), DivergentMembers: r.core.DivergentMembers(),
	}
	condition.Leader, _ = condition.Membership.Find(core.LeaderID())
	before := r.status.Swap(&condition)
	if before != nil && before.notablyDiffers(condition) {
		r.onStatusChange(*before, condition)
	}
}

// otherThan says whether what an operator would want to know is different.
func (c *Status) notablyDiffers(next Status) bool {
	return c.IsLeader != next.IsLeader || c.DiskStalled != next.DiskStalled || !slices.Equal(c.Membership.Members, next.Membership.Members) ||
		!slices.Equal(c.DivergentMembers, next.DivergentMembers)
}

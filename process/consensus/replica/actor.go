package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Transport carries Raft messages to other members. It may lose them, and must not block.
type Transport interface {
	Send(group ident.GroupID, member raft.Member, messages []raft.Message)
}

// TickInterval is the unit of the Raft core's logical clock.
const TickInterval = 50 * time.Millisecond

const (
	// mailboxCapacity bounds the events that wait for the actor; messages of other members beyond it are dropped.
	mailboxCapacity = 1024
	// writeQueueCapacity bounds the writes that wait for the disk; the actor blocks beyond it.
	writeQueueCapacity = 4096
)

// Replica is the actor around a core. Its exported methods may be called from any goroutine.
type Replica struct {
	self      raft.Member
	core      *Core
	clock     clock.Clock
	disk      Disk
	transport Transport
	mailbox   *actor.Mailbox[any]

	onConfigurationChange func(*statemachine.State)
	onStatusChange        func(before, after Status)
	onNotice              func(raft.Notice)
	onFatal               func(error)

	group  ident.GroupID
	status atomic.Pointer[Status]
	// Rejected counts messages that were meant for another group or another member.
	Rejected atomic.Uint64
	// Counters count notices by kind.
	Counters *Counters

	// lastRequestID holds the functions that answer open requests, by request identifier.
	lastRequestID uint64
	waiters       map[uint64]func(Response)

	participation participation
	writeQueue    chan diskWrite
	// unsyncedSince is when each write that has not returned yet was queued, the oldest first.
	unsyncedSince []clock.Mark

	lastTick clock.Mark
	// joinRequests are the members that asked this leader to be taken in, until they are.
	joinRequests map[raft.MemberID]raft.Member
	// lastAddress is where each member's last message came from.
	lastAddress map[raft.MemberID]string
}

// The events of the actor's mailbox.
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
	joinRequested     struct {
		member raft.Member
		level  statemachine.FeatureLevel
	}
	leavingAnnounced struct {
		member      raft.MemberID
		incarnation uint64
		// safeToStop receives whether the member may end.
		safeToStop chan bool
	}
)

// New makes a replica from what the disk holds. An empty group identifier stands for a member that has not joined yet:
// it joins the group whose messages reach it first. New fails if the snapshot can't be read.
func New(self raft.Member, group ident.GroupID, restored raft.PersistentState, config Config, c clock.Clock, disk Disk, transport Transport, options ...Option) (*Replica, error) {
	random := rand.New(rand.NewPCG(uint64(self.ID), uint64(c.Elapsed())))
	member := raft.New(self.ID, config.Timing, restored, random)
	core, err := NewCore(config, member, restored.Snapshot.Data, c.Elapsed(), c.Wall)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		self: self, core: core, clock: c, disk: disk, transport: transport, group: group,
		mailbox:               actor.NewMailbox[any](mailboxCapacity),
		onConfigurationChange: func(*statemachine.State) {}, onStatusChange: func(_, _ Status) {},
		onNotice: func(raft.Notice) {}, onFatal: func(error) {}, Counters: &Counters{},
		waiters: map[uint64]func(Response){}, writeQueue: make(chan diskWrite, writeQueueCapacity),
		joinRequests: map[raft.MemberID]raft.Member{}, lastAddress: map[raft.MemberID]string{},
	}
	for _, option := range options {
		option(r)
	}
	r.publishStatus()
	return r, nil
}

// Run runs the actor until ctx ends. Once it returns nothing writes to the disk any more.
func (r *Replica) Run(ctx context.Context) {
	diskWriterDone := make(chan struct{})
	go func() {
		defer close(diskWriterDone)
		r.runDiskWriter(ctx)
	}()
	r.onConfigurationChange(r.core.State())
	r.mailbox.Run(ctx, TickInterval, r.handleEvent, r.tick)
	// The data folder is in use until the last write has returned, and may be opened again after that.
	<-diskWriterDone
}

// Receive takes Raft messages from another member, whose address they came from. It drops them where the mailbox is full.
func (r *Replica) Receive(group ident.GroupID, address string, messages []raft.Message) {
	r.mailbox.Offer(messagesReceived{group, address, messages})
}

func (r *Replica) handleEvent(event any) {
	if r.participation == failed {
		// Requests that wait are answered when the actor ends.
		return
	}
	now := r.clock.Elapsed()
	switch e := event.(type) {
	case messagesReceived:
		r.receive(now, e)
	case writeFinished:
		r.handleWriteFinished(now, e)
	case commandSubmitted:
		requestID := r.addWaiter(e.respond)
		r.execute(r.core.Submit(now, requestID, e.command))
	case readRequested:
		requestID := r.addWaiter(e.respond)
		r.execute(r.core.Read(now, requestID))
	case transferRequested:
		r.execute(r.core.Step(now, raft.TransferLeadership{}))
	case leavingAnnounced:
		r.core.MarkLeaving(now, e.member, e.incarnation)
		e.safeToStop <- r.core.SafeToStop(now, e.member)
	case joinRequested:
		// The same goroutine raises the level, so nobody is admitted below it meanwhile.
		if r.core.IsLeader() && e.level >= r.core.RequiredFeatureLevel() {
			r.joinRequests[e.member.ID] = e.member
		}
	}
}

// addWaiter assigns the identifier of a new request.
func (r *Replica) addWaiter(respond func(Response)) uint64 {
	r.lastRequestID++
	r.waiters[r.lastRequestID] = respond
	return r.lastRequestID
}

func (r *Replica) receive(now clock.Mark, batch messagesReceived) {
	for _, message := range batch.messages {
		if r.participation == failed {
			return
		}
		if message.To != r.self.ID {
			r.Rejected.Add(1)
			continue
		}
		if r.group == "" {
			// Only a group that this member asked to join knows its identifier and can address it.
			r.group = batch.group
		}
		if r.group != batch.group {
			r.Rejected.Add(1)
			continue
		}
		r.lastAddress[message.From] = batch.address
		r.execute(r.core.Step(now, raft.Receive{Message: message}))
	}
}

func (r *Replica) tick() {
	if r.participation == failed {
		return
	}
	now := r.clock.Elapsed()
	r.checkDiskStall(now)
	if late := now.Since(r.lastTick); r.lastTick > 0 && late > r.core.config.Timing.ElectionTimeout(TickInterval) {
		// This process was suspended for so long that the others may follow another leader by now.
		r.execute(r.core.Step(now, raft.StepDown{}))
	}
	r.lastTick = now
	r.execute(r.core.Step(now, raft.Tick{}))
	if !r.core.IsLeader() {
		clear(r.joinRequests)
		return
	}
	if next, ok := r.core.MembershipPlan(now, r.joinRequests).Next(); ok {
		r.execute(r.core.Step(now, raft.ProposeMembership{Membership: next}))
	}
	if len(r.joinRequests) == 0 {
		r.execute(r.core.RaiseFeatureLevel(now))
	}
}

// execute carries out the effects of a step of the core.
func (r *Replica) execute(effects Effects) {
	now := r.clock.Elapsed()
	r.reportNotices(effects.Notices)
	if effects.Fatal != nil {
		r.discard(now, effects)
		return
	}
	switch {
	case effects.Save != nil || len(effects.MessagesAfterSave) > 0 && len(r.unsyncedSince) > 0 && r.participation == participating:
		r.unsyncedSince = append(r.unsyncedSince, now)
		r.writeQueue <- diskWrite{group: r.group, save: effects.Save, afterSync: effects.MessagesAfterSave}
	case len(r.unsyncedSince) == 0:
		// All writes before these messages are synced, so they need not pass through the disk writer.
		defer r.send(now, effects.MessagesAfterSave)
	}
	// The messages of a member whose disk is stalled match neither case and are dropped: it stays silent.
	r.respond(effects.Responses)
	if effects.ConfigurationChanged {
		r.onConfigurationChange(r.core.State())
	}
	r.publishStatus()
	r.send(now, effects.Messages)
}

// discard ends this member's part with a state that must not be served: requests that wait learn nothing from it.
func (r *Replica) discard(now clock.Mark, effects Effects) {
	unknown := make([]Response, 0, len(effects.Responses))
	for _, response := range effects.Responses {
		unknown = append(unknown, Response{RequestID: response.RequestID, Outcome: Unknown})
	}
	r.respond(unknown)
	r.fail(now, effects.Fatal)
}

// send groups messages by member. Those to this member itself are handled at once.
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
			// A new member has no membership yet, and a removed one is in none: they are answered at the address that
			// their messages came from.
			member = raft.Member{ID: id, Address: r.lastAddress[id]}
		}
		r.transport.Send(r.group, member, batch)
	}
}

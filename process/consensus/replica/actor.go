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

// Links carries raft messages to other members; it may lose them, and must not block.
type Transport interface {
	Send(group ident.GroupID, member raft.Member, messages []raft.Message)
}

// Tick is how often the core's clock beats.
const TickInterval = 50 * time.Millisecond

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

// New makes a replica from what the disk holds.
func New(self raft.Member, group ident.GroupID, restored raft.PersistentState, config Config, c clock.Clock, disk Disk, links Transport, options ...Option) (*Replica, error) {
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

// Receive takes raft messages from another member.
func (r *Replica) Receive(group ident.GroupID, address string, messages []raft.Message) {
	r.mailbox.Offer(messagesReceived{group, address, messages})
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
		r.execute(r.core.Step(now, raft.TransferLeadership{}))
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

func (r *Replica) tick() {
	if r.failed {
		return
	}
	now := r.clock.Elapsed()
	if !r.diskStalled && len(r.unsyncedSince) > 0 && now.Since(r.unsyncedSince[0]) > diskStallTimeout {
		r.diskStalled = true
		r.execute(r.core.Step(now, raft.DiskStalled{Stalled: true}))
	}
	if late := now.Since(r.lastTick); r.lastTick > 0 && late > r.core.config.Timing.ElectionTimeout(TickInterval) {
		// This process stood still for so long that the others may follow another by now.
		r.execute(r.core.Step(now, raft.StepDown{}))
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
	case effects.Save != nil || len(effects.MessagesAfterSave) > 0 && len(r.unsyncedSince) > 0 && !r.diskStalled:
		r.unsyncedSince = append(r.unsyncedSince, now)
		r.writeQueue <- diskWrite{group: r.group, save: effects.Save, afterSync: effects.MessagesAfterSave}
	case len(r.unsyncedSince) == 0:
		// Nothing unsynced lies before these, so they need not pass by the disk.
		defer r.send(now, effects.MessagesAfterSave)
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
	r.send(now, effects.Messages)
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

package dispatch

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Call is a request in progress, as the client's connection sees it.
type Call struct {
	ID      RecordID
	Request Request
	// Arrived is when it was read.
	Arrived clock.Mark
	// Prompt and the rest of the work are kept here, so the records stay small.
	Prompt string

	ctx      context.Context
	cancel   context.CancelFunc
	answered sync.Once
	Answered chan Answer
	Started  chan *Stream
	stream   *Stream
}

// NewCall makes a call; cancel it when the client has disconnected.
func NewCall(parent context.Context, request Request, prompt string) *Call {
	call := &Call{Request: request, Prompt: prompt, Answered: make(chan Answer, 1), Started: make(chan *Stream, 1)}
	call.ctx, call.cancel = context.WithCancel(parent)
	call.stream = newStream(call.ctx, call.cancel)
	return call
}

// Context ends when the client has disconnected.
func (call *Call) Context() context.Context { return call.ctx }

// Cancel says that the client has disconnected.
func (call *Call) Cancel() { call.cancel() }

// SendChunk hands a checked line to the client; the first one starts the stream. It returns false when the client has
// disconnected.
func (call *Call) SendChunk(line []byte) bool {
	call.answered.Do(func() { call.Started <- call.stream })
	return call.stream.put(line)
}

// Finish ends the stream; one that was broken off ends with a trailer and an error.
func (call *Call) Finish(trailer []byte, err error) { call.stream.finish(trailer, err) }

func (call *Call) answer(answer Answer) {
	call.answered.Do(func() { call.Answered <- answer })
}

// Stream is what the client's connection reads. It gives an error, and never a clean end, where the answer is not
// complete.
type Stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	lines  chan []byte
	unread []byte
	// trailer and broken are set before lines is closed.
	trailer []byte
	err     error
}

// maxAhead is how many lines an engine may be ahead of a slow client.
const maxAhead = 32

func newStream(ctx context.Context, cancel context.CancelFunc) *Stream {
	return &Stream{ctx: ctx, cancel: cancel, lines: make(chan []byte, maxAhead)}
}

func (s *Stream) put(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *Stream) finish(trailer []byte, err error) {
	s.trailer, s.err = trailer, err
	close(s.lines)
}

// Read serves the connection's writer.
func (s *Stream) Read(p []byte) (int, error) {
	for len(s.unread) == 0 {
		line, more := <-s.lines
		switch {
		case more:
			s.unread = line
		case len(s.trailer) > 0:
			s.unread, s.trailer = s.trailer, nil
		case s.err != nil:
			return 0, s.err
		default:
			return 0, io.EOF
		}
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// Close is called when the connection is done with the stream, complete or not.
func (s *Stream) Close() error {
	s.cancel()
	return nil
}

// Environment is what the actor needs of its daemon.
type Environment interface {
	// World gives what the core may read in this step.
	World() World
	// Carry runs an attempt to its end, and returns its outcome with a reason; it is called on a goroutine of its own.
	Carry(call *Call, send Send, firstPiece func()) (AttemptOutcome, string)
	// Assignment asks the owner of a session for its assignment.
	Assignment(query AssignmentQuery) (ident.EngineID, bool)
	// Refuse makes sure that a refusal will be true, and gives the answer that may be sent.
	Refuse(call *Call, wanted Answer) Answer
	// EndAssignment notifies the owner of a session that it has ended.
	EndAssignment(session string)
}

// Actor runs the core.
type Actor struct {
	environment Environment
	core        *Core
	mailbox     *actor.Mailbox[any]
	calls       map[RecordID]*Call
	next        RecordID
	// Snapshot is the newest counts, for status pages and planners.
	snapshot       atomic.Pointer[Snapshot]
	changeNotified atomic.Bool
}

// Snapshot is what the rest of the daemon sees of the actor.
type Snapshot struct {
	Counters      Counters
	Demands       []Demand
	Assignments   []AssignmentCount
	Live          int
	Queued        int
	FirstAttempts uint64
	Retries       uint64
	Denied        uint64
}

type arrival struct{ call *Call }

const tickPeriod = 50 * time.Millisecond

// NewActor makes the actor.
func NewActor(environment Environment) *Actor {
	a := &Actor{environment: environment, core: NewCore(), mailbox: actor.NewMailbox[any](4096), calls: map[RecordID]*Call{}}
	a.snapshot.Store(&Snapshot{})
	return a
}

// Run runs the actor until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	a.mailbox.Run(ctx, tickPeriod, a.handle, func() {
		a.step(Tick{})
		a.publish()
	})
}

// Snapshot gives the newest counts.
func (a *Actor) Snapshot() *Snapshot { return a.snapshot.Load() }

// NotifyChanged says that engines or the configuration changed.
func (a *Actor) NotifyChanged() {
	// One poke in the mailbox is enough, however many changes there were.
	if a.changeNotified.CompareAndSwap(false, true) && !a.mailbox.Offer(Tick{}) {
		a.changeNotified.Store(false)
	}
}

// Admit submits a call; false means that this daemon accepts no more.
func (a *Actor) Admit(call *Call) bool { return a.mailbox.Send(arrival{call}) }

func (a *Actor) handle(event any) {
	switch e := event.(type) {
	case arrival:
		a.next++
		e.call.ID = a.next
		a.calls[a.next] = e.call
		id := a.next
		context.AfterFunc(e.call.ctx, func() { a.mailbox.Send(ClientGone{id}) })
		a.step(Arrive{ID: id, Request: e.call.Request})
	case Tick:
		a.changeNotified.Store(false)
		a.step(e)
	case Event:
		a.step(e)
	}
}

func (a *Actor) publish() {
	a.snapshot.Store(&Snapshot{
		Counters: a.core.Counters, Demands: a.core.Demands(), Assignments: a.core.AssignmentCounts(), Live: a.core.Live(), Queued: a.core.QueueLength(),
		FirstAttempts: a.core.Budget.FirstAttempts, Retries: a.core.Budget.Retries, Denied: a.core.Budget.Denied,
	})
}

// step runs the core on one event and carries out the effects.
func (a *Actor) step(event Event) {
	effects := a.core.Step(a.environment.World(), event)
	for _, reply := range effects.Replies {
		a.reply(reply)
	}
	for _, send := range effects.Sends {
		a.send(send)
	}
	for _, query := range effects.AssignmentQueries {
		a.queryAssignment(query)
	}
	for _, session := range effects.EndAssignments {
		go a.environment.EndAssignment(session)
	}
	// A call whose record has ended has had its final answer.
	switch e := event.(type) {
	case AttemptEnded:
		a.forgetEnded(e.ID)
	case ClientGone:
		a.forgetEnded(e.ID)
	}
	for _, reply := range effects.Replies {
		a.forgetEnded(reply.ID)
	}
}

func (a *Actor) reply(reply Reply) {
	call := a.calls[reply.ID]
	switch {
	case call == nil:
	case reply.Answer.Kind == Refused:
		// A refusal is a promise for the whole fleet, so the attempt's owners are asked first.
		go func() { call.answer(a.environment.Refuse(call, reply.Answer)) }()
	default:
		call.answer(reply.Answer)
	}
}

func (a *Actor) send(send Send) {
	call := a.calls[send.ID]
	go func() {
		outcome, reason := a.environment.Carry(call, send, func() { a.mailbox.Send(FirstChunk{send.ID}) })
		a.mailbox.Send(AttemptEnded{ID: send.ID, Outcome: outcome, Reason: reason})
	}()
}

func (a *Actor) queryAssignment(query AssignmentQuery) {
	go func() {
		engine, found := a.environment.Assignment(query)
		if !found {
			engine = ""
		}
		a.mailbox.Send(AssignmentFound{ID: query.ID, Session: query.Session, Engine: engine})
	}()
}

func (a *Actor) forgetEnded(id RecordID) {
	if _, alive := a.core.records[id]; !alive {
		delete(a.calls, id)
	}
}

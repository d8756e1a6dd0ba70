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

// Call is a request on its way through this daemon, as the caller's side sees it.
type Call struct {
	ID      RecordID
	Request Request
	// Arrived is when it was read.
	Arrived clock.Mark
	// Prompt and the rest of the work are kept here, so the records stay small.
	Prompt string

	ctx      context.Context
	cancel   context.CancelFunc
	settled  sync.Once
	Answered chan Answer
	Started  chan *Stream
	stream   *Stream
}

// NewCall makes a call; cancel it when the caller is gone.
func NewCall(parent context.Context, request Request, prompt string) *Call {
	f := &Call{Request: request, Prompt: prompt, Answered: make(chan Answer, 1), Started: make(chan *Stream, 1)}
	f.ctx, f.cancel = context.WithCancel(parent)
	f.stream = newStream(f.ctx, f.cancel)
	return f
}

// Context ends when the caller is gone.
func (f *Call) Context() context.Context { return f.ctx }

// Cancel says that the caller is gone.
func (f *Call) Cancel() { f.cancel() }

// Piece hands a checked line to the caller; the first one starts the stream.
func (f *Call) Piece(line []byte) bool {
	f.settled.Do(func() { f.Started <- f.stream })
	return f.stream.put(line)
}

// Finish ends the stream; a broken one ends with its final answers and an error.
func (f *Call) Finish(lastWords []byte, broken error) { f.stream.finish(lastWords, broken) }

func (f *Call) answer(v Answer) {
	f.settled.Do(func() { f.Answered <- v })
}

// Stream is what the caller's connection reads. It gives an error, and never a clean end, where the
// answer is not whole.
type Stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	lines  chan []byte
	rest   []byte
	// last and broken are set before lines is closed.
	last   []byte
	broken error
}

// maxAhead is how many lines an engine may be ahead of a slow caller.
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

func (s *Stream) finish(last []byte, broken error) {
	s.last, s.broken = last, broken
	close(s.lines)
}

// Read serves the connection's writer.
func (s *Stream) Read(p []byte) (int, error) {
	for len(s.rest) == 0 {
		line, more := <-s.lines
		switch {
		case more:
			s.rest = line
		case len(s.last) > 0:
			s.rest, s.last = s.last, nil
		case s.broken != nil:
			return 0, s.broken
		default:
			return 0, io.EOF
		}
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// Close is called when the connection is done with the stream, whole or not.
func (s *Stream) Close() error {
	s.cancel()
	return nil
}

// Surroundings is what the actor needs of its daemon.
type Surroundings interface {
	// World gives what may be looked at now.
	World() World
	// Carry runs an attempt to its end, and reports its outcome; it is called on a goroutine of its own.
	Carry(call *Call, send Send, firstPiece func()) (AttemptOutcome, string)
	// Assignment asks the owner of a session for its assignment.
	Assignment(ask AskAssignment) (ident.EngineID, bool)
	// Refuse makes sure that a refusal will be true, and gives the answer that may be sent.
	Refuse(call *Call, wanted Answer) Answer
	// EndAssignment tells the owner of a session that it has ended.
	EndAssignment(session string)
}

// Actor runs the core.
type Actor struct {
	around  Surroundings
	core    *Core
	mailbox *actor.Mailbox[any]
	calls   map[RecordID]*Call
	next    RecordID
	// Snapshot is the newest count of things, for pages and planners.
	snapshot atomic.Pointer[Snapshot]
	pokes    atomic.Bool
}

// Snapshot is what others may see of the actor.
type Snapshot struct {
	Counters      Counters
	Demands       []Demand
	Seats         []AssignmentCount
	Live          int
	Queued        int
	FirstAttempts uint64
	Retries       uint64
	Denied        uint64
}

type arrival struct{ call *Call }

const tickPeriod = 50 * time.Millisecond

// NewActor makes the actor.
func NewActor(around Surroundings) *Actor {
	a := &Actor{around: around, core: NewCore(), mailbox: actor.NewMailbox[any](4096), calls: map[RecordID]*Call{}}
	a.snapshot.Store(&Snapshot{})
	return a
}

// Run runs the actor until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	a.mailbox.Run(ctx, tickPeriod, a.take, func() {
		a.step(Tick{})
		a.publish()
	})
}

// Snapshot gives the newest counts.
func (a *Actor) Snapshot() *Snapshot { return a.snapshot.Load() }

// Poke says that engines or the spec changed.
func (a *Actor) Poke() {
	// One poke in the mailbox is enough, however many changes there were.
	if a.pokes.CompareAndSwap(false, true) && !a.mailbox.Offer(Tick{}) {
		a.pokes.Store(false)
	}
}

// Admit hands a call in; false means that this daemon can't take any.
func (a *Actor) Admit(call *Call) bool { return a.mailbox.Send(arrival{call}) }

func (a *Actor) take(event any) {
	switch e := event.(type) {
	case arrival:
		a.next++
		e.call.ID = a.next
		a.calls[a.next] = e.call
		id := a.next
		context.AfterFunc(e.call.ctx, func() { a.mailbox.Send(CallerGone{id}) })
		a.step(Arrive{ID: id, Request: e.call.Request})
	case Tick:
		a.pokes.Store(false)
		a.step(e)
	case Event:
		a.step(e)
	}
}

func (a *Actor) publish() {
	a.snapshot.Store(&Snapshot{
		Counters: a.core.Counters, Demands: a.core.Demands(), Seats: a.core.AssignmentCounts(), Live: a.core.Live(), Queued: a.core.QueueLength(),
		FirstAttempts: a.core.Budget.FirstAttempts, Retries: a.core.Budget.Retries, Denied: a.core.Budget.Denied,
	})
}

// step runs the core on one event and carries out the effects.
func (a *Actor) step(event Event) {
	effects := a.core.Step(a.around.World(), event)
	for _, reply := range effects.Replies {
		a.reply(reply)
	}
	for _, send := range effects.Sends {
		a.send(send)
	}
	for _, ask := range effects.AskAssignments {
		a.askAssignment(ask)
	}
	for _, session := range effects.EndAssignments {
		go a.around.EndAssignment(session)
	}
	// A call whose record is gone has had its final answer.
	switch e := event.(type) {
	case AttemptEnded:
		a.drop(e.ID)
	case CallerGone:
		a.drop(e.ID)
	}
	for _, reply := range effects.Replies {
		a.drop(reply.ID)
	}
}

func (a *Actor) reply(reply Reply) {
	call := a.calls[reply.ID]
	switch {
	case call == nil:
	case reply.Answer.Kind == Refused:
		// A refusal is a promise for the whole fleet, so the attempt's owners are asked first.
		go func() { call.answer(a.around.Refuse(call, reply.Answer)) }()
	default:
		call.answer(reply.Answer)
	}
}

func (a *Actor) send(send Send) {
	call := a.calls[send.ID]
	go func() {
		outcome, reason := a.around.Carry(call, send, func() { a.mailbox.Send(FirstPiece{send.ID}) })
		a.mailbox.Send(AttemptEnded{ID: send.ID, Outcome: outcome, Reason: reason})
	}()
}

func (a *Actor) askAssignment(ask AskAssignment) {
	go func() {
		engine, found := a.around.Assignment(ask)
		if !found {
			engine = ""
		}
		a.mailbox.Send(AssignmentFound{ID: ask.ID, Session: ask.Session, Engine: engine})
	}()
}

func (a *Actor) drop(id RecordID) {
	if _, alive := a.core.records[id]; !alive {
		delete(a.calls, id)
	}
}

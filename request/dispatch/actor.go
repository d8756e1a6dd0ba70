package dispatch

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/process/actor"
	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/snowflake"
)

// Flight is a request on its way through this daemon, as the caller's side sees it.
type Flight struct {
	ID      RecordID
	Request Request
	// Arrived is when it was read.
	Arrived clock.Mark
	// Prompt and the rest of the work are kept here, so the records stay small.
	Prompt string

	ctx     context.Context
	cancel  context.CancelFunc
	settled sync.Once
	Told    chan Verdict
	Started chan *Stream
	stream  *Stream
}

// NewFlight makes a flight; cancel it when the caller is gone.
func NewFlight(parent context.Context, request Request, prompt string) *Flight {
	f := &Flight{Request: request, Prompt: prompt, Told: make(chan Verdict, 1), Started: make(chan *Stream, 1)}
	f.ctx, f.cancel = context.WithCancel(parent)
	f.stream = newStream(f.ctx, f.cancel)
	return f
}

// Context ends when the caller is gone.
func (f *Flight) Context() context.Context { return f.ctx }

// Cancel says that the caller is gone.
func (f *Flight) Cancel() { f.cancel() }

// Piece hands a checked line to the caller; the first one starts the stream.
func (f *Flight) Piece(line []byte) bool {
	f.settled.Do(func() { f.Started <- f.stream })
	return f.stream.put(line)
}

// Finish ends the stream; a broken one ends with its last words and an error.
func (f *Flight) Finish(lastWords []byte, broken error) { f.stream.finish(lastWords, broken) }

func (f *Flight) tell(v Verdict) {
	f.settled.Do(func() { f.Told <- v })
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

// mostAhead is how many lines an engine may be ahead of a slow caller.
const mostAhead = 32

func newStream(ctx context.Context, cancel context.CancelFunc) *Stream {
	return &Stream{ctx: ctx, cancel: cancel, lines: make(chan []byte, mostAhead)}
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
	// Carry runs a go to its end, and reports its outcome; it is called on a goroutine of its own.
	Carry(flight *Flight, send Send, firstPiece func()) (GoOutcome, string)
	// Seat asks the home of a session.
	Seat(ask AskSeat) (ident.EngineID, bool)
	// Refuse makes sure that a refusal will be true, and gives the word that may be told.
	Refuse(flight *Flight, wanted Verdict) Verdict
	// EndSeat tells the home of a session that it has ended.
	EndSeat(session string)
}

// Actor runs the core.
type Actor struct {
	around  Surroundings
	core    *Core
	box     *actor.Mailbox[any]
	flights map[RecordID]*Flight
	next    RecordID
	// Snapshot is the newest count of things, for pages and planners.
	snapshot atomic.Pointer[Snapshot]
	pokes    atomic.Bool
}

// Snapshot is what others may see of the actor.
type Snapshot struct {
	Counters  Counters
	Demands   []Demand
	Seats     []SeatCount
	Live      int
	Held      int
	FirstGoes uint64
	Retries   uint64
	Denied    uint64
}

type arrival struct{ flight *Flight }

const beatEvery = 50 * time.Millisecond

// NewActor makes the actor.
func NewActor(around Surroundings) *Actor {
	a := &Actor{around: around, core: NewCore(), box: actor.NewMailbox[any](4096), flights: map[RecordID]*Flight{}}
	a.snapshot.Store(&Snapshot{})
	return a
}

// Run runs the actor until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	a.box.Run(ctx, beatEvery, a.take, func() {
		a.step(Beat{})
		a.publish()
	})
}

// Snapshot gives the newest counts.
func (a *Actor) Snapshot() *Snapshot { return a.snapshot.Load() }

// Poke says that engines or the spec changed.
func (a *Actor) Poke() {
	// One poke in the mailbox is enough, however many changes there were.
	if a.pokes.CompareAndSwap(false, true) && !a.box.Offer(Beat{}) {
		a.pokes.Store(false)
	}
}

// Let hands a flight in; false means that this daemon can't take any.
func (a *Actor) Let(flight *Flight) bool { return a.box.Send(arrival{flight}) }

func (a *Actor) take(event any) {
	switch e := event.(type) {
	case arrival:
		a.next++
		e.flight.ID = a.next
		a.flights[a.next] = e.flight
		id := a.next
		context.AfterFunc(e.flight.ctx, func() { a.box.Send(CallerGone{id}) })
		a.step(Arrive{ID: id, Request: e.flight.Request})
	case Beat:
		a.pokes.Store(false)
		a.step(e)
	case Event:
		a.step(e)
	}
}

func (a *Actor) publish() {
	a.snapshot.Store(&Snapshot{
		Counters: a.core.Counters, Demands: a.core.Demands(), Seats: a.core.SeatCounts(), Live: a.core.Live(), Held: a.core.HeldNow(),
		FirstGoes: a.core.Budget.FirstGoes, Retries: a.core.Budget.Retries, Denied: a.core.Budget.Denied,
	})
}

func (a *Actor) step(event Event) {
	effects := a.core.Step(a.around.World(), event)
	for _, tell := range effects.Tells {
		flight := a.flights[tell.ID]
		switch {
		case flight == nil:
		case tell.Verdict.Kind == Refused:
			// A refusal is a promise for the whole fleet, so the attempt's homes hear of it first.
			go func() { flight.tell(a.around.Refuse(flight, tell.Verdict)) }()
		default:
			flight.tell(tell.Verdict)
		}
	}
	for _, send := range effects.Sends {
		flight := a.flights[send.ID]
		go func() {
			outcome, reason := a.around.Carry(flight, send, func() { a.box.Send(FirstPiece{send.ID}) })
			a.box.Send(Went{ID: send.ID, Outcome: outcome, Reason: reason})
		}()
	}
	for _, ask := range effects.AskSeats {
		go func() {
			engine, found := a.around.Seat(ask)
			if !found {
				engine = ""
			}
			a.box.Send(SeatTold{ID: ask.ID, Session: ask.Session, Engine: engine})
		}()
	}
	for _, session := range effects.EndSeats {
		go a.around.EndSeat(session)
	}
	// A flight whose record is gone has had its last word.
	switch e := event.(type) {
	case Went:
		a.drop(e.ID)
	case CallerGone:
		a.drop(e.ID)
	}
	for _, tell := range effects.Tells {
		a.drop(tell.ID)
	}
}

func (a *Actor) drop(id RecordID) {
	if _, alive := a.core.records[id]; !alive {
		delete(a.flights, id)
	}
}

// MintFunc is how the core gets stamps.
type MintFunc func() (ident.MintedID, snowflake.Outcome)

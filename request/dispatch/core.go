package dispatch

import (
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/request/bid"
	"github.com/cresspond/cresspond/request/budget"
)

type routeKey struct {
	model, adapter string
}

// Core is the state of one routing daemon.
type Core struct {
	records  map[RecordID]*Record
	attempts map[string]RecordID
	past     map[string]pastAttempt
	// pastOrder lists the past attempts from the oldest on, so that the oldest are forgotten first.
	pastOrder []pastAttempt
	seats     map[string]*Seat
	running   map[ident.EngineID]int
	// history is how many ran here on each engine since its newest report was asked for.
	history map[ident.EngineID][]ranSince
	// refusedAt is when an engine last refused, or could not be reached.
	refusedAt map[ident.EngineID]clock.Mark
	prefixes  map[string]ident.EngineID
	turns     bid.Turns
	heldBytes int64
	heldCount int
	heldBy    map[string]int
	Budget    *budget.Budget
	Counters  Counters

	world World
	out   Effects
}

// NewCore makes an empty core.
func NewCore() *Core {
	return &Core{
		records: map[RecordID]*Record{}, attempts: map[string]RecordID{}, past: map[string]pastAttempt{}, seats: map[string]*Seat{},
		running: map[ident.EngineID]int{}, history: map[ident.EngineID][]ranSince{}, refusedAt: map[ident.EngineID]clock.Mark{},
		prefixes: map[string]ident.EngineID{}, turns: bid.Turns{}, heldBy: map[string]int{}, Budget: budget.New(0.1),
	}
}

const (
	mostPast     = 100000
	pastKept     = 10 * time.Minute
	mostPrefixes = 10000
	refusalRest  = 250 * time.Millisecond
	// seatPatience is how long a seat is kept at an engine in doubt; it outlasts the rest of one set aside.
	seatPatience = 4 * time.Second
	// leastLeft is how much time a held record must have left to be sent.
	leastLeft = 150 * time.Millisecond
	// pauseBeforeNext keeps a record that came back from going out again in the same breath.
	pauseBeforeNext = 20 * time.Millisecond
	// longestComeBack bounds what a refused caller is told to wait.
	longestComeBack = 30 * time.Second
	// doubtRest is when to come back with an attempt of which nobody could be asked.
	doubtRest = 2 * time.Second
)

// Step takes one event and runs the passes.
func (c *Core) Step(world World, event Event) Effects {
	c.world, c.out = world, Effects{}
	if world.Table != nil {
		c.Budget.SetShare(world.Table.Spec.Limits.RetryShare)
	}
	switch e := event.(type) {
	case Arrive:
		c.arrive(e)
	case Went:
		c.went(e)
	case FirstPiece:
		if record := c.records[e.ID]; record != nil && record.stage == Going {
			record.move(Streaming)
		}
	case CallerGone:
		if record := c.records[e.ID]; record != nil && (record.stage == Held || record.stage == LetIn) {
			c.Counters.CallersLeft++
			c.end(record)
		}
	case SeatTold:
		if record := c.records[e.ID]; record != nil && !record.seatKnown {
			record.seatKnown, record.seatOf = true, e.Engine
		}
		// The home's word on a seat stands above what was taken here meanwhile.
		if seat := c.seats[e.Session]; seat != nil && e.Engine != "" && seat.Running == 0 {
			seat.Engine = e.Engine
		}
	case Beat:
		c.forget()
	}
	c.passLate()
	c.passHopeless()
	c.passBids()
	return c.out
}

func (c *Core) arrive(e Arrive) {
	request := e.Request
	if c.world.Now >= request.Deadline {
		c.out.Tells = append(c.out.Tells, Tell{e.ID, Verdict{Kind: Refused, Status: 503, Reason: "the deadline has passed"}})
		return
	}
	earlier, known := c.past[request.Attempt]
	if id, inHand := c.attempts[request.Attempt]; inHand {
		earlier, known = pastAttempt{digest: c.records[id].Digest}, true
	}
	if known {
		c.Counters.Replays++
		reason := "this attempt id is known here and is not run again"
		if earlier.digest != request.Digest {
			reason = "this attempt id stands for another request"
		}
		c.out.Tells = append(c.out.Tells, Tell{e.ID, Verdict{Kind: Replay, Status: 409, Reason: reason}})
		return
	}
	record := &Record{ID: e.ID, Request: request, Arrived: c.world.Now}
	c.Counters.LetIn++
	c.records[e.ID] = record
	c.attempts[request.Attempt] = e.ID
	if c.world.NotReady != "" {
		c.refuse(record, 503, c.world.NotReady, time.Second)
		return
	}
	if request.Session == "" || !c.world.ShareSeats {
		record.seatKnown = true
	}
}

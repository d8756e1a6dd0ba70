package dispatch

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/priority"
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
	pastOrder   []pastAttempt
	assignments map[string]*Assignment
	running     map[ident.EngineID]int
	// history is how many ran here on each engine since its newest report was asked for.
	history map[ident.EngineID][]ranSince
	// refusedAt is when an engine last refused, or could not be reached.
	refusedAt     map[ident.EngineID]clock.Mark
	prefixes      map[string]ident.EngineID
	turns         priority.ServedCounts
	queuedBytes   int64
	queuedCount   int
	queuedByRoute map[string]int
	Budget        *budget.Budget
	Counters      Counters

	world World
	out   Effects
}

// NewCore makes an empty core.
func NewCore() *Core {
	return &Core{
		records: map[RecordID]*Record{}, attempts: map[string]RecordID{}, past: map[string]pastAttempt{}, assignments: map[string]*Assignment{},
		running: map[ident.EngineID]int{}, history: map[ident.EngineID][]ranSince{}, refusedAt: map[ident.EngineID]clock.Mark{},
		prefixes: map[string]ident.EngineID{}, turns: priority.ServedCounts{}, queuedByRoute: map[string]int{}, Budget: budget.New(0.1),
	}
}

const (
	maxPast     = 100000
	pastKept    = 10 * time.Minute
	maxPrefixes = 10000
	refusalRest = 250 * time.Millisecond
	// assignmentPatience is how long an assignment to an engine in doubt is kept; it outlasts the rest of one set aside.
	assignmentPatience = 4 * time.Second
	// leastLeft is how much time a queued record must have left to be sent.
	leastLeft = 150 * time.Millisecond
	// pauseBeforeNext keeps a record whose attempt failed from being sent again at once.
	pauseBeforeNext = 20 * time.Millisecond
	// maxRetryAfter bounds what a refused caller is asked to wait.
	maxRetryAfter = 30 * time.Second
	// doubtRest is when to come back with an attempt of which nobody could be asked.
	doubtRest = 2 * time.Second
)

// Step takes one event and runs the passes.
func (c *Core) Step(world World, event Event) Effects {
	c.world, c.out = world, Effects{}
	if world.Table != nil {
		c.Budget.SetShare(world.Table.Configuration.Limits.MaxRetryRatio)
	}
	switch e := event.(type) {
	case Arrive:
		c.arrive(e)
	case AttemptEnded:
		c.attemptEnded(e)
	case FirstPiece:
		c.firstPiece(e.ID)
	case CallerGone:
		c.callerGone(e.ID)
	case AssignmentFound:
		c.assignmentFound(e)
	case Tick:
		c.forget()
	}
	c.passLate()
	c.passHopeless()
	c.passBids()
	return c.out
}

func (c *Core) firstPiece(id RecordID) {
	if record := c.records[id]; record != nil && record.stage == Attempting {
		record.move(Streaming)
	}
}

// callerGone ends a record that waits; one that was sent ends with its attempt.
func (c *Core) callerGone(id RecordID) {
	if record := c.records[id]; record != nil && (record.stage == Queued || record.stage == Admitted) {
		c.Counters.CallersLeft++
		c.end(record)
	}
}

func (c *Core) assignmentFound(e AssignmentFound) {
	if record := c.records[e.ID]; record != nil && !record.assignmentKnown {
		record.assignmentKnown, record.assigned = true, e.Engine
	}
	// The owner's answer stands above what was assigned here meanwhile.
	if assignment := c.assignments[e.Session]; assignment != nil && e.Engine != "" && assignment.Running == 0 {
		assignment.Engine = e.Engine
	}
}

func (c *Core) arrive(e Arrive) {
	request := e.Request
	if c.world.Now >= request.Deadline {
		c.out.Replies = append(c.out.Replies, Reply{e.ID, Answer{Kind: Refused, Status: 503, Reason: "the deadline has passed"}})
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
		c.out.Replies = append(c.out.Replies, Reply{e.ID, Answer{Kind: Replay, Status: 409, Reason: reason}})
		return
	}
	record := &Record{ID: e.ID, Request: request, Arrived: c.world.Now}
	c.Counters.Admitted++
	c.records[e.ID] = record
	c.attempts[request.Attempt] = e.ID
	if c.world.NotReady != "" {
		c.refuse(record, 503, c.world.NotReady, time.Second)
		return
	}
	if request.Session == "" || !c.world.ShareAssignments {
		record.assignmentKnown = true
	}
}

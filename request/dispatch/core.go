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
	records      map[RecordID]*Record
	attempts     map[string]RecordID
	pastAttempts map[string]pastAttempt
	// pastOrder lists the past attempts, the oldest first, so that those are forgotten first.
	pastOrder   []pastAttempt
	assignments map[string]*Assignment
	running     map[ident.EngineID]int
	// runningHistory is how many attempts ran from here on each engine since its newest report was requested.
	runningHistory map[ident.EngineID][]runningCount
	// refusedAt is when an engine last refused, or could not be reached.
	refusedAt     map[ident.EngineID]clock.Mark
	prefixes      map[string]ident.EngineID
	servedCounts  priority.ServedCounts
	queuedBytes   int64
	queuedCount   int
	queuedByRoute map[string]int
	Budget        *budget.Budget
	Counters      Counters

	world   World
	effects Effects
}

// NewCore makes an empty core.
func NewCore() *Core {
	return &Core{
		records: map[RecordID]*Record{}, attempts: map[string]RecordID{}, pastAttempts: map[string]pastAttempt{}, assignments: map[string]*Assignment{},
		running: map[ident.EngineID]int{}, runningHistory: map[ident.EngineID][]runningCount{}, refusedAt: map[ident.EngineID]clock.Mark{},
		prefixes: map[string]ident.EngineID{}, servedCounts: priority.ServedCounts{}, queuedByRoute: map[string]int{}, Budget: budget.New(0.1),
	}
}

const (
	// maxPastAttempts and pastAttemptRetention bound the memory of ended attempt ids.
	maxPastAttempts      = 100000
	pastAttemptRetention = 10 * time.Minute
	maxPrefixes          = 10000
	refusalBackoff       = 250 * time.Millisecond
	// assignmentGrace is how long an assignment to an engine of uncertain health is kept; it outlasts the time for which an
	// engine is quarantined.
	assignmentGrace = 4 * time.Second
	// minTimeLeft is how much time before its deadline a queued record must have left to be sent.
	minTimeLeft = 150 * time.Millisecond
	// retryBackoff keeps a record whose attempt was withdrawn from being sent again at once.
	retryBackoff = 20 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of a refusal.
	maxRetryAfter = 30 * time.Second
	// uncertainRetryAfter is the Retry-After of an attempt whose owners could not be asked.
	uncertainRetryAfter = 2 * time.Second
)

// Step takes one event and runs the passes.
func (c *Core) Step(world World, event Event) Effects {
	c.world, c.effects = world, Effects{}
	if world.Table != nil {
		c.Budget.SetRatio(world.Table.Configuration.Limits.MaxRetryRatio)
	}
	switch e := event.(type) {
	case Arrive:
		c.arrive(e)
	case AttemptEnded:
		c.attemptEnded(e)
	case FirstChunk:
		c.firstChunk(e.ID)
	case ClientGone:
		c.clientGone(e.ID)
	case AssignmentFound:
		c.assignmentFound(e)
	case Tick:
		c.expireIdle()
	}
	c.refuseLate()
	c.refuseUnplaceable()
	c.sendByPriority()
	return c.effects
}

// firstChunk marks that a stream has begun; from here on the record is never retried.
func (c *Core) firstChunk(id RecordID) {
	if record := c.records[id]; record != nil && record.stage == Attempting {
		record.move(Streaming)
	}
}

// clientGone ends a queued record; one that was sent ends with its attempt.
func (c *Core) clientGone(id RecordID) {
	if record := c.records[id]; record != nil && (record.stage == Queued || record.stage == Admitted) {
		c.Counters.ClientsDisconnected++
		c.end(record)
	}
}

// assignmentFound takes over the answer of a session's owner.
func (c *Core) assignmentFound(e AssignmentFound) {
	if record := c.records[e.ID]; record != nil && !record.assignmentKnown {
		record.assignmentKnown, record.assigned = true, e.Engine
	}
	// The owner's answer overrides what was assigned here meanwhile.
	if assignment := c.assignments[e.Session]; assignment != nil && e.Engine != "" && assignment.Running == 0 {
		assignment.Engine = e.Engine
	}
}

// arrive makes the record of a new request, unless its attempt id is known already.
func (c *Core) arrive(e Arrive) {
	request := e.Request
	if c.world.Now >= request.Deadline {
		c.effects.Replies = append(c.effects.Replies, Reply{e.ID, Answer{Kind: Refused, Status: 503, Reason: "the deadline has passed"}})
		return
	}
	earlier, known := c.pastAttempts[request.Attempt]
	if id, inProgress := c.attempts[request.Attempt]; inProgress {
		earlier, known = pastAttempt{digest: c.records[id].Digest}, true
	}
	if known {
		c.Counters.Replays++
		reason := "this attempt id is known here and is not run again"
		if earlier.digest != request.Digest {
			reason = "this attempt id stands for another request"
		}
		c.effects.Replies = append(c.effects.Replies, Reply{e.ID, Answer{Kind: Replay, Status: 409, Reason: reason}})
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

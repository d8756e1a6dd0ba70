// Package history is what the stand-ins have seen on their own sockets, for the judge.
package history

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Arrival is one request as it came to an engine, and what became of it there.
type Arrival struct {
	At clock.Mark
	// Engine is the life of the engine, Service the service it belongs to.
	Engine, Service string
	AttemptID       string
	Method, URI     string
	Host            string
	BodyDigest      string
	Target          string
	LastEvent       string
	DeadlineMs      int64
	Prompt          protocol.Prompt
	// HealthCheck is a request for the health page.
	HealthCheck bool
	// Status is what the engine answered with; zero is nothing. NotRun: turned away by its own word.
	Status   int
	Rejected bool
	// Began is when work on it began; zero is never. Run names that work.
	Began clock.Mark
	Run   string
	// Ended is when the engine had done with it; Whole: it wrote the answer whole.
	Ended    clock.Mark
	Complete bool
	// Broken says that the engine itself broke the answer off, or made junk of it. Left: the caller closed.
	Broken, CallerClosed bool
	// Events are written up to this id; From is the last id of the run that it went on from.
	From, Events int
	// PrefilledTokens were read anew, Kept were not read again.
	PrefilledTokens, CachedTokens int
}

// Ran says whether the engine has begun working on it.
func (a *Arrival) Ran() bool { return a.Began != 0 }

// Order is one order as it came to an engine.
type Order struct {
	At      clock.Mark
	Engine  string
	Service string
	Order   protocol.Order
	Status  int
	// OverCapacity says that it would have gone beyond the engine's room.
	OverCapacity bool
	// FromStore says that the load came from the store of weights.
	FromStore bool
	// Done is when it was carried out.
	Done clock.Mark
}

// Incarnation is one life of an engine.
type Incarnation struct {
	Engine, Service, Zone, Address string
	Began                          clock.Mark
	Ended                          clock.Mark
	// DrainRequested is when it first said that it leaves; DrainAcked, when that was acknowledged.
	DrainRequested, DrainAcked clock.Mark
	DrainBy                    string
	// InitialModels is what it held at its start.
	InitialModels []protocol.Holding
	Slots         int
	// Crashed says that the end was not planned.
	Crashed bool
}

// Event is one event of a stream, as a client saw it.
type Event struct {
	At   clock.Mark
	ID   string
	Data string
	// Version is there if the event told of another version of the weights.
	Version string
}

// Attempt is one try of a client, as it saw it on its socket.
type Attempt struct {
	// Request is common to all tries for one answer; Kind names the sort of request, Session whose it is.
	Request, Kind, Session string
	Zone                   string
	AttemptID              string
	Daemon                 string
	Host, Method, URI      string
	BodyDigest             string
	BodyBytes              int
	Prompt                 protocol.Prompt
	LastEvent              string
	// DeadlineMs is what the try said; AimMs and Class what its route says, where the client knows.
	DeadlineMs int64
	TargetMs   int64
	Class      string
	Resumable  bool
	// Probe marks the few requests that show which configuration is in force. Absent: the route is not there.
	Probe  bool
	Absent bool
	// Began is before the connection; Sent is when the last byte was handed over; zero is never.
	Began, Sent, First, Ended clock.Mark
	Connected                 bool
	// FirstOnConnection: no other request went before it there.
	FirstOnConnection bool
	Status            int
	AnsweredID        string
	Seal              string
	RetryAfterMs      int64
	HasRetryAfter     bool
	Encoding          string
	ResponseBody      []byte
	Events            []Event
	// Complete says that by its framing the answer came whole.
	Complete bool
	// ClientClosed: the client closed first, at LeftAt. Early: it did so by its own will, and is owed no answer.
	ClientClosed, Early bool
	ClosedAt            clock.Mark
	// ExceedsDeadline: its work takes longer than its route's deadline, so nobody can serve it whole.
	ExceedsDeadline bool
	// Malformed is what came that is no answer in the protocol, Surplus what came while no request waited.
	Malformed, Unsolicited string
	Err                    string
}

// Success says that it counts as one: 2xx with the whole body.
func (t *Attempt) Success() bool { return t.Status >= 200 && t.Status < 300 && t.Complete }

// PromisesNotRun says that the answer promises that the request has not run and never will.
func (t *Attempt) PromisesNotRun() bool {
	switch t.Status {
	case 429, 503, 408, 421:
		return true
	}
	return false
}

// Outcome is what an operator's call ended with.
type Outcome string

const (
	// Acknowledged: the call was answered with 200.
	Acknowledged Outcome = "acknowledged"
	// Refused: the call was refused.
	Refused Outcome = "refused"
	// Unclear: no call of this change had a clear answer.
	Unclear Outcome = "unclear"
)

// Change is one change of the configuration, with all its sendings.
type Change struct {
	Operator   string
	Base       uint64
	Generation uint64
	// Config is the configuration that it makes; nil if it cannot be known.
	Config *protocol.Config
	// Fault says why it is invalid; empty is valid.
	Fault           string
	Patch           bool
	Began, Answered clock.Mark
	Outcome         Outcome
	Status          int
	Sends           int
	By              string
	// Method and Body are what was sent; the same with the same base is the same order.
	Method string
	Body   []byte
	// Resent says that an order was sent again that had been answered before.
	Resent bool
}

// Digest names the order in a change: the same bytes on the same base are the same order, whoever sent them.
func (c *Change) Digest() string {
	sum := sha256.Sum256(c.Body)
	return fmt.Sprintf("%s %d %x", c.Method, c.Base, sum)
}

// ReadBack is the configuration as it was read. Began is when it was asked for, At when it came.
type ReadBack struct {
	Began  clock.Mark
	At     clock.Mark
	Config *protocol.Config
	Raw    []byte
	Err    string
}

// Disruption is one thing done to the fleet from outside, unplanned unless Planned says so.
type Disruption struct {
	From clock.Mark
	// Until is zero while it goes on.
	Until   clock.Mark
	Kind    string
	Machine string
	Core    bool
	Planned bool
}

// Kinds of trouble.
const (
	Killed         = "killed"
	Started        = "started"
	Frozen         = "frozen"
	Stopped        = "stopped"
	Reload         = "reload"
	Closing        = "closing"
	UnexpectedExit = "own-end"
	// Link is trouble of the links between engines and daemons, or of an engine itself.
	Link = "link"
	// TestbedStall is trouble of the machine that the rehearsal itself runs on.
	TestbedStall = "machine"
)

// ReadinessCheck is one question for readiness.
type ReadinessCheck struct {
	At      clock.Mark
	Machine string
	Ready   bool
}

// History is all that is known of a day.
type History struct {
	Began, Ended clock.Mark
	Attempts     []*Attempt
	Arrivals     []*Arrival
	Orders       []*Order
	Incarnations []*Incarnation
	Changes      []*Change
	// Reads are all readings of the configuration, ReadBacks those at the end.
	Reads           []ReadBack
	ReadBacks       []ReadBack
	Disruptions     []*Disruption
	ReadinessChecks []ReadinessCheck
	// Cores and Edges name the machines.
	Cores, Edges []string
}

// Recorder gathers a history from many hands.
type Recorder struct {
	Clock clock.Clock

	mutex   sync.Mutex
	history History
}

// NewRecorder begins one.
func NewRecorder(c clock.Clock) *Recorder {
	return &Recorder{Clock: c, history: History{Began: c.Elapsed()}}
}

// Now is the time by the book's clock.
func (b *Recorder) Now() clock.Mark { return b.Clock.Elapsed() }

// Record changes the history; what it is given must not be kept.
func (b *Recorder) Record(change func(*History)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	change(&b.history)
}

// BeginDisruption notes the beginning of a trouble, and gives back what ends it.
func (b *Recorder) BeginDisruption(t Disruption) (over func()) {
	noted := &t
	b.Record(func(h *History) { noted.From = b.Now(); h.Disruptions = append(h.Disruptions, noted) })
	return func() { b.Record(func(*History) { noted.Until = b.Now() }) }
}

// Snapshot copies the history; all that goes on later is left out.
func (b *Recorder) Snapshot() *History {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	out := b.history
	out.Ended = b.Now()
	out.Attempts = copies(out.Attempts)
	out.Arrivals = copies(out.Arrivals)
	out.Orders = copies(out.Orders)
	out.Incarnations = copies(out.Incarnations)
	out.Changes = copies(out.Changes)
	out.Disruptions = copies(out.Disruptions)
	out.Reads = slices.Clone(out.Reads)
	out.ReadBacks = slices.Clone(out.ReadBacks)
	out.ReadinessChecks = slices.Clone(out.ReadinessChecks)
	return &out
}

// Arrivals copies those that match.
func (b *Recorder) Arrivals(match func(*Arrival) bool) (out []*Arrival) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, arrival := range b.history.Arrivals {
		if match(arrival) {
			copied := *arrival
			out = append(out, &copied)
		}
	}
	return out
}

func copies[T any](items []*T) []*T {
	out := make([]*T, len(items))
	for i, item := range items {
		copied := *item
		out[i] = &copied
	}
	return out
}

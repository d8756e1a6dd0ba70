// Package history records what the simulated engines, clients and operators have seen on their own sockets, and the
// disruptions of the fleet. Package checker holds it against the rules.
package history

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Arrival is one request as it arrived at an engine, and its outcome there.
type Arrival struct {
	At clock.Mark
	// Engine is the id of the engine's incarnation, Service the service it belongs to.
	Engine, Service string
	AttemptID       string
	Method, URI     string
	Host            string
	BodyDigest      string
	Target          string
	LastEvent       string
	DeadlineMs      int64
	Prompt          protocol.Prompt
	// Tenants are the values of X-Tenant, Urgency that of X-Urgency. Authorized: an Authorization header came along.
	Tenants    []string
	Urgency    string
	Authorized bool
	// HealthCheck is a request for the health page.
	HealthCheck bool
	// Status is the engine's answer; zero is none. Rejected: the engine answered that it has not executed it.
	Status   int
	Rejected bool
	// Began is when its execution began; zero is never. Run names the execution.
	Began clock.Mark
	Run   string
	// Ended is when the engine was done with it. Complete: it wrote the complete answer.
	Ended    clock.Mark
	Complete bool
	// Broken: the engine itself broke the answer off or made it malformed. CallerClosed: the caller disconnected.
	Broken, CallerClosed bool
	// Events is the last id that was written; From is the last id of the execution that it resumed.
	From, Events int
	// PrefilledTokens were computed, CachedTokens were in the prefix cache.
	PrefilledTokens, CachedTokens int
}

// Ran says whether the engine has begun to execute it.
func (a *Arrival) Ran() bool { return a.Began != 0 }

// Order is one order as it arrived at an engine.
type Order struct {
	At      clock.Mark
	Engine  string
	Service string
	Order   protocol.Order
	Status  int
	// OverCapacity says that it would have exceeded the engine's capacity.
	OverCapacity bool
	// FromStore says that the load came from the store of weights.
	FromStore bool
	// Done is when it was completed.
	Done clock.Mark
}

// Incarnation is one start of an engine, up to its end.
type Incarnation struct {
	Engine, Service, Zone, Address string
	Began                          clock.Mark
	Ended                          clock.Mark
	// DrainRequested is when it first announced that it drains; DrainAcked, when DrainBy acknowledged that.
	DrainRequested, DrainAcked clock.Mark
	DrainBy                    string
	// InitialModels were loaded at its start.
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
	// Version is the version of the weights, if the event announced another one.
	Version string
}

// Attempt is one attempt of a client, as it saw it on its socket.
type Attempt struct {
	// Request is common to all attempts for one answer; Kind names the sort of request.
	Request, Kind, Session string
	Zone                   string
	AttemptID              string
	Daemon                 string
	Host, Method, URI      string
	BodyDigest             string
	BodyBytes              int
	Prompt                 protocol.Prompt
	LastEvent              string
	// Key is the API key that was sent, Tenant the tenant that holds it as the client knows; empty is none.
	Key, Tenant string
	// DeadlineMs is the attempt's; TargetMs and Class are the route's, where the client knows.
	DeadlineMs int64
	TargetMs   int64
	Class      string
	Resumable  bool
	// Probe marks the few requests that show which configuration is in force. Absent: the route must not exist.
	Probe  bool
	Absent bool
	// Began is before the connection was made, Sent after the last byte was written; zero is never.
	Began, Sent, First, Ended clock.Mark
	Connected                 bool
	// FirstOnConnection: no other request was sent on the connection before.
	FirstOnConnection bool
	Status            int
	AnsweredID        string
	Seal              string
	RetryAfterMs      int64
	HasRetryAfter     bool
	Encoding          string
	ResponseBody      []byte
	Events            []Event
	// Complete says that the answer was complete by its framing.
	Complete bool
	// ClientClosed: the client closed first, at ClosedAt. Early: not because of a time-out; no answer is owed.
	ClientClosed, Early bool
	ClosedAt            clock.Mark
	// ExceedsDeadline: its work takes longer than its route's deadline, so it cannot be served completely.
	ExceedsDeadline bool
	// Malformed is the error of bytes that are no answer; Unsolicited are bytes that came while no request waited.
	Malformed, Unsolicited string
	Err                    string
}

// Success says that it counts as one: 2xx with the complete body.
func (t *Attempt) Success() bool { return t.Status >= 200 && t.Status < 300 && t.Complete }

// PromisesNotRun says that the status promises that the request has not run and never will.
func (t *Attempt) PromisesNotRun() bool {
	switch t.Status {
	case 429, 503, 408, 421:
		return true
	}
	return false
}

// Outcome is the outcome of an operator's change.
type Outcome string

const (
	// Acknowledged: the call was answered with 200.
	Acknowledged Outcome = "acknowledged"
	// Refused: the call was refused.
	Refused Outcome = "refused"
	// Unclear: no call of this change had a clear answer.
	Unclear Outcome = "unclear"
)

// Change is one change of the configuration, over all its sends.
type Change struct {
	Operator   string
	Base       uint64
	Generation uint64
	// Config is the resulting configuration; nil if it cannot be known.
	Config *protocol.Config
	// Fault says why it is invalid; empty is valid.
	Fault           string
	Patch           bool
	Began, Answered clock.Mark
	Outcome         Outcome
	Status          int
	Sends           int
	By              string
	// Method and Body are what was sent; with the same base they are the same change.
	Method string
	Body   []byte
	// Resent says that the change had been answered before.
	Resent bool
}

// Digest identifies a change: the same bytes on the same base are the same change, whoever sent them.
func (c *Change) Digest() string {
	sum := sha256.Sum256(c.Body)
	return fmt.Sprintf("%s %d %x", c.Method, c.Base, sum)
}

// ReadBack is the configuration as it was read, between Began and At.
type ReadBack struct {
	Began  clock.Mark
	At     clock.Mark
	Config *protocol.Config
	Raw    []byte
	Err    string
}

// Disruption is a fault or planned work that hits the fleet from outside.
type Disruption struct {
	From clock.Mark
	// Until is zero while it goes on.
	Until   clock.Mark
	Kind    string
	Machine string
	Core    bool
	Planned bool
}

// Kinds of disruption.
const (
	Killed         = "killed"
	Started        = "started"
	Frozen         = "frozen"
	Stopped        = "stopped"
	Reload         = "reload"
	Closing        = "closing"
	UnexpectedExit = "own-end"
	// Link is a fault of the links between engines and daemons, or of an engine itself.
	Link = "link"
	// TestbedStall is a stall of the machine that the testbed runs on.
	TestbedStall = "machine"
)

// ReadinessCheck is one readiness check of a machine.
type ReadinessCheck struct {
	At      clock.Mark
	Machine string
	Ready   bool
}

// History is all that was recorded of a run.
type History struct {
	Began, Ended clock.Mark
	Attempts     []*Attempt
	Arrivals     []*Arrival
	Orders       []*Order
	Incarnations []*Incarnation
	Changes      []*Change
	// Reads are all reads of the configuration, ReadBacks those at the end.
	Reads           []ReadBack
	ReadBacks       []ReadBack
	Disruptions     []*Disruption
	ReadinessChecks []ReadinessCheck
	// Cores and Edges name the machines.
	Cores, Edges []string
}

// Recorder gathers a history; it is safe for concurrent use.
type Recorder struct {
	Clock clock.Clock

	mutex   sync.Mutex
	history History
}

// NewRecorder begins a history.
func NewRecorder(c clock.Clock) *Recorder {
	return &Recorder{Clock: c, history: History{Began: c.Elapsed()}}
}

// Now is the time by the recorder's clock.
func (b *Recorder) Now() clock.Mark { return b.Clock.Elapsed() }

// Record changes the history under the recorder's lock; change must not retain it.
func (b *Recorder) Record(change func(*History)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	change(&b.history)
}

// BeginDisruption records the beginning of a disruption and returns a function that records its end.
func (b *Recorder) BeginDisruption(t Disruption) (over func()) {
	noted := &t
	b.Record(func(h *History) { noted.From = b.Now(); h.Disruptions = append(h.Disruptions, noted) })
	return func() { b.Record(func(*History) { noted.Until = b.Now() }) }
}

// Snapshot copies the history as it is now.
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

// Arrivals copies the arrivals that match.
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

package engine

import (
	"sync"
	"time"
)

// Fault is a fault injected into the answer to one request.
type Fault struct {
	Kind FaultKind
	// At is the byte of the answer, header included, at which it happens.
	At int
	// Reset closes with a TCP reset instead of an end.
	Reset bool
	// Status is the status of an EngineError.
	Status int
}

// FaultKind is a kind of fault.
type FaultKind string

const (
	// Break closes the connection after At bytes of the answer.
	Break FaultKind = "break"
	// ExtraAnswer writes a second complete answer after the first.
	ExtraAnswer FaultKind = "surplus"
	// LateExtraAnswer writes a second complete answer before the next answer.
	LateExtraAnswer FaultKind = "late-surplus"
	// Malformed writes bytes that are no HTTP answer.
	Malformed FaultKind = "junk"
	// WrongAttemptID answers with another request's attempt id.
	WrongAttemptID FaultKind = "foreign"
	// NoAttemptID answers without an attempt id.
	NoAttemptID FaultKind = "no-id"
	// Unresponsive executes the request and sends nothing after At bytes, until the caller closes.
	Unresponsive FaultKind = "silence"
	// Hang executes a plain request for ever, in its slot, until the caller closes.
	Hang FaultKind = "hang"
	// EngineError answers with an error of the engine's own, after it has executed the request.
	EngineError FaultKind = "own"
	// CloseUnread closes the connection before the request is read.
	CloseUnread FaultKind = "unread"
)

// faults chooses the fault of the next request.
type faults struct {
	mutex sync.Mutex
	next  []Fault
	// each chooses where next is empty; nil is no fault.
	each func(attempt string) *Fault
}

// DropIdle drops connections that were idle for so long without notice: the next request on one is reset unread. Zero
// ends it.
func (e *Engine) DropIdle(after time.Duration) { e.dropIdle.Store(int64(after)) }

// Inject injects faults into the next requests, one each.
func (e *Engine) Inject(some ...Fault) {
	e.faults.mutex.Lock()
	defer e.faults.mutex.Unlock()
	e.faults.next = append(e.faults.next, some...)
}

// Slow makes each step take so many times as long; one is as usual.
func (e *Engine) Slow(times int64) { e.slowFactor.Store(times) }

// LoseOrders executes the next orders without an answer.
func (e *Engine) LoseOrders(count int) {
	e.orderFaults.mutex.Lock()
	defer e.orderFaults.mutex.Unlock()
	for range count {
		e.orderFaults.next = append(e.orderFaults.next, Fault{Kind: Break})
	}
}

// FaultEach chooses a fault for each request; nil stops that.
func (e *Engine) FaultEach(choose func(attempt string) *Fault) {
	e.faults.mutex.Lock()
	defer e.faults.mutex.Unlock()
	e.faults.each = choose
}

func (f *faults) take(attempt string) *Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.next) > 0 {
		fault := f.next[0]
		f.next = f.next[1:]
		return &fault
	}
	if f.each != nil {
		return f.each(attempt)
	}
	return nil
}

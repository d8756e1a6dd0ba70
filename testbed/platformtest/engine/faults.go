package engine

import (
	"sync"
	"time"
)

// Fault is one way to go wrong with one request.
type Fault struct {
	Kind FaultKind
	// At is the byte of the answer, head included, at which it happens.
	At int
	// Reset closes with a reset and not with an end.
	Reset bool
	// Status is what an own failure answers with.
	Status int
}

// FaultKind names a way to go wrong.
type FaultKind string

const (
	// Break closes the connection after At bytes of the answer.
	Break FaultKind = "break"
	// ExtraAnswer writes a whole answer more behind a whole answer.
	ExtraAnswer FaultKind = "surplus"
	// LateExtraAnswer writes a whole answer more before the next answer.
	LateExtraAnswer FaultKind = "late-surplus"
	// Malformed writes bytes that are no answer.
	Malformed FaultKind = "junk"
	// WrongAttemptID answers with another's attempt id.
	WrongAttemptID FaultKind = "foreign"
	// NoAttemptID answers without an attempt id.
	NoAttemptID FaultKind = "no-id"
	// Unresponsive runs the request and says nothing more after At bytes, until the caller closes.
	Unresponsive FaultKind = "silence"
	// Hang runs a plain request for ever, in its slot, until the caller closes.
	Hang FaultKind = "hang"
	// EngineError is the engine's own failure, after it has run.
	EngineError FaultKind = "own"
	// CloseUnread closes before it has read the request.
	CloseUnread FaultKind = "unread"
)

// faults hands out what is to go wrong next.
type faults struct {
	mutex sync.Mutex
	next  []Fault
	// each is asked where nothing is set for the next one.
	each func(attempt string) *Fault
}

// DropIdle has connections that were idle for so long dropped in silence: nothing shows before something is sent on
// one, and that is reset unread. Zero ends it.
func (e *Engine) DropIdle(after time.Duration) { e.dropIdle.Store(int64(after)) }

// Inject makes the next requests go wrong, one each.
func (e *Engine) Inject(some ...Fault) {
	e.faults.mutex.Lock()
	defer e.faults.mutex.Unlock()
	e.faults.next = append(e.faults.next, some...)
}

// Slow makes each step take so many times as long, however little there is to do; one is as usual.
func (e *Engine) Slow(times int64) { e.slowFactor.Store(times) }

// LoseOrders takes the next orders without an answer.
func (e *Engine) LoseOrders(count int) {
	e.orderFaults.mutex.Lock()
	defer e.orderFaults.mutex.Unlock()
	for range count {
		e.orderFaults.next = append(e.orderFaults.next, Fault{Kind: Break})
	}
}

// FaultEach asks for each request what is to go wrong; nil stops that.
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

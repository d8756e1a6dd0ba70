package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// pendingOrder is an order that no report has resolved yet.
type pendingOrder struct {
	Order
	state          orderState
	sent, answered clock.Mark
	// ready is when it is expected to be done.
	ready clock.Mark
	// key finds its load in the window; zero for an order that loads nothing from the store.
	key uint64
	// reportsRequested counts the reports requested since its end was expected to be visible.
	reportsRequested int
}

type orderState uint8

const (
	sending orderState = iota
	accepted
	uncertain
)

// issue makes an order pending; the engine gets no other until this one is resolved.
func (p *Planner) issue(now clock.Mark, e *engine, kind Kind, target registry.Target, ready time.Duration) Order {
	p.Counters.Orders++
	order := Order{Engine: e.id, Kind: kind, Model: target.Model, Adapter: target.Adapter, Expected: e.acceptedOrders, Owner: p.settings.Owner}
	e.pending = &pendingOrder{Order: order, sent: now, ready: now + clock.Mark(ready)}
	switch {
	case kind == Load && target.Adapter != "":
		p.Counters.AdapterLoads++
	case kind == Load:
		p.Counters.Loads++
		if !e.loadedBefore[target.Model] {
			// Only what this incarnation has had loaded surely comes from its own disk.
			p.lastLoadKey++
			e.pending.key = p.lastLoadKey
			p.loadWindow.begin(p.lastLoadKey, now+clock.Mark(p.settings.OrderTimeout))
		}
	case target.Adapter != "":
		p.Counters.AdapterEvicts++
	default:
		p.Counters.Evicts++
	}
	return order
}

// Stamp records the minted id and the fencing token that an order is sent with.
func (p *Planner) Stamp(engine ident.EngineID, stamp ident.SnowflakeID, claim ident.FencingToken) (Order, string, bool) {
	e := p.engines[engine]
	if e == nil || e.pending == nil {
		return Order{}, "", false
	}
	e.pending.Stamp, e.pending.Claim = stamp, claim
	return e.pending.Order, e.address, true
}

// Withdraw forgets an order that was never sent.
func (p *Planner) Withdraw(now clock.Mark, engine ident.EngineID) {
	if e := p.engines[engine]; e != nil && e.pending != nil {
		p.Counters.NotSent++
		p.loadWindow.began(e.pending.key, now, true)
		e.pending = nil
		e.backOff(now, 300*time.Millisecond)
	}
}

// Answered records the outcome of an order that was sent.
func (p *Planner) Answered(now clock.Mark, order Order, answer OrderOutcome) {
	e := p.engines[order.Engine]
	if e == nil || e.pending == nil || e.pending.Stamp != order.Stamp {
		return
	}
	f := e.pending
	f.answered = now
	e.nextReport = now + clock.Mark(p.settings.BusyReportInterval)
	switch answer {
	case Accepted:
		f.state = accepted
		f.ready += now - f.sent
		p.loadWindow.began(f.key, now, false)
		e.acceptedOrders, e.acceptedAt = f.Expected+1, now
		// Its end can be estimated, and reports lag: an earlier one would not show it.
		e.nextReport = f.visibleAt(p.lag)
		return
	case NoAnswer:
		f.state = uncertain
		p.loadWindow.began(f.key, now, false)
		return
	case NotSent:
		p.Withdraw(now, order.Engine)
		return
	case AlreadyDone:
		p.Counters.AlreadyDone++
		e.backOff(now, lagLimit/2)
	case Refused:
		p.Counters.Refused++
		// It has accepted another number of orders than assumed: a report that is new enough will show it.
		e.backOff(now, lagLimit/3)
	case Fenced, WrongEngine:
		p.Counters.Refused++
		e.backOff(now, lagLimit)
	case Malformed:
		p.Counters.Refused++
		e.backoffs[order.Target()] = now + clock.Mark(15*failureBackoff)
	}
	p.loadWindow.began(f.key, now, true)
	e.pending = nil
}

// visibleAt is when a report that is requested then should show that an order has ended.
func (f *pendingOrder) visibleAt(lag time.Duration) clock.Mark {
	if f.Kind == Load && f.Adapter == "" {
		return f.ready + clock.Mark(lag)
	}
	// An adapter, and an unload that nothing runs on, takes some milliseconds.
	return f.answered + clock.Mark(lag)
}

// usesStore says whether an order's load is likely to be in progress at the store. Reports show its end late, when the
// store has long been free again.
func (f *pendingOrder) usesStore(now clock.Mark) bool {
	return f.key != 0 && (f.state != accepted || now < f.ready)
}

// resolve compares the pending order with a report that was accepted.
func (p *Planner) resolve(now clock.Mark, e *engine) (resolved bool) {
	f := e.pending
	if f == nil || f.state == sending {
		return false
	}
	p.learn(f, e.reportRequested, e.report.Accepted > f.Expected && !e.report.Saturated)
	if e.report.Accepted <= f.Expected {
		// The report can't reflect the order yet; only those requested later than any lag can say that it never arrived.
		if e.reportRequested.Since(f.answered) > lagLimit {
			p.Counters.NeverArrived++
			p.loadWindow.began(f.key, f.answered, false)
			e.pending = nil
			return true
		}
		return false
	}
	if e.report.Saturated {
		return false
	}
	e.pending = nil
	if e.hasLoaded(f.Target()) == (f.Kind == Load) {
		p.Counters.Done++
		if f.Kind == Load {
			e.loadedSince[f.Target()] = now
		}
		return true
	}
	p.Counters.Failed++
	e.backoffs[f.Target()] = now + clock.Mark(failureBackoff)
	return true
}

// PendingOrders counts the orders that are not resolved.
func (p *Planner) PendingOrders() int {
	count := 0
	for _, e := range p.engines {
		if e.pending != nil {
			count++
		}
	}
	return count
}

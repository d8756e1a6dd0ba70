package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// pendingOrder is an order that no report has settled yet.
type pendingOrder struct {
	Order
	state          orderState
	sent, answered clock.Mark
	// ready is when it is expected to be done.
	ready clock.Mark
	// key finds its load in the window; zero of an order that fetches nothing from the store.
	key uint64
	// reportsRequested counts the reports that were asked for when its end was expected to show.
	reportsRequested int
}

type orderState uint8

const (
	sending orderState = iota
	accepted
	uncertain
)

// issue notes an order as under way; the engine gets no other until this one is settled.
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
			// Only what this very life has held surely comes from its own disk.
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

// Stamp notes the id and the claim that an order is sent under.
func (p *Planner) Stamp(engine ident.EngineID, stamp ident.SnowflakeID, claim ident.FencingToken) (Order, string, bool) {
	e := p.engines[engine]
	if e == nil || e.pending == nil {
		return Order{}, "", false
	}
	e.pending.Stamp, e.pending.Claim = stamp, claim
	return e.pending.Order, e.address, true
}

// Withdraw forgets an order that never left.
func (p *Planner) Withdraw(now clock.Mark, engine ident.EngineID) {
	if e := p.engines[engine]; e != nil && e.pending != nil {
		p.Counters.NotSent++
		p.loadWindow.began(e.pending.key, now, true)
		e.pending = nil
		e.backOff(now, 300*time.Millisecond)
	}
}

// Answered takes what became of an order that was sent.
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
		// Its end can be told beforehand, and reports lag: those before that would tell nothing.
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
		// What it has taken is not what was thought: a report that is new enough will tell.
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

// visibleAt is when a report that is asked for then should show that an order has ended.
func (f *pendingOrder) visibleAt(lag time.Duration) clock.Mark {
	if f.Kind == Load && f.Adapter == "" {
		return f.ready + clock.Mark(lag)
	}
	// An adapter, and an unload that nothing runs on, takes some milliseconds.
	return f.answered + clock.Mark(lag)
}

// usesStore says whether an order's load is likely to be under way at the store. Reports show its end late, but
// the store has long been free by then.
func (f *pendingOrder) usesStore(now clock.Mark) bool {
	return f.key != 0 && (f.state != accepted || now < f.ready)
}

// resolve compares the order under way with a report that was taken for true.
func (p *Planner) resolve(now clock.Mark, e *engine) (resolved bool) {
	f := e.pending
	if f == nil || f.state == sending {
		return false
	}
	p.learn(f, e.reportRequested, e.report.Accepted > f.Expected && !e.report.Saturated)
	if e.report.Accepted <= f.Expected {
		// The report can't reflect the order yet; only those asked for later than any lag can say that it never arrived.
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

// PendingOrders counts the orders that are not settled.
func (p *Planner) PendingOrders() int {
	count := 0
	for _, e := range p.engines {
		if e.pending != nil {
			count++
		}
	}
	return count
}

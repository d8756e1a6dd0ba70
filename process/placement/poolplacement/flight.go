package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// flight is an order that no report has settled yet.
type flight struct {
	Order
	state          flightState
	sent, answered clock.Mark
	// ready is when it is expected to be done.
	ready clock.Mark
	// key finds its load in the window; zero of an order that fetches nothing from the store.
	key uint64
	// asked counts the reports that were asked for when its end was expected to show.
	asked int
}

type flightState uint8

const (
	sending flightState = iota
	taken
	unsure
)

// give notes an order as under way; the engine gets no other until this one is settled.
func (p *Planner) give(now clock.Mark, e *engine, kind Kind, target registry.Target, ready time.Duration) Order {
	p.Counters.Orders++
	order := Order{Engine: e.id, Kind: kind, Model: target.Model, Adapter: target.Adapter, Expected: e.taken, Owner: p.settings.Owner}
	e.flight = &flight{Order: order, sent: now, ready: now + clock.Mark(ready)}
	switch {
	case kind == Load && target.Adapter != "":
		p.Counters.AdapterLoads++
	case kind == Load:
		p.Counters.Loads++
		if !e.had[target.Model] {
			// Only what this very life has held surely comes from its own disk.
			p.keys++
			e.flight.key = p.keys
			p.pace.begin(p.keys, now+clock.Mark(p.settings.OrderLimit))
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
	if e == nil || e.flight == nil {
		return Order{}, "", false
	}
	e.flight.Stamp, e.flight.Claim = stamp, claim
	return e.flight.Order, e.address, true
}

// Withdraw forgets an order that never left.
func (p *Planner) Withdraw(now clock.Mark, engine ident.EngineID) {
	if e := p.engines[engine]; e != nil && e.flight != nil {
		p.Counters.Unsent++
		p.pace.began(e.flight.key, now, true)
		e.flight = nil
		e.rest(now, 300*time.Millisecond)
	}
}

// Answered takes what became of an order that was sent.
func (p *Planner) Answered(now clock.Mark, order Order, answer Answer) {
	e := p.engines[order.Engine]
	if e == nil || e.flight == nil || e.flight.Stamp != order.Stamp {
		return
	}
	f := e.flight
	f.answered = now
	e.askNext = now + clock.Mark(p.settings.Busy)
	switch answer {
	case Taken:
		f.state = taken
		f.ready += now - f.sent
		p.pace.began(f.key, now, false)
		e.taken, e.takenAt = f.Expected+1, now
		// Its end can be told beforehand, and reports lag: those before that would tell nothing.
		e.askNext = f.shows(p.lag)
		return
	case NoAnswer:
		f.state = unsure
		p.pace.began(f.key, now, false)
		return
	case Unsent:
		p.Withdraw(now, order.Engine)
		return
	case Already:
		p.Counters.Already++
		e.rest(now, lagLimit/2)
	case Refused:
		p.Counters.Refused++
		// What it has taken is not what was thought: a report that is new enough will tell.
		e.rest(now, lagLimit/3)
	case Outdated, Elsewhere:
		p.Counters.Refused++
		e.rest(now, lagLimit)
	case Malformed:
		p.Counters.Refused++
		e.rests[order.Target()] = now + clock.Mark(15*restAfter)
	}
	p.pace.began(f.key, now, true)
	e.flight = nil
}

// shows is when a report that is asked for then should show that an order has ended.
func (f *flight) shows(lag time.Duration) clock.Mark {
	if f.Kind == Load && f.Adapter == "" {
		return f.ready + clock.Mark(lag)
	}
	// An adapter, and an unload that nothing runs on, takes some milliseconds.
	return f.answered + clock.Mark(lag)
}

// burdensStore says whether an order's load is likely to be under way at the store. Reports show its end late, but
// the store has long been free by then.
func (f *flight) burdensStore(now clock.Mark) bool {
	return f.key != 0 && (f.state != taken || now < f.ready)
}

// settle compares the order under way with a report that was taken for true.
func (p *Planner) settle(now clock.Mark, e *engine) (settled bool) {
	f := e.flight
	if f == nil || f.state == sending {
		return false
	}
	p.learn(f, e.asked, e.report.Taken > f.Expected && !e.report.Saturated)
	if e.report.Taken <= f.Expected {
		// The report can't reflect the order yet; only those asked for later than any lag can say that it never arrived.
		if e.asked.Since(f.answered) > lagLimit {
			p.Counters.NeverArrived++
			p.pace.began(f.key, f.answered, false)
			e.flight = nil
			return true
		}
		return false
	}
	if e.report.Saturated {
		return false
	}
	e.flight = nil
	if e.holds(f.Target()) == (f.Kind == Load) {
		p.Counters.Done++
		if f.Kind == Load {
			e.came[f.Target()] = now
		}
		return true
	}
	p.Counters.Failed++
	e.rests[f.Target()] = now + clock.Mark(restAfter)
	return true
}

// InFlight counts the orders that are not settled.
func (p *Planner) InFlight() int {
	count := 0
	for _, e := range p.engines {
		if e.flight != nil {
			count++
		}
	}
	return count
}

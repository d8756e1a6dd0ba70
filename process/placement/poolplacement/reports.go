package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Reported takes an engine's report, or the failure to get one; asked is when it was asked for. It says whether
// an order was settled by it, so that the next can be given at once.
func (p *Planner) Reported(now, asked clock.Mark, id ident.EngineID, report Report, ok bool) (settled bool) {
	e := p.engines[id]
	if e == nil {
		return false
	}
	e.asking = false
	if !ok {
		p.Counters.FailedReports++
		e.failures++
		e.askNext = now + clock.Mark(min(p.settings.Rest, 2*p.settings.Busy*time.Duration(e.failures)))
		return false
	}
	p.Counters.Reports++
	e.failures = 0
	load := float64(report.Active+report.Queued) / float64(max(1, e.slots))
	if report.Queued > 0 {
		load = max(load, 1)
	}
	e.heat += (load - e.heat) * 0.5
	e.askNext = now + clock.Mark(p.interval(e))
	if e.read && asked < e.asked {
		return false
	}
	// A report from before orders that are known to have been taken tells nothing of what is held. What earlier
	// claims told may never have left: only a report asked for later than any lag says so.
	if report.Taken < e.taken && now.Since(e.takenAt) < oldLag || report.Taken < p.inherited[id] && asked.Since(p.began) < lagLimit {
		p.Counters.StaleReports++
		if e.flight != nil {
			p.learn(e.flight, asked, false)
		}
		e.askNext = now + clock.Mark(p.interval(e))
		return false
	}
	delete(p.inherited, id)
	e.read, e.asked, e.report, e.taken = true, asked, report, report.Taken
	e.noteHeld(now)
	settled = p.settle(now, e)
	e.askNext = now + clock.Mark(p.interval(e))
	return settled
}

// learn corrects by one report what is known of how far reports lag. A load of a model tells nothing of it:
// how long that takes depends on what runs there.
func (p *Planner) learn(f *flight, asked clock.Mark, shown bool) {
	if f.state != taken || asked < f.shows(p.lag) {
		return
	}
	if f.asked++; f.asked > 1 || f.Kind == Load && f.Adapter == "" {
		return
	}
	if shown {
		p.lag = max(leastLag, p.lag-lagDown)
	} else {
		p.lag = min(mostLag, p.lag+lagUp)
	}
}

// interval is how soon an engine is asked for its next report.
func (p *Planner) interval(e *engine) time.Duration {
	switch {
	case e.flight != nil && e.flight.state == taken && e.flight.asked < quickAsks:
		// What should show by now is looked for often, so that the next order needn't wait.
		return p.settings.Look
	case e.flight != nil || e.intent != nil || !e.read || e.report.Taken < e.taken || e.asked < e.waitFor:
		return p.settings.Busy
	case !e.usable:
		return 3 * p.settings.Rest
	}
	return p.settings.Rest
}

// Ask is one engine that is to be asked for its report.
type Ask struct {
	Engine  ident.EngineID
	Address string
}

// Due lists the engines to ask for their reports now.
func (p *Planner) Due(now clock.Mark) []Ask {
	var out []Ask
	for _, id := range p.ids {
		e := p.engines[id]
		if e.asking || now < e.askNext {
			continue
		}
		e.asking = true
		out = append(out, Ask{id, e.address})
	}
	return out
}

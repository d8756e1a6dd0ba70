package sessionplacement

import (
	"maps"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// OrderState is what is known of an order that was given.
type OrderState uint8

const (
	// Sending: on its way, no answer yet.
	Sending OrderState = iota
	// Taken: the engine said that it took it.
	Taken
	// Unknown: the answer was lost; only reports can tell.
	Unknown
)

// OrderInFlight is one order that no report has settled yet.
type OrderInFlight struct {
	engineapi.Order
	State OrderState
	Sent  clock.Mark
	// Expect is the call-seq that a report must show to say anything about this order.
	Expect      uint64
	Incarnation int
	// address is where it was sent, answered when its answer came.
	address  string
	answered clock.Mark
	// confirmed says that the incarnation it was noted under was still seen after the answer, so it took the order.
	confirmed bool
}

// Inherit takes over what earlier claims ordered. An engine gets no order before its report can tell of that.
func (p *Planner) Inherit(now clock.Mark, orders map[ident.EngineID]uint64) {
	p.began = now
	maps.Copy(p.inherited, orders)
}

// Ordered is the call-seq each engine must show before its reports tell of all orders, this claim's and earlier ones'.
func (p *Planner) Ordered() map[ident.EngineID]uint64 {
	out := maps.Clone(p.inherited)
	for id, seq := range p.ordered {
		out[id] = max(out[id], seq)
	}
	return out
}

// forgetInherited forgets what was inherited for engines whose reports tell of it by now, or were asked for so long
// after the claim began that the engine must be another incarnation.
func (p *Planner) forgetInherited(in Input) {
	for id, seq := range p.inherited {
		engine := in.Engines.Engines[id]
		if engine != nil && (engine.Report.CallSeq >= seq || engine.ReportRequested.Since(p.began) > reportLagLimit) {
			delete(p.inherited, id)
		}
	}
}

// Directed is an order with the engine it is for.
type Directed struct {
	Engine  ident.EngineID
	Address string
	engineapi.Order
}

// Answered takes an engine's answer to an order, or the lack of one.
func (p *Planner) Answered(now clock.Mark, engine ident.EngineID, order engineapi.Order, answer *engineapi.OrderAnswer) {
	inFlight := p.inFlight[engine]
	if inFlight == nil || inFlight.Order.Stamp != order.Stamp {
		return
	}
	inFlight.answered = now
	switch {
	case answer == nil:
		inFlight.State = Unknown
	case answer.Taken:
		inFlight.State = Taken
	default:
		p.Counters.Refused++
		p.blockedUntil[placed{engine, order.Model, order.Adapter}] = now + clock.Mark(failedRest)
		delete(p.inFlight, engine)
	}
}

// Stamp notes the id an order was sent under.
func (p *Planner) Stamp(engine ident.EngineID, stamp ident.SnowflakeID, claim ident.FencingToken) (engineapi.Order, bool) {
	inFlight := p.inFlight[engine]
	if inFlight == nil {
		return engineapi.Order{}, false
	}
	inFlight.Order.Stamp, inFlight.Order.Claim = stamp, claim
	return inFlight.Order, true
}

// Withdraw forgets an order that never left.
func (p *Planner) Withdraw(engine ident.EngineID) {
	if inFlight := p.inFlight[engine]; inFlight != nil {
		if inFlight.Kind == engineapi.Load {
			p.loaded = false
		}
		p.ordered[engine] = inFlight.Expect - 1
		delete(p.inFlight, engine)
	}
}

// issue notes an order as under way; from now on the engine gets no other until this one is settled.
func (p *Planner) issue(in Input, engine *discovery.Engine, order engineapi.Order) Directed {
	p.Counters.Orders++
	p.ordered[engine.ID] = engine.Report.CallSeq + 1
	p.inFlight[engine.ID] = &OrderInFlight{Order: order, State: Sending, Sent: in.Now, Expect: engine.Report.CallSeq + 1, Incarnation: engine.Incarnation, address: engine.Address}
	return Directed{Engine: engine.ID, Address: engine.Address, Order: order}
}

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
	// Sending: sent, no answer yet.
	Sending OrderState = iota
	// Accepted: the engine answered that it accepted it.
	Accepted
	// Unknown: the answer was lost; only reports can tell.
	Unknown
)

// PendingOrder is an order that no report has resolved yet.
type PendingOrder struct {
	engineapi.Order
	State OrderState
	Sent  clock.Mark
	// Expect is the call-seq that a report must show to say anything about this order.
	Expect      uint64
	Incarnation int
	// address is where it was sent, answered when its answer arrived.
	address  string
	answered clock.Mark
	// confirmed says that the incarnation it was sent to was still seen after the answer, so that one accepted the order.
	confirmed bool
}

// Inherit takes over what was ordered under earlier leases. An engine gets no order before its report reflects that.
func (p *Planner) Inherit(now clock.Mark, orders map[ident.EngineID]uint64) {
	p.began = now
	maps.Copy(p.inherited, orders)
}

// Ordered is the call-seq that each engine must report before its reports reflect all orders, of this lease and earlier
// ones.
func (p *Planner) Ordered() map[ident.EngineID]uint64 {
	out := maps.Clone(p.inherited)
	for id, seq := range p.ordered {
		out[id] = max(out[id], seq)
	}
	return out
}

// forgetInherited forgets what was inherited for engines whose reports reflect it by now, or were requested so long
// after the lease began that the engine must be another incarnation.
func (p *Planner) forgetInherited(in Input) {
	for id, seq := range p.inherited {
		engine := in.Engines.Engines[id]
		if engine != nil && (engine.Report.CallSeq >= seq || engine.ReportRequested.Since(p.began) > reportLagLimit) {
			delete(p.inherited, id)
		}
	}
}

// Directed is an order with the engine that it is for.
type Directed struct {
	Engine  ident.EngineID
	Address string
	engineapi.Order
}

// Answered records an engine's answer to an order; nil means that no answer came.
func (p *Planner) Answered(now clock.Mark, engine ident.EngineID, order engineapi.Order, answer *engineapi.OrderAnswer) {
	pending := p.pending[engine]
	if pending == nil || pending.Order.Stamp != order.Stamp {
		return
	}
	pending.answered = now
	switch {
	case answer == nil:
		pending.State = Unknown
	case answer.Taken:
		pending.State = Accepted
	default:
		p.Counters.Refused++
		p.blockedUntil[placement{engine, order.Model, order.Adapter}] = now + clock.Mark(failedOrderBackoff)
		delete(p.pending, engine)
	}
}

// Stamp records the minted id and the fencing token that an order is sent with. It gives false where none is pending.
func (p *Planner) Stamp(engine ident.EngineID, stamp ident.SnowflakeID, claim ident.FencingToken) (engineapi.Order, bool) {
	pending := p.pending[engine]
	if pending == nil {
		return engineapi.Order{}, false
	}
	pending.Order.Stamp, pending.Order.Claim = stamp, claim
	return pending.Order, true
}

// Withdraw forgets an order that was never sent.
func (p *Planner) Withdraw(engine ident.EngineID) {
	if pending := p.pending[engine]; pending != nil {
		if pending.Kind == engineapi.Load {
			p.loaded = false
		}
		p.ordered[engine] = pending.Expect - 1
		delete(p.pending, engine)
	}
}

// issue makes an order pending; from now on the engine gets no other until this one is resolved.
func (p *Planner) issue(in Input, engine *discovery.Engine, order engineapi.Order) Directed {
	p.Counters.Orders++
	p.ordered[engine.ID] = engine.Report.CallSeq + 1
	p.pending[engine.ID] = &PendingOrder{Order: order, State: Sending, Sent: in.Now, Expect: engine.Report.CallSeq + 1, Incarnation: engine.Incarnation, address: engine.Address}
	return Directed{Engine: engine.ID, Address: engine.Address, Order: order}
}

// Package placement decides which engine holds which model and adapter, and orders it. The plan is
// a pure step over the spec, the demand, the seats and the engines' reports; the actor beside it
// holds the claim, stamps the orders and sends them.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/epoch/table"
	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/engines"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Demand is what the whole fleet holds or runs for one model and adapter.
type Demand struct {
	Model, Adapter string
	Worth          int64
	Held, Running  int
}

// Seats counts the sessions that sit on an engine with a model and adapter.
type Seats struct {
	Engine         ident.EngineID
	Model, Adapter string
	Sessions       int
}

// Input is what one step looks at.
type Input struct {
	Now     clock.Mark
	Table   *table.Table
	Engines *engines.View
	Demand  []Demand
	Seats   []Seats
}

// OrderState is what is known of an order that was given.
type OrderState uint8

const (
	// Sending: on its way, no answer yet.
	Sending OrderState = iota
	// Taken: the engine said that it took it.
	Taken
	// Unsure: the answer was lost; only reports can tell.
	Unsure
)

// InFlight is one order that no report has settled yet.
type InFlight struct {
	engineapi.Order
	State OrderState
	Sent  clock.Mark
	// Expect is the call-seq that a report must show to say anything about this order.
	Expect uint64
	Life   int
	// address is where it was sent, answered when its answer came.
	address  string
	answered clock.Mark
	// ofThisLife says that the life it was noted under was still seen after the answer, so it took the order.
	ofThisLife bool
}

// Counters count what happened.
type Counters struct {
	Orders, Done, Refused, Void, NeverArrived, Failed uint64
}

// Planner is the state of the plan under one claim.
type Planner struct {
	inFlight map[ident.EngineID]*InFlight
	lastLoad clock.Mark
	loaded   bool
	// since is when each model was first seen on each engine; wantedAt when each was last asked for.
	since    map[place]clock.Mark
	wantedAt map[want]wish
	restful  map[place]clock.Mark
	// lackSince is since when something has been asked for that stands nowhere.
	lackSince map[want]clock.Mark
	// wantedSince is since when something has been asked for without a quiet spell, seatedSince since when
	// somebody has sat on it.
	wantedSince map[want]clock.Mark
	seatedSince map[place]clock.Mark
	// ordered is the call-seq each engine must show before its reports tell of all that this claim ordered,
	// inherited the same of the claims before, began when this claim did.
	ordered, inherited map[ident.EngineID]uint64
	began              clock.Mark
	// Lacks lists what is asked for and could not be served in the newest step.
	Lacks    []Lack
	Counters Counters
}

type place struct {
	engine         ident.EngineID
	model, adapter string
}

type want struct{ model, adapter string }

type wish struct {
	at    clock.Mark
	worth int64
}

// NewPlanner makes the plan of a fresh claim: it knows of no order, and reads what is under way from reports.
func NewPlanner() *Planner {
	return &Planner{inFlight: map[ident.EngineID]*InFlight{}, since: map[place]clock.Mark{}, wantedAt: map[want]wish{}, restful: map[place]clock.Mark{}, lackSince: map[want]clock.Mark{},
		wantedSince: map[want]clock.Mark{}, seatedSince: map[place]clock.Mark{},
		ordered: map[ident.EngineID]uint64{}, inherited: map[ident.EngineID]uint64{}}
}

const (
	// orderLimit is how long an order's answer is waited for.
	orderLimit = 1500 * time.Millisecond
	// reportLagLimit is how far behind the truth a report may be; an engine whose order was lost gets no other for that long.
	reportLagLimit = 15 * time.Second
	// minStay is how long a model stays at least once it was loaded, so that the fleet doesn't flap.
	minStay = 8 * time.Second
	// quietFor is how long nobody has asked for a model before it counts as not wanted.
	quietFor = 5 * time.Second
	// turnAfter is how long a bid waits before it may take the room of an equal one, which has then stayed turnStay at least.
	turnAfter = 3 * time.Second
	turnStay  = 2 * minStay
	// failedRest is how long a failed or refused order is not tried again on that engine.
	failedRest = 2 * time.Second
)

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

// meet forgets what was inherited for engines whose reports tell of it by now, or were asked for so long
// after the claim began that the engine must be another life.
func (p *Planner) meet(in Input) {
	for id, seq := range p.inherited {
		engine := in.Engines.Engines[id]
		if engine != nil && (engine.Report.CallSeq >= seq || engine.Asked.Since(p.began) > reportLagLimit) {
			delete(p.inherited, id)
		}
	}
}

// Step settles what the reports show, and gives the orders to send now.
func (p *Planner) Step(in Input) []Directed {
	if in.Table == nil {
		return nil
	}
	p.settle(in)
	p.meet(in)
	p.remember(in)
	var orders []Directed
	p.Lacks = nil
	for _, wanted := range p.wants(in) {
		if order, ok := p.serve(in, wanted); ok {
			orders = append(orders, order)
		} else if standing, _ := p.standing(in, wanted.want); standing == 0 && !wanted.idle {
			p.lack(in, wanted)
		}
	}
	return orders
}

// Directed is an order with the engine it is for.
type Directed struct {
	Engine  ident.EngineID
	Address string
	engineapi.Order
}

// Answered takes an engine's answer to an order, or the lack of one.
func (p *Planner) Answered(now clock.Mark, engine ident.EngineID, order engineapi.Order, answer *engineapi.OrderAnswer) {
	flight := p.inFlight[engine]
	if flight == nil || flight.Order.Stamp != order.Stamp {
		return
	}
	flight.answered = now
	switch {
	case answer == nil:
		flight.State = Unsure
	case answer.Taken:
		flight.State = Taken
	default:
		p.Counters.Refused++
		p.restful[place{engine, order.Model, order.Adapter}] = now + clock.Mark(failedRest)
		delete(p.inFlight, engine)
	}
}

// Stamp notes the id an order was sent under.
func (p *Planner) Stamp(engine ident.EngineID, stamp ident.MintedID, claim ident.ClaimNumber) (engineapi.Order, bool) {
	flight := p.inFlight[engine]
	if flight == nil {
		return engineapi.Order{}, false
	}
	flight.Order.Stamp, flight.Order.Claim = stamp, claim
	return flight.Order, true
}

// Withdraw forgets an order that never left.
func (p *Planner) Withdraw(engine ident.EngineID) {
	if flight := p.inFlight[engine]; flight != nil {
		if flight.Kind == engineapi.Load {
			p.loaded = false
		}
		p.ordered[engine] = flight.Expect - 1
		delete(p.inFlight, engine)
	}
}

// settle compares each order under way with the newest report that can reflect it.
func (p *Planner) settle(in Input) {
	for id, flight := range p.inFlight {
		engine := in.Engines.Engines[id]
		switch {
		case engine == nil || engine.Address != flight.address || engine.Life != flight.Life && flight.ofThisLife:
			// A new life of the engine: what was ordered before is void.
			p.Counters.Void++
			delete(p.inFlight, id)
			delete(p.ordered, id)
			continue
		case engine.Life != flight.Life:
			// The new life was not known of when the order left, so it may be the one that got it: only its
			// reports can tell, and its counter began anew.
			flight.Life, flight.Expect = engine.Life, 1
			p.ordered[id] = 1
		case flight.answered > 0 && engine.Asked > flight.answered:
			flight.ofThisLife = true
		}
		if engine.Asked <= flight.Sent || flight.State == Sending {
			continue
		}
		if engine.Report.CallSeq < flight.Expect {
			// The report can't yet reflect the order. Only when reports asked for longer after than any lag still lack it, it never arrived.
			// One that was taken and never shows was taken by a life that has ended unseen.
			if engine.Asked.Since(flight.Sent) > reportLagLimit {
				p.Counters.NeverArrived++
				delete(p.inFlight, id)
			}
			continue
		}
		p.settleShown(in.Now, id, engine, flight)
	}
}

func (p *Planner) settleShown(now clock.Mark, id ident.EngineID, engine *engines.Engine, flight *InFlight) {
	held, present := find(engine, flight.Model)
	hasAdapter := present && slices.Contains(held.Adapters, flight.Adapter)
	var done, waiting bool
	switch flight.Kind {
	case engineapi.Load:
		done, waiting = present && held.State == engineapi.Loaded, present && held.State == engineapi.Loading
	case engineapi.Unload:
		done, waiting = !present, present && held.State == engineapi.Unloading
	case engineapi.LoadAdapter:
		done = hasAdapter
	case engineapi.UnloadAdapter:
		done = !hasAdapter
	}
	switch {
	case done:
		p.Counters.Done++
	case waiting:
		return
	case now.Since(flight.Sent) < 2*orderLimit:
		// The effect may need a moment to show.
		return
	default:
		p.Counters.Failed++
		p.restful[place{id, flight.Model, flight.Adapter}] = now + clock.Mark(failedRest)
	}
	delete(p.inFlight, id)
}

func find(engine *engines.Engine, model string) (engineapi.ModelReport, bool) {
	for _, held := range engine.Report.Models {
		if held.Model == model {
			return held, true
		}
	}
	return engineapi.ModelReport{}, false
}

// remember keeps when models came and when they were wanted.
func (p *Planner) remember(in Input) {
	seen := map[place]bool{}
	for id, engine := range in.Engines.Engines {
		for _, held := range engine.Report.Models {
			key := place{engine: id, model: held.Model}
			seen[key] = true
			if _, known := p.since[key]; !known {
				p.since[key] = in.Now
			}
		}
	}
	for key := range p.since {
		if !seen[key] {
			delete(p.since, key)
		}
	}
	for _, demand := range in.Demand {
		if demand.Held+demand.Running == 0 {
			continue
		}
		for _, key := range []want{{demand.Model, ""}, {demand.Model, demand.Adapter}} {
			old := p.wantedAt[key]
			worth := demand.Worth
			if in.Now.Since(old.at) < quietFor {
				worth = max(worth, old.worth)
			}
			if _, known := p.wantedSince[key]; !known || in.Now.Since(old.at) >= quietFor {
				p.wantedSince[key] = in.Now
			}
			p.wantedAt[key] = wish{in.Now, worth}
		}
	}
	sat := map[place]bool{}
	for _, seat := range in.Seats {
		for _, key := range []place{{seat.Engine, seat.Model, ""}, {seat.Engine, seat.Model, seat.Adapter}} {
			sat[key] = sat[key] || seat.Sessions > 0
			if _, known := p.seatedSince[key]; !known && sat[key] {
				p.seatedSince[key] = in.Now
			}
		}
	}
	for key := range p.seatedSince {
		if !sat[key] {
			delete(p.seatedSince, key)
		}
	}
	for key, at := range p.restful {
		if in.Now >= at {
			delete(p.restful, key)
		}
	}
}

// wanted is one model, or one adapter of it, that should stand on more engines than it does.
type wanted struct {
	want
	worth int64
	held  int
	// idle says that nobody asks now: it may fill free room and push nothing out.
	idle bool
}

// wants lists what is lacking, the highest worth first.
func (p *Planner) wants(in Input) []wanted {
	held, running, worth := map[want]int{}, map[want]int{}, map[want]int64{}
	for _, demand := range in.Demand {
		for _, key := range []want{{demand.Model, ""}, {demand.Model, demand.Adapter}} {
			if key.adapter == "" && demand.Adapter == "" && key != (want{demand.Model, demand.Adapter}) {
				continue
			}
			held[key] += demand.Held
			running[key] += demand.Running
			worth[key] = max(worth[key], demand.Worth)
			if demand.Adapter == "" {
				break
			}
		}
	}
	var out []wanted
	for key := range worth {
		if _, known := in.Table.Model(key.model); !known {
			continue
		}
		standing, slots := p.standing(in, key)
		need := 0
		switch {
		case held[key] > 0 && standing == 0:
			need = 1
		case held[key] > 0 && held[key]+running[key] > slots:
			// More waits than all who hold it can run at once: one more replica.
			need = standing + 1
		}
		if standing > 0 || held[key] == 0 {
			delete(p.lackSince, key)
		} else if _, known := p.lackSince[key]; !known {
			p.lackSince[key] = in.Now
		}
		if need > standing {
			out = append(out, wanted{want: key, worth: worth[key], held: held[key]})
		}
	}
	best := map[string]int64{}
	for _, route := range in.Table.Spec.Routes {
		for _, model := range route.Models {
			best[model] = max(best[model], route.Worth)
		}
	}
	for model, bid := range best {
		key := want{model: model}
		if standing, _ := p.standing(in, key); standing == 0 && worth[key] == 0 {
			out = append(out, wanted{want: key, worth: bid, idle: true})
		}
	}
	slices.SortFunc(out, func(a, b wanted) int {
		idle := func(w wanted) int {
			if w.idle {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(idle(a), idle(b)), cmp.Compare(b.worth, a.worth), cmp.Compare(b.held, a.held),
			cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
	})
	return out
}

// standing counts the engines that have, or are getting, what is wanted, and the slots they offer.
func (p *Planner) standing(in Input, key want) (count, slots int) {
	for id, engine := range in.Engines.Engines {
		if !p.commandable(in, engine) {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		flight := p.inFlight[id]
		held, present := find(engine, key.model)
		has := present && held.State != engineapi.Unloading
		coming := flight != nil && flight.Model == key.model && flight.Kind == engineapi.Load
		if key.adapter != "" {
			has = has && slices.Contains(held.Adapters, key.adapter)
			coming = flight != nil && flight.Model == key.model && flight.Adapter == key.adapter && flight.Kind == engineapi.LoadAdapter
		}
		if leaving := flight != nil && flight.Kind == engineapi.Unload && flight.Model == key.model; has && !leaving || coming {
			count++
			slots += allowed.Slots
		}
	}
	return count, slots
}

// commandable says whether an engine may be given orders.
func (p *Planner) commandable(in Input, engine *engines.Engine) bool {
	return engine.Usable() && in.Table.Open(engine.ID)
}

// serve finds the one order that brings what is wanted nearer.
func (p *Planner) serve(in Input, w wanted) (Directed, bool) {
	if w.adapter != "" {
		return p.serveAdapter(in, w)
	}
	model, _ := in.Table.Model(w.model)
	zones := map[ident.ZoneID]int{}
	for id, engine := range in.Engines.Engines {
		if _, present := find(engine, w.model); present {
			allowed, _ := in.Table.Engine(id)
			zones[allowed.Zone]++
		}
	}
	var best *engines.Engine
	var bestKey [3]int64
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		if !p.free(in, engine, w) {
			continue
		}
		if _, present := find(engine, w.model); present {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		room := p.room(in, engine)
		// A zone that has no replica yet goes first, then the engine with the most room.
		key := [3]int64{int64(zones[allowed.Zone]), -room, 0}
		if room < model.Size {
			continue
		}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = engine, key
		}
	}
	if best != nil {
		if !p.storeAllows(in, w.idle) {
			return Directed{}, false
		}
		p.lastLoad, p.loaded = in.Now, true
		return p.give(in, best, engineapi.Order{Kind: engineapi.Load, Model: w.model}), true
	}
	if w.idle || p.unloading(in) {
		return Directed{}, false
	}
	return p.evict(in, w, model.Size)
}

func sortedIDs(view *engines.View) []ident.EngineID {
	ids := make([]ident.EngineID, 0, len(view.Engines))
	for id := range view.Engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// free says whether this engine could be given an order about what is wanted.
func (p *Planner) free(in Input, engine *engines.Engine, w wanted) bool {
	_, resting := p.restful[place{engine.ID, w.model, w.adapter}]
	_, untold := p.inherited[engine.ID]
	return p.commandable(in, engine) && p.inFlight[engine.ID] == nil && !resting && !untold
}

// room is what is left on an engine, counting all that is loaded, coming, or not yet surely gone.
func (p *Planner) room(in Input, engine *engines.Engine) int64 {
	allowed, _ := in.Table.Engine(engine.ID)
	left := allowed.Room
	for _, held := range engine.Report.Models {
		if model, known := in.Table.Model(held.Model); known {
			left -= model.Size
		} else {
			// The size of what the catalogue no longer names is unknown, so the engine counts as full.
			return 0
		}
	}
	if flight := p.inFlight[engine.ID]; flight != nil && flight.Kind == engineapi.Load {
		if _, shown := find(engine, flight.Model); !shown {
			model, _ := in.Table.Model(flight.Model)
			left -= model.Size
		}
	}
	return left
}

// storeAllows keeps loads to the store's pace over the whole fleet.
// A load that nobody waits for leaves one place at the store for one that somebody will.
func (p *Planner) storeAllows(in Input, idle bool) bool {
	loading := 0
	for id, engine := range in.Engines.Engines {
		shown := ""
		for _, held := range engine.Report.Models {
			if held.State == engineapi.Loading {
				loading++
				shown = held.Model
			}
		}
		_, untold := p.inherited[id]
		if flight := p.inFlight[id]; flight != nil && flight.Kind == engineapi.Load && flight.Model != shown || untold && shown == "" {
			loading++
		}
	}
	gap := time.Duration(in.Table.Spec.Store.LoadGapMs) * time.Millisecond
	most := in.Table.Spec.Store.LoadsAtOnce
	if idle && most > 1 {
		most--
	}
	return loading < most && (!p.loaded || in.Now.Since(p.lastLoad) >= gap)
}

// unloading says whether room is being made anywhere already, so that it isn't made twice.
func (p *Planner) unloading(in Input) bool {
	for _, flight := range p.inFlight {
		if flight.Kind == engineapi.Unload {
			return true
		}
	}
	return false
}

// evict unloads what is worth least, if that is less than what is wanted and nobody sits under it.
func (p *Planner) evict(in Input, w wanted, size int64) (Directed, bool) {
	var best *engines.Engine
	var bestModel string
	var bestCost int64 = -1
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		if !p.free(in, engine, w) {
			continue
		}
		if _, present := find(engine, w.model); present {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		if allowed.Room < size {
			continue
		}
		for _, held := range engine.Report.Models {
			if held.State != engineapi.Loaded || p.seated(in, id, held.Model, "") {
				continue
			}
			stayed := in.Now.Since(p.since[place{engine: id, model: held.Model}])
			if stayed < minStay {
				continue
			}
			cost := p.cost(in, want{model: held.Model})
			// Equal bids take turns, so that whoever came first does not keep a rival out for good.
			lacking, lacks := p.lackSince[w.want]
			turn := cost == w.worth && stayed >= turnStay && lacks && in.Now.Since(lacking) >= turnAfter
			if cost >= w.worth && !turn || bestCost >= 0 && cost >= bestCost {
				continue
			}
			best, bestModel, bestCost = engine, held.Model, cost
		}
	}
	if best == nil {
		return Directed{}, false
	}
	return p.give(in, best, engineapi.Order{Kind: engineapi.Unload, Model: bestModel}), true
}

// cost is what a model or adapter is worth where it stands: its bid while it is asked for, nothing once it is quiet.
func (p *Planner) cost(in Input, key want) int64 {
	last, known := p.wantedAt[key]
	if !known || in.Now.Since(last.at) >= quietFor {
		return 0
	}
	return last.worth
}

func (p *Planner) seated(in Input, engine ident.EngineID, model, adapter string) bool {
	return slices.ContainsFunc(in.Seats, func(s Seats) bool {
		return s.Engine == engine && s.Model == model && (adapter == "" || s.Adapter == adapter) && s.Sessions > 0
	})
}

func (p *Planner) serveAdapter(in Input, w wanted) (Directed, bool) {
	var full *engines.Engine
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		held, present := find(engine, w.model)
		if !p.free(in, engine, w) || !present || held.State != engineapi.Loaded || slices.Contains(held.Adapters, w.adapter) {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		if adapters(engine) < allowed.AdapterPlaces {
			return p.give(in, engine, engineapi.Order{Kind: engineapi.LoadAdapter, Model: w.model, Adapter: w.adapter}), true
		}
		if full == nil {
			full = engine
		}
	}
	if full == nil {
		return Directed{}, false
	}
	// All places are taken: the adapter that is worth least makes way, unless someone sits with it.
	var bestModel, bestAdapter string
	var bestCost int64 = -1
	for _, held := range full.Report.Models {
		for _, adapter := range held.Adapters {
			cost := p.cost(in, want{held.Model, adapter})
			if p.seated(in, full.ID, held.Model, adapter) || cost >= w.worth || bestCost >= 0 && cost >= bestCost {
				continue
			}
			bestModel, bestAdapter, bestCost = held.Model, adapter, cost
		}
	}
	if bestCost < 0 {
		return Directed{}, false
	}
	return p.give(in, full, engineapi.Order{Kind: engineapi.UnloadAdapter, Model: bestModel, Adapter: bestAdapter}), true
}

func adapters(engine *engines.Engine) int {
	count := 0
	for _, held := range engine.Report.Models {
		count += len(held.Adapters)
	}
	return count
}

// give notes an order as under way; from now on the engine gets no other until this one is settled.
func (p *Planner) give(in Input, engine *engines.Engine, order engineapi.Order) Directed {
	p.Counters.Orders++
	p.ordered[engine.ID] = engine.Report.CallSeq + 1
	p.inFlight[engine.ID] = &InFlight{Order: order, State: Sending, Sent: in.Now, Expect: engine.Report.CallSeq + 1, Life: engine.Life, address: engine.Address}
	return Directed{Engine: engine.ID, Address: engine.Address, Order: order}
}

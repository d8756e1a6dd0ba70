package poolplacement

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// tick is how finely made-up time passes.
const tick = 50 * time.Millisecond

// fakeRequest is one request of a client.
type fakeRequest struct {
	target        registry.Target
	tokensIn      float64
	tokensOut     float64
	arrived       clock.Mark
	deadline      clock.Mark
	latencyTarget clock.Mark
	first         bool
	notBefore     clock.Mark
}

// fakeOrder is an order that an engine carries out.
type fakeOrder struct {
	kind   Kind
	target registry.Target
	doneAt clock.Mark
}

type shownReport struct {
	at     clock.Mark
	report Report
}

// fakeEngine is an engine that batches, in made-up time: one order at a time, reports that lag.
type fakeEngine struct {
	id      ident.EngineID
	address string
	models  map[string][]string
	taken   uint64
	order   *fakeOrder
	running []*fakeRequest
	shown   []shownReport
	// disk is what its machine has held.
	disk             map[string]bool
	leaving          bool
	gone             bool
	unreachableUntil clock.Mark
}

// fakeFleet is a planner with its engines, its clients and its daemons.
type fakeFleet struct {
	random  *rand.Rand
	now     clock.Mark
	section *upstream.Section
	truth   *upstream.Catalogue
	planner *Planner
	engines []*fakeEngine
	disks   map[string]map[string]bool
	state   *statemachine.State
	holder  ident.NodeID
	claim   *statemachine.PlannerLease
	stamp   ident.SnowflakeID
	version uint64
	// published is what daemons hear of engines, some time after it was published.
	published map[ident.EngineID]registry.Plan
	onTheWay  []publishedPlan
	queued    []*fakeRequest
	rates     map[registry.Target]*fakeRate
	demand    []Demand
	// outcomes is what daemons report at the next step, spoken the newest plan of each engine as published.
	outcomes []outlier.Observation
	spoken   map[ident.EngineID]registry.Plan
	pulled   clock.Mark
	rate     func(now clock.Mark) (perSecond float64, pick func() (registry.Target, *fakeRequest))
	// lose is the share of answers to orders that are lost, fail that of reports that fail.
	lose, fail   float64
	later        []func() bool
	incarnations int
	// noTelling loses what a planner published when the next one takes over, fresh reports show what they can't know.
	noTelling, eager bool
	// announcesNothing announces no order to the group.
	announcesNothing bool
	// newest is the lease of the newest order that reached an engine, newestAt when it did.
	newest   ident.FencingToken
	newestAt clock.Mark

	faults                                       []string
	starts                                       []clock.Mark
	served, onTime, late, refused, strays, asked int
	servedBy                                     map[registry.Target]int
	askedBy                                      map[registry.Target]int
	loads, evicts, adapterOrders, takeovers      int
	waits                                        []time.Duration
}

type publishedPlan struct {
	at    clock.Mark
	plans map[ident.EngineID]registry.Plan
}

type fakeRate struct{ arrivals, tokens float64 }

// fakeLease is within which no two holders may order.
const fakeLease = 3 * time.Second

const (
	fakeSlots   = 64
	promptPace  = 25800.0
	tokenPace   = 8.2
	rateSpan    = 7200 * time.Millisecond // a half-incarnation of five seconds
	evictTakes  = 60 * time.Millisecond
	originCount = 5 * time.Second
)

// newFleet makes engines that hold, capacity permitting, the first models more than once and each other one once.
func newFleet(seed uint64, catalogue upstream.Catalogue, engines int) *fakeFleet {
	f := &fakeFleet{spoken: map[ident.EngineID]registry.Plan{}, random: rand.New(rand.NewPCG(seed, 7)), now: clock.Mark(time.Hour), truth: &catalogue, disks: map[string]map[string]bool{}, state: statemachine.New(),
		published: map[ident.EngineID]registry.Plan{}, rates: map[registry.Target]*fakeRate{}, servedBy: map[registry.Target]int{}, askedBy: map[registry.Target]int{}}
	shown := catalogue
	f.section = &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "p", Catalogue: &shown}, {Name: "plain"}}}
	for range engines {
		f.start("")
	}
	left := make([]float64, engines)
	for i := range left {
		left[i] = catalogue.CapacityMb
	}
	place := func(model upstream.Model) {
		best := 0
		for i := range left {
			if _, has := f.engines[i].models[model.Name]; !has && left[i] > left[best] {
				best = i
			}
		}
		if left[best] >= model.SizeMb {
			f.engines[best].models[model.Name] = nil
			left[best] -= model.SizeMb
		}
	}
	for _, model := range catalogue.Models {
		place(model)
	}
	for _, model := range catalogue.Models[:min(4, len(catalogue.Models))] {
		place(model)
	}
	for _, e := range f.engines {
		for name := range e.models {
			e.disk[name] = true
		}
	}
	f.takeOver("a#1")
	return f
}

// start begins a incarnation of an engine, at an address it may have had before.
func (f *fakeFleet) start(address string) *fakeEngine {
	f.incarnations++
	if address == "" {
		address = fmt.Sprint("10.0.0.", f.incarnations)
	}
	if f.disks[address] == nil {
		f.disks[address] = map[string]bool{}
	}
	e := &fakeEngine{id: ident.EngineID(fmt.Sprint("i-", f.incarnations)), address: address, models: map[string][]string{}, disk: f.disks[address]}
	f.engines = append(f.engines, e)
	f.version++
	return e
}

// restart ends an engine's incarnation; another begins at its address a second later.
func (f *fakeFleet) restart(e *fakeEngine) {
	if e.gone {
		return
	}
	e.gone = true
	f.queued = append(f.queued, e.running...)
	e.running = nil
	back := f.now + clock.Mark(time.Second)
	f.later = append(f.later, func() bool {
		if f.now < back {
			return false
		}
		f.engines = slices.DeleteFunc(f.engines, func(other *fakeEngine) bool { return other == e })
		f.start(e.address)
		return true
	})
}

// takeOver gives the lease to another daemon, once the group allows it.
func (f *fakeFleet) takeOver(holder ident.NodeID) {
	f.holder, f.claim, f.planner = holder, nil, nil
	f.takeovers++
}

// drop has the holder give its lease up.
func (f *fakeFleet) drop() {
	data, err := json.Marshal(statemachine.Command{Op: statemachine.OpReleasePlanner, NodeID: f.holder, At: ident.GroupTime(time.Duration(f.now).Milliseconds())})
	if err != nil {
		panic(err)
	}
	f.state.Apply(data)
}

func (f *fakeFleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf("%v: ", time.Duration(f.now))+fmt.Sprintf(format, args...))
}

func (f *fakeFleet) settings() Settings {
	return DefaultSettings("x", fakeLease)
}

// ask puts a lease to the group.
func (f *fakeFleet) ask(announcement *statemachine.Announcement, complete bool) *statemachine.PlannerLease {
	s := f.settings()
	data, err := json.Marshal(statemachine.Command{Op: statemachine.OpAcquirePlanner, NodeID: f.holder, At: ident.GroupTime(time.Duration(f.now).Milliseconds()), LeaseMs: s.LeaseSpan.Milliseconds(),
		HandoverGapMs: s.LeaseGap.Milliseconds(), Announcement: announcement, AnnouncesAll: true, WithAnnounced: complete, Resume: true})
	if err != nil {
		panic(err)
	}
	result := f.state.Apply(data)
	if result.Outcome != statemachine.Done {
		return nil
	}
	return result.PlannerLease
}

func (f *fakeFleet) engine(id ident.EngineID) *fakeEngine {
	for _, e := range f.engines {
		if e.id == id && !e.gone {
			return e
		}
	}
	return nil
}

func (f *fakeFleet) model(name string) *upstream.Model {
	for i := range f.truth.Models {
		if f.truth.Models[i].Name == name {
			return &f.truth.Models[i]
		}
	}
	return nil
}

// used is the capacity and the places taken on an engine; what is being loaded counts.
func (f *fakeFleet) used(e *fakeEngine) (capacity float64, places int) {
	for name, adapters := range e.models {
		model := f.model(name)
		capacity += model.SizeMb + float64(len(adapters))*model.AdapterSizeMb
		places += len(adapters)
	}
	if e.order != nil && e.order.kind == Load {
		model := f.model(e.order.target.Model)
		if e.order.target.Adapter == "" {
			capacity += model.SizeMb
		} else {
			capacity += model.AdapterSizeMb
			places++
		}
	}
	return capacity, places
}

// order is what an engine does with an order; the rules are held as it arrives.
func (f *fakeFleet) order(order Order) OrderOutcome {
	if ago := f.now.Since(f.newestAt); f.newest != 0 && f.newest != order.Claim && ago < fakeLease {
		f.fault("ONE: claim %d ordered %v after claim %d", order.Claim, ago, f.newest)
	}
	f.newest, f.newestAt = order.Claim, f.now
	e := f.engine(order.Engine)
	if e == nil {
		return WrongEngine
	}
	target := order.Target()
	model := f.model(order.Model)
	adapters, present := e.models[order.Model]
	holds := present && (order.Adapter == "" || slices.Contains(adapters, order.Adapter))
	if order.Kind == Load && !holds && (e.order == nil || e.order.target != target) {
		used, places := f.used(e)
		size := model.SizeMb
		if order.Adapter != "" {
			size, places = model.AdapterSizeMb, places+1
		}
		// Whatever the engine answers, an order past its capacity is one too many.
		if used+size > f.truth.CapacityMb || places > f.truth.AdapterSlots {
			f.fault("LIMIT: %s was ordered past its room: %.0f and %.0f MB, %d places", e.id, used, size, places)
		}
	}
	switch {
	case e.order != nil || order.Expected != e.taken:
		return Refused
	case holds == (order.Kind == Load):
		return AlreadyDone
	case order.Adapter != "" && !present:
		return WrongEngine
	}
	e.taken++
	made := &fakeOrder{kind: order.Kind, target: target}
	e.order = made
	switch {
	case order.Kind == Evict:
		f.evicts++
		made.doneAt = f.now + clock.Mark(evictTakes)
	case order.Adapter != "":
		f.adapterOrders++
		made.doneAt = f.now + clock.Mark(20*time.Millisecond)
	default:
		f.loads++
		span := time.Duration(model.LoadMs) * time.Millisecond
		if e.disk[order.Model] {
			span /= 3
		} else {
			f.starts = append(f.starts, f.now)
			f.checkLoadRate()
			loading := 0
			for _, other := range f.engines {
				if other.order != nil && other.order.kind == Load && other.order.target.Adapter == "" {
					loading++
				}
			}
			if atOnce := 5; loading > atOnce {
				span = span * time.Duration(loading) / time.Duration(atOnce)
			}
		}
		made.doneAt = f.now + clock.Mark(span)
	}
	return Accepted
}

// checkLoadRate holds the store's rate limit over the window that ends now.
func (f *fakeFleet) checkLoadRate() {
	count := 0
	for _, at := range f.starts {
		if f.now.Since(at) < originCount {
			count++
		}
	}
	if most := f.truth.LoadsPerSecond * originCount.Seconds(); float64(count) > max(1, most) {
		f.fault("CEILING: %d loads within %v, where the store allows %.1f", count, originCount, most)
	}
}

func (f *fakeFleet) report(e *fakeEngine) Report {
	r := Report{Accepted: e.taken, Saturated: e.order != nil, Active: len(e.running), Memory: 150000, MemoryUsed: int64(2000 * len(e.running))}
	for _, model := range f.truth.Models {
		if adapters, has := e.models[model.Name]; has {
			r.Models = append(r.Models, registry.LoadedModel{Model: model.Name, Generation: 1, Adapters: slices.Clone(adapters)})
		}
	}
	return r
}

// pass lets a tick of an engine's time pass.
func (f *fakeFleet) pass(e *fakeEngine) {
	if e.order != nil && f.now >= e.order.doneAt && !(e.order.kind == Evict && slices.ContainsFunc(e.running, func(r *fakeRequest) bool { return covers(e.order.target, r.target) })) {
		target := e.order.target
		switch {
		case e.order.kind == Load && target.Adapter == "":
			e.models[target.Model] = nil
			e.disk[target.Model] = true
		case e.order.kind == Load:
			e.models[target.Model] = append(e.models[target.Model], target.Adapter)
		case target.Adapter == "":
			delete(e.models, target.Model)
		default:
			e.models[target.Model] = slices.DeleteFunc(slices.Clone(e.models[target.Model]), func(name string) bool { return name == target.Adapter })
		}
		e.order = nil
	}
	budget := promptPace * tick.Seconds()
	tokens := float64(tick.Milliseconds()) / (tokenPace * (1 + float64(len(e.running))/fakeSlots))
	e.running = slices.DeleteFunc(e.running, func(r *fakeRequest) bool {
		if r.tokensIn > 0 {
			read := min(budget, r.tokensIn)
			r.tokensIn -= read
			budget -= read
			return false
		}
		if !r.first {
			r.first = true
			f.waits = append(f.waits, f.now.Since(r.arrived))
			switch {
			case f.now > r.deadline:
				f.refused++
			case f.now > r.latencyTarget:
				f.late++
				f.served++
				f.servedBy[r.target]++
			default:
				f.onTime++
				f.served++
				f.servedBy[r.target]++
			}
		}
		r.tokensOut -= tokens
		return r.tokensOut <= 0
	})
	if len(e.shown) == 0 || f.now.Since(e.shown[len(e.shown)-1].at) >= 100*time.Millisecond {
		e.shown = append(e.shown, shownReport{f.now, f.report(e)})
		if len(e.shown) > 20 {
			e.shown = e.shown[1:]
		}
	}
}

func covers(wide, narrow registry.Target) bool {
	return wide.Model == narrow.Model && (wide.Adapter == "" || wide.Adapter == narrow.Adapter)
}

// view is what the registry knows, with what daemons have heard of plans by now.
func (f *fakeFleet) view() *registry.View {
	view := &registry.View{Version: f.version, Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}
	for _, e := range f.engines {
		made := &registry.Engine{Registration: registry.Registration{ID: e.id, Pool: "p", Address: e.address, Slots: fakeSlots, Draining: e.leaving}, Deregistered: e.gone}
		if plan, has := f.published[e.id]; has {
			made.Plan = &plan
		} else {
			made.Registration.Models = f.report(e).Models
		}
		view.Engines[e.id] = made
		view.Pools["p"] = append(view.Pools["p"], made)
	}
	return view
}

// step lets one tick pass.
func (f *fakeFleet) step() {
	f.now += clock.Mark(tick)
	f.later = slices.DeleteFunc(f.later, func(due func() bool) bool { return due() })
	for _, e := range f.engines {
		if !e.gone {
			f.pass(e)
		}
	}
	f.onTheWay = slices.DeleteFunc(f.onTheWay, func(s publishedPlan) bool {
		if f.now < s.at {
			return false
		}
		for id, plan := range s.plans {
			f.published[id] = plan
		}
		return true
	})
	f.arrive()
	f.dispatch()
	if f.now.Since(f.pulled) >= 150*time.Millisecond {
		f.pull()
	}
	if time.Duration(f.now)%(100*time.Millisecond) == 0 {
		f.plan()
	}
}

// arrive brings new requests.
func (f *fakeFleet) arrive() {
	for _, rate := range f.rates {
		decay := math.Exp(-float64(tick) / float64(rateSpan))
		rate.arrivals *= decay
		rate.tokens *= decay
	}
	if f.rate == nil {
		return
	}
	perSecond, pick := f.rate(f.now)
	for expected := perSecond * tick.Seconds(); expected > 0; expected-- {
		if f.random.Float64() >= expected {
			continue
		}
		target, r := pick()
		r.target, r.arrived = target, f.now
		r.latencyTarget, r.deadline = r.latencyTarget+f.now, r.deadline+f.now
		f.asked++
		f.askedBy[target]++
		rate := f.rates[target]
		if rate == nil {
			rate = &fakeRate{}
			f.rates[target] = rate
		}
		rate.arrivals += 1 / rateSpan.Seconds()
		rate.tokens += (r.tokensIn + 10*r.tokensOut) / rateSpan.Seconds()
		f.queued = append(f.queued, r)
	}
}

// dispatch sends what can be served, by what daemons have heard.
func (f *fakeFleet) dispatch() {
	view := f.view()
	f.queued = slices.DeleteFunc(f.queued, func(r *fakeRequest) bool {
		if f.now > r.deadline {
			f.refused++
			return true
		}
		if f.now < r.notBefore {
			return false
		}
		var best *fakeEngine
		for _, e := range f.engines {
			known := view.Engines[e.id]
			if e.leaving || e.gone || !known.Holds(r.target.Model, r.target.Adapter) || len(e.running) >= fakeSlots || best != nil && len(e.running) >= len(best.running) {
				continue
			}
			best = e
		}
		if best == nil {
			return false
		}
		adapters, present := best.models[r.target.Model]
		if !present || r.target.Adapter != "" && !slices.Contains(adapters, r.target.Adapter) || best.order != nil && covers(best.order.target, r.target) || f.now < best.unreachableUntil {
			// The engine refuses it; it is tried again a moment later.
			f.strays++
			r.notBefore = f.now + clock.Mark(100*time.Millisecond)
			return false
		}
		best.running = append(best.running, r)
		return true
	})
}

// pull gathers the fleet's demand as the planner will see it.
func (f *fakeFleet) pull() {
	f.pulled = f.now
	all := map[registry.Target]*Demand{}
	at := func(target registry.Target) *Demand {
		if all[target] == nil {
			all[target] = &Demand{Pool: "p", Model: target.Model, Adapter: target.Adapter}
		}
		return all[target]
	}
	for target, rate := range f.rates {
		if rate.arrivals > 0.01 {
			d := at(target)
			d.Arrivals, d.Tokens = rate.arrivals, rate.tokens
		}
	}
	for _, r := range f.queued {
		d := at(r.target)
		d.Queued++
		d.OldestWait = max(d.OldestWait, f.now.Since(r.arrived))
	}
	for _, e := range f.engines {
		for _, r := range e.running {
			at(r.target).Running++
		}
	}
	f.demand = nil
	for _, d := range all {
		f.demand = append(f.demand, *d)
	}
	slices.SortFunc(f.demand, func(a, b Demand) int {
		return compareTargets(registry.Target{Model: a.Model, Adapter: a.Adapter}, registry.Target{Model: b.Model, Adapter: b.Adapter})
	})
}

// plan is one step of the lease holder.
func (f *fakeFleet) plan() {
	if f.planner == nil {
		claim := f.ask(nil, true)
		if claim == nil {
			return
		}
		f.claim = claim
		f.planner = NewPlanner(f.settings(), f.now)
		if f.noTelling {
			claim.Announced = &statemachine.AnnouncedOrders{}
		}
		f.planner.Inherit(f.now, claim)
	} else if time.Duration(f.now)%(500*time.Millisecond) == 0 {
		f.ask(nil, false)
	}
	for _, ask := range f.planner.Due(f.now) {
		f.askReport(ask)
	}
	given := f.planner.Step(Input{Now: f.now, Section: f.section, View: f.view(), Demand: f.demand, Outcomes: f.outcomes})
	f.outcomes = nil
	if plans := f.planner.Plans(f.now); len(plans) > 0 {
		maps.Copy(f.spoken, plans)
		f.onTheWay = append(f.onTheWay, publishedPlan{f.now + clock.Mark(time.Duration(100+f.random.IntN(200))*time.Millisecond), plans})
	}
	var orders []Order
	for _, order := range given {
		f.stamp++
		stamped, _, ok := f.planner.Stamp(order.Engine, f.stamp, f.claim.Token)
		if !ok {
			f.fault("an order to %s was not noted", order.Engine)
			continue
		}
		orders = append(orders, stamped)
	}
	if len(orders) > 0 && !f.announcesNothing && f.ask(f.planner.Announcement(orders), false) == nil {
		for _, order := range orders {
			f.planner.Answered(f.now, order, NotSent)
		}
		return
	}
	for _, order := range orders {
		f.send(order)
	}
}

// askReport has an engine's report come a moment later, showing what was some hundred milliseconds before.
func (f *fakeFleet) askReport(ask ReportRequest) {
	asked, planner := f.now, f.planner
	lag := clock.Mark(time.Duration(f.random.IntN(400)) * time.Millisecond)
	due := f.now + clock.Mark(time.Duration(f.random.IntN(60))*time.Millisecond)
	lost := f.random.Float64() < f.fail
	f.later = append(f.later, func() bool {
		if f.now < due {
			return false
		}
		e := f.engine(ask.Engine)
		if e == nil || e.address != ask.Address || lost || f.now < e.unreachableUntil {
			planner.Reported(f.now, asked, ask.Engine, Report{}, false)
			return true
		}
		shown := f.report(e)
		for i := len(e.shown) - 1; i >= 0; i-- {
			if e.shown[i].at <= due-lag {
				shown = e.shown[i].report
				break
			}
		}
		if f.eager {
			// A broken engine's counter runs ahead of what it shows.
			shown.Accepted, shown.Saturated = e.taken, false
		}
		planner.Reported(f.now, asked, ask.Engine, shown, true)
		return true
	})
}

// send carries an order to its engine, and the answer back, unless they are lost.
func (f *fakeFleet) send(order Order) {
	planner := f.planner
	arrives := f.now + clock.Mark(time.Duration(f.random.IntN(60))*time.Millisecond)
	lost := f.random.Float64()
	arrived := false
	var answer OrderOutcome
	var back clock.Mark
	f.later = append(f.later, func() bool {
		if f.now < arrives {
			return false
		}
		if !arrived {
			arrived = true
			switch {
			case lost < f.lose/3:
				// It never arrives, and nobody knows.
				answer, back = NoAnswer, f.now+clock.Mark(800*time.Millisecond)
			case lost < f.lose:
				f.order(order)
				answer, back = NoAnswer, f.now+clock.Mark(800*time.Millisecond)
			default:
				answer = f.order(order)
				back = f.now + clock.Mark(time.Duration(f.random.IntN(60))*time.Millisecond)
			}
		}
		if f.now < back {
			return false
		}
		planner.Answered(f.now, order, answer)
		return true
	})
}

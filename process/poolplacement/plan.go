package poolplacement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/epoch/forward"
	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/outlier"
	"github.com/cresspond/cresspond/process/registry"
	"github.com/cresspond/cresspond/process/statemachine"
)

const (
	// minStay is how long a model stays at least once it came, so that it serves those who waited for it.
	minStay = 1500 * time.Millisecond
	// idleStay is how long it stays before something that nobody waits for may take its room.
	idleStay = 10 * time.Second
	// freshReport is how old the newest report of an engine may be for it to be given an order.
	freshReport = 3 * time.Second
	// lagLimit is how far behind the truth a report may be.
	lagLimit = 1500 * time.Millisecond
	// oldLag is how long reports may go on to show fewer orders than were taken before they are believed again.
	oldLag = 6 * time.Second
	// restAfter is how long what failed or was refused is not tried again on that engine.
	restAfter = 2 * time.Second
	// startLag is how far behind the truth reports are taken to be before any order was seen to end; it is learned
	// within these bounds.
	startLag, leastLag, mostLag = 200 * time.Millisecond, 50 * time.Millisecond, time.Second
	// lagDown and lagUp are by how much it falls when the first report asked for shows the end, and rises when it
	// doesn't: an ask too many costs less than a late one.
	lagDown, lagUp = 5 * time.Millisecond, 15 * time.Millisecond
	// quickAsks is how often what should show by now is looked for in quick succession.
	quickAsks = 6
	// darkAfter is how many reports in a row must fail for an engine to count as dark.
	darkAfter = 2
)

// Counters count what happened.
type Counters struct {
	Orders, Loads, Evicts, AdapterLoads, AdapterEvicts    uint64
	Done, Already, Refused, NeverArrived, Failed, Unsent  uint64
	Reports, FailedReports, StaleReports, Cancelled, Void uint64
	// Unplaced counts, over all steps, the models that somebody waits for, that stand nowhere and that a step could
	// not place, by what was in the way.
	Unplaced [obstacles]uint64
}

// obstacle is why a step does not place a model that somebody waits for.
type obstacle uint8

const (
	// noObstacle: it is placed.
	noObstacle obstacle = iota
	// obstacleTurn: few ask for it, and it waits until fewer engines load.
	obstacleTurn
	// obstacleEngines: each engine that could take it has an order, or is to get one.
	obstacleEngines
	// obstacleStore: the store allows no further load now.
	obstacleStore
	// obstacleWorth: nothing that is worth clearly less could make way.
	obstacleWorth
	obstacles
)

// ObstacleNames are the names of obstacles, in the order in which they are counted.
var ObstacleNames = [obstacles]string{"none", "turn", "engines", "store", "worth"}

// Planner is the state of the plan under one claim. It is not safe for use by many threads.
type Planner struct {
	settings Settings
	section  *forward.Section
	pools    map[string]*pool
	engines  map[ident.EngineID]*engine
	// ids lists the engines in the order of their ids, so that equal histories give equal plans.
	ids  []ident.EngineID
	asks map[string]*asks
	pace pace
	keys uint64
	// lag is how long after an order's end the reports are expected to show it, as far as is known by now.
	lag time.Duration
	// judge weighs what daemons saw of engines.
	judge *outlier.Detector
	// inherited is what earlier claims told of engines that have not been met yet.
	inherited      map[ident.EngineID]uint64
	began, stepped clock.Mark
	Lacks          []Lack
	Counters       Counters
}

// pool is a pool's catalogue, ready for the plan.
type pool struct {
	name      string
	catalogue *forward.Catalogue
	models    map[string]*forward.Model
	// most is how many loads may begin within a window, atOnce how many the store serves at full speed.
	most, atOnce int
	// urgent is the rank of the most urgent path that leads here.
	urgent int
}

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

// intent is what an engine is being made ready for.
type intent struct {
	registry.Target
	victims []registry.Target
	told    clock.Mark
	urgent  bool
}

// engine is what is known of one life of an engine.
type engine struct {
	id      ident.EngineID
	address string
	pool    *pool
	slots   int
	usable  bool
	// emptying says that what it holds is to stand elsewhere before it is shut.
	emptying bool
	report   Report
	// read says that a report was read; asked is when the newest one was asked for.
	read  bool
	asked clock.Mark
	// taken is how many orders it has taken, as far as is known.
	taken   uint64
	takenAt clock.Mark
	waitFor clock.Mark
	flight  *flight
	intent  *intent
	rests   map[registry.Target]clock.Mark
	had     map[string]bool
	came    map[registry.Target]clock.Mark
	// traded is when an adapter in use last made way for another.
	traded   clock.Mark
	failures int
	heat     float64
	asking   bool
	askNext  clock.Mark
	// fullAt is when a report last showed it full.
	fullAt clock.Mark
	// lost says that daemons get on so badly with it that what it holds had better stand elsewhere too.
	lost bool
	// told is what was last told of it, toldAt when.
	told   registry.Plan
	toldAt clock.Mark
	spoken bool
}

// NewPlanner makes the plan of a fresh claim. It knows no history of loads, so the window counts as full.
func NewPlanner(settings Settings, now clock.Mark) *Planner {
	return &Planner{settings: settings, judge: outlier.NewDetector(outlier.DefaultSettings()), pools: map[string]*pool{}, engines: map[ident.EngineID]*engine{}, asks: map[string]*asks{}, inherited: map[ident.EngineID]uint64{}, lag: startLag,
		pace: pace{window: settings.Window, unknownUntil: now + clock.Mark(settings.Window)}, began: now, stepped: now}
}

// Inherit takes over what earlier claims told of their orders: what nobody told of for a window's length may
// have been any number.
func (p *Planner) Inherit(now clock.Mark, granted *statemachine.Claim) {
	told := granted.Pools
	if told == nil {
		return
	}
	ago := func(at ident.GroupTime) clock.Mark {
		return now - clock.Mark(time.Duration(granted.Now-at)*time.Millisecond)
	}
	for engine, order := range told.Orders {
		p.inherited[engine] = order.Taken
	}
	p.pace.unknownUntil = max(now, ago(told.Since)+clock.Mark(p.settings.Window))
	for _, loads := range told.Loads {
		for range loads.Count {
			p.keys++
			// It was told of before it left, and may have been on its way for as long as an order's limit.
			p.pace.begin(p.keys, ago(loads.At)+clock.Mark(p.settings.OrderLimit))
		}
	}
}

// Told is what the group must know of orders before they leave: that there are any, since a successor keeps
// quiet for a time after the last, and what loads there are. An unload can only make room.
func (p *Planner) Told(orders []Order) *statemachine.Told {
	told := statemachine.Told{Orders: map[ident.EngineID]uint64{}, KeepMs: (p.settings.Window + p.settings.OrderLimit + oldLag).Milliseconds()}
	for _, order := range orders {
		if order.Kind != Load {
			continue
		}
		told.Orders[order.Engine] = order.Expected + 1
		if e := p.engines[order.Engine]; e != nil && e.flight != nil && e.flight.key != 0 {
			told.Loads++
		}
	}
	return &told
}

// Step settles nothing: it takes up what is new, and gives the orders to send now.
func (p *Planner) Step(in Input) []Order {
	if in.Section == nil || in.View == nil {
		return nil
	}
	p.adopt(in.Section)
	p.meet(in)
	p.hear(in)
	p.judgeEngines(in)
	since := in.Now.Since(p.stepped)
	p.stepped = in.Now
	p.Lacks = p.Lacks[:0]
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		s := p.survey(in.Now, since, p.pools[name])
		orders = append(orders, s.advance()...)
		orders = append(orders, s.serveAdapters()...)
		orders = append(orders, s.serveModels()...)
	}
	return orders
}

// mostUrgent is the lowest rank of the paths that lead to a pool.
func mostUrgent(section *forward.Section, pool string) int {
	urgent := math.MaxInt
	for i := range section.Paths {
		if slices.ContainsFunc(section.Paths[i].Shares, func(share forward.Share) bool { return share.Pool == pool }) {
			urgent = min(urgent, section.Paths[i].Rank)
		}
	}
	return urgent
}

// adopt takes up a bundle's catalogues.
func (p *Planner) adopt(section *forward.Section) {
	if p.section == section {
		return
	}
	p.section = section
	pools := map[string]*pool{}
	slowest := 0.0
	for i := range section.Pools {
		catalogue := section.Pools[i].Catalogue
		if catalogue == nil || len(catalogue.Models) == 0 {
			continue
		}
		made := &pool{name: section.Pools[i].Name, catalogue: catalogue, models: make(map[string]*forward.Model, len(catalogue.Models))}
		total := 0.0
		for at := range catalogue.Models {
			model := &catalogue.Models[at]
			made.models[model.Name] = model
			total += float64(model.LoadMs) / 1000
		}
		// What the store keeps up with, by its pace and the time of a load, is what it serves at full speed.
		made.atOnce = max(1, int(catalogue.LoadsPerSecond*total/float64(len(catalogue.Models))+0.5))
		made.urgent = mostUrgent(section, made.name)
		pools[made.name] = made
		if slowest == 0 || catalogue.LoadsPerSecond < slowest {
			slowest = catalogue.LoadsPerSecond
		}
	}
	for _, made := range pools {
		// There may be one store behind all pools: its pace is that of the slowest.
		made.most = max(1, int(slowest*p.settings.Window.Seconds()))
	}
	p.pools = pools
	for _, e := range p.engines {
		e.pool = pools[e.pool.name]
		if e.pool == nil {
			delete(p.engines, e.id)
		}
	}
}

// meet takes up which engines there are.
func (p *Planner) meet(in Input) {
	changed := false
	for name, made := range p.pools {
		for _, listed := range in.View.Pools[name] {
			e := p.engines[listed.ID]
			if listed.Gone {
				continue
			}
			if e == nil || e.address != listed.Address {
				e = &engine{id: listed.ID, address: listed.Address, rests: map[registry.Target]clock.Mark{}, had: map[string]bool{}, came: map[registry.Target]clock.Mark{}}
				p.engines[listed.ID] = e
				changed = true
			}
			e.pool, e.slots = made, listed.Slots
			if e.slots <= 0 {
				e.slots = max(1, made.catalogue.Slots)
			}
			e.usable = listed.Usable() && (in.Shut == nil || !in.Shut(listed))
			e.emptying = in.Emptying[listed.ID]
		}
	}
	for id, e := range p.engines {
		listed := in.View.Engines[id]
		if listed == nil || listed.Gone || listed.Pool != e.pool.name {
			if e.flight != nil {
				p.Counters.Void++
			}
			delete(p.engines, id)
			changed = true
		}
	}
	if changed || len(p.ids) != len(p.engines) {
		p.ids = slices.Sorted(maps.Keys(p.engines))
	}
}

// dark says that an engine does not answer, whatever it beats.
func (e *engine) dark() bool { return e.failures >= darkAfter }

// counts says whether what it holds can be used.
func (e *engine) counts() bool { return e.usable && !e.dark() && !e.lost }

// ready says whether an engine may be given an order now.
func (e *engine) ready(now clock.Mark) bool {
	return e.counts() && !e.emptying && e.read && e.flight == nil && !e.report.Saturated && now.Since(e.asked) < freshReport && e.asked >= e.waitFor && e.report.Taken >= e.taken
}

// held finds a model that the newest report shows.
func (e *engine) held(model string) (registry.Held, bool) {
	for _, held := range e.report.Models {
		if held.Model == model {
			return held, true
		}
	}
	return registry.Held{}, false
}

// holds says whether the newest report shows a target.
func (e *engine) holds(target registry.Target) bool {
	held, found := e.held(target.Model)
	return found && (target.Adapter == "" || slices.Contains(held.Adapters, target.Adapter))
}

// going says whether a target is about to go: it is being evicted, or is to be.
func (e *engine) going(target registry.Target) bool {
	covers := func(other registry.Target) bool {
		return other.Model == target.Model && (other.Adapter == "" || other.Adapter == target.Adapter)
	}
	if e.flight != nil && e.flight.Kind == Evict && covers(e.flight.Target()) {
		return true
	}
	return e.intent != nil && slices.ContainsFunc(e.intent.victims, covers)
}

// left is the room and the adapter places that are left, counting all that is reported, ordered or
// perhaps ordered; what goes counts until a report shows that it has gone.
func (e *engine) left() (room float64, places int) {
	room, places = e.pool.catalogue.RoomMb, e.pool.catalogue.AdapterPlaces
	for _, held := range e.report.Models {
		model := e.pool.models[held.Model]
		if model == nil {
			// How large what the catalogue does not name is cannot be known: the engine counts as full.
			return 0, 0
		}
		room -= model.SizeMb + float64(len(held.Adapters))*model.AdapterSizeMb
		places -= len(held.Adapters)
	}
	if f := e.flight; f != nil && f.Kind == Load && !e.holds(f.Target()) {
		model := e.pool.models[f.Model]
		switch {
		case model == nil:
			return 0, 0
		case f.Adapter == "":
			room -= model.SizeMb
		default:
			room -= model.AdapterSizeMb
			places--
		}
	}
	return room, places
}

// size is the room that a target takes.
func (p *pool) size(target registry.Target) float64 {
	model := p.models[target.Model]
	if target.Adapter == "" {
		return model.SizeMb
	}
	return model.AdapterSizeMb
}

// fits says whether a target may be ordered onto an engine as things stand.
func (e *engine) fits(target registry.Target) bool {
	room, places := e.left()
	return room >= e.pool.size(target) && (target.Adapter == "" || places > 0)
}

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
func (p *Planner) Stamp(engine ident.EngineID, stamp ident.MintedID, claim ident.ClaimNumber) (Order, string, bool) {
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

// rest keeps an engine from getting any order before a report that is asked for after a while.
func (e *engine) rest(now clock.Mark, span time.Duration) {
	e.waitFor = max(e.waitFor, now+clock.Mark(span))
	e.askNext = min(e.askNext, e.waitFor)
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

// noteHeld keeps since when each thing has been there.
func (e *engine) noteHeld(now clock.Mark) {
	for target := range e.came {
		if !e.holds(target) {
			delete(e.came, target)
		}
	}
	note := func(target registry.Target) {
		if _, known := e.came[target]; !known {
			e.came[target] = now
		}
	}
	for _, held := range e.report.Models {
		if e.flight == nil || e.flight.Model != held.Model || e.flight.Adapter != "" || !e.report.Saturated {
			e.had[held.Model] = true
		}
		note(registry.Target{Model: held.Model})
		for _, adapter := range held.Adapters {
			note(registry.Target{Model: held.Model, Adapter: adapter})
		}
	}
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

func compareTargets(a, b registry.Target) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}

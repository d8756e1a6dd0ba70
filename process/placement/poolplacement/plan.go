package poolplacement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
)

const (
	// minResidence is how long a model stays at least once it came, so that it serves those who waited for it.
	minResidence = 1500 * time.Millisecond
	// minIdleResidence is how long it stays before something that nobody waits for may take its capacity.
	minIdleResidence = 10 * time.Second
	// freshReport is how old the newest report of an engine may be for it to be given an order.
	freshReport = 3 * time.Second
	// lagLimit is how far behind the truth a report may be.
	lagLimit = 1500 * time.Millisecond
	// oldLag is how long reports may go on to show fewer orders than were taken before they are believed again.
	oldLag = 6 * time.Second
	// failureBackoff is how long what failed or was refused is not tried again on that engine.
	failureBackoff = 2 * time.Second
	// startLag is how far behind the truth reports are taken to be before any order was seen to end; it is learned
	// within these bounds.
	startLag, minLag, maxLag = 200 * time.Millisecond, 50 * time.Millisecond, time.Second
	// lagDown and lagUp are by how much it falls when the first report requested shows the end, and rises when it
	// doesn't: an ask too many costs less than a late one.
	lagDown, lagUp = 5 * time.Millisecond, 15 * time.Millisecond
	// maxQuickReports is how often what should show by now is looked for in quick succession.
	maxQuickReports = 6
	// unreachableAfter is how many reports in succession must fail for an engine to count as unreachable.
	unreachableAfter = 2
)

// Counters count what happened.
type Counters struct {
	Orders, Loads, Evicts, AdapterLoads, AdapterEvicts        uint64
	Done, AlreadyDone, Refused, NeverArrived, Failed, NotSent uint64
	Reports, FailedReports, StaleReports, Cancelled, Void     uint64
	// Unplaced counts, over all steps, the models that somebody waits for, that have no replica and that a step could
	// not place, by what was in the way.
	Unplaced [obstacles]uint64
}

// obstacle is why a step does not place a model that somebody waits for.
type obstacle uint8

const (
	// noObstacle: it is placed.
	noObstacle obstacle = iota
	// obstacleTurn: few request it, and it waits until fewer engines load.
	obstacleTurn
	// obstacleEngines: each engine that could take it has an order, or is to get one.
	obstacleEngines
	// obstacleStore: the store allows no further load now.
	obstacleStore
	// obstacleValue: nothing that is worth clearly less could be evicted.
	obstacleValue
	obstacles
)

// ObstacleNames are the names of obstacles, in the order in which they are counted.
var ObstacleNames = [obstacles]string{"none", "turn", "engines", "store", "worth"}

// Planner is the state of the plan under one lease. It is not safe for use by many threads.
type Planner struct {
	settings Settings
	section  *upstream.Section
	pools    map[string]*pool
	engines  map[ident.EngineID]*engine
	// ids lists the engines in the order of their ids, so that equal histories give equal plans.
	ids         []ident.EngineID
	demand      map[string]*poolDemand
	loadWindow  loadWindow
	lastLoadKey uint64
	// lag is how long after an order's end the reports are expected to show it, as far as is known by now.
	lag time.Duration
	// outliers judges engines by what daemons observed of them.
	outliers *outlier.Detector
	// inherited is what was announced under earlier leases of engines that have not reported yet.
	inherited       map[ident.EngineID]uint64
	began, lastStep clock.Mark
	Unplaced        []Unplaced
	Counters        Counters
}

// NewPlanner makes the plan of a fresh lease. It knows no history of loads, so the window counts as full.
func NewPlanner(settings Settings, now clock.Mark) *Planner {
	return &Planner{settings: settings, outliers: outlier.NewDetector(outlier.DefaultSettings()), pools: map[string]*pool{}, engines: map[ident.EngineID]*engine{}, demand: map[string]*poolDemand{}, inherited: map[ident.EngineID]uint64{}, lag: startLag,
		loadWindow: loadWindow{window: settings.Window, unknownUntil: now + clock.Mark(settings.Window)}, began: now, lastStep: now}
}

// Inherit takes over what was announced under earlier leases. Without announcements over the whole window the number of
// loads is unknown.
func (p *Planner) Inherit(now clock.Mark, granted *statemachine.PlannerLease) {
	announced := granted.Announced
	if announced == nil {
		return
	}
	ago := func(at ident.GroupTime) clock.Mark {
		return now - clock.Mark(time.Duration(granted.Now-at)*time.Millisecond)
	}
	for engine, order := range announced.Orders {
		p.inherited[engine] = order.Accepted
	}
	p.loadWindow.unknownUntil = max(now, ago(announced.Since)+clock.Mark(p.settings.Window))
	for _, loads := range announced.Loads {
		for range loads.Count {
			p.lastLoadKey++
			// It was announced before it left, and may have been on its way for as long as an order's limit.
			p.loadWindow.begin(p.lastLoadKey, ago(loads.At)+clock.Mark(p.settings.OrderTimeout))
		}
	}
}

// Announcement is what the group must know of orders before they are sent: that there are any, since a successor waits
// for a time after the last, and what loads there are. An eviction can only free capacity.
func (p *Planner) Announcement(orders []Order) *statemachine.Announcement {
	announcement := statemachine.Announcement{Orders: map[ident.EngineID]uint64{}, KeepMs: (p.settings.Window + p.settings.OrderTimeout + oldLag).Milliseconds()}
	for _, order := range orders {
		if order.Kind != Load {
			continue
		}
		announcement.Orders[order.Engine] = order.Expected + 1
		if e := p.engines[order.Engine]; e != nil && e.pending != nil && e.pending.key != 0 {
			announcement.Loads++
		}
	}
	return &announcement
}

// Step takes over what is new, and gives the orders to send now. It resolves no order; [Planner.Reported] does.
func (p *Planner) Step(in Input) []Order {
	if in.Section == nil || in.View == nil {
		return nil
	}
	p.adopt(in.Section)
	p.updateEngines(in)
	p.updateDemand(in)
	p.detectOutliers(in)
	since := in.Now.Since(p.lastStep)
	p.lastStep = in.Now
	p.Unplaced = p.Unplaced[:0]
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		s := p.survey(in.Now, since, p.pools[name])
		orders = append(orders, s.advanceIntents()...)
		first, others := s.modelCandidates()
		s.listAvailable()
		orders = append(orders, s.placeModels(first)...)
		orders = append(orders, s.placeAdapters()...)
		s.listAvailable()
		orders = append(orders, s.placeModels(others)...)
	}
	return orders
}

// updateEngines takes over the registered engines.
func (p *Planner) updateEngines(in Input) {
	changed := false
	for name, made := range p.pools {
		for _, listed := range in.View.Pools[name] {
			e := p.engines[listed.ID]
			if listed.Deregistered {
				continue
			}
			if e == nil || e.address != listed.Address {
				e = &engine{id: listed.ID, address: listed.Address, backoffs: map[registry.Target]clock.Mark{}, loadedBefore: map[string]bool{}, loadedSince: map[registry.Target]clock.Mark{}}
				p.engines[listed.ID] = e
				changed = true
			}
			p.moveToPool(e, made)
			e.slots = listed.Slots
			if e.slots <= 0 {
				e.slots = max(1, made.catalogue.Slots)
			}
			e.usable = listed.Usable() && (in.Closed == nil || !in.Closed(listed))
			e.draining = in.Draining[listed.ID]
		}
	}
	for id, e := range p.engines {
		listed := in.View.Engines[id]
		if listed == nil || listed.Deregistered || listed.Pool != e.pool.name {
			if e.pending != nil {
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

func compareTargets(a, b registry.Target) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}

package forwarding

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// faultKind is what happens to an attempt at a simulated engine.
type faultKind uint8

const (
	noFault faultKind = iota
	// engineErrors answers with an error, connectionResets breaks the connection, unresponsive never answers, slowEngine
	// takes eight times as long, rejectsAll rejects despite capacity, unreachableEngine refuses connections.
	engineErrors
	connectionResets
	unresponsive
	slowEngine
	rejectsAll
	unreachableEngine
)

// failsAt reports whether an attempt meets an engine's fault, and schedules its outcome.
func (s *simulation) failsAt(d *simulatedRouter, request *Request, engine *simulatedEngine) bool {
	if engine.fault == nil {
		return false
	}
	wait, outcome := 2*time.Millisecond, OutcomeResponseLost
	switch engine.fault(d) {
	case noFault, slowEngine:
		return false
	case engineErrors:
		outcome = OutcomeEngineError
	case rejectsAll:
		outcome = OutcomeRejected
	case unreachableEngine:
		outcome = OutcomeUnreachable
	case unresponsive:
		wait = request.Deadline.Since(s.now)
	}
	s.after(wait, func() {
		d.core.AttemptEnded(request, outcome, d.world())
		s.takeStep(d, request)
	})
	return true
}

// shareOutcomes has routers report what they see to a detector, each once in 750 ms as they do to the planner.
func (s *simulation) shareOutcomes() {
	for _, d := range s.daemons {
		d.core.settings.EjectOutliers = true
	}
	s.detector = outlier.NewDetector(outlier.DefaultSettings())
	var ids []ident.EngineID
	for _, engine := range s.engines {
		ids = append(ids, engine.registered.ID)
	}
	s.detector.SetPools(map[string][]ident.EngineID{"batch": ids})
	fullAt := map[ident.EngineID]clock.Mark{}
	full := func(id ident.EngineID) bool {
		if plan := s.view.Engines[id].Plan; plan != nil && (plan.Queued > 0 || plan.Active >= 48) {
			fullAt[id] = s.now
		}
		return fullAt[id] > 0 && s.now.Since(fullAt[id]) <= 2*time.Second
	}
	for index, d := range s.daemons {
		var report func()
		report = func() {
			reports := outlier.Observation{Zone: d.zone, Digests: d.core.Outcomes(s.now)}
			s.after(20*time.Millisecond, func() { s.detector.Observe(s.now, reports, full) })
			s.after(750*time.Millisecond, report)
		}
		s.after(time.Duration(index)*750*time.Millisecond/time.Duration(len(s.daemons)), report)
	}
	var step func()
	step = func() {
		s.detector.Step(s.now)
		weights := map[ident.EngineID][]outlier.Weight{}
		for _, id := range ids {
			weights[id] = s.detector.Weights(s.now, id)
		}
		s.after(150*time.Millisecond, func() {
			for _, engine := range s.engines {
				copied := *engine.registered
				plan := registry.Plan{}
				if copied.Plan != nil {
					plan = *copied.Plan
				}
				plan.Received, plan.Weights = s.now, weights[copied.ID]
				copied.Plan = &plan
				engine.registered = &copied
			}
			s.publish()
		})
		s.after(100*time.Millisecond, step)
	}
	step()
}

// makeUnhealthy gives a share of the engines a fault for a while.
func (s *simulation) makeUnhealthy(engines int, from, duration time.Duration, fault func(d *simulatedRouter) faultKind) (unhealthy map[ident.EngineID]bool) {
	unhealthy = map[ident.EngineID]bool{}
	begins := s.now + clock.Mark(from)
	for n := range engines {
		engine := s.engines[n*len(s.engines)/engines]
		unhealthy[engine.registered.ID] = true
		engine.fault = func(d *simulatedRouter) faultKind {
			if s.now < begins || s.now >= begins+clock.Mark(duration) {
				return noFault
			}
			return fault(d)
		}
	}
	return unhealthy
}

// withProbability gives a share of attempts a fault.
func (s *simulation) withProbability(share float64, fault faultKind) func(*simulatedRouter) faultKind {
	return func(*simulatedRouter) faultKind {
		if s.random.Float64() < share {
			return fault
		}
		return noFault
	}
}

// largeDeployment has many routers, each of which sends an engine one request in twenty seconds.
func largeDeployment(seed uint64) *simulation {
	s := newSimulation(seed, 58, 60)
	for n, d := range s.daemons {
		d.zone = ident.ZoneID(fmt.Sprint("z", n%4))
	}
	return s
}

type simulationResult struct {
	requests, inTime, broken, rejected int
	wronglyEjected, ejections          uint64
}

// simulateFaults runs a large deployment in which a fifth of the engines have a fault from the fifth second on.
func simulateFaults(seed uint64, shared bool, fault func(s *simulation) func(*simulatedRouter) faultKind) (out simulationResult) {
	s := largeDeployment(seed)
	if shared {
		s.shareOutcomes()
	}
	wrongly := map[ident.EngineID]bool{}
	unhealthy := s.makeUnhealthy(12, 5*time.Second, 12*time.Second, fault(s))
	if shared {
		var watch func()
		watch = func() {
			for _, engine := range s.engines {
				if id := engine.registered.ID; !unhealthy[id] && len(s.detector.Weights(s.now, id)) > 0 {
					wrongly[id] = true
				}
			}
			s.after(100*time.Millisecond, watch)
		}
		watch()
	}
	s.traffic(150, 25*time.Second, s.anySubject)
	out.requests, out.inTime = s.sum()
	out.broken, out.rejected, out.wronglyEjected = s.brokenRequests, s.failed, uint64(len(wrongly))
	if shared {
		out.ejections = s.detector.Counters.Ejections
	}
	return out
}

// inZone gives a fault to a share of the attempts from one zone.
func (s *simulation) inZone(zone ident.ZoneID, share float64, fault faultKind) func(*simulatedRouter) faultKind {
	return func(d *simulatedRouter) faultKind {
		if d.zone == zone && s.random.Float64() < share {
			return fault
		}
		return noFault
	}
}

// TestSharedOutcomesFindUnhealthyEnginesThatNoRouterFindsAlone: 58 routers and 60 engines, each router sends an engine
// one request in twenty seconds, and a fifth of the engines has a fault for 12 of 25 seconds. In brackets are the shares
// of broken and timely requests if no outcomes are shared; the limits behind them hold with sharing. The rest is what
// detection itself costs: three failures at each engine, and trials.
func TestSharedOutcomesFindUnhealthyEnginesThatNoRouterFindsAlone(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(s *simulation) func(*simulatedRouter) faultKind
		// broken bounds what broke relative to no sharing, inTime is the least share in time, wronglyEjected bounds how
		// many of 60 healthy engines are ejected over all the time, in each of two runs.
		broken, inTime float64
		falsely        uint64
	}{
		"none (0, 0.999)":              {func(s *simulation) func(*simulatedRouter) faultKind { return s.withProbability(0, engineErrors) }, 0, 0.997, 2},
		"errors 0.45 (0.034, 0.963)":   {func(s *simulation) func(*simulatedRouter) faultKind { return s.withProbability(0.45, engineErrors) }, 0.7, 0.97, 2},
		"errors 1 (0.073, 0.926)":      {func(s *simulation) func(*simulatedRouter) faultKind { return s.withProbability(1, engineErrors) }, 0.45, 0.965, 2},
		"resets 0.4 (0.032, 0.966)":    {func(s *simulation) func(*simulatedRouter) faultKind { return s.withProbability(0.4, connectionResets) }, 0.7, 0.97, 2},
		"hangs 0.4 (0.034, 0.965)":     {func(s *simulation) func(*simulatedRouter) faultKind { return s.withProbability(0.4, unresponsive) }, 0.85, 0.966, 3},
		"hangs 1 (0.079, 0.920)":       {func(s *simulation) func(*simulatedRouter) faultKind { return s.withProbability(1, unresponsive) }, 0.5, 0.96, 2},
		"eight times slow (0, 0.766)":  {func(s *simulation) func(*simulatedRouter) faultKind { return s.withProbability(1, slowEngine) }, 0, 0.84, 4},
		"errors in one zone (0.0086)":  {func(s *simulation) func(*simulatedRouter) faultKind { return s.inZone("z1", 0.45, engineErrors) }, 0.95, 0.988, 2},
		"a few errors (0.002, 0.9972)": {func(s *simulation) func(*simulatedRouter) faultKind { return s.withProbability(0.03, engineErrors) }, 1.6, 0.994, 3},
	} {
		var alone, together simulationResult
		for seed := range uint64(2) {
			alone, together = alone.plus(simulateFaults(seed, false, c.fault)), together.plus(simulateFaults(seed, true, c.fault))
		}
		t.Logf("%s: alone %s, shared %s, %d ejections, %d engines ejected wrongly", name, alone, together, together.ejections, together.wronglyEjected)
		if float64(together.broken) > c.broken*float64(alone.broken)+1 {
			t.Errorf("%s: %d broke, %d without sharing", name, together.broken, alone.broken)
		}
		if share := float64(together.inTime) / float64(together.requests); share < c.inTime {
			t.Errorf("%s: %.4f in time", name, share)
		}
		if together.wronglyEjected > 2*c.falsely {
			t.Errorf("%s: %d healthy engines were ejected", name, together.wronglyEjected)
		}
	}
}

func (v simulationResult) plus(o simulationResult) simulationResult {
	return simulationResult{v.requests + o.requests, v.inTime + o.inTime, v.broken + o.broken, v.rejected + o.rejected, v.wronglyEjected + o.wronglyEjected, v.ejections + o.ejections}
}

func (v simulationResult) String() string {
	return fmt.Sprintf("%.4f in time, %.4f broken, %.4f refused", float64(v.inTime)/float64(v.requests), float64(v.broken)/float64(v.requests), float64(v.rejected)/float64(v.requests))
}

// TestOverloadIsNotMistakenForOutliers: up to and beyond the engines' limit, with and without one popular prefix,
// sharing outcomes costs little, although some engine is always slower than others.
func TestOverloadIsNotMistakenForOutliers(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1.0, 1.3} {
		for _, popular := range []bool{false, true} {
			var served [2]float64
			ejections := uint64(0)
			for index, shared := range []bool{false, true} {
				requested, inTime := 0, 0
				for seed := range uint64(8) {
					s := newSimulation(seed, 9, 5)
					if shared {
						s.shareOutcomes()
					}
					s.traffic(load*s.capacity(), 30*time.Second, func() int {
						if popular && s.random.IntN(10) < 7 {
							return 1
						}
						return s.anySubject()
					})
					a, b := s.sum()
					requested, inTime = requested+a, inTime+b
					if shared {
						ejections += s.detector.Counters.Ejections
					}
				}
				served[index] = float64(inTime) / float64(requested)
			}
			t.Logf("load %.1f popular %-5t: in time %.3f alone, %.3f shared, %d ejections", load, popular, served[0], served[1], ejections)
			if served[1] < served[0]-0.04 || ejections > 4 {
				t.Errorf("load %.1f popular %t: in time %.3f alone, %.3f shared, %d ejections in 90 s of five engines", load, popular, served[0], served[1], ejections)
			}
		}
	}
}

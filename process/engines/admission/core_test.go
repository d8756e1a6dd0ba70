package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/priority"
)

// simulation is a core with simulated daemons that acquire, use and release slots.
type simulation struct {
	core            *Core
	now             clock.Mark
	capacity        int
	reportRequested clock.Mark
	dead            map[ident.NodeID]bool
	decisions       map[string]bool
	running         map[string]clock.Mark
}

func newSimulation(capacity int) *simulation {
	return &simulation{core: NewCore(), now: clock.Mark(time.Hour), capacity: capacity, dead: map[ident.NodeID]bool{}, decisions: map[string]bool{}, running: map[string]clock.Mark{}}
}

func (s *simulation) view() View {
	return View{Now: s.now, Capacity: func(ident.EngineID) int { return s.capacity }, Busy: func(ident.EngineID) int { return 0 },
		ReportRequested: func(ident.EngineID) clock.Mark { return s.reportRequested }, Alive: func(n ident.NodeID) bool { return !s.dead[n] }}
}

func (s *simulation) apply(answers []Decision) {
	for _, a := range answers {
		s.decisions[a.ID] = a.Granted
		if a.Granted {
			s.running[a.ID] = s.now
		}
	}
}

func (s *simulation) acquire(id string, node ident.NodeID, value int64, tenant string) {
	s.apply(s.core.Acquire(s.view(), Request{ID: id, Node: node, Engine: "e", Key: priority.Key{Value: value, Tenant: tenant}, Deadline: s.now + clock.Mark(150*time.Millisecond)}))
}

func TestGrantsStayWithinCapacityAndNoSlotLeaks(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 8))
		s := newSimulation(4)
		granted := 0
		for i := range 4000 {
			s.now += clock.Mark(time.Duration(random.IntN(10)) * time.Millisecond)
			s.reportRequested = s.now
			if random.IntN(3) > 0 {
				s.acquire(fmt.Sprint(i), "n", int64(random.IntN(3)), fmt.Sprint(random.IntN(2)))
			}
			for id, since := range s.running {
				if s.now.Since(since) > 30*time.Millisecond {
					delete(s.running, id)
					s.apply(s.core.Release(s.view(), "e", id, random.IntN(50) == 0))
				}
			}
			s.apply(s.core.Tick(s.view()))
			if len(s.running) > s.capacity {
				t.Fatalf("seed %d: %d run at once", seed, len(s.running))
			}
		}
		for _, g := range s.decisions {
			if g {
				granted++
			}
		}
		// What waits is denied at its deadline, and all that was granted is released: nothing may be left.
		s.capacity = 0
		s.now += clock.Mark(time.Second)
		s.apply(s.core.Tick(s.view()))
		for id := range s.running {
			s.apply(s.core.Release(s.view(), "e", id, false))
		}
		if slots := s.core.engines["e"]; len(slots.granted) != 0 || len(slots.waiting) != 0 {
			t.Errorf("seed %d: %d slots leaked, %d still wait", seed, len(slots.granted), len(slots.waiting))
		}
		if granted < 1000 {
			t.Errorf("seed %d: only %d were granted", seed, granted)
		}
	}
}

func TestHighestPriorityIsGrantedFirstAndTenantsAlternate(t *testing.T) {
	s := newSimulation(1)
	s.acquire("first", "n", 1, "a")
	for i := range 4 {
		s.acquire(fmt.Sprint("a", i), "n", 5, "a")
	}
	s.acquire("b0", "m", 5, "b")
	s.acquire("high", "m", 9, "a")
	var order []string
	last := "first"
	for range 6 {
		s.running = map[string]clock.Mark{}
		s.apply(s.core.Release(s.view(), "e", last, false))
		if len(s.running) != 1 {
			t.Fatalf("%d were granted one slot after %v", len(s.running), order)
		}
		for id := range s.running {
			last = id
		}
		order = append(order, last)
	}
	if order[0] != "high" || order[1] != "b0" && order[2] != "b0" {
		t.Errorf("the order was %v", order)
	}
}

func TestSlotsOfDeadDaemonAreTakenBack(t *testing.T) {
	s := newSimulation(1)
	s.acquire("gone", "n", 1, "a")
	s.dead["n"] = true
	s.apply(s.core.Tick(s.view()))
	s.acquire("next", "m", 1, "a")
	if !s.decisions["next"] {
		t.Error("the dead daemon's slot was not taken back")
	}
}

func TestRefusingEngineGetsNothingBeforeLaterReport(t *testing.T) {
	s := newSimulation(2)
	s.reportRequested = s.now
	s.acquire("one", "n", 1, "a")
	s.now += clock.Mark(time.Millisecond)
	s.apply(s.core.Release(s.view(), "e", "one", true))
	s.acquire("two", "n", 1, "a")
	if s.decisions["two"] {
		t.Fatal("a slot was granted because of an old report")
	}
	s.now += clock.Mark(20 * time.Millisecond)
	s.reportRequested = s.now
	s.apply(s.core.Tick(s.view()))
	if !s.decisions["two"] {
		t.Error("nothing was granted after the later report")
	}
}

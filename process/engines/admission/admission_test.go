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

// stand is a keeper's core with made-up daemons that ask, run and give back.
type stand struct {
	core     *Core
	now      clock.Mark
	capacity int
	asked    clock.Mark
	dead     map[ident.NodeID]bool
	answers  map[string]bool
	running  map[string]clock.Mark
}

func newStand(capacity int) *stand {
	return &stand{core: NewCore(), now: clock.Mark(time.Hour), capacity: capacity, dead: map[ident.NodeID]bool{}, answers: map[string]bool{}, running: map[string]clock.Mark{}}
}

func (s *stand) view() View {
	return View{Now: s.now, Capacity: func(ident.EngineID) int { return s.capacity }, Busy: func(ident.EngineID) int { return 0 },
		Asked: func(ident.EngineID) clock.Mark { return s.asked }, Alive: func(n ident.NodeID) bool { return !s.dead[n] }}
}

func (s *stand) hear(answers []Answer) {
	for _, a := range answers {
		s.answers[a.ID] = a.Granted
		if a.Granted {
			s.running[a.ID] = s.now
		}
	}
}

func (s *stand) ask(id string, node ident.NodeID, worth int64, tenant string) {
	s.hear(s.core.Ask(s.view(), Ask{ID: id, Node: node, Engine: "e", Bid: priority.Bid{Worth: worth, Tenant: tenant}, Until: s.now + clock.Mark(150*time.Millisecond)}))
}

func TestNeverMoreThanTheCapacityAndNothingLeaks(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 8))
		s := newStand(4)
		granted := 0
		for i := range 4000 {
			s.now += clock.Mark(time.Duration(random.IntN(10)) * time.Millisecond)
			s.asked = s.now
			if random.IntN(3) > 0 {
				s.ask(fmt.Sprint(i), "n", int64(random.IntN(3)), fmt.Sprint(random.IntN(2)))
			}
			for id, since := range s.running {
				if s.now.Since(since) > 30*time.Millisecond {
					delete(s.running, id)
					s.hear(s.core.Release(s.view(), "e", id, random.IntN(50) == 0))
				}
			}
			s.hear(s.core.Tick(s.view()))
			if len(s.running) > s.capacity {
				t.Fatalf("seed %d: %d run at once", seed, len(s.running))
			}
		}
		for _, g := range s.answers {
			if g {
				granted++
			}
		}
		// Whoever waits is denied in time, and all that was given is given back: nothing may be left.
		s.capacity = 0
		s.now += clock.Mark(time.Second)
		s.hear(s.core.Tick(s.view()))
		for id := range s.running {
			s.hear(s.core.Release(s.view(), "e", id, false))
		}
		if desk := s.core.engines["e"]; len(desk.granted) != 0 || len(desk.waiting) != 0 {
			t.Errorf("seed %d: %d slots leaked, %d still wait", seed, len(desk.granted), len(desk.waiting))
		}
		if granted < 1000 {
			t.Errorf("seed %d: only %d were granted", seed, granted)
		}
	}
}

func TestTheHighestBidGetsTheNextSlotAndHousesTakeTurns(t *testing.T) {
	s := newStand(1)
	s.ask("first", "n", 1, "a")
	for i := range 4 {
		s.ask(fmt.Sprint("a", i), "n", 5, "a")
	}
	s.ask("b0", "m", 5, "b")
	s.ask("high", "m", 9, "a")
	var order []string
	last := "first"
	for range 6 {
		s.running = map[string]clock.Mark{}
		s.hear(s.core.Release(s.view(), "e", last, false))
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

func TestSlotsOfADeadDaemonComeBack(t *testing.T) {
	s := newStand(1)
	s.ask("gone", "n", 1, "a")
	s.dead["n"] = true
	s.hear(s.core.Tick(s.view()))
	s.ask("next", "m", 1, "a")
	if !s.answers["next"] {
		t.Error("the dead daemon's slot was kept")
	}
}

func TestAfterARefusalOnlyALaterReportOpensTheEngine(t *testing.T) {
	s := newStand(2)
	s.asked = s.now
	s.ask("one", "n", 1, "a")
	s.now += clock.Mark(time.Millisecond)
	s.hear(s.core.Release(s.view(), "e", "one", true))
	s.ask("two", "n", 1, "a")
	if s.answers["two"] {
		t.Fatal("a slot was given on the word of an old report")
	}
	s.now += clock.Mark(20 * time.Millisecond)
	s.asked = s.now
	s.hear(s.core.Tick(s.view()))
	if !s.answers["two"] {
		t.Error("the later report did not open the engine")
	}
}

package wants

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/wire/fellowapi"
)

func demand(model string, held, running int64, oldest time.Duration) *fellowapi.Demand {
	return &fellowapi.Demand{Pool: "p", Model: model, Held: held, Running: running, OldestMs: oldest.Milliseconds(), Tokens: float64(running) * 10, Arrivals: 1}
}

func gather(h *Heard, now clock.Mark) map[string]*fellowapi.Demand {
	out := map[string]*fellowapi.Demand{}
	h.Each(now, func(one *fellowapi.Demand, ago time.Duration) {
		copied := proto.Clone(one).(*fellowapi.Demand)
		if copied.Held > 0 {
			copied.OldestMs += ago.Milliseconds()
		}
		out[one.Model] = copied
	})
	return out
}

func TestWhatIsToldInPartsIsNearWhatIsAskedFor(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		var teller Teller
		var heard Heard
		now := clock.Mark(time.Minute)
		since := map[string]clock.Mark{}
		asked := map[string]*fellowapi.Demand{}
		var late []Message
		for step := range 400 {
			now += clock.Mark(time.Duration(random.IntN(300)) * time.Millisecond)
			model := fmt.Sprint("m", random.IntN(8))
			switch random.IntN(4) {
			case 0:
				delete(asked, model)
			case 1:
				since[model] = now
				asked[model] = demand(model, int64(1+random.IntN(3)), int64(random.IntN(30)), 0)
			case 2:
				asked[model] = demand(model, 0, int64(1+random.IntN(30)), 0)
			}
			var all []*fellowapi.Demand
			for name, one := range asked {
				one = proto.Clone(one).(*fellowapi.Demand)
				if one.Held > 0 {
					one.OldestMs = now.Since(since[name]).Milliseconds()
				}
				all = append(all, one)
			}
			message := teller.Tell(now, "a", all, nil)
			switch random.IntN(10) {
			case 0:
				teller.Lost()
				continue
			case 1:
				// It comes late, after the next.
				late = append(late, message)
				continue
			}
			taken := heard.Take(now, message)
			for _, old := range late {
				heard.Take(now, old)
			}
			late = nil
			if !taken {
				teller.Lost()
				continue
			}
			got := gather(&heard, now)
			if len(got) != len(all) {
				t.Fatalf("seed %d, step %d: %d are known, %d asked for", seed, step, len(got), len(all))
			}
			for _, one := range all {
				if !near(told{got[one.Model], now}, one, now) {
					t.Fatalf("seed %d, step %d: %v is known as %v", seed, step, one, got[one.Model])
				}
			}
		}
	}
}

func TestWhatDoesNotChangeIsNotToldAgain(t *testing.T) {
	var teller Teller
	now := clock.Mark(time.Minute)
	if m := teller.Tell(now, "a", []*fellowapi.Demand{demand("m", 1, 4, 0), demand("n", 0, 4, 0)}, nil); m.Base != 0 || len(m.Demand) != 2 {
		t.Errorf("%+v", m)
	}
	now += clock.Mark(time.Second)
	if m := teller.Tell(now, "a", []*fellowapi.Demand{demand("m", 1, 4, time.Second), demand("n", 0, 5, 0)}, nil); m.Base == 0 || len(m.Demand) != 0 {
		t.Errorf("%+v", m)
	}
	if m := teller.Tell(now, "b", []*fellowapi.Demand{demand("m", 1, 4, time.Second)}, nil); m.Base != 0 || len(m.Demand) != 1 {
		t.Errorf("another planner is told all: %+v", m)
	}
	if m := teller.Tell(now+clock.Mark(wholeEvery), "b", []*fellowapi.Demand{demand("m", 1, 4, time.Second+wholeEvery)}, nil); m.Base != 0 || len(m.Demand) != 1 {
		t.Errorf("all is told again in time: %+v", m)
	}
}

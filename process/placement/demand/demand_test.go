package demand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/peerapi"
)

func demand(model string, queued, running int64, oldest time.Duration) *peerapi.Demand {
	return &peerapi.Demand{Pool: "p", Model: model, Queued: queued, Running: running, OldestMs: oldest.Milliseconds(), Tokens: float64(running) * 10, Arrivals: 1}
}

// gather returns what a receiver knows by model, with decayed rates.
func gather(h *Receiver, now clock.Mark) map[string]*peerapi.Demand {
	out := map[string]*peerapi.Demand{}
	h.Each(now, func(one *peerapi.Demand, ago time.Duration, fraction float64) {
		copied := proto.Clone(one).(*peerapi.Demand)
		copied.Tokens, copied.Arrivals = copied.Tokens*fraction, copied.Arrivals*fraction
		if copied.Queued > 0 {
			copied.OldestMs += ago.Milliseconds()
		}
		out[one.Model] = copied
	})
	return out
}

func TestIncrementsAreNearTheFullDemand(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		var sender Sender
		var receiver Receiver
		now := clock.Mark(time.Minute)
		since := map[string]clock.Mark{}
		requested := map[string]*peerapi.Demand{}
		var late []Report
		for step := range 400 {
			now += clock.Mark(time.Duration(random.IntN(300)) * time.Millisecond)
			model := fmt.Sprint("m", random.IntN(8))
			switch random.IntN(4) {
			case 0:
				delete(requested, model)
			case 1:
				since[model] = now
				requested[model] = demand(model, int64(1+random.IntN(3)), int64(random.IntN(30)), 0)
			case 2:
				requested[model] = demand(model, 0, int64(1+random.IntN(30)), 0)
			}
			var all []*peerapi.Demand
			for name, one := range requested {
				one = proto.Clone(one).(*peerapi.Demand)
				if one.Queued > 0 {
					one.OldestMs = now.Since(since[name]).Milliseconds()
				}
				all = append(all, one)
			}
			message := sender.Next(now, "a", all, nil)
			switch random.IntN(10) {
			case 0:
				sender.MarkLost()
				continue
			case 1:
				// It arrives late, after the next.
				late = append(late, message)
				continue
			}
			applied := receiver.Apply(now, message)
			for _, old := range late {
				receiver.Apply(now, old)
			}
			late = nil
			if !applied {
				sender.MarkLost()
				continue
			}
			got := gather(&receiver, now)
			if len(got) != len(all) {
				t.Fatalf("seed %d, step %d: %d are known, %d demanded", seed, step, len(got), len(all))
			}
			for _, one := range all {
				if !unchanged(entry{got[one.Model], now}, one, now) {
					t.Fatalf("seed %d, step %d: %v is known as %v", seed, step, one, got[one.Model])
				}
			}
		}
	}
}

// fadedDemand is a demand whose rates have decayed for a time since its last request.
func fadedDemand(model string, queued, running int64, oldest, since time.Duration) *peerapi.Demand {
	out := demand(model, queued, running, oldest)
	out.Tokens, out.Arrivals = out.Tokens*remainingFraction(since), out.Arrivals*remainingFraction(since)
	return out
}

func TestUnchangedDemandIsNotAnnouncedAgain(t *testing.T) {
	var sender Sender
	now := clock.Mark(time.Minute)
	if m := sender.Next(now, "a", []*peerapi.Demand{demand("m", 1, 4, 0), demand("n", 0, 4, 0)}, nil); m.Base != 0 || len(m.Demand) != 2 {
		t.Errorf("%+v", m)
	}
	now += clock.Mark(time.Second)
	if m := sender.Next(now, "a", []*peerapi.Demand{fadedDemand("m", 1, 4, time.Second, time.Second), fadedDemand("n", 0, 5, 0, time.Second)}, nil); m.Base == 0 || len(m.Demand) != 0 {
		t.Errorf("%+v", m)
	}
	if m := sender.Next(now, "b", []*peerapi.Demand{fadedDemand("m", 1, 4, time.Second, time.Second)}, nil); m.Base != 0 || len(m.Demand) != 1 {
		t.Errorf("another planner gets a full report: %+v", m)
	}
	if m := sender.Next(now+clock.Mark(fullReportEvery), "b", []*peerapi.Demand{demand("m", 1, 4, time.Second+fullReportEvery)}, nil); m.Base != 0 || len(m.Demand) != 1 {
		t.Errorf("a full report is due: %+v", m)
	}
}

// One request for each of many models: as its rates decay on both sides alike, it is reported when it begins to run, and
// when it has ended.
func TestOneRequestIsAnnouncedTwice(t *testing.T) {
	var sender Sender
	var receiver Receiver
	now, rows, half := clock.Mark(time.Minute), 0, float64(time.Second)*5
	for step := range 50 {
		var all []*peerapi.Demand
		rate := 0.139 * math.Exp2(-float64(step)*float64(time.Second)/half)
		running := int64(0)
		if step < 1 {
			running = 1
		}
		if running > 0 || rate >= 0.002 {
			all = append(all, &peerapi.Demand{Pool: "p", Model: "m", Running: running, Tokens: 3000 * rate, Arrivals: rate})
		}
		message := sender.Next(now, "a", all, nil)
		rows += len(message.Demand)
		if !receiver.Apply(now, message) {
			t.Fatal("a report was not applied")
		}
		got := gather(&receiver, now)["m"]
		switch {
		case len(all) == 0 && got != nil && got.Arrivals > minAnnouncedRate:
			t.Fatalf("second %d: %v is known without demand", step, got)
		case len(all) > 0 && (got == nil || got.Running != running && step != 1 || math.Abs(got.Arrivals-rate) > 0.001):
			t.Fatalf("second %d: %v of %v", step, got, all[0])
		}
		now += clock.Mark(time.Second)
	}
	if rows != 3 {
		// The third is in the full report that is due meanwhile.
		t.Errorf("%d entries", rows)
	}
	if got := gather(&receiver, now); len(got) != 0 {
		t.Errorf("%v is never forgotten", got)
	}
}

// A few running requests at each of many daemons add up, so the end of a daemon's last one must be reported.
func TestTheEndOfTheLastRequestIsAnnounced(t *testing.T) {
	var sender Sender
	now := clock.Mark(time.Minute)
	sender.Next(now, "a", []*peerapi.Demand{demand("m", 0, 1, 0)}, nil)
	ended := fadedDemand("m", 0, 1, 0, 100*time.Millisecond)
	ended.Running = 0
	if m := sender.Next(now+clock.Mark(100*time.Millisecond), "a", []*peerapi.Demand{ended}, nil); len(m.Demand) != 0 {
		t.Errorf("another may follow: %+v", m)
	}
	ended = fadedDemand("m", 0, 1, 0, endSlack)
	ended.Running = 0
	if m := sender.Next(now+clock.Mark(endSlack), "a", []*peerapi.Demand{ended}, nil); len(m.Demand) != 1 || m.Demand[0].Running != 0 {
		t.Errorf("%+v", m)
	}
	// A beginning is reported at once.
	begun := fadedDemand("m", 0, 1, 0, endSlack)
	if m := sender.Next(now+clock.Mark(endSlack), "a", []*peerapi.Demand{begun}, nil); len(m.Demand) != 1 || m.Demand[0].Running != 1 {
		t.Errorf("%+v", m)
	}
}

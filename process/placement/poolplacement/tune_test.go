package poolplacement

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

func smallCatalogue() upstream.Catalogue {
	c := upstream.Catalogue{Slots: 96, MemoryTokens: 123322, CapacityMb: 83000, AdapterSlots: 8, LoadsPerSecond: 2.1}
	for i := range 31 {
		m := upstream.Model{Name: fmt.Sprintf("m%02d", i), SizeMb: 34300, LoadMs: 2000, AdapterSizeMb: 40}
		if i%5 >= 3 {
			m.SizeMb, m.LoadMs, m.AdapterSizeMb = 16100, 950, 14
		}
		if i%3 == 0 {
			m.Adapters = 4
		}
		c.Models = append(c.Models, m)
	}
	return c
}

func TestTune(t *testing.T) {
	if os.Getenv("TUNE") == "" {
		t.Skip()
	}
	type scenario struct {
		name        string
		catalogue   upstream.Catalogue
		rate, power float64
		late        float64
		shift       func(clock.Mark) int
		trouble     func(f *fakeFleet, second int)
	}
	calm := func(clock.Mark) int { return 0 }
	moving := func(now clock.Mark) int { return int(now/clock.Mark(20*time.Second)) * 5 }
	release := func(f *fakeFleet, second int) {
		if second%6 == 0 && second > 5 && second < 60 {
			f.engines[0].leaving = true
			e := f.engines[0]
			fresh := f.start("")
			_ = fresh
			at := f.now + clock.Mark(2500*time.Millisecond)
			f.later = append(f.later, func() bool {
				if f.now < at {
					return false
				}
				e.gone = true
				f.queued = append(f.queued, e.running...)
				return true
			})
			f.engines = append(f.engines[1:], e)
		}
	}
	crash := func(f *fakeFleet, second int) {
		if second%15 == 14 {
			f.restart(f.engines[second%len(f.engines)])
			f.restart(f.engines[(second+1)%len(f.engines)])
		}
	}
	for _, s := range []scenario{
		{"shared calm", sharedCatalogue(), 45, 1, .5, calm, nil},
		{"shared shift", sharedCatalogue(), 45, 1, .5, moving, nil},
		{"shared busy", sharedCatalogue(), 80, 1, .5, moving, nil},
		{"shared crash", sharedCatalogue(), 45, 1, .5, calm, crash},
		{"shared release", sharedCatalogue(), 45, 1, .5, calm, release},
		{"small calm", smallCatalogue(), 27, 1, .1, calm, nil},
		{"small shift", smallCatalogue(), 27, 1, .1, moving, nil},
		{"shared calm 1.6", sharedCatalogue(), 45, 1.6, .5, calm, nil},
		{"shared shift 1.6", sharedCatalogue(), 45, 1.6, .5, moving, nil},
		{"small calm 1.6", smallCatalogue(), 27, 1.6, .1, calm, nil},
		{"small shift 1.6", smallCatalogue(), 27, 1.6, .1, moving, nil},
		{"shared burst", sharedCatalogue(), 30, 1.8, .5, calm, nil},
		{"small burst", smallCatalogue(), 20, 1.8, .1, calm, nil},
		{"small crash", smallCatalogue(), 27, 1, .1, calm, crash},
	} {
		total, loads, orders, asked, late, refused, starved := 0.0, 0, 0, 0, 0, 0, 0
		const n = 6
		for seed := range uint64(n) {
			f := newFleet(seed, s.catalogue, 9)
			f.run(10 * time.Second)
			base := f.now
			zipf(f, s.rate, s.power, func(now clock.Mark) int { return s.shift(now - base) })
			if strings.Contains(s.name, "burst") {
				usual := f.rate
				f.rate = func(now clock.Mark) (float64, func() (registry.Target, *fakeRequest)) {
					perSecond, pick := usual(now)
					if second := int((now - base) / clock.Mark(time.Second)); second%15 >= 3 {
						return perSecond, pick
					}
					return perSecond + 15, func() (registry.Target, *fakeRequest) {
						target, r := pick()
						if f.random.IntN(4) == 0 {
							target = registry.Target{Model: f.truth.Models[20+f.random.IntN(11)].Name}
						}
						return target, r
					}
				}
			}
			for second := range 60 {
				if s.trouble != nil {
					s.trouble(f, second)
				}
				f.run(time.Second)
			}
			f.rate = nil
			f.run(8 * time.Second)
			for _, fault := range f.faults {
				t.Errorf("%s %d: %s", s.name, seed, fault)
			}
			value := 1.6 * (float64(f.onTime) + s.late*float64(f.late))
			value -= .36*float64(f.loads) + .036*float64(f.loads+f.evicts+f.adapterOrders)
			total += value / (1.6 * float64(f.asked))
			loads += f.loads
			orders += f.evicts + f.adapterOrders
			asked += f.asked
			late += f.late
			refused += f.refused
			for target, asked := range f.askedBy {
				if asked >= 4 && f.servedBy[target] == 0 {
					starved++
				}
			}
		}
		t.Logf("%-16s score %.4f loads %.0f other orders %.0f late %.1f%% refused %.1f%% starved %d", s.name, total/n, float64(loads)/n, float64(orders)/n, 100*float64(late)/float64(asked), 100*float64(refused)/float64(asked), starved)
	}
}

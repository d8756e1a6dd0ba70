package scenario

import (
	"fmt"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/loopback"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// newEngine starts an engine at an address; empty is a new one.
func (r *Run) newEngine(c engine.Config, zone, address string) (*engine.Engine, error) {
	r.mutex.Lock()
	r.nameCount++
	number := r.nameCount
	r.mutex.Unlock()
	if address == "" {
		address = loopback.Host() + ":0"
	}
	c.Name, c.Zone, c.Address, c.Software, c.HealthPath = fmt.Sprintf("e%d", number), zone, address, "v1", "/health"
	c.IdleClose, c.AdvertiseIdle, c.CloseEach, c.ReportLag, c.Seed = 5*time.Second, number%2 == 0, 40, 300*ms, r.Seed*1000+uint64(number)
	c.HeartbeatPeriod, c.Controls, c.DrainBound, c.DrainPatience, c.WarmUp = 1200*ms, r.Fleet.Controls, Bounds.Drain, 6*time.Second, 500*ms
	if number%3 == 0 {
		c.LateEach, c.LateBy = 4, 2500*ms
	}
	e := engine.New(c, r.Recorder)
	if err := e.Start(); err != nil {
		return nil, err
	}
	r.mutex.Lock()
	r.engines = append(r.engines, e)
	r.mutex.Unlock()
	return e, nil
}

func (r *Run) newModel(zone string, holds []protocol.Holding, address string) (*engine.Engine, error) {
	models := engineCatalogue()
	return r.newEngine(engine.Config{Service: "lm", MaxConns: 100, Model: true, InitialModels: holds, Store: r.store,
		Pace:     engine.Pace{Slots: models.Slots, Waiting: 6, Memory: models.KVCapacity, StepTime: 3 * ms, PerRequest: 300 * time.Microsecond, PrefillPerMs: 20, PrefillAtOnce: 400, Stride: models.Stride},
		Capacity: engine.Capacity{Catalogue: models, DiskShare: 0.4, AdapterTime: 30 * ms}}, zone, address)
}

func (r *Run) newPlain(zone, service, address string) (*engine.Engine, error) {
	return r.newEngine(engine.Config{Service: service, MaxConns: 60, Slots: 6, Waiting: 4, Work: 25 * ms, SlowFull: 2, AnswerBytes: 800, Chunked: r.nameCount%2 == 0}, zone, address)
}

// enginesOf lists the engines of a service that run and are not draining.
func (r *Run) enginesOf(service string) (out []*engine.Engine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, e := range r.engines {
		if e.Config.Service == service && e.Current() != "" && !e.Draining() {
			out = append(out, e)
		}
	}
	return out
}

func (r *Run) anyEngine(service string) (*engine.Engine, error) {
	list := r.enginesOf(service)
	if len(list) == 0 {
		return nil, fmt.Errorf("no engine of %s lives", service)
	}
	return list[r.draw(len(list))], nil
}

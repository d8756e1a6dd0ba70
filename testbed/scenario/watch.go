package scenario

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Observe records the readiness and versions of all daemons until ctx ends.
func (r *Run) Observe(ctx context.Context) {
	for _, p := range r.Fleet.Daemons {
		r.observers.Add(1)
		go func() {
			defer r.observers.Done()
			tick := time.NewTicker(200 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				if !p.Running() {
					r.setReady(p, false)
					continue
				}
				at := journal.Now()
				status, err := r.Fleet.Status(p)
				r.setReady(p, err == nil && status.Ready && !p.Core)
				if err == nil {
					r.mutex.Lock()
					r.history.Observations = append(r.history.Observations, checker.Observation{At: at, Daemon: p.Name, Incarnation: string(status.NodeID),
						ConfigurationVersion: uint64(status.ConfigurationVersion), ClosureVersion: uint64(status.ClosureVersion), Ready: status.Ready})
					r.mutex.Unlock()
				}
			}
		}()
	}
}

func (r *Run) setReady(p *fleet.Process, ready bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	place := slices.Index(r.ready, p)
	switch {
	case ready && place < 0:
		r.ready = append(r.ready, p)
	case !ready && place >= 0:
		r.ready = slices.Delete(r.ready, place, place+1)
	}
}

// AllReady says whether every running edge is ready.
func (r *Run) AllReady() bool {
	for _, p := range r.Fleet.Edges() {
		if !p.Running() || !r.Fleet.Ready(p) {
			return false
		}
	}
	return true
}

// Counters adds up the counters of all daemons that run.
func (r *Run) Counters() map[string]uint64 {
	out := map[string]uint64{}
	for _, p := range r.anyDaemon() {
		data, err := r.Fleet.Get(p, operatorapi.PathCounters, nil)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			var name string
			var value uint64
			if n, _ := fmt.Sscanf(line, "%s %d", &name, &value); n == 2 {
				out[name] += value
			}
		}
	}
	return out
}

// Loaded counts the models that engines report as loaded.
func (r *Run) Loaded() int {
	for _, p := range r.Fleet.Edges() {
		status, err := r.Fleet.Status(p)
		if err != nil {
			continue
		}
		count := 0
		for _, engine := range status.Engines {
			for _, model := range engine.Models {
				if strings.HasSuffix(model, ":loaded") {
					count++
				}
			}
		}
		return count
	}
	return 0
}

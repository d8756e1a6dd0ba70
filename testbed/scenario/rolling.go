package scenario

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/testbed/journal"
)

// Rolling restarts every daemon as planned, one after the other, under load, and replaces engines one
// by one, the last at short notice.
func (r *Run) Rolling(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		r.Pause(2 * time.Second)
		for _, p := range r.Fleet.Edges() {
			r.StopGracefully(p)
			if err := p.Start(); err != nil {
				return err
			}
			if err := r.Await(p.Name+" is ready", func() bool { return r.Fleet.Ready(p) }); err != nil {
				return err
			}
		}
		for _, p := range r.cores() {
			r.StopGracefully(p)
			if err := p.Start(); err != nil {
				return err
			}
			if err := r.awaitAllMembers(); err != nil {
				return err
			}
		}
		for i, p := range r.Fleet.Engines[:3] {
			r.Record(checker.Action{Kind: checker.EngineDraining, Subject: p.Name})
			r.Fleet.MarkDraining(p)
			if i < 2 {
				r.Pause(4 * time.Second)
			} else {
				r.Pause(500 * time.Millisecond)
			}
			if err := r.replace(p); err != nil {
				return err
			}
		}
		if err := r.Roll("after-rolling", 1); err != nil {
			return err
		}
		r.Pause(3 * time.Second)
		return nil
	})
}

// replace ends an engine and puts a fresh one in its place.
func (r *Run) replace(p *fleet.Process) error {
	requestedAt := journal.Now()
	p.Kill()
	r.Record(checker.Action{Kind: checker.EngineKilled, Subject: p.Name, RequestedAt: requestedAt})
	r.Fleet.ClearDraining(p)
	r.Record(checker.Action{Kind: checker.EngineStarted, Subject: p.Name})
	return p.Start()
}

package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Leaving drains engines with every notice, announced by list, report and operator; has the platform's
// list fail; and gracefully stops daemons that lead, plan and own slots.
func (r *Run) Leaving(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		r.Pause(2 * time.Second)
		engines := r.Fleet.Engines
		for i, notice := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second} {
			p := engines[(i+int(r.Seed))%len(engines)]
			r.Say("%s leaves by the platform's list with a notice of %v", p.Name, notice)
			r.Record(checker.Action{Kind: checker.EngineDraining, Subject: p.Name})
			r.Fleet.MarkDraining(p)
			r.Pause(notice)
			if err := r.replace(p); err != nil {
				return err
			}
			r.Pause(time.Second)
		}

		byReport := r.otherThan(engines, nil)
		r.Say("%s says in its reports that it leaves", byReport.Name)
		if err := r.Fleet.TellEngine(byReport, "leave"); err != nil {
			return err
		}
		r.Record(checker.Action{Kind: checker.EngineDraining, Subject: byReport.Name})
		r.Pause(5 * time.Second)
		if err := r.replace(byReport); err != nil {
			return err
		}

		byOperator := r.otherThan(engines, byReport)
		r.Say("an operator drains %s, and takes it up again", byOperator.Name)
		if err := r.drainEngine(byOperator, true); err != nil {
			return err
		}
		r.Pause(5 * time.Second)
		if err := r.drainEngine(byOperator, false); err != nil {
			return err
		}

		for _, trouble := range []string{"gone", "empty", "junk", "strangers"} {
			r.Say("the platform's list is %s", trouble)
			r.Fleet.Platform.SetFault(trouble)
			r.Record(checker.Action{Kind: checker.Crashed, Subject: "the platform's list: " + trouble})
			r.Pause(4 * time.Second)
			r.Fleet.Platform.SetFault("")
			r.Pause(time.Second)
		}

		// In turn: the leader, the planner, and the edges, one of which owns the slots of most engines.
		for _, find := range []func() *fleet.Process{r.Fleet.Leader, r.planner, func() *fleet.Process { return r.Fleet.Edges()[0] }} {
			var p *fleet.Process
			if err := r.Await("there is one to stop", func() bool { p = find(); return p != nil }); err != nil {
				return err
			}
			r.Say("%s stops as planned", p.Name)
			r.StopGracefully(p)
			if err := p.Start(); err != nil {
				return err
			}
			if err := r.awaitAllMembers(); err != nil {
				return err
			}
			if err := r.Await("all edges are ready", r.AllReady); err != nil {
				return err
			}
		}
		if err := r.Roll("after-leaving", 1); err != nil {
			return err
		}
		r.Pause(2 * time.Second)
		return nil
	})
}

// drainEngine has an operator drain an engine, or end its draining.
func (r *Run) drainEngine(p *fleet.Process, draining bool) error {
	base, err := r.closureVersion()
	if err != nil {
		return err
	}
	requestedAt := journal.Now()
	if _, err := r.Ask(operatorapi.PathDrain, operatorapi.EngineDrain{Engine: ident.EngineID(p.Name), Draining: &draining, Base: &base, Operator: "ana"}, nil); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	if draining {
		r.Record(checker.Action{Kind: checker.EngineDraining, Subject: p.Name, RequestedAt: requestedAt})
	} else {
		r.Record(checker.Action{Kind: checker.EngineStarted, Subject: p.Name, At: requestedAt})
	}
	return nil
}

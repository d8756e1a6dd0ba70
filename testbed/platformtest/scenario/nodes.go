package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// rankingActs are played only where they are named: they last long, and engines are ranked and drained meanwhile.
// Whether anything is lost or run twice the judge says, as on any day.
var rankingFaults = []fault{
	{name: "node-stall", rest: time.Second, ranking: string(nodehealth.Drain), play: func(d *Run, ctx context.Context) error {
		list, err := d.awaitRanked(ctx)
		if err != nil {
			return err
		}
		worse := list[d.draw(len(list))]
		worse.Slow(80)
		began := d.Recorder.Now()
		if err := d.awaitDrained(ctx, worse); err != nil {
			return err
		}
		d.Say("drained after %v", d.Recorder.Now().Since(began).Round(10*ms))
		// What is left there goes on elsewhere or ends, and it returns by trial.
		d.pause(ctx, 3*time.Second)
		worse.Slow(1)
		return d.awaitStage(ctx, worse, nodehealth.Healthy)
	}},
	{name: "node-planner-lost", rest: 4 * time.Second, ranking: string(nodehealth.Drain), play: func(d *Run, ctx context.Context) error {
		list, err := d.awaitRanked(ctx)
		if err != nil {
			return err
		}
		worse := list[d.draw(len(list))]
		worse.Slow(100)
		if err := d.awaitStage(ctx, worse, nodehealth.Suspect); err != nil {
			return err
		}
		// Whoever plans falls while it makes up its mind.
		planner, err := d.planner(ctx)
		if err != nil {
			return err
		}
		if err := d.killAndRestart(ctx, planner); err != nil {
			return err
		}
		if err := d.awaitDrained(ctx, worse); err != nil {
			return err
		}
		worse.Slow(1)
		return d.awaitStage(ctx, worse, nodehealth.Healthy)
	}},
	{name: "node-flap", rest: time.Second, ranking: string(nodehealth.Drain), play: func(d *Run, ctx context.Context) error {
		list, err := d.awaitRanked(ctx)
		if err != nil {
			return err
		}
		flaps := list[d.draw(len(list))]
		for range 8 {
			flaps.Slow(100)
			d.pause(ctx, 700*ms)
			flaps.Slow(1)
			d.pause(ctx, 1800*ms)
			if err := d.onlyShut(ctx, flaps); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "node-loaded", rest: time.Second, ranking: string(nodehealth.Drain), play: func(d *Run, ctx context.Context) error {
		// Much traffic, and nobody is sick.
		if _, err := d.awaitRanked(ctx); err != nil {
			return err
		}
		d.scaleLoad(4)
		defer d.scaleLoad(1)
		for range 10 {
			d.pause(ctx, time.Second)
			if err := d.onlyShut(ctx, nil); err != nil {
				return err
			}
		}
		return nil
	}},
}

// awaitRanked waits until enough is known of the engines that are ranked.
func (d *Run) awaitRanked(ctx context.Context) ([]*engine.Engine, error) {
	// One more than usual, so that there is room for what a drained engine holds alone.
	if _, err := d.newModel(zones[0], nil, ""); err != nil {
		return nil, err
	}
	list := d.enginesOf("lm")
	err := d.await(ctx, "engines are ranked", func() bool {
		page, err := d.nodesPage(ctx)
		known := 0
		for _, node := range page.Nodes {
			if node.Pool == "lm" && node.Score > 0 {
				known++
			}
		}
		return err == nil && known >= len(list)-2
	})
	return list, err
}

// nodesPage reads the ranks from any core machine, as an operator would.
func (d *Run) nodesPage(ctx context.Context) (operatorapi.Nodes, error) {
	last := errors.New("no core machine runs")
	for _, m := range d.Fleet.OfClass(fleet.Core) {
		var page operatorapi.Nodes
		if last = get(ctx, m, operatorapi.PathNodes, &page); last == nil {
			return page, nil
		}
	}
	return operatorapi.Nodes{}, last
}

func get(ctx context.Context, m *fleet.Machine, path string, into any) error {
	bounded, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+m.Control()+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered with status %d", m.Name, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// planner finds the core machine that plans.
func (d *Run) planner(ctx context.Context) (*fleet.Machine, error) {
	for _, m := range d.Fleet.OfClass(fleet.Core) {
		var status operatorapi.Status
		if err := get(ctx, m, operatorapi.PathStatus, &status); err == nil && status.Planner != nil && status.Planner.HasLease {
			return m, nil
		}
	}
	return d.anyMachine(fleet.Core), nil
}

// awaitDrained waits until an engine is drained by rank, and fails where another one is first.
func (d *Run) awaitDrained(ctx context.Context, slow *engine.Engine) error {
	id, wrong := ident.EngineID(slow.Current()), ""
	err := d.await(ctx, "the slow engine is drained", func() bool {
		page, err := d.nodesPage(ctx)
		if err != nil {
			return false
		}
		for _, node := range page.Nodes {
			if node.ClosedReason == "" {
				continue
			}
			if node.Engine != id {
				wrong = fmt.Sprintf("%s was drained, and %s is slow: %s", node.Engine, id, node.ClosedReason)
			}
			return true
		}
		return false
	})
	if err == nil && wrong != "" {
		return errors.New(wrong)
	}
	return err
}

func (d *Run) awaitStage(ctx context.Context, of *engine.Engine, stage nodehealth.Stage) error {
	id := ident.EngineID(of.Current())
	return d.await(ctx, "the engine's stage is "+stage.String(), func() bool {
		page, err := d.nodesPage(ctx)
		if err != nil {
			return false
		}
		for _, node := range page.Nodes {
			if node.Engine == id {
				return node.Stage == stage.String()
			}
		}
		return false
	})
}

// onlyShut fails where the ranking shut any engine but one.
func (d *Run) onlyShut(ctx context.Context, allowed *engine.Engine) error {
	page, err := d.nodesPage(ctx)
	if err != nil {
		// Nobody plans for a moment.
		return nil
	}
	for _, node := range page.Nodes {
		if node.ClosedReason != "" && (allowed == nil || node.Engine != ident.EngineID(allowed.Current())) {
			return fmt.Errorf("%s was drained, and is not sick: %s", node.Engine, node.ClosedReason)
		}
	}
	return nil
}

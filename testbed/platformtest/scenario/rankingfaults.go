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

// rankingFaults are played only where they are named: they last long, and engines are ranked and drained meanwhile.
// Whether a request is lost or run twice is checked as in any run.
var rankingFaults = []fault{
	{name: "node-stall", rest: time.Second, ranking: string(nodehealth.Drain), play: (*Run).nodeStall},
	{name: "node-planner-lost", rest: 4 * time.Second, ranking: string(nodehealth.Drain), play: (*Run).nodePlannerLost},
	{name: "node-flap", rest: time.Second, ranking: string(nodehealth.Drain), play: (*Run).nodeFlap},
	{name: "node-loaded", rest: time.Second, ranking: string(nodehealth.Drain), play: (*Run).nodeLoaded},
}

// nodeStall slows an engine until it is drained, and then lets it recover.
func (r *Run) nodeStall(ctx context.Context) error {
	list, err := r.awaitRanked(ctx)
	if err != nil {
		return err
	}
	worse := list[r.draw(len(list))]
	worse.Slow(80)
	began := r.Recorder.Now()
	if err := r.awaitDrained(ctx, worse); err != nil {
		return err
	}
	r.Say("drained after %v", r.Recorder.Now().Since(began).Round(10*ms))
	// Its requests complete or are resumed elsewhere; then it is readmitted by trial requests.
	r.pause(ctx, 3*time.Second)
	worse.Slow(1)
	return r.awaitStage(ctx, worse, nodehealth.Healthy)
}

// nodePlannerLost kills the planner while it suspects a slow engine.
func (r *Run) nodePlannerLost(ctx context.Context) error {
	list, err := r.awaitRanked(ctx)
	if err != nil {
		return err
	}
	worse := list[r.draw(len(list))]
	worse.Slow(100)
	if err := r.awaitStage(ctx, worse, nodehealth.Suspect); err != nil {
		return err
	}
	// The planner crashes before it has decided.
	planner, err := r.planner(ctx)
	if err != nil {
		return err
	}
	if err := r.killAndRestart(ctx, planner); err != nil {
		return err
	}
	if err := r.awaitDrained(ctx, worse); err != nil {
		return err
	}
	worse.Slow(1)
	return r.awaitStage(ctx, worse, nodehealth.Healthy)
}

// nodeFlap slows an engine for 0.7 s of each 2.5 s; no other engine may be drained.
func (r *Run) nodeFlap(ctx context.Context) error {
	list, err := r.awaitRanked(ctx)
	if err != nil {
		return err
	}
	flaps := list[r.draw(len(list))]
	for range 8 {
		flaps.Slow(100)
		r.pause(ctx, 700*ms)
		flaps.Slow(1)
		r.pause(ctx, 1800*ms)
		if err := r.onlyShut(ctx, flaps); err != nil {
			return err
		}
	}
	return nil
}

// nodeLoaded sends four times the traffic while all engines are healthy; none may be drained.
func (r *Run) nodeLoaded(ctx context.Context) error {
	// Heavy traffic, and all engines are healthy.
	if _, err := r.awaitRanked(ctx); err != nil {
		return err
	}
	r.scaleLoad(4)
	defer r.scaleLoad(1)
	for range 10 {
		r.pause(ctx, time.Second)
		if err := r.onlyShut(ctx, nil); err != nil {
			return err
		}
	}
	return nil
}

// awaitRanked adds an engine and waits until all but two have a score.
func (r *Run) awaitRanked(ctx context.Context) ([]*engine.Engine, error) {
	// One more than usual, so that there is capacity for models that a drained engine has alone.
	if _, err := r.newModel(zones[0], nil, ""); err != nil {
		return nil, err
	}
	list := r.enginesOf("lm")
	err := r.await(ctx, "engines are ranked", func() bool {
		page, err := r.nodesPage(ctx)
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

// nodesPage reads the ranking from any core machine, as an operator would.
func (r *Run) nodesPage(ctx context.Context) (operatorapi.Nodes, error) {
	last := errors.New("no core machine runs")
	for _, m := range r.Fleet.OfClass(fleet.Core) {
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

// planner finds the core machine that holds the planner's lease; where none answers it draws one.
func (r *Run) planner(ctx context.Context) (*fleet.Machine, error) {
	for _, m := range r.Fleet.OfClass(fleet.Core) {
		var status operatorapi.Status
		if err := get(ctx, m, operatorapi.PathStatus, &status); err == nil && status.Planner != nil && status.Planner.HasLease {
			return m, nil
		}
	}
	return r.anyMachine(fleet.Core), nil
}

// awaitDrained waits until an engine is drained by its rank, and fails where another one is drained first.
func (r *Run) awaitDrained(ctx context.Context, slow *engine.Engine) error {
	id, wrong := ident.EngineID(slow.Current()), ""
	err := r.await(ctx, "the slow engine is drained", func() bool {
		page, err := r.nodesPage(ctx)
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

func (r *Run) awaitStage(ctx context.Context, of *engine.Engine, stage nodehealth.Stage) error {
	id := ident.EngineID(of.Current())
	return r.await(ctx, "the engine's stage is "+stage.String(), func() bool {
		page, err := r.nodesPage(ctx)
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

// onlyShut fails where the ranking has drained any engine but one.
func (r *Run) onlyShut(ctx context.Context, allowed *engine.Engine) error {
	page, err := r.nodesPage(ctx)
	if err != nil {
		// There is no planner for a moment.
		return nil
	}
	for _, node := range page.Nodes {
		if node.ClosedReason != "" && (allowed == nil || node.Engine != ident.EngineID(allowed.Current())) {
			return fmt.Errorf("%s was drained, and is healthy: %s", node.Engine, node.ClosedReason)
		}
	}
	return nil
}

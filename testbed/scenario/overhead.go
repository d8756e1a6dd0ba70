package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/callerapi"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Overhead compares the time to the first chunk through a routing daemon with that of a direct request to the engine,
// alternating in one run, and reports the medians of several rounds.
func (r *Run) Overhead(ctx context.Context, rounds, each int) error {
	if err := r.Begin(ctx); err != nil {
		return err
	}
	kind := r.Fleet.Deployment.Kinds[0]
	model := deployment.ModelName(0)
	var holder *fleet.Process
	if err := r.Await("an engine holds the model", func() bool {
		holder = r.holder(model)
		return holder != nil
	}); err != nil {
		return err
	}
	r.Pause(5 * time.Second)
	for round := range rounds {
		var straight, through []time.Duration
		for i := range each {
			attempt := fmt.Sprintf("overhead-%d-%d", round, i)
			took, err := askStraight(holder.Address, attempt+"-straight", model)
			if err != nil {
				return err
			}
			record := r.Call(attempt, callerapi.Generate{Route: kind.Route, House: kind.Tenant, Model: model, DeadlineMs: kind.DeadlineMs})
			if !record.Complete() {
				return fmt.Errorf("%s was not served whole: %+v", attempt, record)
			}
			straight, through = append(straight, took), append(through, record.FirstChunk-record.Began)
		}
		slices.Sort(straight)
		slices.Sort(through)
		a, b := straight[each/2], through[each/2]
		r.Say("round %d: straight %v, through %v, ratio %.3f, added %v", round+1, a.Round(10*time.Microsecond), b.Round(10*time.Microsecond), float64(b)/float64(a), (b - a).Round(10*time.Microsecond))
	}
	return nil
}

// holder finds an engine that has a model loaded.
func (r *Run) holder(model string) *fleet.Process {
	status, err := r.Fleet.Status(r.Fleet.Edges()[0])
	if err != nil {
		return nil
	}
	for _, engine := range status.Engines {
		if !slices.Contains(engine.Models, model+":loaded") {
			continue
		}
		for _, p := range r.Fleet.Engines {
			if p.Name == string(engine.ID) {
				return p
			}
		}
	}
	return nil
}

// askStraight sends a request directly to an engine, and returns the time to its first chunk.
func askStraight(address, attempt, model string) (time.Duration, error) {
	body, err := json.Marshal(engineapi.Generate{Model: model, Prompt: "route=straight;", DeadlineMs: 10000})
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+engineapi.PathGenerate, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set(engineapi.HeaderAttempt, attempt)
	began := journal.Now()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	entries := bufio.NewReader(response.Body)
	if _, err := entries.ReadBytes('\n'); err != nil {
		return 0, err
	}
	took := journal.Now() - began
	_, err = entries.WriteTo(io.Discard)
	return took, err
}

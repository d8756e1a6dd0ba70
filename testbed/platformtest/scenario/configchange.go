package scenario

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/operator"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// setCurrent makes a configuration the one that later changes are based on.
func (r *Run) setCurrent(config *protocol.Config) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.current = config
}

// operatorTimeout is how long an operator retries one call before its outcome counts as unclear.
const operatorTimeout = 20 * time.Second

// changeAndFindAcker changes the configuration, and gives the machine that acknowledged it, at that very moment.
func (r *Run) changeAndFindAcker(ctx context.Context) (*fleet.Machine, error) {
	change, _, err := r.patchConfig(ctx)
	if err != nil || change.Outcome != history.Acknowledged {
		return nil, err
	}
	for _, m := range r.Fleet.OfClass(fleet.Core) {
		if m.Control() == change.By {
			return m, nil
		}
	}
	return nil, nil
}

// changeConfig changes the configuration and probes every router for it once it must be in force.
func (r *Run) changeConfig(ctx context.Context) error {
	change, added, err := r.patchConfig(ctx)
	if err != nil || change.Outcome != history.Acknowledged {
		return err
	}
	r.mutex.Lock()
	gone := r.removedPaths
	r.mutex.Unlock()
	r.pause(ctx, Bounds.Apply+100*ms)
	r.probe(added, false)
	r.probe("/never/", true)
	for _, path := range gone {
		r.probe(path, true)
	}
	return nil
}

// patchConfig adds a route, removes an older one and moves one to another service.
func (r *Run) patchConfig(ctx context.Context) (*history.Change, string, error) {
	r.changing.Lock()
	defer r.changing.Unlock()
	outer := ctx
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r.mutex.Lock()
	on := r.current
	r.mutex.Unlock()
	patch := protocol.Patch{Generation: on.Generation + 1 + uint64(r.draw(3))}
	label := fmt.Sprintf("added-%d", patch.Generation)
	added := protocol.Route{Label: label, Authority: host, PathPrefix: "/" + label + "/", Class: protocol.Idempotent, DeadlineMs: 3000, TargetMs: 500, Urgency: 1, Backend: "notes", Tries: 2}
	patch.Upsert.Routes = append(patch.Upsert.Routes, added)
	removed := ""
	for _, route := range on.Routes {
		if len(route.Label) > 6 && route.Label[:6] == "added-" && removed == "" && r.draw(2) == 0 {
			removed = route.PathPrefix
			patch.Remove.Routes = append(patch.Remove.Routes, route.Label)
		}
	}
	moved := *on.Named("note")
	if moved.Backend != "" {
		moved.Backend, moved.Shares = "", []protocol.Share{{Backend: "notes", Share: 80}, {Backend: "spare", Share: 20}}
	} else {
		moved.Backend, moved.Shares = "notes", nil
	}
	patch.Upsert.Routes = append(patch.Upsert.Routes, moved)
	r.mutex.Lock()
	if removed != "" {
		// Clients stop using a route before it goes.
		var left []string
		for _, path := range r.addedPaths {
			if path != removed {
				left = append(left, path)
			}
		}
		r.addedPaths, r.removedPaths = left, append(r.removedPaths, removed)
	}
	r.mutex.Unlock()
	if removed != "" {
		r.pause(ctx, 3*time.Second)
	}
	change := r.operator.Patch(ctx, on, patch, "")
	if change.Outcome != history.Acknowledged {
		r.resync(outer)
		return change, "", nil
	}
	r.setCurrent(change.Config)
	r.mutex.Lock()
	r.addedPaths = append(r.addedPaths, added.PathPrefix)
	r.mutex.Unlock()
	return change, added.PathPrefix, nil
}

// resync reads what is in force after a change without a clear answer. If that fails, the check at the end finds it.
func (r *Run) resync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if back := r.operator.Get(ctx, false); back.Config != nil {
		r.setCurrent(back.Config)
	} else {
		r.Say("the configuration cannot be read: %s", back.Err)
	}
}

// raceConfigs has two operators change the configuration on the same version at once.
func (r *Run) raceConfigs(ctx context.Context) error {
	changes := r.sendRival(ctx)
	r.pause(ctx, Bounds.Apply+100*ms)
	for _, change := range changes {
		route := change.Config.Routes[len(change.Config.Routes)-1]
		r.probe(route.PathPrefix, change.Outcome == history.Refused)
	}
	return nil
}

// sendRival sends the two changes of a race.
func (r *Run) sendRival(ctx context.Context) []*history.Change {
	r.changing.Lock()
	defer r.changing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r.mutex.Lock()
	on := r.current
	r.mutex.Unlock()
	// Half of the races use the same generation.
	apart := uint64(r.draw(2))
	changes := make([]*history.Change, 2)
	var done sync.WaitGroup
	for n, o := range []interface {
		Put(context.Context, uint64, *protocol.Config, string) *history.Change
	}{r.operator, r.rival} {
		next := on.Clone()
		next.Generation = on.Generation + 1 + uint64(n)*apart
		next.Named("mail").TargetMs = int64(500 + n)
		// The loser's version would show: it sends notes where no other version does.
		next.Routes = append(next.Routes, protocol.Route{Label: fmt.Sprintf("race-%d-%d", next.Generation, n), Authority: host, PathPrefix: fmt.Sprintf("/race-%d-%d/", next.Generation, n), Class: protocol.Idempotent,
			DeadlineMs: 3000, TargetMs: 500, Urgency: 1, Backend: "spare", Tries: 2})
		done.Add(1)
		go func() { defer done.Done(); changes[n] = o.Put(ctx, on.Generation, next, "") }()
	}
	done.Wait()
	won := 0
	for _, change := range changes {
		if change.Outcome == history.Acknowledged {
			won++
			r.setCurrent(change.Config)
		}
	}
	if won == 0 {
		r.resync(ctx)
	}
	return changes
}

// resendConfigs resends changes that were answered before, each to three machines at once: the newest that was acknowledged
// with no other change since, and one of any age and outcome, by either operator.
func (r *Run) resendConfigs(ctx context.Context) error {
	r.changing.Lock()
	defer r.changing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var answered []history.Change
	newest := -1
	r.Recorder.Record(func(h *history.History) {
		for _, change := range h.Changes {
			if change.Outcome == history.Unclear || change.Resent {
				continue
			}
			if answered = append(answered, *change); change.Outcome == history.Acknowledged {
				newest = len(answered) - 1
			}
		}
	})
	if newest < 0 {
		return nil
	}
	r.operator.Resend(ctx, answered[newest], 2)
	for _, who := range []*operator.Operator{r.operator, r.rival} {
		who.Resend(ctx, answered[r.draw(len(answered))], 2)
		who.Get(ctx, false)
	}
	return nil
}

// sendInvalidConfigs sends invalid configurations, one of each sort.
func (r *Run) sendInvalidConfigs(ctx context.Context) error {
	r.changing.Lock()
	defer r.changing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r.mutex.Lock()
	on := r.current
	r.mutex.Unlock()
	for _, spoil := range []func(*protocol.Config){
		func(c *protocol.Config) { c.Generation = on.Generation },
		func(c *protocol.Config) { c.Routes[0].Backend = "nobody" },
		func(c *protocol.Config) { c.Routes[1].PathPrefix = c.Routes[0].PathPrefix },
		func(c *protocol.Config) { c.Routes[2].DeadlineMs = 0 },
		func(c *protocol.Config) {
			c.Routes[2].Backend, c.Routes[2].Shares = "", []protocol.Share{{Backend: "notes"}, {Backend: "spare"}}
		},
	} {
		next := on.Clone()
		next.Generation++
		spoil(next)
		fault := next.Fault(on.Generation)
		if fault == "" {
			return errors.New("a spoilt configuration is sound")
		}
		r.operator.Put(ctx, on.Generation, next, fault)
	}
	text := on.Clone().Encode()
	r.operator.PutRaw(ctx, on.Generation, on.Generation+1, text[:len(text)/2])
	r.operator.PutRaw(ctx, on.Generation, on.Generation+1, []byte("[]"))
	return nil
}

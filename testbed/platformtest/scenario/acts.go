package scenario

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/operator"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// act is one trouble, or piece of planned work, and the rest after it.
type fault struct {
	name string
	rest time.Duration
	play func(*Run, context.Context) error
	// ranking is what engines are ranked for on a day with this act; empty is the processes' default.
	ranking string
}

// Names lists the acts.
func Names() (out []string) {
	for _, one := range allFaults() {
		out = append(out, one.name)
	}
	return out
}

// allActs are those that may be named; only acts are drawn.
func allFaults() []fault { return slices.Concat(drawnFaults, rankingFaults, buildFaults) }

// The rest after trouble with the core is longer than contact, so that rules that need calm get some.
var drawnFaults = []fault{
	{name: "engine-crash", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error {
		for _, service := range []string{"lm", "notes"} {
			e, err := d.anyEngine(service)
			if err != nil {
				return err
			}
			e.Crash()
			d.pause(ctx, 700*ms)
			if err := e.Start(); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "release", rest: time.Second, play: func(d *Run, ctx context.Context) error {
		for _, e := range d.enginesOf("notes") {
			if _, err := d.newPlain(e.Config.Zone, "notes", ""); err != nil {
				return err
			}
			e.Drain(0)
			if err := d.await(ctx, "the engine has left", func() bool { return e.Current() == "" }); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "delete-first", rest: time.Second, play: func(d *Run, ctx context.Context) error {
		for _, e := range d.enginesOf("notes") {
			if _, err := d.newPlain(e.Config.Zone, "notes", ""); err != nil {
				return err
			}
			e.Delete()
			if err := d.await(ctx, "the engine has left", func() bool { return e.Current() == "" }); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "short-notice", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error {
		e, err := d.anyEngine("lm")
		if err != nil {
			return err
		}
		if _, err := d.newModel(e.Config.Zone, nil, ""); err != nil {
			return err
		}
		e.Drain(1200 * ms)
		return d.await(ctx, "the engine is gone", func() bool { return e.Current() == "" })
	}},
	{name: "address-reuse", rest: time.Second, play: func(d *Run, ctx context.Context) error {
		e, err := d.anyEngine("notes")
		if err != nil {
			return err
		}
		if _, err := d.newPlain(e.Config.Zone, "notes", ""); err != nil {
			return err
		}
		e.Crash()
		d.pause(ctx, 2*time.Second)
		_, err = d.newPlain(e.Config.Zone, "spare", e.Config.Address)
		return err
	}},
	{name: "engine-freeze", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error {
		e, err := d.anyEngine("lm")
		if err != nil {
			return err
		}
		e.Freeze()
		d.pause(ctx, 3*time.Second)
		e.Thaw()
		return nil
	}},
	{name: "engine-faults", rest: time.Second, play: func(d *Run, ctx context.Context) error {
		faults := []engine.Fault{{Kind: engine.Break, At: 20}, {Kind: engine.Break, At: 320, Reset: true}, {Kind: engine.Break, At: 500}, {Kind: engine.ExtraAnswer}, {Kind: engine.LateExtraAnswer},
			{Kind: engine.Malformed}, {Kind: engine.WrongAttemptID}, {Kind: engine.NoAttemptID}, {Kind: engine.EngineError, Status: 500}, {Kind: engine.CloseUnread}}
		for _, service := range []string{"lm", "notes"} {
			for _, e := range d.enginesOf(service) {
				e.FaultEach(func(string) *engine.Fault {
					if at := d.draw(12 * len(faults)); at < len(faults) {
						return &faults[at]
					}
					return nil
				})
				defer e.FaultEach(nil)
			}
		}
		d.pause(ctx, 4*time.Second)
		return nil
	}},
	{name: "engine-grey", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error {
		// They beat, and say that they are well, and fail part of what they get: each in another way.
		ways := []engine.Fault{{Kind: engine.EngineError, Status: 500}, {Kind: engine.Break, Reset: true}, {Kind: engine.Unresponsive}, {Kind: engine.Unresponsive, At: 400}}
		for place, service := range []string{"lm", "notes"} {
			e, err := d.anyEngine(service)
			if err != nil {
				return err
			}
			fault := ways[d.draw(len(ways)-2*place)]
			e.FaultEach(func(string) *engine.Fault {
				if d.draw(100) < 45 {
					return &fault
				}
				return nil
			})
			defer e.FaultEach(nil)
		}
		d.pause(ctx, 6*time.Second)
		return nil
	}},
	{name: "engine-flap", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error {
		for _, service := range []string{"lm", "notes"} {
			e, err := d.anyEngine(service)
			if err != nil {
				return err
			}
			for range 3 {
				e.Crash()
				d.pause(ctx, 600*ms)
				if err := e.Start(); err != nil {
					return err
				}
				d.pause(ctx, 900*ms)
			}
		}
		return nil
	}},
	{name: "idle-drop", rest: time.Second, play: func(d *Run, ctx context.Context) error {
		// Far sooner than they say, and nothing shows on the connections that daemons keep.
		for _, service := range []string{"lm", "notes"} {
			for _, e := range d.enginesOf(service) {
				e.DropIdle(time.Duration(50+d.draw(250)) * ms)
				defer e.DropIdle(0)
			}
		}
		d.pause(ctx, 6*time.Second)
		return nil
	}},
	{name: "order-trouble", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error {
		// Demand moves, so that there are orders; their answers get lost, and engines freeze and fall over them.
		d.mutex.Lock()
		d.modelShift += 2
		d.mutex.Unlock()
		for _, e := range d.enginesOf("lm") {
			e.LoseOrders(1)
		}
		for range 3 {
			e, err := d.anyEngine("lm")
			if err != nil {
				return err
			}
			e.Freeze()
			d.pause(ctx, 600*ms)
			e.Thaw()
			if e, err = d.anyEngine("lm"); err != nil {
				return err
			}
			e.Crash()
			d.pause(ctx, 300*ms)
			if err := e.Start(); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "edge-kill", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error { return d.killAndRestart(ctx, d.anyMachine(fleet.Edge)) }},
	{name: "edge-freeze", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error { return d.freeze(ctx, d.anyMachine(fleet.Edge)) }},
	{name: "edge-stop", rest: time.Second, play: func(d *Run, ctx context.Context) error {
		return d.restart(ctx, d.anyMachine(fleet.Edge))
	}},
	{name: "edge-roll", rest: time.Second, play: func(d *Run, ctx context.Context) error {
		// All in turn, with much under way.
		d.scaleLoad(4)
		defer d.scaleLoad(1)
		for _, m := range d.Fleet.OfClass(fleet.Edge) {
			d.pause(ctx, time.Second)
			if err := d.restart(ctx, m); err != nil {
				return err
			}
			d.pause(ctx, 2500*ms)
		}
		return nil
	}},
	{name: "stop-in-need", rest: 2 * time.Second, play: func(d *Run, ctx context.Context) error {
		// No engine of one service lives, and those of another say nothing, while a router is told to end.
		notes, lm := d.enginesOf("notes"), d.enginesOf("lm")
		for _, e := range notes {
			e.Crash()
		}
		for _, e := range lm {
			e.Freeze()
		}
		d.pause(ctx, time.Second)
		m := d.anyMachine(fleet.Edge)
		killed := d.Fleet.Stop(m)
		for _, e := range lm {
			e.Thaw()
		}
		for _, e := range notes {
			if err := e.Start(); err != nil {
				return err
			}
		}
		if killed {
			d.Say("%s did not end within its grace", m.Name)
		}
		return d.Fleet.Restart(m)
	}},
	{name: "core-kill", rest: 4 * time.Second, play: func(d *Run, ctx context.Context) error { return d.killAndRestart(ctx, d.anyMachine(fleet.Core)) }},
	{name: "core-freeze", rest: 4 * time.Second, play: func(d *Run, ctx context.Context) error { return d.freeze(ctx, d.anyMachine(fleet.Core)) }},
	{name: "core-roll", rest: 4 * time.Second, play: func(d *Run, ctx context.Context) error {
		for _, m := range d.Fleet.OfClass(fleet.Core) {
			if err := d.restart(ctx, m); err != nil {
				return err
			}
			d.pause(ctx, 4*time.Second)
		}
		return nil
	}},
	{name: "core-wipe", rest: 5 * time.Second, play: func(d *Run, ctx context.Context) error {
		m := d.anyMachine(fleet.Core)
		d.Fleet.Kill(m)
		if err := d.Fleet.Wipe(m); err != nil {
			return err
		}
		d.pause(ctx, 300*ms)
		return d.Fleet.Restart(m)
	}},
	{name: "core-replace", rest: 5 * time.Second, play: func(d *Run, _ context.Context) error {
		_, err := d.Fleet.Replace(d.anyMachine(fleet.Core))
		return err
	}},
	{name: "core-herd", rest: 5 * time.Second, play: func(d *Run, ctx context.Context) error {
		for _, m := range d.Fleet.OfClass(fleet.Core) {
			d.Fleet.Kill(m)
		}
		d.pause(ctx, 300*ms)
		for _, m := range d.Fleet.OfClass(fleet.Core) {
			if err := d.Fleet.Restart(m); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "reload", rest: time.Second, play: func(d *Run, _ context.Context) error {
		for _, m := range append(d.Fleet.OfClass(fleet.Edge), d.Fleet.OfClass(fleet.Core)...) {
			if err := d.Fleet.Reload(m); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "config-change", rest: time.Second, play: func(d *Run, ctx context.Context) error { return d.changeConfig(ctx) }},
	{name: "config-race", rest: time.Second, play: func(d *Run, ctx context.Context) error { return d.raceConfigs(ctx) }},
	{name: "ack-kill", rest: 4 * time.Second, play: func(d *Run, ctx context.Context) error {
		m, err := d.changeAndFindAcker(ctx)
		if err != nil || m == nil {
			return err
		}
		return d.killAndRestart(ctx, m)
	}},
	{name: "ack-wipe", rest: 5 * time.Second, play: func(d *Run, ctx context.Context) error {
		m, err := d.changeAndFindAcker(ctx)
		if err != nil || m == nil {
			return err
		}
		d.Fleet.Kill(m)
		if err := d.Fleet.Wipe(m); err != nil {
			return err
		}
		d.pause(ctx, 300*ms)
		return d.Fleet.Restart(m)
	}},
	{name: "config-bad", rest: 0, play: func(d *Run, ctx context.Context) error { return d.sendInvalidConfigs(ctx) }},
	{name: "config-again", rest: 0, play: func(d *Run, ctx context.Context) error { return d.resendConfigs(ctx) }},
	{name: "config-lost-answers", rest: time.Second, play: func(d *Run, ctx context.Context) error {
		d.operator.LoseAnswerShare = 0.6
		defer func() { d.operator.LoseAnswerShare = 0 }()
		return d.changeConfig(ctx)
	}},
	{name: "model-shift", rest: 3 * time.Second, play: func(d *Run, _ context.Context) error {
		d.mutex.Lock()
		d.modelShift += 3
		d.mutex.Unlock()
		return nil
	}},
	{name: "burst", rest: 3 * time.Second, play: func(d *Run, ctx context.Context) error {
		d.scaleLoad(5)
		defer d.scaleLoad(1)
		d.pause(ctx, 2*time.Second)
		return nil
	}},
}

func (d *Run) scaleLoad(times float64) {
	d.mutex.Lock()
	d.loadFactor = times
	d.mutex.Unlock()
}

func (d *Run) killAndRestart(ctx context.Context, m *fleet.Machine) error {
	d.Fleet.Kill(m)
	d.pause(ctx, 500*ms)
	return d.Fleet.Restart(m)
}

func (d *Run) freeze(ctx context.Context, m *fleet.Machine) error {
	d.Fleet.Freeze(m)
	d.pause(ctx, 2500*ms)
	d.Fleet.Thaw(m)
	return nil
}

// took makes a configuration the current one, as what later changes build on.
func (d *Run) setCurrent(config *protocol.Config) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.current = config
}

// bounded is how long an operator follows one call before its outcome counts as unclear.
const operatorTimeout = 20 * time.Second

// acknowledged changes the configuration, and gives the machine that acknowledged it, at that very moment.
func (d *Run) changeAndFindAcker(ctx context.Context) (*fleet.Machine, error) {
	change, _, err := d.patchConfig(ctx)
	if err != nil || change.Outcome != history.Acknowledged {
		return nil, err
	}
	for _, m := range d.Fleet.OfClass(fleet.Core) {
		if m.Control() == change.By {
			return m, nil
		}
	}
	return nil, nil
}

// change changes the configuration, and asks every router for what it shows once it must be in force.
func (d *Run) changeConfig(ctx context.Context) error {
	change, added, err := d.patchConfig(ctx)
	if err != nil || change.Outcome != history.Acknowledged {
		return err
	}
	d.mutex.Lock()
	gone := d.removedPaths
	d.mutex.Unlock()
	d.pause(ctx, Bounds.Apply+100*ms)
	d.probe(added, false)
	d.probe("/never/", true)
	for _, path := range gone {
		d.probe(path, true)
	}
	return nil
}

// patch adds a route, removes an older one and moves one to another service.
func (d *Run) patchConfig(ctx context.Context) (*history.Change, string, error) {
	outer := ctx
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	d.mutex.Lock()
	on := d.current
	d.mutex.Unlock()
	patch := protocol.Patch{Generation: on.Generation + 1 + uint64(d.draw(3))}
	label := fmt.Sprintf("added-%d", patch.Generation)
	added := protocol.Route{Label: label, Authority: host, PathPrefix: "/" + label + "/", Class: protocol.Idempotent, DeadlineMs: 3000, TargetMs: 500, Urgency: 1, Backend: "notes", Tries: 2}
	patch.Upsert.Routes = append(patch.Upsert.Routes, added)
	removed := ""
	for _, route := range on.Routes {
		if len(route.Label) > 6 && route.Label[:6] == "added-" && removed == "" && d.draw(2) == 0 {
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
	d.mutex.Lock()
	if removed != "" {
		// Clients stop using a route before it goes.
		var left []string
		for _, path := range d.addedPaths {
			if path != removed {
				left = append(left, path)
			}
		}
		d.addedPaths, d.removedPaths = left, append(d.removedPaths, removed)
	}
	d.mutex.Unlock()
	if removed != "" {
		d.pause(ctx, 3*time.Second)
	}
	change := d.operator.Patch(ctx, on, patch, "")
	if change.Outcome != history.Acknowledged {
		d.resync(outer)
		return change, "", nil
	}
	d.setCurrent(change.Config)
	d.mutex.Lock()
	d.addedPaths = append(d.addedPaths, added.PathPrefix)
	d.mutex.Unlock()
	return change, added.PathPrefix, nil
}

// resync finds out what is in force, where a change got no clear answer. If nothing comes the judge will see.
func (d *Run) resync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if back := d.operator.Get(ctx, false); back.Config != nil {
		d.setCurrent(back.Config)
	} else {
		d.Say("the configuration cannot be read: %s", back.Err)
	}
}

// race has two operators change the configuration on the same version at once.
func (d *Run) raceConfigs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	d.mutex.Lock()
	on := d.current
	d.mutex.Unlock()
	// Half of the races are for one and the same number.
	apart := uint64(d.draw(2))
	changes := make([]*history.Change, 2)
	var done sync.WaitGroup
	for n, o := range []interface {
		Put(context.Context, uint64, *protocol.Config, string) *history.Change
	}{d.operator, d.rival} {
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
			d.setCurrent(change.Config)
		}
	}
	if won == 0 {
		d.resync(ctx)
	}
	d.pause(ctx, Bounds.Apply+100*ms)
	for _, change := range changes {
		route := change.Config.Routes[len(change.Config.Routes)-1]
		d.probe(route.PathPrefix, change.Outcome == history.Refused)
	}
	return nil
}

// again sends orders that were answered before once more, to three machines at once: the newest that was acknowledged
// with no other change since, and one of any age and outcome, by either operator.
func (d *Run) resendConfigs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var answered []history.Change
	newest := -1
	d.Recorder.Record(func(h *history.History) {
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
	d.operator.Resend(ctx, answered[newest], 2)
	for _, who := range []*operator.Operator{d.operator, d.rival} {
		who.Resend(ctx, answered[d.draw(len(answered))], 2)
		who.Get(ctx, false)
	}
	return nil
}

// bad sends configurations that are invalid, one of each sort.
func (d *Run) sendInvalidConfigs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	d.mutex.Lock()
	on := d.current
	d.mutex.Unlock()
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
		d.operator.Put(ctx, on.Generation, next, fault)
	}
	text := on.Clone().Encode()
	d.operator.PutRaw(ctx, on.Generation, on.Generation+1, text[:len(text)/2])
	d.operator.PutRaw(ctx, on.Generation, on.Generation+1, []byte("[]"))
	return nil
}

// close acknowledges one more configuration, lets the closing fault come at that very moment, and reads back
// what was acknowledged.
func (d *Run) crashAll(ctx context.Context) error {
	d.Say("the closing fault")
	by, err := d.changeAndFindAcker(ctx)
	if err != nil {
		return err
	}
	// What the budget of faults allows: one machine's disk, that of the one that acknowledged or another.
	var wiped []*fleet.Machine
	switch d.draw(3) {
	case 0:
		wiped = append(wiped, d.anyMachine(fleet.Core))
	case 1:
		if by != nil {
			wiped = append(wiped, by)
		}
	}
	if err := d.Fleet.CrashAll(wiped...); err != nil {
		return err
	}
	d.pause(ctx, Bounds.Recovery+4*time.Second)
	last, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	d.operator.Get(last, true)
	return nil
}

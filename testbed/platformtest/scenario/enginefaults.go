package scenario

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/engine"
)

// engineFaults are faults of engines, and planned work on them.
var engineFaults = []fault{
	{name: "engine-crash", rest: 2 * time.Second, play: (*Run).engineCrash},
	{name: "release", rest: time.Second, play: (*Run).release},
	{name: "delete-first", rest: time.Second, play: (*Run).deleteFirst},
	{name: "short-notice", rest: 2 * time.Second, play: (*Run).shortNotice},
	{name: "address-reuse", rest: time.Second, play: (*Run).addressReuse},
	{name: "engine-freeze", rest: 2 * time.Second, play: (*Run).engineFreeze},
	{name: "engine-faults", rest: time.Second, play: (*Run).engineFaults},
	{name: "engine-grey", rest: 2 * time.Second, play: (*Run).engineGrey},
	{name: "engine-flap", rest: 2 * time.Second, play: (*Run).engineFlap},
	{name: "idle-drop", rest: time.Second, play: (*Run).idleDrop},
	{name: "order-trouble", rest: 2 * time.Second, play: (*Run).orderTrouble},
}

// engineCrash kills an engine of each service and starts it again.
func (r *Run) engineCrash(ctx context.Context) error {
	for _, service := range []string{"lm", "notes"} {
		e, err := r.anyEngine(service)
		if err != nil {
			return err
		}
		e.Crash()
		r.pause(ctx, 700*ms)
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

// release replaces the engines of a service one by one, as a release does.
func (r *Run) release(ctx context.Context) error {
	for _, e := range r.enginesOf("notes") {
		if _, err := r.newPlain(e.Config.Zone, "notes", ""); err != nil {
			return err
		}
		e.Drain(0)
		if err := r.await(ctx, "the engine has left", func() bool { return e.Current() == "" }); err != nil {
			return err
		}
	}
	return nil
}

// deleteFirst replaces the engines of a service one by one; each deregisters first and serves on.
func (r *Run) deleteFirst(ctx context.Context) error {
	for _, e := range r.enginesOf("notes") {
		if _, err := r.newPlain(e.Config.Zone, "notes", ""); err != nil {
			return err
		}
		e.Delete()
		if err := r.await(ctx, "the engine has left", func() bool { return e.Current() == "" }); err != nil {
			return err
		}
	}
	return nil
}

// shortNotice replaces an engine whose machine is taken away after a short notice.
func (r *Run) shortNotice(ctx context.Context) error {
	e, err := r.anyEngine("lm")
	if err != nil {
		return err
	}
	if _, err := r.newModel(e.Config.Zone, nil, ""); err != nil {
		return err
	}
	e.Drain(1200 * ms)
	return r.await(ctx, "the engine is gone", func() bool { return e.Current() == "" })
}

// addressReuse starts an engine of another service at the address of one that crashed.
func (r *Run) addressReuse(ctx context.Context) error {
	e, err := r.anyEngine("notes")
	if err != nil {
		return err
	}
	if _, err := r.newPlain(e.Config.Zone, "notes", ""); err != nil {
		return err
	}
	e.Crash()
	r.pause(ctx, 2*time.Second)
	_, err = r.newPlain(e.Config.Zone, "spare", e.Config.Address)
	return err
}

// engineFreeze suspends an engine for three seconds.
func (r *Run) engineFreeze(ctx context.Context) error {
	e, err := r.anyEngine("lm")
	if err != nil {
		return err
	}
	e.Freeze()
	r.pause(ctx, 3*time.Second)
	e.Thaw()
	return nil
}

// engineFaults has engines break the protocol in one of twelve answers, on average.
func (r *Run) engineFaults(ctx context.Context) error {
	faults := []engine.Fault{{Kind: engine.Break, At: 20}, {Kind: engine.Break, At: 320, Reset: true}, {Kind: engine.Break, At: 500}, {Kind: engine.ExtraAnswer}, {Kind: engine.LateExtraAnswer},
		{Kind: engine.Malformed}, {Kind: engine.WrongAttemptID}, {Kind: engine.NoAttemptID}, {Kind: engine.EngineError, Status: 500}, {Kind: engine.CloseUnread}}
	for _, service := range []string{"lm", "notes"} {
		for _, e := range r.enginesOf(service) {
			e.FaultEach(func(string) *engine.Fault {
				if at := r.draw(12 * len(faults)); at < len(faults) {
					return &faults[at]
				}
				return nil
			})
			defer e.FaultEach(nil)
		}
	}
	r.pause(ctx, 4*time.Second)
	return nil
}

// engineGrey has an engine of each service fail part of its requests while it reports that it is healthy.
func (r *Run) engineGrey(ctx context.Context) error {
	// They send heartbeats and report that they are healthy, and fail part of their requests: each in another way.
	ways := []engine.Fault{{Kind: engine.EngineError, Status: 500}, {Kind: engine.Break, Reset: true}, {Kind: engine.Unresponsive}, {Kind: engine.Unresponsive, At: 400}}
	for place, service := range []string{"lm", "notes"} {
		e, err := r.anyEngine(service)
		if err != nil {
			return err
		}
		fault := ways[r.draw(len(ways)-2*place)]
		e.FaultEach(func(string) *engine.Fault {
			if r.draw(100) < 45 {
				return &fault
			}
			return nil
		})
		defer e.FaultEach(nil)
	}
	r.pause(ctx, 6*time.Second)
	return nil
}

// engineFlap crashes and restarts an engine of each service three times.
func (r *Run) engineFlap(ctx context.Context) error {
	for _, service := range []string{"lm", "notes"} {
		e, err := r.anyEngine(service)
		if err != nil {
			return err
		}
		for range 3 {
			e.Crash()
			r.pause(ctx, 600*ms)
			if err := e.Start(); err != nil {
				return err
			}
			r.pause(ctx, 900*ms)
		}
	}
	return nil
}

// idleDrop has all engines drop idle connections far sooner than they announce, so that the next request is reset.
func (r *Run) idleDrop(ctx context.Context) error {
	for _, service := range []string{"lm", "notes"} {
		for _, e := range r.enginesOf(service) {
			e.DropIdle(time.Duration(50+r.draw(250)) * ms)
			defer e.DropIdle(0)
		}
	}
	r.pause(ctx, 6*time.Second)
	return nil
}

// orderTrouble loses answers to orders while engines freeze and crash over them, and demand moves.
func (r *Run) orderTrouble(ctx context.Context) error {
	// Demand moves, so that there are orders; their answers get lost, and engines freeze and crash over them.
	r.mutex.Lock()
	r.modelOffset += 2
	r.mutex.Unlock()
	for _, e := range r.enginesOf("lm") {
		e.LoseOrders(1)
	}
	for range 3 {
		e, err := r.anyEngine("lm")
		if err != nil {
			return err
		}
		e.Freeze()
		r.pause(ctx, 600*ms)
		e.Thaw()
		if e, err = r.anyEngine("lm"); err != nil {
			return err
		}
		e.Crash()
		r.pause(ctx, 300*ms)
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

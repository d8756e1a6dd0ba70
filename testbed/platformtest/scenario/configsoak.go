package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

const (
	// changePause is the longest time between two changes of a configuration soak; withdrawalNotice is how long before a
	// withdrawal its clients stop, and signalPause the time between two signals.
	changePause      = 1200 * ms
	withdrawalNotice = 300 * ms
	signalPause      = 3 * time.Second
	// changingRate is how many requests a second go to what comes and goes.
	changingRate = 12
)

// configSoak changes all of the configuration over and over, while routers and leaders are lost, all machines are signalled
// and clients use what comes and goes until shortly before it goes.
func (r *Run) configSoak(ctx context.Context) error {
	during, finish := context.WithCancel(ctx)
	soak := &changingItems{random: rand.New(rand.NewPCG(r.Seed, 43))}
	soak.set(r.newestConfig())
	failures := make(chan error, 2)
	var playing sync.WaitGroup
	playing.Go(func() { r.playChanges(during, soak) })
	playing.Go(func() { failures <- r.playSignals(during) })
	for n := range 3 {
		playing.Go(func() { r.useChangingItems(during, soak, uint64(n)) })
	}
	failures <- r.loseMachines(ctx)
	finish()
	playing.Wait()
	r.restoreConfig(ctx)
	return firstError(<-failures, <-failures)
}

func firstError(failures ...error) error {
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

func (r *Run) newestConfig() *protocol.Config {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

// playSignals has machines read their settings anew, and restarts a router in order, until ctx ends.
func (r *Run) playSignals(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		if turn%3 == 2 {
			if err := r.restart(ctx, r.anyMachine(fleet.Edge)); err != nil {
				return err
			}
		} else if err := r.reload(ctx); err != nil {
			return err
		}
		r.pause(ctx, signalPause)
	}
	return nil
}

// playChanges changes the configuration until ctx ends.
func (r *Run) playChanges(ctx context.Context, soak *changingItems) {
	for ctx.Err() == nil {
		r.playChange(ctx, soak)
		r.pause(ctx, time.Duration(soak.draw(int(changePause))))
	}
}

// playChange makes one change, by a patch or by sending all of the configuration.
func (r *Run) playChange(ctx context.Context, soak *changingItems) {
	r.changing.Lock()
	defer r.changing.Unlock()
	before := r.newestConfig()
	next := soak.next(before)
	soak.set(inBoth(before, next))
	r.pause(ctx, withdrawalNotice)
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), operatorTimeout)
	defer cancel()
	change := r.sendChange(bounded, before, next, soak.draw(2) == 0)
	if change.Outcome != history.Acknowledged {
		r.resync(bounded)
	} else {
		r.setCurrent(change.Config)
	}
	soak.set(r.newestConfig())
}

// sendChange sends a complete configuration, or the patch that makes it of the one before.
func (r *Run) sendChange(ctx context.Context, before, next *protocol.Config, complete bool) *history.Change {
	if complete {
		return r.operator.Put(ctx, before.Generation, next, next.Fault(before.Generation))
	}
	patch := patchBetween(before, next)
	return r.operator.Patch(ctx, before, patch, before.Apply(patch).Fault(before.Generation))
}

// restoreConfig takes away all that the soak has added, and sets what it changed back.
func (r *Run) restoreConfig(ctx context.Context) {
	r.changing.Lock()
	defer r.changing.Unlock()
	bounded, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	before := r.newestConfig()
	next := withoutChanging(before)
	next.Generation = before.Generation + 1
	if change := r.operator.Put(bounded, before.Generation, next, next.Fault(before.Generation)); change.Outcome == history.Acknowledged {
		r.setCurrent(change.Config)
		return
	}
	r.resync(ctx)
}

// useChangingItems sends requests for models, adapters, routes and tenants that come and go, until ctx ends.
func (r *Run) useChangingItems(ctx context.Context, soak *changingItems, stream uint64) {
	random := rand.New(rand.NewPCG(r.Seed, 500+stream))
	for ctx.Err() == nil {
		r.pause(ctx, time.Duration(random.ExpFloat64()/(changingRate*r.Scale/3)*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		number := r.nextNumber()
		request := soak.request(number, random)
		if request == nil {
			continue
		}
		// Clients keep their connections, whatever becomes of the machine behind them.
		r.dispatch(request, true)
	}
}

// changingItems is what clients of a configuration soak may use now.
type changingItems struct {
	mutex   sync.Mutex
	random  *rand.Rand
	current *protocol.Config
}

func (c *changingItems) set(config *protocol.Config) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.current = config
}

// draw gives a random number below n.
func (c *changingItems) draw(n int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.random.IntN(n)
}

// request makes a request for something that comes and goes; nil if there is nothing.
func (c *changingItems) request(number int, random *rand.Rand) *client.Request {
	c.mutex.Lock()
	config := c.current
	c.mutex.Unlock()
	credential, known := changingKey(config, random)
	if !known {
		return nil
	}
	request := plainRequest("note", "/note/", number, random)
	request.Key, request.Tenant = credential.key, credential.tenant
	if random.IntN(2) == 0 {
		if path, found := changingPath(config, random); found {
			request.URI = fmt.Sprintf("%sx?n=%d", path, number)
		}
		return request
	}
	if staying, known := stayingKey(config); known {
		// A tenant may be there for less time than a model takes to come.
		request.Key, request.Tenant = staying.key, staying.tenant
	}
	model, found := changingModelInUse(config, random)
	if !found {
		return request
	}
	request.Kind, request.URI, request.Class, request.Deadline, request.Target = "triage", fmt.Sprintf("/triage/x?n=%d", number), protocol.Streaming, 5*time.Second, 1500*ms
	request.Prompt = protocol.Prompt{Model: model.Label, TokensIn: 200, TokensOut: 2 + random.IntN(20), Parts: []protocol.Part{{ID: fmt.Sprintf("%x", 0xc0000+number), Tokens: 200}}}
	if model.Adapters > 0 && random.IntN(2) == 0 {
		request.Prompt.Adapter = fmt.Sprintf("a%d", 1+random.IntN(model.Adapters))
	}
	return request
}

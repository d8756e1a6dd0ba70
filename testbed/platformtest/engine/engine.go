// Package engine simulates the users' engines, as their platform's protocol describes them: it registers and sends
// heartbeats, serves model requests in continuous batches or plain requests in slots, executes load and evict orders,
// injects faults, and records what it does in a history.Recorder. An incarnation is one start of an engine; its state
// belongs to one actor (incarnation.mailbox). Package scenario starts engines, the contract tests too.
package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Engine is a simulated engine over all its incarnations.
type Engine struct {
	Config   Config
	Recorder *history.Recorder

	gate gate
	// onDisk are the models on its disk.
	onDisk map[string]bool
	faults faults
	// orderFaults lose answers to orders.
	orderFaults faults
	// slowFactor is how many times as long each step takes.
	slowFactor atomic.Int64
	// dropIdle is after how long an idle connection is dropped without notice; zero is never.
	dropIdle atomic.Int64

	mutex        sync.Mutex
	incarnations int
	current      *incarnation
	// lastHeader is of the newest request that was no health check.
	lastHeader http.Header
	// ended is closed when the previous incarnation has ended completely.
	ended chan struct{}
}

// New returns an engine that is down until Start.
func New(config Config, recorder *history.Recorder) *Engine {
	return &Engine{Config: config, Recorder: recorder, onDisk: map[string]bool{}, gate: newGate()}
}

// Start begins a new incarnation at the engine's address.
func (e *Engine) Start() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.current != nil {
		return fmt.Errorf("%s runs already", e.Config.Name)
	}
	if e.ended != nil {
		<-e.ended
	}
	listener, err := net.Listen("tcp", e.Config.Address)
	if err != nil {
		return err
	}
	e.Config.Address = listener.Addr().String()
	e.incarnations++
	ctx, end := context.WithCancel(context.Background())
	inc := &incarnation{Engine: e, id: fmt.Sprintf("i-%s-%d", e.Config.Name, e.incarnations), listener: listener, ctx: ctx, end: end,
		mailbox: actor.NewMailbox[func()](256), heartbeatNow: make(chan struct{}, 1), drainAcked: make(chan struct{}), newestWeights: 1, sinks: map[*Job]*sink{},
		began: e.Recorder.Now(), random: rand.New(rand.NewPCG(e.Config.Seed, uint64(e.incarnations)))}
	inc.batch = NewBatch(e.Config.Pace)
	var initial []protocol.Holding
	if e.incarnations == 1 {
		initial = e.Config.InitialModels
	}
	inc.holdings = NewHoldings(e.Config.Capacity, initial, e.onDisk)
	inc.record = &history.Incarnation{Engine: inc.id, Service: e.Config.Service, Zone: e.Config.Zone, Address: e.Config.Address, Began: inc.began, InitialModels: initial, Slots: inc.slots()}
	e.Recorder.Record(func(h *history.History) { h.Incarnations = append(h.Incarnations, inc.record) })
	e.current = inc
	inc.recordReport()
	go inc.mailbox.Run(ctx, 0, func(action func()) { action() }, nil)
	go inc.accept()
	if e.Config.Controls != nil {
		go inc.sendHeartbeats()
	}
	return nil
}

// Current is the id of the running incarnation; empty while the engine is down.
func (e *Engine) Current() string {
	if inc := e.running(); inc != nil {
		return inc.id
	}
	return ""
}

func (e *Engine) running() *incarnation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.current
}

// LastHeader is the header of the newest request that was no health check.
func (e *Engine) LastHeader() http.Header {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastHeader.Clone()
}

// Crash ends the incarnation at once and resets all connections; connections are refused from then on.
func (e *Engine) Crash() { e.finish(true) }

func (e *Engine) finish(crashed bool) {
	if inc := e.running(); inc != nil {
		e.finishIncarnation(inc, crashed)
	}
}

// finishIncarnation ends an incarnation, unless it has ended already.
func (e *Engine) finishIncarnation(inc *incarnation, crashed bool) {
	e.mutex.Lock()
	if e.current != inc {
		e.mutex.Unlock()
		return
	}
	e.current = nil
	over := make(chan struct{})
	e.ended = over
	e.mutex.Unlock()
	defer close(over)
	inc.crashed.Store(crashed)
	inc.end()
	inc.listener.Close()
	inc.conns.Wait()
	<-inc.mailbox.Done()
	if inc.loading {
		inc.Config.Store.end()
	}
	e.Recorder.Record(func(*history.History) { inc.record.Ended, inc.record.Crashed = e.Recorder.Now(), crashed })
}

// Stop ends the engine at the end of a run.
func (e *Engine) Stop() {
	e.gate.open()
	e.finish(false)
}

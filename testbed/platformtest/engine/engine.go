// Package engine is a stand-in for the users' engines, by their platform's page: it registers and beats,
// works in batches or on plain requests, takes orders, misbehaves on demand, and writes down all it does.
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

// Engine is one stand-in over all its lives.
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
	// dropIdle is after how long an idle connection is dropped in silence; zero is never.
	dropIdle atomic.Int64

	mutex        sync.Mutex
	incarnations int
	current      *incarnation
	// lastHeader is of the newest request that was no probe.
	lastHeader http.Header
	// ended is closed when the life before has wholly ended.
	ended chan struct{}
}

// New makes one; it is down until Start.
func New(config Config, recorder *history.Recorder) *Engine {
	return &Engine{Config: config, Recorder: recorder, onDisk: map[string]bool{}, gate: newGate()}
}

// Start begins a new life at its address.
func (e *Engine) Start() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.current != nil {
		return fmt.Errorf("%s lives already", e.Config.Name)
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
	l := &incarnation{Engine: e, id: fmt.Sprintf("i-%s-%d", e.Config.Name, e.incarnations), listener: listener, ctx: ctx, end: end,
		mailbox: actor.NewMailbox[func()](256), heartbeatNow: make(chan struct{}, 1), drainAcked: make(chan struct{}), newestWeights: 1, sinks: map[*Job]*sink{},
		began: e.Recorder.Now(), random: rand.New(rand.NewPCG(e.Config.Seed, uint64(e.incarnations)))}
	l.batch = NewBatch(e.Config.Pace)
	var initial []protocol.Holding
	if e.incarnations == 1 {
		initial = e.Config.InitialModels
	}
	l.holdings = NewHoldings(e.Config.Capacity, initial, e.onDisk)
	l.record = &history.Incarnation{Engine: l.id, Service: e.Config.Service, Zone: e.Config.Zone, Address: e.Config.Address, Began: l.began, InitialModels: initial, Slots: l.slots()}
	e.Recorder.Record(func(h *history.History) { h.Incarnations = append(h.Incarnations, l.record) })
	e.current = l
	l.recordReport()
	go l.mailbox.Run(ctx, 0, func(action func()) { action() }, nil)
	go l.accept()
	if e.Config.Controls != nil {
		go l.sendHeartbeats()
	}
	return nil
}

// Current gives the id of the life that goes on; empty while it is down.
func (e *Engine) Current() string {
	if l := e.running(); l != nil {
		return l.id
	}
	return ""
}

func (e *Engine) running() *incarnation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.current
}

// LastHeader gives the head of the newest request that came, probes left out.
func (e *Engine) LastHeader() http.Header {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastHeader.Clone()
}

// Crash ends the life at once, with all connections reset; connections are refused from then on.
func (e *Engine) Crash() { e.finish(true) }

func (e *Engine) finish(crashed bool) {
	if l := e.running(); l != nil {
		e.finishIncarnation(l, crashed)
	}
}

// finishIncarnation ends this life, unless it has ended already.
func (e *Engine) finishIncarnation(l *incarnation, crashed bool) {
	e.mutex.Lock()
	if e.current != l {
		e.mutex.Unlock()
		return
	}
	e.current = nil
	over := make(chan struct{})
	e.ended = over
	e.mutex.Unlock()
	defer close(over)
	l.crashed.Store(crashed)
	l.end()
	l.listener.Close()
	l.conns.Wait()
	<-l.mailbox.Done()
	if l.loading {
		l.Config.Store.end()
	}
	e.Recorder.Record(func(*history.History) { l.record.Ended, l.record.Crashed = e.Recorder.Now(), crashed })
}

// Stop ends a life at a run's end.
func (e *Engine) Stop() {
	e.gate.open()
	e.finish(false)
}

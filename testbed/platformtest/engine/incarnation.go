package engine

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// incarnation is one start of the engine.
type incarnation struct {
	*Engine
	id       string
	listener net.Listener
	ctx      context.Context
	end      context.CancelFunc
	mailbox  *actor.Mailbox[func()]
	record   *history.Incarnation
	began    clock.Mark
	random   *rand.Rand

	conns     sync.WaitGroup
	openConns atomic.Int64
	answers   atomic.Int64
	// upgrades counts changes of the weights of loaded models.
	upgrades atomic.Int64
	queued   atomic.Int64
	draining atomic.Bool
	// deregistered is set where the engine deregistered first and still serves.
	deregistered atomic.Bool
	crashed      atomic.Bool
	// remaining is when an engine that got a short notice ends, in nanoseconds of the recorder's clock; zero is no notice.
	remaining    atomic.Int64
	heartbeatNow chan struct{}
	drainAcked   chan struct{}
	ackOnce      sync.Once

	// The fields below belong to the actor.
	batch         *Batch
	holdings      *Holdings
	stepping      bool
	jobCount      uint64
	newestWeights uint64
	sinks         map[*Job]*sink
	active        int
	waiting       []*Job
	reports       []agedReport
	order         *history.Order
	loading       bool
}

type agedReport struct {
	at     clock.Mark
	report protocol.Report
}

// sink receives the progress of a job.
type sink struct {
	progress chan Progress
	arrival  *history.Arrival
}

func (inc *incarnation) slots() int {
	if inc.Config.Model {
		return inc.Config.Pace.Slots
	}
	return inc.Config.Slots
}

func (inc *incarnation) warmingUp() bool {
	return inc.Recorder.Now().Since(inc.began) < inc.Config.WarmUp
}

// do runs a function in the actor and waits for it; false if the incarnation has ended.
func (inc *incarnation) do(action func()) bool {
	done := make(chan struct{})
	if !inc.mailbox.Send(func() { action(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-inc.mailbox.Done():
		return false
	}
}

// later runs a function in the actor after a time.
func (inc *incarnation) later(after time.Duration, action func()) {
	time.AfterFunc(after, func() {
		if inc.gate.pass(inc.ctx) {
			inc.mailbox.Send(action)
		}
	})
}

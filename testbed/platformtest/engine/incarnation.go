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
	// upgrades counts changes of the weights of what is held.
	upgrades atomic.Int64
	queued   atomic.Int64
	draining atomic.Bool
	// deregistered says that it said first that it is gone, and serves on.
	deregistered atomic.Bool
	crashed      atomic.Bool
	// remaining is the time left to one taken away at short notice; zero is none told.
	remaining    atomic.Int64
	heartbeatNow chan struct{}
	drainAcked   chan struct{}
	ackOnce      sync.Once

	// The rest belongs to the actor.
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

// sink is where a job's signs go.
type sink struct {
	progress chan Progress
	arrival  *history.Arrival
}

func (l *incarnation) slots() int {
	if l.Config.Model {
		return l.Config.Pace.Slots
	}
	return l.Config.Slots
}

func (l *incarnation) warmingUp() bool { return l.Recorder.Now().Since(l.began) < l.Config.WarmUp }

// do has the actor do something and waits for it; false if the life has ended.
func (l *incarnation) do(action func()) bool {
	done := make(chan struct{})
	if !l.mailbox.Send(func() { action(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.mailbox.Done():
		return false
	}
}

// later has the actor do something after a time.
func (l *incarnation) later(after time.Duration, action func()) {
	time.AfterFunc(after, func() {
		if l.gate.pass(l.ctx) {
			l.mailbox.Send(action)
		}
	})
}

package engine

import (
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// takeOrder takes an order.
func (l *incarnation) takeOrder(order protocol.Order) int {
	noted := &history.Order{At: l.Recorder.Now(), Engine: l.id, Service: l.Config.Service, Order: order}
	status := 0
	l.do(func() {
		result := l.holdings.Take(order)
		status = result.Status
		noted.Status, noted.OverCapacity, noted.FromStore = result.Status, result.OverCapacity, result.FromStore
		l.Recorder.Record(func(h *history.History) { h.Orders = append(h.Orders, noted) })
		if result.Status != 202 {
			return
		}
		l.recordReport()
		if result.OverCapacity {
			// It falls when it is ordered to load over its room.
			go l.finishIncarnation(l, true)
			return
		}
		l.order = noted
		concerned := func(job *Job) bool { return l.holdings.InPendingOrder(job.Prompt.Model, job.Prompt.Adapter) }
		if l.Config.Model && order.Operation == protocol.Evict {
			for _, job := range l.batch.CancelQueued(concerned) {
				l.deliver([]Progress{{Job: job, Expired: true}})
			}
			l.finishPendingEviction()
			return
		}
		if result.FromStore && l.Config.Store != nil {
			result.Duration = time.Duration(float64(result.Duration) * l.Config.Store.begin())
			l.loading = true
		}
		l.later(result.Duration, func() {
			if l.loading {
				l.loading = false
				l.Config.Store.end()
			}
			l.finishOrder()
		})
	})
	return status
}

// finishPendingEviction carries an eviction out once nothing that it concerns runs.
func (l *incarnation) finishPendingEviction() {
	doing := l.holdings.pending
	if doing == nil || doing.Operation != protocol.Evict {
		return
	}
	if !l.batch.Running(func(job *Job) bool { return l.holdings.InPendingOrder(job.Prompt.Model, job.Prompt.Adapter) }) {
		l.finishOrder()
	}
}

func (l *incarnation) finishOrder() {
	done := l.holdings.Finish(l.newestWeights)
	if done.Operation == protocol.Evict {
		l.batch.DropCache(protocol.Prompt{Model: done.Model, Adapter: done.Adapter}.WriteModel())
		if done.Adapter == "" {
			if model := l.holdings.model(done.Model); model != nil {
				for n := 1; n <= model.Adapters; n++ {
					l.batch.DropCache(protocol.Prompt{Model: done.Model, Adapter: adapterName(n)}.WriteModel())
				}
			}
		}
	}
	noted := l.order
	l.Recorder.Record(func(*history.History) { noted.Done = l.Recorder.Now() })
	l.recordReport()
}

// Upgrade gives what is held of a model another version of its weights while it runs; streams tell of it.
func (e *Engine) Upgrade(model string, version uint64) {
	l := e.running()
	if l == nil {
		return
	}
	l.do(func() {
		if holding := l.holdings.Holding(model); holding != nil {
			holding.Generation = version
			l.upgrades.Add(1)
			l.recordReport()
		}
	})
}

// Renew gives the engine's loads a new version of the weights from now on; those held stay as they are.
func (e *Engine) Renew(version uint64) {
	if l := e.running(); l != nil {
		l.do(func() { l.newestWeights = version })
	}
}

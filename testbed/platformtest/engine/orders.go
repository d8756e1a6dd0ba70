package engine

import (
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// takeOrder decides on an order, starts it if it is accepted, and returns the status of the answer.
func (inc *incarnation) takeOrder(order protocol.Order) int {
	noted := &history.Order{At: inc.Recorder.Now(), Engine: inc.id, Service: inc.Config.Service, Order: order}
	status := 0
	inc.do(func() {
		result := inc.holdings.Take(order)
		status = result.Status
		noted.Status, noted.OverCapacity, noted.FromStore = result.Status, result.OverCapacity, result.FromStore
		inc.Recorder.Record(func(h *history.History) { h.Orders = append(h.Orders, noted) })
		if result.Status != 202 {
			return
		}
		inc.recordReport()
		if result.OverCapacity {
			// An engine that is ordered to load beyond its capacity crashes.
			go inc.finishIncarnation(inc, true)
			return
		}
		inc.order = noted
		concerned := func(job *Job) bool { return inc.holdings.InPendingOrder(job.Prompt.Model, job.Prompt.Adapter) }
		if inc.Config.Model && order.Operation == protocol.Evict {
			for _, job := range inc.batch.CancelQueued(concerned) {
				inc.deliver([]Progress{{Job: job, Expired: true}})
			}
			inc.finishPendingEviction()
			return
		}
		if result.FromStore && inc.Config.Store != nil {
			result.Duration = time.Duration(float64(result.Duration) * inc.Config.Store.begin())
			inc.loading = true
		}
		inc.later(result.Duration, func() {
			if inc.loading {
				inc.loading = false
				inc.Config.Store.end()
			}
			inc.finishOrder()
		})
	})
	return status
}

// finishPendingEviction completes an eviction once no request that it concerns runs.
func (inc *incarnation) finishPendingEviction() {
	doing := inc.holdings.pending
	if doing == nil || doing.Operation != protocol.Evict {
		return
	}
	if !inc.batch.Running(func(job *Job) bool { return inc.holdings.InPendingOrder(job.Prompt.Model, job.Prompt.Adapter) }) {
		inc.finishOrder()
	}
}

func (inc *incarnation) finishOrder() {
	done := inc.holdings.Finish(inc.newestWeights)
	if done.Operation == protocol.Evict {
		inc.batch.DropCache(protocol.Prompt{Model: done.Model, Adapter: done.Adapter}.WriteModel())
		if done.Adapter == "" {
			if model := inc.holdings.model(done.Model); model != nil {
				for n := 1; n <= model.Adapters; n++ {
					inc.batch.DropCache(protocol.Prompt{Model: done.Model, Adapter: adapterName(n)}.WriteModel())
				}
			}
		}
	}
	noted := inc.order
	inc.Recorder.Record(func(*history.History) { noted.Done = inc.Recorder.Now() })
	inc.recordReport()
}

// Upgrade changes the version of a loaded model's weights while requests run; streams announce it.
func (e *Engine) Upgrade(model string, version uint64) {
	inc := e.running()
	if inc == nil {
		return
	}
	inc.do(func() {
		if holding := inc.holdings.Holding(model); holding != nil {
			holding.Generation = version
			inc.upgrades.Add(1)
			inc.recordReport()
		}
	})
}

// Renew has later loads get a new version of the weights; loaded models stay as they are.
func (e *Engine) Renew(version uint64) {
	if inc := e.running(); inc != nil {
		inc.do(func() { inc.newestWeights = version })
	}
}

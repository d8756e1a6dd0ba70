package engine

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Capacity is what an engine can load, and how fast.
type Capacity struct {
	Catalogue protocol.EngineID
	// DiskShare is the fraction of the usual time that a load from the engine's own disk takes.
	DiskShare   float64
	AdapterTime time.Duration
	// LoadScale scales the time of all loads; zero is one.
	LoadScale    float64
	FenceChecked bool
}

// Holdings is what an engine has loaded, and the one order that it may execute at a time.
type Holdings struct {
	capacity Capacity
	models   []protocol.Holding
	// onDisk are the models on its disk.
	onDisk  map[string]bool
	callSeq uint64
	fence   uint64
	pending *protocol.Order
}

// NewHoldings returns the holdings of a new incarnation.
func NewHoldings(room Capacity, initial []protocol.Holding, had map[string]bool) *Holdings {
	h := &Holdings{capacity: room, onDisk: had}
	for _, holding := range initial {
		holding.Adapters = slices.Clone(holding.Adapters)
		h.models = append(h.models, holding)
		h.onDisk[holding.Label] = true
	}
	return h
}

// OrderResult is the answer to an order, and what follows.
type OrderResult struct {
	Status int
	// OverCapacity: it does not fit, and the engine crashes.
	OverCapacity bool
	// Duration is how long a load takes; FromStore: it comes from the store of weights.
	Duration  time.Duration
	FromStore bool
}

func (h *Holdings) model(label string) *protocol.CatalogModel {
	for i := range h.capacity.Catalogue.Models {
		if h.capacity.Catalogue.Models[i].Label == label {
			return &h.capacity.Catalogue.Models[i]
		}
	}
	return nil
}

// Holding is the loaded state of a model; nil if it is not loaded.
func (h *Holdings) Holding(label string) *protocol.Holding {
	for i := range h.models {
		if h.models[i].Label == label {
			return &h.models[i]
		}
	}
	return nil
}

// Holds says whether a model, and an adapter of it unless that is empty, is loaded.
func (h *Holdings) Holds(model, adapter string) bool {
	holding := h.Holding(model)
	return holding != nil && (adapter == "" || slices.Contains(holding.Adapters, adapter))
}

// InPendingOrder says whether the pending order concerns a model or an adapter of it.
func (h *Holdings) InPendingOrder(model, adapter string) bool {
	return h.pending != nil && h.pending.Model == model && (h.pending.Adapter == "" || h.pending.Adapter == adapter)
}

func (h *Holdings) used() (mb float64, places int) {
	for _, holding := range h.models {
		if model := h.model(holding.Label); model != nil {
			mb += model.WeightsMb + float64(len(holding.Adapters))*model.AdapterSizeMb
		}
		places += len(holding.Adapters)
	}
	return mb, places
}

func adapterKnown(model *protocol.CatalogModel, name string) bool {
	for n := 1; n <= model.Adapters; n++ {
		if name == adapterName(n) {
			return true
		}
	}
	return false
}

// Take decides on an order; an accepted one is pending until Finish.
func (h *Holdings) Take(order protocol.Order) OrderResult {
	if order.Owner == "" || order.Fence == nil || order.Operation != protocol.Load && order.Operation != protocol.Evict {
		return OrderResult{Status: http.StatusBadRequest}
	}
	model := h.model(order.Model)
	if model == nil || order.Adapter != "" && !adapterKnown(model, order.Adapter) {
		return OrderResult{Status: http.StatusBadRequest}
	}
	if h.capacity.FenceChecked && *order.Fence < h.fence {
		return OrderResult{Status: http.StatusPreconditionFailed}
	}
	h.fence = max(h.fence, *order.Fence)
	if h.pending != nil || order.Expected != nil && *order.Expected != h.callSeq {
		return OrderResult{Status: http.StatusConflict}
	}
	if order.Adapter != "" && h.Holding(order.Model) == nil && order.Operation == protocol.Load {
		return OrderResult{Status: http.StatusMisdirectedRequest}
	}
	if h.Holds(order.Model, order.Adapter) == (order.Operation == protocol.Load) {
		return OrderResult{Status: http.StatusOK}
	}
	result := OrderResult{Status: http.StatusAccepted}
	if order.Operation == protocol.Load {
		mb, places := h.used()
		if order.Adapter != "" {
			result.OverCapacity = places+1 > h.capacity.Catalogue.AdapterCapacity || mb+model.AdapterSizeMb > h.capacity.Catalogue.WeightsMb
			result.Duration = h.capacity.AdapterTime
		} else {
			result.OverCapacity = mb+model.WeightsMb > h.capacity.Catalogue.WeightsMb
			result.FromStore = !h.onDisk[order.Model]
			took := model.LoadTimeS * float64(time.Second)
			if h.capacity.LoadScale > 0 {
				took *= h.capacity.LoadScale
			}
			if !result.FromStore {
				took *= h.capacity.DiskShare
			}
			result.Duration = time.Duration(took)
		}
	}
	h.callSeq++
	doing := order
	h.pending = &doing
	return result
}

// Finish completes the pending order.
func (h *Holdings) Finish(newest uint64) protocol.Order {
	order := *h.pending
	h.pending = nil
	holding := h.Holding(order.Model)
	switch {
	case order.Operation == protocol.Load && order.Adapter == "":
		h.models = append(h.models, protocol.Holding{Label: order.Model, Generation: newest, Adapters: []string{}})
		h.onDisk[order.Model] = true
	case order.Operation == protocol.Load && holding != nil:
		holding.Adapters = append(slices.Clone(holding.Adapters), order.Adapter)
	case order.Operation == protocol.Evict && order.Adapter == "":
		h.models = slices.DeleteFunc(slices.Clone(h.models), func(other protocol.Holding) bool { return other.Label == order.Model })
	case order.Operation == protocol.Evict && holding != nil:
		holding.Adapters = slices.DeleteFunc(slices.Clone(holding.Adapters), func(name string) bool { return name == order.Adapter })
	}
	return order
}

// List copies what is loaded.
func (h *Holdings) List() []protocol.Holding {
	out := []protocol.Holding{}
	for _, holding := range h.models {
		adapters := slices.Clone(holding.Adapters)
		if adapters == nil {
			adapters = []string{}
		}
		out = append(out, protocol.Holding{Label: holding.Label, Generation: holding.Generation, Adapters: adapters})
	}
	return out
}

func adapterName(n int) string { return fmt.Sprintf("a%d", n) }

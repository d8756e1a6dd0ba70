package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Store is the store of weights of a service; each load takes longer in proportion beyond some at once.
type Store struct {
	// AtOnce is how many loads go at full speed; zero is any number.
	AtOnce int

	mutex sync.Mutex
	loads int
}

// begin counts a load in, and says how many times its usual time it takes.
func (s *Store) begin() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loads++
	if s.AtOnce == 0 || s.loads <= s.AtOnce {
		return 1
	}
	return float64(s.loads) / float64(s.AtOnce)
}

func (s *Store) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loads--
}

// Room is what an engine may hold, and how fast it gets it.
type Room struct {
	Catalogue protocol.EngineID
	// DiskShare is the part of a load's time that it takes from the engine's own disk.
	DiskShare   float64
	AdapterTime time.Duration
	// LoadScale shortens all loads, for rehearsals that have no time.
	LoadScale    float64
	FenceChecked bool
}

// Holdings is what an engine holds, and the one order that it may carry out.
type Holdings struct {
	room   Room
	models []protocol.Holding
	// had are the models that its disk has.
	had     map[string]bool
	callSeq uint64
	fence   uint64
	doing   *protocol.Order
}

// NewHoldings begins a life.
func NewHoldings(room Room, initial []protocol.Holding, had map[string]bool) *Holdings {
	h := &Holdings{room: room, had: had}
	for _, holding := range initial {
		holding.Adapters = slices.Clone(holding.Adapters)
		h.models = append(h.models, holding)
		h.had[holding.Label] = true
	}
	return h
}

// Verdict is what an engine answers to an order, and what follows.
type Verdict struct {
	Status int
	// Over: it cannot be held, and the engine falls.
	Over bool
	// Takes is how long a load takes; Store: it comes from the store.
	Takes time.Duration
	Store bool
}

func (h *Holdings) model(label string) *protocol.CatalogModel {
	for place := range h.room.Catalogue.Models {
		if h.room.Catalogue.Models[place].Label == label {
			return &h.room.Catalogue.Models[place]
		}
	}
	return nil
}

// Held gives what is there of a model.
func (h *Holdings) Held(label string) *protocol.Holding {
	for place := range h.models {
		if h.models[place].Label == label {
			return &h.models[place]
		}
	}
	return nil
}

// Holds says whether a model, and an adapter of it unless that is empty, is there.
func (h *Holdings) Holds(model, adapter string) bool {
	held := h.Held(model)
	return held != nil && (adapter == "" || slices.Contains(held.Adapters, adapter))
}

// Concerned says whether the order under way is about this.
func (h *Holdings) Concerned(model, adapter string) bool {
	return h.doing != nil && h.doing.Model == model && (h.doing.Adapter == "" || h.doing.Adapter == adapter)
}

func (h *Holdings) used() (mb float64, places int) {
	for _, held := range h.models {
		if model := h.model(held.Label); model != nil {
			mb += model.WeightsMb + float64(len(held.Adapters))*model.AdapterSizeMb
		}
		places += len(held.Adapters)
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

// Take decides on an order.
func (h *Holdings) Take(order protocol.Order) Verdict {
	if order.Owner == "" || order.Fence == nil || order.Operation != protocol.Load && order.Operation != protocol.Evict {
		return Verdict{Status: http.StatusBadRequest}
	}
	model := h.model(order.Model)
	if model == nil || order.Adapter != "" && !adapterKnown(model, order.Adapter) {
		return Verdict{Status: http.StatusBadRequest}
	}
	if h.room.FenceChecked && *order.Fence < h.fence {
		return Verdict{Status: http.StatusPreconditionFailed}
	}
	h.fence = max(h.fence, *order.Fence)
	if h.doing != nil || order.Expected != nil && *order.Expected != h.callSeq {
		return Verdict{Status: http.StatusConflict}
	}
	if order.Adapter != "" && h.Held(order.Model) == nil && order.Operation == protocol.Load {
		return Verdict{Status: http.StatusMisdirectedRequest}
	}
	if h.Holds(order.Model, order.Adapter) == (order.Operation == protocol.Load) {
		return Verdict{Status: http.StatusOK}
	}
	verdict := Verdict{Status: http.StatusAccepted}
	if order.Operation == protocol.Load {
		mb, places := h.used()
		if order.Adapter != "" {
			verdict.Over = places+1 > h.room.Catalogue.AdapterCapacity || mb+model.AdapterSizeMb > h.room.Catalogue.WeightsMb
			verdict.Takes = h.room.AdapterTime
		} else {
			verdict.Over = mb+model.WeightsMb > h.room.Catalogue.WeightsMb
			verdict.Store = !h.had[order.Model]
			took := model.LoadTimeS * float64(time.Second)
			if h.room.LoadScale > 0 {
				took *= h.room.LoadScale
			}
			if !verdict.Store {
				took *= h.room.DiskShare
			}
			verdict.Takes = time.Duration(took)
		}
	}
	h.callSeq++
	doing := order
	h.doing = &doing
	return verdict
}

// Finish carries the order under way out.
func (h *Holdings) Finish(newest uint64) protocol.Order {
	order := *h.doing
	h.doing = nil
	held := h.Held(order.Model)
	switch {
	case order.Operation == protocol.Load && order.Adapter == "":
		h.models = append(h.models, protocol.Holding{Label: order.Model, Generation: newest, Adapters: []string{}})
		h.had[order.Model] = true
	case order.Operation == protocol.Load && held != nil:
		held.Adapters = append(slices.Clone(held.Adapters), order.Adapter)
	case order.Operation == protocol.Evict && order.Adapter == "":
		h.models = slices.DeleteFunc(slices.Clone(h.models), func(other protocol.Holding) bool { return other.Label == order.Model })
	case order.Operation == protocol.Evict && held != nil:
		held.Adapters = slices.DeleteFunc(slices.Clone(held.Adapters), func(name string) bool { return name == order.Adapter })
	}
	return order
}

// List copies what is held.
func (h *Holdings) List() []protocol.Holding {
	out := []protocol.Holding{}
	for _, held := range h.models {
		adapters := slices.Clone(held.Adapters)
		if adapters == nil {
			adapters = []string{}
		}
		out = append(out, protocol.Holding{Label: held.Label, Generation: held.Generation, Adapters: adapters})
	}
	return out
}

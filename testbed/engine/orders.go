package engine

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// take starts an order, or says why not. The mutex is held.
func (e *Engine) take(order engineapi.Order) (refusal string) {
	held := e.models[order.Model]
	switch order.Kind {
	case engineapi.Load:
		return e.load(held, order.Model)
	case engineapi.Unload:
		return e.unload(held, order.Model)
	case engineapi.LoadAdapter:
		return e.loadAdapter(held, order.Adapter)
	case engineapi.UnloadAdapter:
		return unloadAdapter(held, order.Adapter)
	}
	return "no such kind of order"
}

func (e *Engine) load(held *model, name string) (refusal string) {
	if held != nil {
		return "held already"
	}
	used := int64(0)
	for other := range e.models {
		used += e.config.Sizes[other]
	}
	if used+e.config.Sizes[name] > e.config.Room {
		return "no room"
	}
	loading := &model{state: engineapi.Loading}
	e.models[name] = loading
	e.journal.Write(journal.Line{Kind: journal.LoadBegin, Model: name})
	time.AfterFunc(e.config.LoadTime, func() {
		e.mutex.Lock()
		loading.state = engineapi.Loaded
		e.mutex.Unlock()
		e.journal.Write(journal.Line{Kind: journal.LoadEnd, Model: name})
	})
	return ""
}

func (e *Engine) unload(held *model, name string) (refusal string) {
	if held == nil || held.state != engineapi.Loaded {
		return "not loaded"
	}
	held.state = engineapi.Unloading
	time.AfterFunc(e.config.LoadTime/4, func() {
		e.mutex.Lock()
		delete(e.models, name)
		e.mutex.Unlock()
	})
	return ""
}

func (e *Engine) loadAdapter(held *model, name string) (refusal string) {
	places := 0
	for _, other := range e.models {
		places += len(other.adapters) + len(other.pending)
	}
	switch {
	case held == nil || held.state != engineapi.Loaded:
		return "its model is not loaded"
	case slices.Contains(held.adapters, name) || slices.Contains(held.pending, name):
		return "held already"
	case places >= e.config.AdapterPlaces:
		return "no adapter place"
	}
	held.pending = append(held.pending, name)
	time.AfterFunc(e.config.AdapterTime, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		held.pending = slices.DeleteFunc(held.pending, func(other string) bool { return other == name })
		held.adapters = append(held.adapters, name)
	})
	return ""
}

func unloadAdapter(held *model, name string) (refusal string) {
	if held == nil || !slices.Contains(held.adapters, name) {
		return "not held"
	}
	held.adapters = slices.DeleteFunc(slices.Clone(held.adapters), func(other string) bool { return other == name })
	return ""
}

package engine

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// take starts an order, or says why not. The caller holds the mutex.
func (e *Engine) take(order engineapi.Order) (refusal string) {
	loaded := e.models[order.Model]
	switch order.Kind {
	case engineapi.Load:
		return e.load(loaded, order.Model)
	case engineapi.Unload:
		return e.unload(loaded, order.Model)
	case engineapi.LoadAdapter:
		return e.loadAdapter(loaded, order.Adapter)
	case engineapi.UnloadAdapter:
		return unloadAdapter(loaded, order.Adapter)
	}
	return "no such kind of order"
}

func (e *Engine) load(loaded *model, name string) (refusal string) {
	if loaded != nil {
		return "held already"
	}
	used := int64(0)
	for other := range e.models {
		used += e.config.Sizes[other]
	}
	if used+e.config.Sizes[name] > e.config.Capacity {
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

func (e *Engine) unload(loaded *model, name string) (refusal string) {
	if loaded == nil || loaded.state != engineapi.Loaded {
		return "not loaded"
	}
	loaded.state = engineapi.Unloading
	time.AfterFunc(e.config.LoadTime/4, func() {
		e.mutex.Lock()
		delete(e.models, name)
		e.mutex.Unlock()
	})
	return ""
}

func (e *Engine) loadAdapter(loaded *model, name string) (refusal string) {
	places := 0
	for _, other := range e.models {
		places += len(other.adapters) + len(other.pending)
	}
	switch {
	case loaded == nil || loaded.state != engineapi.Loaded:
		return "its model is not loaded"
	case slices.Contains(loaded.adapters, name) || slices.Contains(loaded.pending, name):
		return "held already"
	case places >= e.config.AdapterSlots:
		return "no adapter place"
	}
	loaded.pending = append(loaded.pending, name)
	time.AfterFunc(e.config.AdapterTime, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		loaded.pending = slices.DeleteFunc(loaded.pending, func(other string) bool { return other == name })
		loaded.adapters = append(loaded.adapters, name)
	})
	return ""
}

func unloadAdapter(loaded *model, name string) (refusal string) {
	if loaded == nil || !slices.Contains(loaded.adapters, name) {
		return "not held"
	}
	loaded.adapters = slices.DeleteFunc(slices.Clone(loaded.adapters), func(other string) bool { return other == name })
	return ""
}

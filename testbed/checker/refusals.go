package checker

import (
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// Refusals says how long the refused had waited, shortest first, and how many of them could have been
// served: their model stood loaded on some engine between the refusal and their deadline.
func Refusals(h *History) (waited []time.Duration, couldHave int) {
	type span struct{ from, to time.Duration }
	stood := map[string][]span{}
	open := map[string]time.Duration{}
	shut := func(engine, model string, at time.Duration) {
		if from, known := open[engine+"/"+model]; known {
			stood[model] = append(stood[model], span{from, at})
			delete(open, engine+"/"+model)
		}
	}
	for _, entry := range h.Journals {
		switch {
		case entry.Kind == journal.LoadEnd:
			open[entry.Engine+"/"+entry.Model] = entry.At
		case entry.Kind == journal.Order && entry.Order == "unload":
			shut(entry.Engine, entry.Model, entry.At)
		case entry.Kind == journal.Start:
			for key := range open {
				if engine, model, _ := strings.Cut(key, "/"); engine == entry.Engine {
					shut(engine, model, entry.At)
				}
			}
		}
	}
	for key := range open {
		engine, model, _ := strings.Cut(key, "/")
		shut(engine, model, never)
	}
	for _, call := range h.Calls {
		if call.Outcome != callerapi.Refused || call.Status == 403 {
			continue
		}
		waited = append(waited, call.End-call.Began)
		deadline := call.Began + time.Duration(call.Request.DeadlineMs)*time.Millisecond
		for _, one := range stood[call.Request.Model] {
			if one.from < deadline && one.to > call.End {
				couldHave++
				break
			}
		}
	}
	slices.Sort(waited)
	return waited, couldHave
}

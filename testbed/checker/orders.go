package checker

import (
	"fmt"
	"strings"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/testbed/journal"
)

func isOrder(entry journal.Line) bool {
	return entry.Kind == journal.Order || entry.Kind == journal.OrderRefused
}

func oneCommander(h *History) Finding {
	f := Finding{Rule: "one commander of an engine, and no quick turns"}
	last := map[string]journal.Line{}
	for _, entry := range h.Journals {
		if !isOrder(entry) {
			continue
		}
		f.Checked++
		before, known := last[entry.Engine]
		if known && entry.Claim < before.Claim {
			f.fault("%s was ordered under claim %d after claim %d", entry.Engine, entry.Claim, before.Claim)
		}
		if known && entry.Claim != before.Claim && entry.At-before.At < quickTurn {
			f.fault("%s was ordered under claim %d %v after claim %d", entry.Engine, entry.Claim, (entry.At - before.At).Round(time.Millisecond), before.Claim)
		}
		last[entry.Engine] = entry
	}
	holders := map[uint64]string{}
	for _, entry := range h.Journals {
		if isOrder(entry) {
			// The worker id stands in the stamp, so two daemons under one claim would show.
			worker := workerOf(entry.Stamp)
			if known, ok := holders[entry.Claim]; ok && known != worker {
				f.fault("claim %d was used under worker ids %s and %s", entry.Claim, known, worker)
			}
			holders[entry.Claim] = worker
		}
	}
	return f
}

func workerOf(stamp string) string {
	var id ident.SnowflakeID
	_, _ = fmt.Sscanf(stamp, "%d", &id)
	_, worker, _ := snowflake.Decompose(id)
	return fmt.Sprint(worker)
}

func withinRoom(h *History) Finding {
	f := Finding{Rule: "no engine is ordered past its room"}
	for _, entry := range h.Journals {
		if !isOrder(entry) {
			continue
		}
		f.Checked++
		if entry.Kind == journal.OrderRefused && (entry.Reason == "no room" || entry.Reason == "no adapter place") {
			f.fault("%s was ordered to %s %s%s: %s", entry.Engine, entry.Order, entry.Model, entry.Adapter, entry.Reason)
		}
	}
	return f
}

func storePace(h *History) Finding {
	f := Finding{Rule: "loads keep to the store's pace"}
	loading := map[string]bool{}
	var lastBegin time.Duration
	for _, entry := range h.Journals {
		key := entry.Engine + "/" + entry.Model
		switch entry.Kind {
		case journal.LoadBegin:
			f.Checked++
			loading[key] = true
			if len(loading) > h.LoadsAtOnce {
				f.fault("%d loads at once when %s loaded %s", len(loading), entry.Engine, entry.Model)
			}
			// Half the gap allows for the latency of orders; the plan itself keeps the full gap.
			if lastBegin > 0 && entry.At-lastBegin < h.LoadGap/2 {
				f.fault("%s loaded %s %v after the load before", entry.Engine, entry.Model, (entry.At - lastBegin).Round(time.Millisecond))
			}
			lastBegin = entry.At
		case journal.LoadEnd:
			delete(loading, key)
		case journal.Start:
			for other := range loading {
				if strings.HasPrefix(other, entry.Engine+"/") {
					delete(loading, other)
				}
			}
		}
	}
	return f
}

func stampsUnique(h *History) Finding {
	f := Finding{Rule: "no two orders bear one minted id"}
	seen := map[string]string{}
	for _, entry := range h.Journals {
		if !isOrder(entry) {
			continue
		}
		f.Checked++
		if other, twice := seen[entry.Stamp]; twice {
			f.fault("%s and %s were ordered under stamp %s", other, entry.Engine, entry.Stamp)
		}
		seen[entry.Stamp] = entry.Engine
	}
	return f
}

// minStay is how long a model must stay once its loading began.
const minStay = 8 * time.Second

func noFlapping(h *History) Finding {
	f := Finding{Rule: "no model is unloaded within 8 s of its loading"}
	begun := map[string]time.Duration{}
	for _, entry := range h.Journals {
		key := entry.Engine + "/" + entry.Model
		switch {
		case entry.Kind == journal.LoadBegin:
			f.Checked++
			begun[key] = entry.At
		case entry.Kind == journal.Order && entry.Order == "unload":
			if at, known := begun[key]; known && entry.At-at < minStay {
				f.fault("%s had %s for %v", entry.Engine, entry.Model, (entry.At - at).Round(time.Millisecond))
			}
		}
	}
	return f
}

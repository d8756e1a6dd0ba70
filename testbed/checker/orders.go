package checker

import (
	"fmt"
	"strings"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/testbed/journal"
)

func isOrder(line journal.Line) bool {
	return line.Kind == journal.Order || line.Kind == journal.OrderRefused
}

func oneCommander(h *History) Finding {
	f := Finding{Rule: "one commander of an engine, and no quick turns"}
	last := map[string]journal.Line{}
	for _, line := range h.Journals {
		if !isOrder(line) {
			continue
		}
		f.Checked++
		before, known := last[line.Engine]
		if known && line.Claim < before.Claim {
			f.fault("%s was ordered under claim %d after claim %d", line.Engine, line.Claim, before.Claim)
		}
		if known && line.Claim != before.Claim && line.At-before.At < quickTurn {
			f.fault("%s was ordered under claim %d %v after claim %d", line.Engine, line.Claim, (line.At - before.At).Round(time.Millisecond), before.Claim)
		}
		last[line.Engine] = line
	}
	holders := map[uint64]string{}
	for _, line := range h.Journals {
		if isOrder(line) {
			// The worker id stands in the stamp, so two daemons under one claim would show.
			worker := workerOf(line.Stamp)
			if known, ok := holders[line.Claim]; ok && known != worker {
				f.fault("claim %d was used under worker ids %s and %s", line.Claim, known, worker)
			}
			holders[line.Claim] = worker
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
	for _, line := range h.Journals {
		if !isOrder(line) {
			continue
		}
		f.Checked++
		if line.Kind == journal.OrderRefused && (line.Reason == "no room" || line.Reason == "no adapter place") {
			f.fault("%s was ordered to %s %s%s: %s", line.Engine, line.Order, line.Model, line.Adapter, line.Reason)
		}
	}
	return f
}

func storePace(h *History) Finding {
	f := Finding{Rule: "loads keep to the store's pace"}
	loading := map[string]bool{}
	var lastBegin time.Duration
	for _, line := range h.Journals {
		key := line.Engine + "/" + line.Model
		switch line.Kind {
		case journal.LoadBegin:
			f.Checked++
			loading[key] = true
			if len(loading) > h.LoadsAtOnce {
				f.fault("%d loads at once when %s loaded %s", len(loading), line.Engine, line.Model)
			}
			// Half the gap allows for the way an order takes; the plan itself keeps the whole.
			if lastBegin > 0 && line.At-lastBegin < h.LoadGap/2 {
				f.fault("%s loaded %s %v after the load before", line.Engine, line.Model, (line.At - lastBegin).Round(time.Millisecond))
			}
			lastBegin = line.At
		case journal.LoadEnd:
			delete(loading, key)
		case journal.Start:
			for other := range loading {
				if strings.HasPrefix(other, line.Engine+"/") {
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
	for _, line := range h.Journals {
		if !isOrder(line) {
			continue
		}
		f.Checked++
		if other, twice := seen[line.Stamp]; twice {
			f.fault("%s and %s were ordered under stamp %s", other, line.Engine, line.Stamp)
		}
		seen[line.Stamp] = line.Engine
	}
	return f
}

// minStay is how long a model must stay once its loading began.
const minStay = 8 * time.Second

func noFlapping(h *History) Finding {
	f := Finding{Rule: "no model is unloaded within 8 s of its loading"}
	begun := map[string]time.Duration{}
	for _, line := range h.Journals {
		key := line.Engine + "/" + line.Model
		switch {
		case line.Kind == journal.LoadBegin:
			f.Checked++
			begun[key] = line.At
		case line.Kind == journal.Order && line.Order == "unload":
			if at, known := begun[key]; known && line.At-at < minStay {
				f.fault("%s had %s for %v", line.Engine, line.Model, (line.At - at).Round(time.Millisecond))
			}
		}
	}
	return f
}

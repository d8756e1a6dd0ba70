package checker

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
)

// Retries counts arrivals at engines beyond the first of each attempt.
func Retries(h *History) (first, again int) {
	arrivals := map[string]int{}
	for _, entry := range h.Journals {
		if entry.Kind == journal.Arrive {
			arrivals[entry.Attempt]++
		}
	}
	for _, n := range arrivals {
		first++
		again += n - 1
	}
	return first, again
}

func retryShare(h *History) Finding {
	f := Finding{Rule: "retries stay a modest share"}
	first, again := Retries(h)
	f.Checked = first
	// A few retries are allowed to a daemon that has sent nothing yet.
	if limit := h.RetryShare*float64(first) + 30; float64(again) > limit {
		f.fault("%d retries on %d first goes", again, first)
	}
	return f
}

func coldEngines(h *History) Finding {
	f := Finding{Rule: "no cold engine is flooded"}
	firsts := coldFirsts(h)
	for _, engine := range slices.Sorted(maps.Keys(firsts)) {
		for _, count := range firsts[engine] {
			f.Checked++
			if limit := 6 * h.Slots; count > limit {
				f.fault("%s got %d requests in the first second of a life, more than %d", engine, count, limit)
			}
		}
	}
	return f
}

// WarmingPeak is the most requests that any engine got in the first second of an incarnation.
func WarmingPeak(h *History) int {
	most := 0
	for _, counts := range coldFirsts(h) {
		most = max(most, slices.Max(counts))
	}
	return most
}

// coldFirsts counts the requests in the first second of each incarnation of each engine that got any.
func coldFirsts(h *History) map[string][]int {
	out := map[string][]int{}
	for _, start := range h.Journals {
		if start.Kind != journal.Start {
			continue
		}
		// The first second after an engine's first arrival in this incarnation.
		var first time.Duration
		count := 0
		for _, entry := range h.Journals {
			if entry.Kind != journal.Arrive || entry.Engine != start.Engine || entry.At < start.At {
				continue
			}
			if first == 0 {
				first = entry.At
			}
			if entry.At-first > time.Second {
				break
			}
			count++
		}
		if first == 0 {
			continue
		}
		out[start.Engine] = append(out[start.Engine], count)
	}
	return out
}

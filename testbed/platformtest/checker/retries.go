package checker

import (
	"slices"

	"github.com/cresspond/cresspond/clock"
)

// retryBudget checks that retries stay within their share of the requests in each window.
func (b *index) retryBudget() Finding {
	f := Finding{Rule: "BUDGET"}
	window := clock.Mark(b.bounds.RetryWindow)
	further := map[string][]clock.Mark{}
	for _, arrivals := range b.arrivals {
		seen := map[string]bool{}
		for _, arrival := range arrivals {
			if seen[arrival.Service] {
				further[arrival.Service] = append(further[arrival.Service], arrival.At)
			}
			seen[arrival.Service] = true
		}
	}
	asked := map[string][]clock.Mark{}
	for _, attempt := range b.Attempts {
		if attempt.Sent == 0 {
			continue
		}
		services := map[string]bool{}
		for _, version := range b.versions {
			if route := version.Config.Find(attempt.Host, pathOf(attempt.URI)); route != nil {
				for _, service := range route.Services() {
					services[service] = true
				}
			}
		}
		for service := range services {
			asked[service] = append(asked[service], attempt.Began)
		}
	}
	count := func(marks []clock.Mark, from, to clock.Mark) int {
		low, _ := slices.BinarySearch(marks, from+1)
		high, _ := slices.BinarySearch(marks, to+1)
		return high - low
	}
	for service, marks := range asked {
		slices.Sort(marks)
		again := further[service]
		slices.Sort(again)
		f.Checked += len(marks)
		for _, end := range again {
			// Every window counts; one that ends with a retry holds the most.
			more := count(again, end-window, end)
			requests := max(count(marks, end-window, end), count(marks, end-2*window, end-window), count(marks, end-window*3/2, end-window/2))
			if allowed := b.bounds.RetryRatio*float64(requests) + float64(b.bounds.RetrySlack); float64(more) > allowed {
				f.violation("%s got %d further arrivals within %v for %d requests", service, more, b.bounds.RetryWindow, requests)
				break
			}
		}
	}
	slices.Sort(f.Violations)
	return f
}

package checker

import (
	"fmt"
	"math"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

const (
	// keepAliveLostFew is how many requests on reused connections may be lost without an answer.
	keepAliveLostFew = 3
	// sharesEnough is the least number of requests that shows the shares of a route, sharesOff how far each may be off.
	sharesEnough = 200
	sharesOff    = 0.2
)

// lostOnKeepAlive checks that a request on a reused connection that reached an engine that survived is answered.
func (b *index) lostOnKeepAlive() Finding {
	f := Finding{Rule: "LOST on kept connections"}
	var lost []string
	for _, attempt := range b.Attempts {
		if attempt.FirstOnConnection || attempt.Sent == 0 || attempt.Ended == 0 || !b.inContact(attempt.Daemon, attempt.Ended) || b.linksDisrupted(attempt.Began, attempt.Ended) {
			continue
		}
		arrivals := b.arrivals[attempt.AttemptID]
		if len(arrivals) == 0 || slices.ContainsFunc(arrivals, func(a *history.Arrival) bool { return a.Broken || !b.engineSurvived(a) }) {
			continue
		}
		f.Checked++
		if b.lost(attempt) {
			lost = append(lost, fmt.Sprintf("%s reached %s on a reused connection, which was closed without an answer", attempt.AttemptID, attempt.Daemon))
		}
	}
	if len(lost) > keepAliveLostFew {
		f.Violations = lost
	}
	return f
}

// engineSurvived says whether an engine's incarnation outlasted its work on a request.
func (b *index) engineSurvived(arrival *history.Arrival) bool {
	incarnation := b.incarnations[arrival.Engine]
	return incarnation != nil && (incarnation.Ended == 0 || arrival.Ended != 0 && incarnation.Ended > arrival.Ended)
}

// routeShares checks that the services of a route get about the shares of their weights while nothing is disrupted.
func (b *index) routeShares() Finding {
	f := Finding{Rule: "CONFIG shares"}
	type key struct {
		generation uint64
		route      string
	}
	arrived := map[key]map[string]int{}
	routes := map[key]*protocol.Route{}
	for _, attempt := range b.Attempts {
		version := b.onlyVersion(attempt)
		if version == nil || !b.undisturbed(attempt.Began, attempt.Ended) {
			continue
		}
		route := version.Config.Find(attempt.Host, pathOf(attempt.URI))
		if route == nil || len(route.Services()) < 2 || len(b.arrivals[attempt.AttemptID]) == 0 {
			continue
		}
		at := key{version.Generation, route.Label}
		if arrived[at] == nil {
			arrived[at], routes[at] = map[string]int{}, route
		}
		arrived[at][b.arrivals[attempt.AttemptID][0].Service]++
	}
	for at, services := range arrived {
		total, weights := 0, int64(0)
		for _, count := range services {
			total += count
		}
		for _, share := range routes[at].Shares {
			weights += share.Share
		}
		if total < sharesEnough {
			continue
		}
		f.Checked++
		for _, share := range routes[at].Shares {
			wanted, got := float64(share.Share)/float64(weights), float64(services[share.Backend])/float64(total)
			if math.Abs(wanted-got) > sharesOff {
				f.violation("of %d requests of %s %s got %.2f and not %.2f", total, at.route, share.Backend, got, wanted)
			}
		}
	}
	return f
}

// onlyVersion is the version that all machines used throughout an attempt; nil where it may be one of several.
func (b *index) onlyVersion(attempt *history.Attempt) *history.Change {
	var newest *history.Change
	for _, version := range b.versions {
		if version.Began <= attempt.Ended {
			newest = version
		}
	}
	if newest == nil || newest.Answered == 0 || newest.Outcome != history.Acknowledged || newest.Answered+clock.Mark(b.bounds.Apply) > attempt.Began {
		return nil
	}
	return newest
}

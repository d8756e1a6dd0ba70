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
	// keptLostFew is how many requests from kept connections may be lost without an answer.
	keptLostFew = 3
	// sharesEnough is how many requests of a route show how it is shared out, sharesOff how far each part may be off.
	sharesEnough = 200
	sharesOff    = 0.2
)

// keptLost holds that a request that came on a kept connection and went on to a sound engine is answered.
func (b *bench) keptLost() Finding {
	f := Finding{Rule: "LOST on kept connections"}
	var lost []string
	for _, try := range b.Tries {
		if try.FirstOnConnection || try.Sent == 0 || try.Ended == 0 || !b.inTouch(try.Daemon, try.Ended) || b.linksTroubled(try.Began, try.Ended) {
			continue
		}
		arrivals := b.arrivals[try.Attempt]
		if len(arrivals) == 0 || slices.ContainsFunc(arrivals, func(a *history.Arrival) bool { return a.Broke || !b.sound(a) }) {
			continue
		}
		f.Checked++
		if b.cut(try) {
			lost = append(lost, fmt.Sprintf("%s came to %s on a kept connection, which was closed without an answer", try.Attempt, try.Daemon))
		}
	}
	if len(lost) > keptLostFew {
		f.Violations = lost
	}
	return f
}

// sound says whether an engine lived on while it had a request.
func (b *bench) sound(arrival *history.Arrival) bool {
	life := b.lives[arrival.Engine]
	return life != nil && (life.Ended == 0 || arrival.Ended != 0 && life.Ended > arrival.Ended)
}

// shares holds that the parts of a route that is shared out get about what their weights say, while nothing is wrong.
func (b *bench) shares() Finding {
	f := Finding{Rule: "CONFIG shares"}
	type key struct {
		generation uint64
		route      string
	}
	arrived := map[key]map[string]int{}
	routes := map[key]*protocol.Route{}
	for _, try := range b.Tries {
		version := b.onlyVersion(try)
		if version == nil || !b.calm(try.Began, try.Ended) {
			continue
		}
		route := version.Whole.Find(try.Host, pathOf(try.URI))
		if route == nil || len(route.Services()) < 2 || len(b.arrivals[try.Attempt]) == 0 {
			continue
		}
		at := key{version.Generation, route.Label}
		if arrived[at] == nil {
			arrived[at], routes[at] = map[string]int{}, route
		}
		arrived[at][b.arrivals[try.Attempt][0].Service]++
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
				f.fault("of %d requests of %s %s got %.2f and not %.2f", total, at.route, share.Backend, got, wanted)
			}
		}
	}
	return f
}

// onlyVersion gives the version that all machines in touch went by through a try; nil where it may be one of several.
func (b *bench) onlyVersion(try *history.Try) *history.Change {
	var newest *history.Change
	for _, version := range b.versions {
		if version.Began <= try.Ended {
			newest = version
		}
	}
	if newest == nil || newest.Answered == 0 || newest.Outcome != history.Acknowledged || newest.Answered+clock.Mark(b.bounds.Apply) > try.Began {
		return nil
	}
	return newest
}

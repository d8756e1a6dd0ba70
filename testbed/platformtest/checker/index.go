package checker

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// disrupted says whether a disruption that matches overlaps a span.
func (b *index) disrupted(from, to clock.Mark, match func(*history.Disruption) bool) bool {
	for _, disruption := range b.Disruptions {
		if disruption.From <= to && (disruption.Until == 0 || disruption.Until >= from) && match(disruption) {
			return true
		}
	}
	return false
}

// before is the time a span before another.
func before(at clock.Mark, span time.Duration) clock.Mark { return at - clock.Mark(span) }

// coreSettled says whether the core was undisturbed for the time of contact before a time.
func (b *index) coreSettled(at clock.Mark) bool {
	return !b.disrupted(before(at, b.bounds.Contact), at, func(t *history.Disruption) bool { return t.Core || t.Kind == history.Closing })
}

// inContact says whether a machine and the core were undisturbed for the time of contact before a time.
func (b *index) inContact(machine string, at clock.Mark) bool {
	return b.coreSettled(at) && b.machineSettled(machine, at)
}

// machineSettled says whether a machine was undisturbed for the time of contact before a time.
func (b *index) machineSettled(machine string, at clock.Mark) bool {
	return !b.disrupted(before(at, b.bounds.Contact), at, func(t *history.Disruption) bool {
		return t.Machine == machine || t.Kind == history.Closing || t.Kind == history.TestbedStall
	})
}

// undisturbed says that no disruption overlaps a span, or the time of contact before it.
func (b *index) undisturbed(from, to clock.Mark) bool {
	return !b.disrupted(before(from, b.bounds.Contact), to, func(*history.Disruption) bool { return true })
}

// allows says whether a configuration routes a request to a service.
func allows(config *protocol.Config, host, uri, service string) bool {
	route := config.Find(host, pathOf(uri))
	return route != nil && slices.Contains(route.Services(), service)
}

// pathOf is the path of a URI, without its query.
func pathOf(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

// oldestValid is the index of the oldest version that may handle a request sent at a time.
func (b *index) oldestValid(sent clock.Mark, slack time.Duration) int {
	oldest := 0
	for i, version := range b.versions {
		if version.Outcome == history.Acknowledged && version.Answered+clock.Mark(slack) <= sent {
			oldest = i
		}
	}
	return oldest
}

// applyBound is the time within which a configuration must be in force for a request; it is longer while the core is
// unsettled.
func (b *index) applyBound(sent clock.Mark) time.Duration {
	if b.coreSettled(sent) && b.coreSettled(before(sent, b.bounds.Apply)) {
		return b.bounds.Apply
	}
	return b.bounds.Apply + b.bounds.StretchMax
}

// idempotent says whether an attempt may run more than once.
func (b *index) idempotent(attempt *history.Attempt) bool {
	return attempt.Class == protocol.Idempotent || attempt.Class == protocol.Streaming && attempt.Resumable
}

// answeredByDaemon says that an answer is the system's own and not an engine's.
func answeredByDaemon(attempt *history.Attempt) bool {
	return attempt.Status != 0 && attempt.Seal == ""
}

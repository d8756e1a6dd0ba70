package connectionpool

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

// idleLifetimes is what was learned about how long engines of a pool really keep idle connections, whatever they
// announce. A connection that the engine dropped silently shows nothing until the next request on it is reset, and then
// nothing proves that the request has not run. It is learned by pool, since one daemon has few connections to each
// engine.
type idleLifetimes struct {
	pools map[string]idleLifetime
}

// idleLifetime is the shortest idle time after which a connection was found dropped, and when that was.
type idleLifetime struct {
	shortest time.Duration
	foundAt  clock.Mark
}

const (
	// idleDivisor is the part of a learned lifetime within which a connection is reused, notRepeatableIdleDivisor the
	// same for attempts that can't be repeated.
	idleDivisor, notRepeatableIdleDivisor = 2, 4
	// lifetimeDoubling is how long it takes until a learned lifetime counts twice as long, since engines change.
	lifetimeDoubling = 10 * time.Second
	// maxLearnedLifetime is from where on a lifetime is no limit.
	maxLearnedLifetime = 2 * maxIdleTimeout
)

// estimate is the lifetime to assume now.
func (l idleLifetime) estimate(now clock.Mark) time.Duration {
	if l.shortest == 0 {
		return maxLearnedLifetime
	}
	return min(l.shortest<<min(now.Since(l.foundAt)/lifetimeDoubling, 20), maxLearnedLifetime)
}

// recordDropped records that a connection was found dropped after so long.
func (l *idleLifetimes) recordDropped(pool string, idle time.Duration, now clock.Mark) {
	if l.pools == nil {
		l.pools = map[string]idleLifetime{}
	}
	l.pools[pool] = idleLifetime{max(min(l.pools[pool].estimate(now), idle), time.Millisecond), now}
}

// limit is how long a connection may have been idle to be reused.
func (l *idleLifetimes) limit(pool string, notRepeatable bool, now clock.Mark) time.Duration {
	if notRepeatable {
		return l.pools[pool].estimate(now) / notRepeatableIdleDivisor
	}
	return l.pools[pool].estimate(now) / idleDivisor
}

package connectionpool

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// lifetimes is what was learned of how long the idle connections to the engines of a pool really last, whatever they
// say: one that an engine has dropped without a word shows nothing before the next request on it is reset, and then
// nothing proves that the request has not run. It is learned by pool, since a daemon has few connections to each engine.
type lifetimes struct {
	pools map[string]lifetime
}

// lifetime is the shortest idle time after which a connection was found dropped, and when that was.
type lifetime struct {
	shortest time.Duration
	at       clock.Mark
}

const (
	// safePart is the part of a learned lifetime that a kept connection may be used for, carefulPart the same for
	// attempts that can't be made again.
	safePart, carefulPart = 2, 4
	// relearned is how long it takes for what was learned to count as twice as long, since engines change.
	relearned = 10 * time.Second
	// longestLearned is from where on it is no limit any more.
	longestLearned = 2 * mostKept
)

func (l lifetime) now(now clock.Mark) time.Duration {
	if l.shortest == 0 {
		return longestLearned
	}
	return min(l.shortest<<min(now.Since(l.at)/relearned, 20), longestLearned)
}

// dropped notes that a connection was found dropped after so long.
func (l *lifetimes) dropped(pool string, idle time.Duration, now clock.Mark) {
	if l.pools == nil {
		l.pools = map[string]lifetime{}
	}
	l.pools[pool] = lifetime{max(min(l.pools[pool].now(now), idle), time.Millisecond), now}
}

// bound is for how long an idle connection may be used at most.
func (l *lifetimes) bound(pool string, careful bool, now clock.Mark) time.Duration {
	if careful {
		return l.pools[pool].now(now) / carefulPart
	}
	return l.pools[pool].now(now) / safePart
}

// broken says whether an error is the end of a connection, and no time that has passed.
func broken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

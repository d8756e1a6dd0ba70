package endtoend

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
)

const (
	// grantEvery is how often the machine is looked at, grantMost what one look may find to have passed.
	grantEvery = 5 * time.Millisecond
	grantMost  = 2 * grantEvery
)

// granted counts the time that the machine gave this process. Where other work has the processors a look comes
// late, and the clock stands still for what was withheld; on a machine that is well it goes as any other. It
// never goes faster, so what takes too long by it has taken too long by any clock.
type granted struct {
	mutex      sync.Mutex
	mark, last clock.Mark
}

// at is the time granted up to a moment of the machine's own clock.
func (g *granted) at(now clock.Mark) clock.Mark {
	return g.mark + min(now-g.last, clock.Mark(grantMost))
}

// look takes up what was granted since the last look.
func (g *granted) look(now clock.Mark) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.mark, g.last = g.at(now), now
}

// Elapsed makes it a daemon's clock.
func (g *granted) Elapsed() clock.Mark {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.at(clock.System{}.Elapsed())
}

// Wall is the time of day.
func (g *granted) Wall() time.Time { return clock.System{}.Wall() }

// machine is the clock of all daemons here, and of all bounds that they are held to: a machine shared with other
// work may stand still for seconds, in which no daemon can do anything.
var machine = watched()

func watched() *granted {
	now := clock.System{}.Elapsed()
	g := &granted{mark: now, last: now}
	mailbox := actor.NewMailbox[struct{}](1)
	go mailbox.Run(context.Background(), grantEvery, func(struct{}) {}, func() { g.look(clock.System{}.Elapsed()) })
	return g
}

// span measures by both clocks at once.
type span struct{ granted, real clock.Mark }

func begin() span { return span{machine.Elapsed(), clock.System{}.Elapsed()} }

// took is how much time the machine granted since, withheld how much it did not.
func (s span) took() (took, withheld time.Duration) {
	took = machine.Elapsed().Since(s.granted)
	return took, clock.System{}.Elapsed().Since(s.real) - took
}

func TestAWithheldMachineStopsTheClockAndNothingElseDoes(t *testing.T) {
	g := &granted{mark: 100, last: 100}
	now := clock.Mark(100)
	pass := func(by time.Duration, want time.Duration) {
		t.Helper()
		before := g.at(now)
		now += clock.Mark(by)
		if got := g.at(now).Since(before); got != want {
			t.Errorf("of %v it counts %v, not %v", by, got, want)
		}
		g.look(now)
		if got := g.at(now).Since(before); got != want {
			t.Errorf("a look changes what %v count to %v", by, got)
		}
	}
	for range 1000 {
		pass(grantEvery, grantEvery)
		pass(grantEvery+time.Millisecond, grantEvery+time.Millisecond)
	}
	pass(grantMost, grantMost)
	pass(3*time.Second, grantMost)
	pass(0, 0)
	pass(time.Microsecond, time.Microsecond)
}

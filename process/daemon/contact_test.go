package daemon

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/config"
)

// contactClock stands still.
type contactClock struct{ now clock.Mark }

func (c contactClock) Elapsed() clock.Mark { return c.now }
func (c contactClock) Wall() time.Time     { return time.Time{} }

// A daemon that only routes judges no engine silent, and does not go through the fleet several times a second for it:
// it has no list of members here.
func TestWhoeverOnlyRoutesJudgesNobody(t *testing.T) {
	settings := config.Default()
	settings.Serve = []config.Role{config.Route}
	d := &Daemon{config: settings, clock: contactClock{clock.Mark(time.Minute)}}
	if contact := d.contact(); contact.May || contact.Horizon != clock.Mark(time.Minute) {
		t.Errorf("%+v", contact)
	}
}

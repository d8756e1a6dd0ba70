package daemon

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// fixedClock always tells the same time.
type fixedClock struct{ now clock.Mark }

func (c fixedClock) Elapsed() clock.Mark { return c.now }
func (c fixedClock) Wall() time.Time     { return time.Time{} }

// A daemon that only routes marks no engine unresponsive, and does not go through the fleet several times a second
// for it: it has no membership here.
func TestRouteOnlyDaemonNeverMarksEnginesUnresponsive(t *testing.T) {
	settings := daemonconfig.Default()
	settings.Roles = []daemonconfig.Role{daemonconfig.Route}
	d := &Daemon{config: settings, clock: fixedClock{clock.Mark(time.Minute)}}
	if contact := d.controlContact(); contact.CanDetectTimeouts || contact.Horizon != clock.Mark(time.Minute) {
		t.Errorf("%+v", contact)
	}
}

// Two control daemons of five that are partitioned together are in contact with each other as before, but don't get
// the heartbeats that go to the other three: they mark no engine unresponsive. A daemon in contact with the leader
// does, and so does the leader.
func TestControlDaemonsPartitionedTogetherNeverMarkEnginesUnresponsive(t *testing.T) {
	const now, period = clock.Mark(time.Hour), time.Second
	ago := func(span time.Duration) clock.Mark { return now - clock.Mark(span) }
	for name, c := range map[string]struct {
		heardLeader, heardPeer time.Duration
		alone, may             bool
	}{
		"in touch": {
			heardLeader: 300 * time.Millisecond,
			heardPeer:   200 * time.Millisecond,
			may:         true,
		},
		"cut off together":               {heardLeader: 2 * time.Second, heardPeer: 200 * time.Millisecond},
		"the peer told long ago":         {heardLeader: 300 * time.Millisecond, heardPeer: 1200 * time.Millisecond},
		"nobody else, and not the group": {heardLeader: 0, heardPeer: time.Minute},
		"the whole group":                {heardLeader: 0, heardPeer: time.Minute, alone: true, may: true},
	} {
		peer := membership.Member{
			NodeID:      "peer#1",
			Address:     "peer",
			Roles:       []string{string(daemonconfig.Control)},
			LastContact: ago(c.heardPeer),
		}
		view := &membership.View{
			Members:           map[ident.NodeID]membership.Member{"peer#1": peer},
			LastLeaderContact: ago(c.heardLeader),
		}
		got := contactOf(view, "self#1", now, func(string) clock.Mark { return ago(c.heardPeer) }, period, func() bool { return c.alone })
		if got.CanDetectTimeouts != c.may {
			t.Errorf("%s: may judge %t", name, got.CanDetectTimeouts)
		}
	}
}

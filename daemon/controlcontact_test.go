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
		sinceLeader, sincePeer time.Duration
		alone, may             bool
	}{
		"in touch": {
			sinceLeader: 300 * time.Millisecond,
			sincePeer:   200 * time.Millisecond,
			may:         true,
		},
		"partitioned together":                     {sinceLeader: 2 * time.Second, sincePeer: 200 * time.Millisecond},
		"the last pull from the peer is too old":   {sinceLeader: 300 * time.Millisecond, sincePeer: 1200 * time.Millisecond},
		"no other daemon, and not the whole group": {sinceLeader: 0, sincePeer: time.Minute},
		"the whole group":                          {sinceLeader: 0, sincePeer: time.Minute, alone: true, may: true},
	} {
		peer := membership.Member{
			NodeID:      "peer#1",
			Address:     "peer",
			Roles:       []string{string(daemonconfig.Control)},
			LastContact: ago(c.sincePeer),
		}
		view := &membership.View{
			Members:           map[ident.NodeID]membership.Member{"peer#1": peer},
			LastLeaderContact: ago(c.sinceLeader),
		}
		got := contactOf(view, "self#1", now, func(string) clock.Mark { return ago(c.sincePeer) }, period, func() bool { return c.alone })
		if got.CanDetectTimeouts != c.may {
			t.Errorf("%s: may judge %t", name, got.CanDetectTimeouts)
		}
	}
}

package daemon

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const minute = clock.Mark(time.Minute)

// manualClock is a clock that the test moves.
type manualClock struct{ now clock.Mark }

func (c *manualClock) Elapsed() clock.Mark { return c.now }
func (c *manualClock) Wall() time.Time     { return time.Time{} }

// A daemon pulls from its relay, the leader and the planner: three copies of a configuration of a thousand paths
// would take a quarter of a second of a 10 Mbit/s link, and most of that between zones.
func TestConfigurationIsSentOnceUnlessItsRelayFails(t *testing.T) {
	at := &manualClock{now: minute}
	d := &Daemon{clock: at}
	all := &peerapi.PullRequest{ConfigurationVersion: 3}
	inShort := &peerapi.PullRequest{ConfigurationVersion: 3, RegistryUrgentOnly: true}
	sends := func(version ident.Version, in *peerapi.PullRequest) bool { return d.sendsConfiguration(version, in) }
	if sends(3, all) || sends(3, inShort) || sends(2, inShort) {
		t.Error("a configuration that the peer has is sent")
	}
	if !sends(4, all) {
		t.Error("a peer that pulls everything is not sent it at once")
	}
	if sends(4, inShort) {
		t.Error("a peer with a relay is sent it at once")
	}
	at.now += clock.Mark(configurationDelay)
	if !sends(4, inShort) {
		t.Error("a peer whose relay failed is never sent it")
	}
	control := &peerapi.PullRequest{ConfigurationVersion: 4, EveryHeartbeat: true}
	if sends(5, control) || sends(5, inShort) || !sends(5, all) {
		t.Error("the next configuration is not left to the relay and to the log")
	}
	at.now += clock.Mark(configurationDelay)
	if !sends(5, control) {
		t.Error("a control daemon outside of the group is never sent it")
	}
}

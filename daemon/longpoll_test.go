package daemon

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// heldClock is moved by hand.
type heldClock struct{ now clock.Mark }

func (c *heldClock) Elapsed() clock.Mark { return c.now }
func (c *heldClock) Wall() time.Time     { return time.Time{} }

// A daemon asks its teller, the leader and whoever plans: three copies of a bundle of a thousand paths would take a
// quarter of a second of a 10 Mbit/s link, and most of that goes from zone to zone.
func TestABundleIsToldOnceUnlessItsTellerFails(t *testing.T) {
	at := &heldClock{now: minute}
	d := &Daemon{clock: at}
	all := &peerapi.PullRequest{ConfigurationVersion: 3}
	inShort := &peerapi.PullRequest{ConfigurationVersion: 3, RegistryUrgentOnly: true}
	tells := func(epoch ident.Version, in *peerapi.PullRequest) bool { return d.sendsConfiguration(epoch, in) }
	if tells(3, all) || tells(3, inShort) || tells(2, inShort) {
		t.Error("what is known is told")
	}
	if !tells(4, all) {
		t.Error("whoever asks for all is told at once")
	}
	if tells(4, inShort) {
		t.Error("whoever has a teller is told at once too")
	}
	at.now += clock.Mark(configurationDelay)
	if !tells(4, inShort) {
		t.Error("one whose teller failed is never told")
	}
	control := &peerapi.PullRequest{ConfigurationVersion: 4, EveryHeartbeat: true}
	if tells(5, control) || tells(5, inShort) || !tells(5, all) {
		t.Error("the next bundle is left to the teller again, and to the log")
	}
	at.now += clock.Mark(configurationDelay)
	if !tells(5, control) {
		t.Error("a control daemon outside of the group is never told")
	}
}

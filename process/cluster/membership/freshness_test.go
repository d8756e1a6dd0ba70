package membership

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// ms is a time or span of the synthetic clock, in milliseconds.
func ms(n int) clock.Mark { return clock.Mark(time.Duration(n) * time.Millisecond) }

// newTestTracker makes the tracker of a routing daemon that knows three control daemons, of which l1 leads in term 3.
func newTestTracker() (*Tracker, clock.Mark) {
	now := clock.Mark(time.Minute)
	t := NewTracker(now-clock.Mark(time.Second), "edge#1", "edge", false)
	t.memberList.SetSelf(now, MemberRecord{Member: Member{NodeID: "edge#1", Address: "edge", Roles: []string{"route"}}, Version: 1})
	for _, address := range []string{"l1", "c2", "c3"} {
		t.memberList.RecordPull(now, MemberRecord{Member: Member{NodeID: ident.NodeID(address + "#1"), Address: address, Roles: []string{controlRole}}, Version: 1, HasAttributes: true}, 0)
	}
	return t, now
}

// resultFrom is a reply that took 10 ms each way, from a source confirmed so long before the request arrived.
func resultFrom(address string, now clock.Mark, before time.Duration, change func(*peerapi.PullReply)) PullResult {
	reply := &peerapi.PullReply{Group: "g", NodeId: address + "#1", LeaderAddress: "l1", LeaderTerm: 3, IsLeader: address == "l1", ConfigurationVersion: 7,
		Confirmation: EncodeConfirmation(ms(3600000)-clock.Mark(before), ms(3600000))}
	if change != nil {
		change(reply)
	}
	return PullResult{PullTarget: PullTarget{Address: address, Linked: true}, SentAt: now - ms(20), ReceivedAt: now, Reply: reply}
}

var testInForce = InForce{Configuration: 7}

// Whatever the offset of the two clocks and the latency of the reply, a confirmation never gets more recent.
func TestConfirmationNeverGetsFresherInTransit(t *testing.T) {
	for _, before := range []time.Duration{-700 * time.Millisecond, -time.Microsecond, 0, time.Microsecond, 300 * time.Millisecond, time.Hour} {
		confirmed, arrived := clock.Mark(2*time.Hour)-clock.Mark(before), clock.Mark(2*time.Hour)
		sentAt, latency := clock.Mark(5*time.Minute), 40*time.Millisecond
		reply := &peerapi.PullReply{Confirmation: EncodeConfirmation(confirmed, arrived)}
		// In the caller's time the request arrived after its latency.
		actual := sentAt + clock.Mark(latency) - clock.Mark(before)
		confirmation := confirmationIn(reply, sentAt, max(actual, sentAt)+clock.Mark(time.Minute))
		if confirmation.confirmedAt > max(0, actual) || confirmation.confirmedAt < actual-clock.Mark(latency)-ms(2) {
			t.Errorf("%v before: taken for %v, and it lay at %v", before, confirmation.confirmedAt, actual)
		}
	}
	if confirmation := confirmationIn(&peerapi.PullReply{Confirmation: EncodeConfirmation(0, ms(5000))}, ms(1), ms(2)); !confirmation.known || confirmation.confirmedAt != 0 || confirmation.freshness(ms(2)) != peerapi.SourceFreshness_SOURCE_STALE {
		t.Errorf("never confirmed: %+v", confirmation)
	}
}

// Two control daemons that are partitioned from the others go on replying; a daemon must not stay with them.
func TestStaleLeaderIsDropped(t *testing.T) {
	tracker, now := newTestTracker()
	tracker.HandleResult(now, resultFrom("l1", now, 100*time.Millisecond, nil), testInForce)
	if view := tracker.View(); view.LeaderAddress != "l1" || view.LastLeaderContact == 0 {
		t.Fatalf("%+v", view)
	}
	contact := tracker.View().LastLeaderContact
	now += ms(1500)
	turned := tracker.HandleResult(now, resultFrom("l1", now, StaleAfter, nil), testInForce)
	if turned == nil || !turned.Stale || turned.Address != "l1" {
		t.Errorf("turned: %+v", turned)
	}
	if view := tracker.View(); view.LeaderAddress != "" || view.LastLeaderContact != contact {
		t.Errorf("it is still the known leader: %+v", view)
	}
	links := tracker.Links(now)
	if !slices.Contains(links, "c2") || !slices.Contains(links, "c3") {
		t.Errorf("linked only to %q", links)
	}
	// An indirect report of the dropped leader does not bring it back; its own confirmed reply does.
	tracker.HandleResult(now, resultFrom("c2", now, 100*time.Millisecond, nil), testInForce)
	if view := tracker.View(); view.LeaderAddress != "" {
		t.Errorf("an indirect report made %q the leader", view.LeaderAddress)
	}
	if turned = tracker.HandleResult(now, resultFrom("l1", now, 50*time.Millisecond, nil), testInForce); turned == nil || turned.Stale || tracker.View().LeaderAddress != "l1" {
		t.Errorf("turned %+v, leader %q", turned, tracker.View().LeaderAddress)
	}
}

func TestStaleRelayIsNotChosen(t *testing.T) {
	tracker, now := newTestTracker()
	tracker.HandleResult(now, resultFrom("l1", now, 0, nil), testInForce)
	relay := tracker.memberList.secondLink(now, "l1", tracker.memberList.controlAddresses(now))
	other := map[string]string{"c2": "c3", "c3": "c2"}[relay]
	tracker.HandleResult(now, resultFrom(relay, now, 0, nil), testInForce)
	if next := tracker.memberList.secondLink(now, "l1", tracker.memberList.controlAddresses(now)); next != relay {
		t.Errorf("a confirmed relay is kept, not %q for %q", next, relay)
	}
	tracker.HandleResult(now, resultFrom(relay, now, StaleAfter, nil), testInForce)
	if next := tracker.memberList.secondLink(now, "l1", tracker.memberList.controlAddresses(now)); next != other {
		t.Errorf("%q is stale, and %q is linked to", relay, next)
	}
}

// A starting daemon catches up neither by a source that was never confirmed, nor by one confirmed too long ago, nor before
// the group enlisted it, nor by one that announces newer versions than are in force here.
func TestNewDaemonCatchesUpOnlyFromAConfirmedSource(t *testing.T) {
	for name, c := range map[string]struct {
		before   time.Duration
		enlisted time.Duration
		force    InForce
		change   func(*peerapi.PullReply)
		caughtUp bool
	}{
		"confirmed":                {before: 100 * time.Millisecond, enlisted: time.Second, force: testInForce, caughtUp: true},
		"by a relay":               {before: 600 * time.Millisecond, enlisted: time.Second, force: testInForce, change: func(r *peerapi.PullReply) { r.IsLeader = false }, caughtUp: true},
		"too old":                  {before: StaleAfter, enlisted: 5 * time.Second, force: testInForce},
		"before the enlisting":     {before: 500 * time.Millisecond, enlisted: 400 * time.Millisecond, force: testInForce},
		"never confirmed":          {enlisted: time.Second, force: testInForce, change: func(r *peerapi.PullReply) { r.Confirmation = &peerapi.Confirmation{} }},
		"announces more":           {before: 100 * time.Millisecond, enlisted: time.Second, force: InForce{Configuration: 6}},
		"not enlisted":             {before: 100 * time.Millisecond, force: testInForce},
		"leader of an older build": {enlisted: time.Second, force: testInForce, change: func(r *peerapi.PullReply) { r.Confirmation = nil }, caughtUp: true},
		"relay of an older build":  {enlisted: time.Second, force: testInForce, change: func(r *peerapi.PullReply) { r.Confirmation, r.IsLeader = nil, false }},
	} {
		tracker, now := newTestTracker()
		tracker.HandleResult(now, resultFrom("l1", now, c.before, c.change), c.force)
		own := LocalState{InForce: c.force}
		if c.enlisted > 0 {
			own.EnlistedAt = now - clock.Mark(c.enlisted)
		}
		if view := tracker.Refresh(now, own); view.CaughtUp != c.caughtUp {
			t.Errorf("%s: caught up %t", name, view.CaughtUp)
		}
	}
}

// A control daemon that learns the newest configuration only from a routing daemon is not in contact with the group.
func TestControlDaemonIsConfirmedOnlyWithinTheGroup(t *testing.T) {
	for _, control := range []bool{true, false} {
		edge, now := newTestTracker()
		tracker := NewTracker(now-clock.Mark(time.Second), "c9#1", "c9", control)
		tracker.memberList, edge.memberList.servesControl = edge.memberList, control
		tracker.memberList.RecordPull(now, MemberRecord{Member: Member{NodeID: "r1#1", Address: "r1", Roles: []string{"route"}}, Version: 1, HasAttributes: true}, 0)
		tracker.HandleResult(now, resultFrom("r1", now, 0, nil), testInForce)
		if got := tracker.memberList.ConfirmedAt() > 0; got == control {
			t.Errorf("control %t: confirmed by a routing daemon: %t", control, got)
		}
		tracker.HandleResult(now, resultFrom("c2", now, 0, nil), testInForce)
		if tracker.memberList.ConfirmedAt() == 0 {
			t.Errorf("control %t: not confirmed by a control daemon", control)
		}
	}
}

// If all sources are stale, the members that one of them remembers are linked to as well.
func TestStaleSourceNamesTheOtherMembers(t *testing.T) {
	tracker, now := newTestTracker()
	tracker.HandleResult(now, resultFrom("c2", now, 3*time.Second, func(r *peerapi.PullReply) { r.MemberAddresses = []string{"c7", "c8"} }), testInForce)
	if links := tracker.Links(now); !slices.Contains(links, "c7") || !slices.Contains(links, "c8") {
		t.Errorf("linked only to %q", links)
	}
	tracker.HandleResult(now, resultFrom("l1", now, 0, nil), testInForce)
	if links := tracker.Links(now); slices.Contains(links, "c7") {
		t.Errorf("confirmed, it asks %q", links)
	}
}

// A former leader must not redirect callers to itself for ever.
func TestFormerLeaderStopsNamingItself(t *testing.T) {
	tracker, now := newTestTracker()
	tracker.Refresh(now, LocalState{InForce: testInForce, IsLeader: true, ConfirmedAt: now})
	if tracker.View().LeaderAddress != "edge" {
		t.Fatal(tracker.View().LeaderAddress)
	}
	if view := tracker.Refresh(now, LocalState{InForce: testInForce}); view.LeaderAddress != "" {
		t.Errorf("the leader is %q", view.LeaderAddress)
	}
	tracker.HandleResult(now, resultFrom("l1", now, 0, nil), testInForce)
	tracker.HandleResult(now, PullResult{PullTarget: PullTarget{Address: "l1", Linked: true}, SentAt: now, ReceivedAt: now, Err: errors.New("silence")}, testInForce)
	if view := tracker.View(); view.LeaderAddress != "" || view.UnreachableTerm != 3 {
		t.Errorf("%+v", view)
	}
}

// That no bundle was ever in force is accepted only from a leader that was confirmed since this daemon started.
func TestStaleLeaderCannotReportThatNothingWasRolledOut(t *testing.T) {
	for before, wanted := range map[time.Duration]bool{100 * time.Millisecond: true, 1100 * time.Millisecond: false} {
		tracker, now := newTestTracker()
		tracker.HandleResult(now, resultFrom("l1", now, before, func(r *peerapi.PullReply) { r.FirstRolloutMsAgo = -1 }), testInForce)
		if view := tracker.Refresh(now, LocalState{InForce: testInForce}); view.PredatesFirstRollout != wanted {
			t.Errorf("confirmed %v ago: %t", before, view.PredatesFirstRollout)
		}
	}
}

package daemon

import (
	"testing"
	"time"
)

// TestDrainNoticeEndsWithinThePlatformsGracePeriod: a platform that checks readiness once a second has noticed by
// then, and what was sent later than three seconds after the signal must be answered completely, however long its
// engine takes.
func TestDrainNoticeEndsWithinThePlatformsGracePeriod(t *testing.T) {
	const askedEvery, excusedUntil, onTheWay = time.Second, 3 * time.Second, 200 * time.Millisecond
	if least := unreadyAnswersNeeded*askedEvery + connectionInTransit; maxDrainNotice < least {
		t.Errorf("connections are taken for %v only, and are handed over for %v", maxDrainNotice, least)
	}
	if maxDrainNotice+onTheWay > excusedUntil {
		t.Errorf("connections are taken for %v, and what comes after %v is not excused", maxDrainNotice, excusedUntil)
	}
}

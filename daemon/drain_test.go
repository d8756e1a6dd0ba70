package daemon

import (
	"testing"
	"time"
)

// TestDrainNoticeEndsWithinThePlatformsGracePeriod: a platform that checks readiness once a second has noticed by
// then, and what was sent later than three seconds after the signal must be answered completely, however long its
// engine takes.
func TestDrainNoticeEndsWithinThePlatformsGracePeriod(t *testing.T) {
	const checkEvery, graceEnd, inTransit = time.Second, 3 * time.Second, 200 * time.Millisecond
	if least := unreadyAnswersNeeded*checkEvery + connectionInTransit; maxDrainNotice < least {
		t.Errorf("connections are accepted for %v only, and assigned for %v", maxDrainNotice, least)
	}
	if maxDrainNotice+inTransit > graceEnd {
		t.Errorf("connections are accepted for %v, and must not be after %v", maxDrainNotice, graceEnd)
	}
}

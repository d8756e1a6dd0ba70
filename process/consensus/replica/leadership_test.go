package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// confirmationWatch observes the simulated group all the time: what a leader reports as confirmed must lie before
// anyone was elected in a later term.
type confirmationWatch struct {
	*simulation
	// electedAt is when each term's leader was elected.
	electedAt map[raft.Term]clock.Mark
	// byReceipt injects a defect: a reply counts for the moment at which it was received.
	byReceipt bool
	looked    int
}

func (w *confirmationWatch) look() {
	for _, n := range w.nodes {
		if !n.up || n.core == nil || w.now < n.frozenUntil {
			continue
		}
		term := n.core.raft.Term()
		if n.core.raft.Role() != raft.Leader {
			continue
		}
		if _, known := w.electedAt[term]; !known {
			w.electedAt[term] = w.now
		}
		confirmed := n.core.ConfirmedUntil()
		if w.byReceipt && confirmed > 0 {
			confirmed = w.now
		}
		if confirmed == 0 {
			continue
		}
		w.looked++
		if confirmed > w.now {
			w.reportViolation("member %d is confirmed in the future", n.id)
		}
		for later, at := range w.electedAt {
			if later > term && at < confirmed {
				w.reportViolation("member %d was confirmed in term %d up to %v, and term %d had a leader at %v", n.id, term, time.Duration(confirmed), later, time.Duration(at))
			}
		}
	}
	w.schedule(3*time.Millisecond, w.look)
}

func watchConfirmations(t *testing.T, seed uint64, size int, byReceipt bool) *confirmationWatch {
	w := &confirmationWatch{simulation: newSimulation(t, seed, size, noDefect), electedAt: map[raft.Term]clock.Mark{}, byReceipt: byReceipt}
	w.look()
	w.runHistory(40 * time.Second)
	return w
}

// Nobody is elected in a later term before the moment up to which a leader is confirmed, through crashes, suspensions,
// partitions, stalled disks and messages that are delayed or duplicated.
func TestConfirmedLeadershipPrecedesEveryLaterElection(t *testing.T) {
	looked := 0
	for seed := range uint64(24) {
		watch := watchConfirmations(t, seed, []int{3, 5, 3, 1}[seed%4], false)
		for _, violation := range watch.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		looked += watch.looked
	}
	t.Logf("seeds 0 to 23: %d looks at a leader's confirmation", looked)
	if looked == 0 {
		t.Error("nothing was looked at")
	}
}

// A leader steps down one election time-out after its last contact, so the defect shows only where its replies lay in
// buffers meanwhile; seed 64 is the first.
func TestConfirmationCheckerCatchesConfirmationByReceiptTime(t *testing.T) {
	for seed := range uint64(400) {
		if watch := watchConfirmations(t, seed, 3, true); len(watch.violations) > 0 {
			t.Logf("seed %d: %s", seed, watch.violations[0])
			return
		}
	}
	t.Error("no seed caught it")
}

package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// confirmationWatch looks at every step of the simulated group: what a leader says is confirmed must lie before
// anyone was elected in a later term.
type confirmationWatch struct {
	*sim
	// electedAt is when each term's leader came to lead.
	electedAt map[raft.Term]clock.Mark
	// byReceipt breaks the rule on purpose: a reply vouches for the moment at which it was taken.
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
			w.fault("member %d is confirmed in the future", n.id)
		}
		for later, at := range w.electedAt {
			if later > term && at < confirmed {
				w.fault("member %d was confirmed in term %d up to %v, and term %d had a leader at %v", n.id, term, time.Duration(confirmed), later, time.Duration(at))
			}
		}
	}
	w.after(3*time.Millisecond, w.look)
}

func watchConfirmations(t *testing.T, seed uint64, size int, byReceipt bool) *confirmationWatch {
	w := &confirmationWatch{sim: newSim(t, seed, size, sound), electedAt: map[raft.Term]clock.Mark{}, byReceipt: byReceipt}
	w.look()
	w.run(40 * time.Second)
	return w
}

// What a leader takes for confirmed is so: nobody was elected after it before that moment, through crashes, freezes,
// cuts of each way, stalled disks and messages that come late or twice.
func TestAConfirmationIsNeverTooYoung(t *testing.T) {
	looked := 0
	for seed := range uint64(24) {
		w := watchConfirmations(t, seed, []int{3, 5, 3, 1}[seed%4], false)
		for _, violation := range w.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		looked += w.looked
	}
	t.Logf("seeds 0 to 23: %d looks at a leader's confirmation", looked)
	if looked == 0 {
		t.Error("nothing was looked at")
	}
}

func TestTheConfirmationCheckerBites(t *testing.T) {
	for seed := range uint64(40) {
		if w := watchConfirmations(t, seed, 3, true); len(w.violations) > 0 {
			t.Logf("seed %d: %s", seed, w.violations[0])
			return
		}
	}
	t.Error("no seed caught it")
}

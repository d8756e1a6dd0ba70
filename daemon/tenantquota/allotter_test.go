package tenantquota

import (
	"errors"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/quota"
)

// allotOne asks for tokens of one tenant, and gives the number allotted.
func allotOne(allotter *Allotter, leadership Leadership, sequence uint64, waiting int, now clock.Mark) (int, error) {
	request := quota.Request{Daemon: "edge#1", Sequence: sequence, Claims: []quota.Claim{{Tenant: "acme", Waiting: waiting}}}
	reply, err := allotter.Allot(leadership, request, func(string) (quota.Limit, bool) { return limit, true }, now)
	if err != nil {
		return 0, err
	}
	return reply.Allotments[0].Count, nil
}

// Guards against buckets that start anew each time a call which was let in under an earlier term is handled late.
func TestCallOfEarlierTermIsRefusedAndLeavesBuckets(t *testing.T) {
	const now = clock.Mark(100 * time.Second)
	allotter := NewAllotter(settings, discarded())
	allotter.Lead(Leadership{Term: 7}, now)
	first, err := allotOne(allotter, Leadership{Term: 7}, 1, 1000, now)
	if err != nil || first == 0 {
		t.Fatalf("%d tokens, %v", first, err)
	}
	if _, err := allotOne(allotter, Leadership{Term: 5}, 2, 1000, now); !errors.Is(err, quota.ErrNotLeading) {
		t.Errorf("a call of an earlier term ends with %v", err)
	}
	if again, err := allotOne(allotter, Leadership{Term: 7}, 3, 1000, now); err != nil || again > 0 {
		t.Errorf("%d tokens from a bucket that was empty, %v", again, err)
	}
}

// Guards against time that goes backwards in the allocator, where calls overtake each other between reading the clock and
// being handled.
func TestCallsThatOvertakeEachOtherAccrueOnce(t *testing.T) {
	const now = clock.Mark(100 * time.Second)
	allotter, leadership := NewAllotter(settings, discarded()), Leadership{Term: 1, First: true}
	total := 0
	for i, at := range []clock.Mark{now, now + clock.Mark(time.Second), now, now + clock.Mark(time.Second)} {
		count, err := allotOne(allotter, leadership, uint64(i+1), 1000, at)
		if err != nil {
			t.Fatal(err)
		}
		total += count
	}
	if most := int(limit.Burst+limit.RatePerSecond) + 5; total > most {
		t.Errorf("%d tokens in a second, of %d at most", total, most)
	}
}

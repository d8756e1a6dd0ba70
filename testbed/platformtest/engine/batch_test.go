package engine

import (
	"net/http"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

func pace() Pace {
	return Pace{Slots: 2, Waiting: 1, Memory: 100, StepTime: time.Millisecond, PerRequest: time.Millisecond, PrefillPerMs: 10, PrefillAtOnce: 20, Stride: 2}
}

func job(number uint64, in, out int, parts ...protocol.Part) *Job {
	return &Job{Number: number, Urgency: 5, Prompt: protocol.Prompt{Model: "m", TokensIn: in, TokensOut: out, Parts: parts}}
}

// through runs a batch until it idles and gives the events of each job, the time it took, and how often one was put back.
func through(t *testing.T, b *Batch) (events map[uint64][]int, took time.Duration, back int) {
	t.Helper()
	events = map[uint64][]int{}
	for steps := 0; ; steps++ {
		if steps > 10000 {
			t.Fatal("the batch never ends")
		}
		step, _ := b.Begin(clock.Mark(took))
		if step == 0 {
			return events, took, back
		}
		took += step
		for _, sign := range b.End(clock.Mark(took)) {
			if sign.Preempted {
				back++
			}
			if sign.Event > 0 {
				events[sign.Job.Number] = append(events[sign.Job.Number], sign.Event)
			}
		}
		if _, all := b.Memory(); all > b.pace.Memory {
			t.Fatalf("%d tokens of memory are used of %d", all, b.pace.Memory)
		}
	}
}

func TestABatchSlowsWithLoadAndPrefillsInChunks(t *testing.T) {
	b := NewBatch(pace())
	b.Submit(job(1, 30, 4))
	events, alone, _ := through(t, b)
	if len(events[1]) != 2 || alone != 5*2*time.Millisecond+3*time.Millisecond {
		t.Fatal(events, alone)
	}
	b.Submit(job(2, 30, 4))
	b.Submit(job(3, 30, 4))
	if _, both, _ := through(t, b); both <= alone || both >= 2*alone {
		t.Fatal(alone, both)
	}
}

func TestCachedPartsAreNotPrefilledAgainAndEvictedByLeastRecentUse(t *testing.T) {
	b := NewBatch(pace())
	shared := protocol.Part{ID: "aa", Tokens: 20}
	first := job(1, 30, 2, shared, protocol.Part{ID: "b1", Tokens: 10})
	b.Submit(first)
	through(t, b)
	second := job(2, 30, 2, shared, protocol.Part{ID: "b2", Tokens: 10})
	b.Submit(second)
	through(t, b)
	if first.PrefilledTokens != 30 || second.PrefilledTokens != 10 || second.CachedTokens != 20 {
		t.Fatal(first.PrefilledTokens, second.PrefilledTokens, second.CachedTokens)
	}
	// A part behind one that is not kept is read again.
	third := job(3, 30, 2, protocol.Part{ID: "cc", Tokens: 20}, protocol.Part{ID: "b2", Tokens: 10})
	b.Submit(third)
	through(t, b)
	if third.PrefilledTokens != 30 {
		t.Fatal(third.PrefilledTokens)
	}
	// Another adapter shares nothing.
	other := job(4, 30, 2, shared)
	other.Prompt.Adapter = "a1"
	b.Submit(other)
	through(t, b)
	if other.PrefilledTokens != 30 {
		t.Fatal(other.PrefilledTokens)
	}
	big := job(5, 90, 2)
	b.Submit(big)
	through(t, b)
	again := job(6, 30, 2, shared)
	b.Submit(again)
	through(t, b)
	if again.PrefilledTokens != 30 {
		t.Fatal("a part was kept that had to give way")
	}
}

func TestTheNewestOfTheLeastUrgentIsPreemptedWhenMemoryRunsOut(t *testing.T) {
	b := NewBatch(pace())
	early, urgent := job(1, 40, 30), job(2, 40, 30)
	urgent.Urgency = 0
	b.Submit(early)
	b.Submit(urgent)
	events, _, back := through(t, b)
	if back == 0 || len(events[1]) != 15 || len(events[2]) != 15 {
		t.Fatal(back, events)
	}
	if early.PrefilledTokens <= 40 || urgent.PrefilledTokens != 40 {
		t.Fatal("the wrong one was put back", early.PrefilledTokens, urgent.PrefilledTokens)
	}
	for number, list := range events {
		for i, id := range list {
			if id != i+1 {
				t.Fatal("events of", number, list)
			}
		}
	}
}

func TestABatchRejectsOversizeAndOverflowAndResumesAfterAnEvent(t *testing.T) {
	b := NewBatch(pace())
	if b.Submit(job(1, 90, 20)) {
		t.Fatal("a request larger than the memory was taken")
	}
	taken := 0
	for n := range 5 {
		if b.Submit(job(uint64(n), 10, 4)) {
			taken++
		}
	}
	if taken != 3 {
		t.Fatal(taken)
	}
	through(t, b)
	resumed := job(9, 10, 8)
	resumed.From = 2
	b.Submit(resumed)
	if events, _, _ := through(t, b); len(events[9]) != 2 || events[9][0] != 3 || events[9][1] != 4 {
		t.Fatal(events)
	}
	late := job(10, 10, 4)
	late.Deadline = 5
	b.Submit(late)
	if _, progress := b.Begin(6); len(progress) != 1 || !progress[0].Expired || late.Began() {
		t.Fatal(progress)
	}
}

func smallCapacity() Capacity {
	return Capacity{Catalogue: protocol.EngineID{WeightsMb: 100, AdapterCapacity: 1, Models: []protocol.CatalogModel{
		{Label: "m", WeightsMb: 60, LoadTimeS: 2, Adapters: 3, AdapterSizeMb: 5}, {Label: "n", WeightsMb: 60, LoadTimeS: 1}, {Label: "o", WeightsMb: 30, LoadTimeS: 1}}},
		DiskShare: 0.5, AdapterTime: time.Millisecond, FenceChecked: true}
}

func TestOrdersAreAcceptedOneAtATimeWithTheDocumentedStatus(t *testing.T) {
	fence := func(n uint64) *uint64 { return &n }
	h := NewHoldings(smallCapacity(), nil, map[string]bool{})
	order := func(operation, model, adapter string) protocol.Order {
		return protocol.Order{Operation: operation, Model: model, Adapter: adapter, Owner: "o", Fence: fence(5)}
	}
	stale, unowned, unexpected := order(protocol.Load, "m", ""), order(protocol.Load, "m", ""), order(protocol.Load, "m", "")
	stale.Fence, unowned.Owner, unexpected.Expected = fence(4), "", fence(7)
	for _, step := range []struct {
		what   string
		order  protocol.Order
		status int
		over   bool
		store  bool
		takes  time.Duration
	}{
		{"no owner", unowned, http.StatusBadRequest, false, false, 0},
		{"no such order", order("grow", "m", ""), http.StatusBadRequest, false, false, 0},
		{"no such model", order(protocol.Load, "x", ""), http.StatusBadRequest, false, false, 0},
		{"an adapter without its model", order(protocol.Load, "m", "a1"), http.StatusMisdirectedRequest, false, false, 0},
		{"another call-seq", unexpected, http.StatusConflict, false, false, 0},
		{"a load", order(protocol.Load, "m", ""), http.StatusAccepted, false, true, 2 * time.Second},
		{"a lower fence", stale, http.StatusPreconditionFailed, false, false, 0},
		{"held already", order(protocol.Load, "m", ""), http.StatusOK, false, false, 0},
		{"an adapter", order(protocol.Load, "m", "a1"), http.StatusAccepted, false, false, time.Millisecond},
		{"no such adapter", order(protocol.Load, "m", "a4"), http.StatusBadRequest, false, false, 0},
		{"an eviction", order(protocol.Evict, "m", ""), http.StatusAccepted, false, false, 0},
		{"from its own disk", order(protocol.Load, "m", ""), http.StatusAccepted, false, false, time.Second},
		{"over the room", order(protocol.Load, "n", ""), http.StatusAccepted, true, true, time.Second},
	} {
		got := h.Take(step.order)
		if got.Status != step.status || got.OverCapacity != step.over || got.FromStore != step.store || got.Duration != step.takes {
			t.Errorf("%s: %+v", step.what, got)
		}
		if got.Status == http.StatusAccepted {
			if again := h.Take(order(protocol.Load, "o", "")); again.Status != http.StatusConflict {
				t.Errorf("%s: another order beside it got %d", step.what, again.Status)
			}
			h.Finish(1)
		}
	}
	if h.callSeq != 5 {
		t.Error("orders taken:", h.callSeq)
	}
}

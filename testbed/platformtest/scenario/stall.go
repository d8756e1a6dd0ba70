package scenario

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// The testbed's own machine may stall: other work takes its disk or its processors. What the rules excuse for a
// disrupted machine they excuse for that too, so stalls are measured and recorded, and the report gives their length.
const (
	stallCheckInterval = 50 * ms
	// maxSync is the longest that a synced write takes on an undisturbed machine, maxTimerDelay the most that a
	// timer is late.
	maxSync       = 250 * ms
	maxTimerDelay = 250 * ms
)

// watchTestbed measures disk and processors until ctx ends.
func (r *Run) watchTestbed(ctx context.Context) {
	for _, look := range []func() (at clock.Mark, over bool){r.diskStalled, r.timerStalled} {
		r.watching.Add(1)
		go func() {
			defer r.watching.Done()
			for ctx.Err() == nil {
				if at, over := look(); over {
					until := r.Recorder.Now()
					r.Recorder.Record(func(h *history.History) {
						h.Disruptions = append(h.Disruptions, &history.Disruption{From: at, Until: until, Kind: history.TestbedStall, Core: true})
					})
				}
				r.pause(ctx, stallCheckInterval)
			}
		}()
	}
}

// diskStalled writes and syncs a little where the core machines' disks are, and says whether that took too long.
func (r *Run) diskStalled() (clock.Mark, bool) {
	at := r.Recorder.Now()
	file, err := os.Create(filepath.Join(r.Folder, "look"))
	if err != nil {
		return at, true
	}
	defer file.Close()
	if _, err := file.WriteString("is the disk well?"); err != nil {
		return at, true
	}
	return at, file.Sync() != nil || r.Recorder.Now().Since(at) > maxSync
}

// timerStalled says whether a timer is too late.
func (r *Run) timerStalled() (clock.Mark, bool) {
	at := r.Recorder.Now()
	r.pause(context.Background(), stallCheckInterval)
	return at, r.Recorder.Now().Since(at) > stallCheckInterval+maxTimerDelay
}

// Stalled is how long the testbed's own machine was stalled, overlapping spans counted once.
func Stalled(h *history.History) (total time.Duration) {
	end := clock.Mark(0)
	for _, trouble := range h.Disruptions {
		if trouble.Kind != history.TestbedStall {
			continue
		}
		if from := max(trouble.From, end); trouble.Until > from {
			total += trouble.Until.Since(from)
			end = trouble.Until
		}
	}
	return total
}

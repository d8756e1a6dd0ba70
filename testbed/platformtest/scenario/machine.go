package scenario

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// The rehearsal's own machine may stall: other work takes its disk or its processors. What the rules say of a
// machine in trouble holds for that too, so it is measured and noted, and the report tells how long it was.
const (
	stallCheckInterval = 50 * ms
	// mostSync is the longest that a synced write takes on a machine that is well, mostLate the most that a
	// timer is late.
	maxSync       = 250 * ms
	maxTimerDelay = 250 * ms
)

// watchMachine looks at disk and processors until ctx ends.
func (d *Run) watchTestbed(ctx context.Context) {
	for _, look := range []func() (at clock.Mark, over bool){d.diskStalled, d.timerStalled} {
		d.watching.Add(1)
		go func() {
			defer d.watching.Done()
			for ctx.Err() == nil {
				if at, over := look(); over {
					until := d.Recorder.Now()
					d.Recorder.Record(func(h *history.History) {
						h.Disruptions = append(h.Disruptions, &history.Disruption{From: at, Until: until, Kind: history.TestbedStall, Core: true})
					})
				}
				d.pause(ctx, stallCheckInterval)
			}
		}()
	}
}

// lookAtDisk writes and syncs a little where the core machines' disks are.
func (d *Run) diskStalled() (clock.Mark, bool) {
	at := d.Recorder.Now()
	file, err := os.Create(filepath.Join(d.Folder, "look"))
	if err != nil {
		return at, true
	}
	defer file.Close()
	if _, err := file.WriteString("is the disk well?"); err != nil {
		return at, true
	}
	return at, file.Sync() != nil || d.Recorder.Now().Since(at) > maxSync
}

// lookAtProcessors sees how late a timer is.
func (d *Run) timerStalled() (clock.Mark, bool) {
	at := d.Recorder.Now()
	d.pause(context.Background(), stallCheckInterval)
	return at, d.Recorder.Now().Since(at) > stallCheckInterval+maxTimerDelay
}

// Troubled is how long the rehearsal's own machine was in trouble, the spans taken together.
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

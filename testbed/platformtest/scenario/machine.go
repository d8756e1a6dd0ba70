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
	lookAtMachine = 50 * ms
	// mostSync is the longest that a synced write takes on a machine that is well, mostLate the most that a
	// timer is late.
	mostSync = 250 * ms
	mostLate = 250 * ms
)

// watchMachine looks at disk and processors until ctx ends.
func (d *Day) watchMachine(ctx context.Context) {
	for _, look := range []func() (at clock.Mark, over bool){d.lookAtDisk, d.lookAtProcessors} {
		d.watching.Add(1)
		go func() {
			defer d.watching.Done()
			for ctx.Err() == nil {
				if at, over := look(); over {
					until := d.Book.Now()
					d.Book.Note(func(h *history.History) {
						h.Troubles = append(h.Troubles, &history.Trouble{From: at, Until: until, Kind: history.Machine, Core: true})
					})
				}
				d.pause(ctx, lookAtMachine)
			}
		}()
	}
}

// lookAtDisk writes and syncs a little where the core machines' disks are.
func (d *Day) lookAtDisk() (clock.Mark, bool) {
	at := d.Book.Now()
	file, err := os.Create(filepath.Join(d.Folder, "look"))
	if err != nil {
		return at, true
	}
	defer file.Close()
	if _, err := file.WriteString("is the disk well?"); err != nil {
		return at, true
	}
	return at, file.Sync() != nil || d.Book.Now().Since(at) > mostSync
}

// lookAtProcessors sees how late a timer is.
func (d *Day) lookAtProcessors() (clock.Mark, bool) {
	at := d.Book.Now()
	d.pause(context.Background(), lookAtMachine)
	return at, d.Book.Now().Since(at) > lookAtMachine+mostLate
}

// Troubled is how long the rehearsal's own machine was in trouble, the spans taken together.
func Troubled(h *history.History) (whole time.Duration) {
	end := clock.Mark(0)
	for _, trouble := range h.Troubles {
		if trouble.Kind != history.Machine {
			continue
		}
		if from := max(trouble.From, end); trouble.Until > from {
			whole += trouble.Until.Since(from)
			end = trouble.Until
		}
	}
	return whole
}

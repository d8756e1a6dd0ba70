package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

// loadWindow counts the loads from the store within a sliding window.
type loadWindow struct {
	window time.Duration
	// unknownUntil is until when loads may count of which nothing is known: then the window is full.
	unknownUntil clock.Mark
	starts       []loadStart
}

// loadStart is one load that began, or may begin, no later than latest.
type loadStart struct {
	key    uint64
	latest clock.Mark
}

// count is how many loads may have begun within the window that ends now, or later.
func (p *loadWindow) count(now clock.Mark) int {
	kept := p.starts[:0]
	for _, s := range p.starts {
		// One that begins now shares a window with all that began less than its length ago.
		if s.latest > now-clock.Mark(p.window)-1 {
			kept = append(kept, s)
		}
	}
	p.starts = kept
	return len(kept)
}

// free is how many loads may begin now, if most may in one window.
func (p *loadWindow) free(now clock.Mark, most int) int {
	if now < p.unknownUntil {
		return 0
	}
	return most - p.count(now)
}

// freeAfter is after how long one more load may begin.
func (p *loadWindow) freeAfter(now clock.Mark, most int) time.Duration {
	wait := max(0, p.unknownUntil.Since(now))
	over := p.count(now) - most
	if over < 0 {
		return wait
	}
	// They are in the order of their sending, and so nearly in that of their ends.
	return max(wait, p.window-now.Since(p.starts[min(over, len(p.starts)-1)].latest))
}

// begin adds a load that begins no later than latest.
func (p *loadWindow) begin(key uint64, latest clock.Mark) {
	p.starts = append(p.starts, loadStart{key, latest})
}

// began says when a load began at the latest; never says that it did not begin.
func (p *loadWindow) began(key uint64, latest clock.Mark, never bool) {
	for i := range p.starts {
		if p.starts[i].key == key {
			if never {
				p.starts = append(p.starts[:i], p.starts[i+1:]...)
			} else {
				p.starts[i].latest = latest
			}
			return
		}
	}
}

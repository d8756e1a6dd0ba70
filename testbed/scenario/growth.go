package scenario

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
)

// Growth rolls out bundles with more and more routes under load, one of them while a control daemon is frozen.
func (r *Run) Growth(ctx context.Context, scale float64) (map[string]uint64, error) {
	return r.underLoad(ctx, scale, func() error {
		for i, extra := range []int{100, 1000, 5000, 20000} {
			body := r.Fleet.Deployment.Grown(fmt.Sprint("grown-", extra), r.removedRoutes, extra)
			r.Pause(2 * time.Second)
			began := journal.Now()
			if err := r.rollBody(fmt.Sprint("grown-", extra), uint64(i+1), body); err != nil {
				return err
			}
			r.Say("%d more routes, %d bytes: from proposal to acknowledgement %v", extra, len(body), (journal.Now() - began).Round(time.Millisecond))
		}
		leader, err := r.awaitLeader()
		if err != nil {
			return err
		}
		for _, p := range r.cores() {
			if p != leader {
				p.Signal(syscall.SIGSTOP)
				defer p.Signal(syscall.SIGCONT)
				body := r.Fleet.Deployment.Grown("one-frozen", r.removedRoutes, 20001)
				began := journal.Now()
				if err := r.rollBody("one-frozen", 5, body); err != nil {
					return err
				}
				r.Say("with one control daemon frozen: %v", (journal.Now() - began).Round(time.Millisecond))
				r.Pause(time.Second)
				p.Signal(syscall.SIGCONT)
				break
			}
		}
		r.Crash(leader)
		if err := r.Roll("small-again", 6); err != nil {
			return err
		}
		if err := leader.Start(); err != nil {
			return err
		}
		if err := r.awaitAllMembers(); err != nil {
			return err
		}
		r.Pause(3 * time.Second)
		return nil
	})
}

package scale

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// window measures what is spent while something is done.
func (s *step) window(ctx context.Context, phase string, do func() ([]float64, int, error)) error {
	before := s.fleet.open()
	beats, polls, orders := s.engines.Acknowledged.Load(), s.engines.polled.Load(), s.engines.ordered.Load()
	times, missed, err := do()
	if err != nil {
		return err
	}
	after := s.fleet.close()
	leader := s.fleet.leader()
	row := Row{Size: s.size, Phase: phase, Seconds: after.at.Sub(before.at).Seconds(), Kinds: s.fleet.between(before, after, leader), Times: times, Missed: missed}
	row.Beats, row.Polls, row.Orders = float64(s.engines.Acknowledged.Load()-beats)/row.Seconds, float64(s.engines.polled.Load()-polls)/row.Seconds, float64(s.engines.ordered.Load()-orders)/row.Seconds
	s.note(row)
	edge, hollow, lead := row.Kinds[Edge], row.Kinds[Hollow], row.Kinds[Leader]
	s.Say("%-7s %4d engines %5.1f s: edge %.2f %% %.1f MB out %.1f in %.1f KB/s; hollow %.2f %% out %.1f in %.1f; leader %.2f %% %.1f MB out %.1f in %.1f; times %.2f missed %d; beats %.0f polls %.0f orders %.1f /s",
		phase, s.size.Engines, row.Seconds, 100*edge.Cores, edge.Resident, edge.Sent/1000, edge.Received/1000, 100*hollow.Cores, hollow.Sent/1000, hollow.Received/1000,
		100*lead.Cores, lead.Resident, lead.Sent/1000, lead.Received/1000, middle(times), missed, row.Beats, row.Polls, row.Orders)
	return nil
}

// leaves has engines leave one after the other.
func (s *step) leaves(ctx context.Context) (times []float64, missed int, err error) {
	for range s.Leaves {
		if len(s.engines.all) == 0 {
			return nil, 0, nil
		}
		_, took, err := s.engines.leave(ctx)
		if err != nil {
			missed++
		} else {
			times = append(times, took.Seconds())
		}
		if err := s.pause(ctx, 200*time.Millisecond); err != nil {
			return nil, 0, err
		}
	}
	return times, missed, nil
}

// changes rolls bundles one after the other, and gives how long each took to be in force everywhere.
func (s *step) changes(ctx context.Context) (times []float64, missed int, err error) {
	for range s.Changes {
		took, all, err := s.roll(ctx, 15*time.Second)
		if err != nil {
			return nil, 0, err
		}
		if all {
			times = append(times, took.Seconds())
		} else {
			missed++
		}
		if err := s.pause(ctx, time.Second); err != nil {
			return nil, 0, err
		}
	}
	return times, missed, nil
}

// roll puts a new bundle in force in one step; took is until the last daemon had it in force, by the daemons'
// own steps, which one clock stamps.
func (s *step) roll(ctx context.Context, limit time.Duration) (took time.Duration, all bool, err error) {
	s.revision++
	path, head, raw := fmt.Sprintf("%s?operator=ana&base=%d", operatorapi.PathBundle, s.revision-1), map[string]string(nil), bundle(s.size, s.revision)
	if s.Deployed {
		path, head, raw = protocol.PathConfig, map[string]string{"If-Match": fmt.Sprint(s.revision - 1)}, configuration(s.size, s.revision)
	}
	var last error
	// An order whose answer was lost is sent again unchanged; it finds itself.
	began := time.Now()
	taken, err := s.await(ctx, 20*time.Second, 200*time.Millisecond, func() bool {
		status, err := s.fleet.call(http.MethodPut, path, head, raw)
		last = err
		return err == nil && (status == http.StatusOK || status == http.StatusAccepted)
	})
	if err != nil {
		return 0, false, err
	}
	if !taken {
		return 0, false, s.cut("a bundle was not taken: %v", last)
	}
	lastMs := int64(0)
	all, err = s.await(ctx, limit, 250*time.Millisecond, func() bool {
		var trace operatorapi.Trace
		if _, err := s.fleet.get(s.fleet.members[0], fmt.Sprintf("%s?change=spec:%d", operatorapi.PathTrace, s.revision), &trace); err != nil {
			return false
		}
		have := 0
		for _, row := range trace.Rows {
			if row.InForceMs > 0 {
				have++
				lastMs = max(lastMs, row.InForceMs)
			}
		}
		return have >= s.fleet.started
	})
	return time.UnixMilli(lastMs).Sub(began), all, err
}

// restarts stops hollow daemons and starts them again, and gives how long each took to be ready.
func (s *step) restarts(ctx context.Context) (times []float64, missed int, err error) {
	f := s.fleet
	at := len(f.members) - 1
	for range s.Restarts {
		m := f.members[at]
		if !m.process.host {
			break
		}
		at--
		if err := m.process.restart(m, 10*time.Second); err != nil {
			missed++
			continue
		}
		began := time.Now()
		ok, err := s.await(ctx, 15*time.Second, 50*time.Millisecond, func() bool {
			status, err := f.get(m, operatorapi.PathReady, nil)
			return err == nil && status == http.StatusOK
		})
		if err != nil {
			return nil, 0, err
		}
		if ok {
			times = append(times, time.Since(began).Seconds())
		} else {
			missed++
		}
	}
	return times, missed, nil
}

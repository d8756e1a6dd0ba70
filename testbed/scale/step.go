package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// step is one size that is being played.
type step struct {
	Options
	size    Size
	fleet   *fleet
	engines *hollowEngines
	note    func(Row)
	reason  atomic.Pointer[string]
	// revision numbers the bundles.
	revision uint64
}

func (s *step) why() string {
	if reason := s.reason.Load(); reason != nil {
		return *reason
	}
	return "interrupted"
}

func (s *step) cut(format string, args ...any) error {
	why := fmt.Sprintf(format, args...)
	s.reason.CompareAndSwap(nil, &why)
	return errCut
}

func (s *step) play(outer context.Context, number int) error {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	folder := filepath.Join(s.Folder, fmt.Sprintf("step-%d", number))
	// Daemons that remember an earlier run's group would wait for it.
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	var err error
	if s.fleet, err = layFleet(s.size, folder, s.Options, 1+(os.Getpid()*7+number)%120); err != nil {
		return err
	}
	defer s.fleet.stop()
	began := time.Now()
	if err := s.fleet.start(false, 0, nil); err != nil {
		return err
	}
	go s.watch(ctx, cancel)
	err = s.phases(ctx, began)
	if s.reason.Load() != nil {
		s.note(Row{Size: s.size, Phase: PhaseRest, Cut: s.why()})
		return errCut
	}
	return err
}

// watch cuts the step short where it keeps the machine too busy, or where a process has ended.
func (s *step) watch(ctx context.Context, cancel func()) {
	const span, every = 4, time.Second
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	type sample struct {
		at    time.Time
		total float64
	}
	var samples []sample
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if dead := s.fleet.dead(); dead != "" {
			_ = s.cut("ended of itself: %s", dead)
			cancel()
			return
		}
		samples = append(samples, sample{time.Now(), s.fleet.total()})
		if len(samples) <= span {
			continue
		}
		first, last := samples[0], samples[len(samples)-1]
		samples = samples[1:]
		if busy := (last.total - first.total) / last.at.Sub(first.at).Seconds(); busy > s.Limits.Cores {
			_ = s.cut("it kept %.1f cores busy over %d s, and %.1f may be", busy, span, s.Limits.Cores)
			cancel()
			return
		}
	}
}

// pause waits, unless the step is over.
func (s *step) pause(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return s.cut("interrupted")
	}
}

// await waits until something holds; it gives false when it did not within the limit.
func (s *step) await(ctx context.Context, limit, every time.Duration, holds func() bool) (bool, error) {
	for until := time.Now().Add(limit); !holds(); {
		if time.Now().After(until) {
			return false, nil
		}
		if err := s.pause(ctx, every); err != nil {
			return false, err
		}
	}
	return true, nil
}

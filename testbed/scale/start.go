package scale

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cresspond/cresspond/wire/operatorapi"
)

// settleFor is how long a fleet is left alone after it has grown: what is new goes on being announced from daemon
// to daemon for a while after all know it.
const settleFor = 10 * time.Second

// readyWithin is how long all daemons may take to be ready: on a busy machine a large fleet needs longer to start.
func (s *step) readyWithin() time.Duration {
	return time.Minute + time.Duration(s.size.Daemons)*300*time.Millisecond
}

// phases starts the fleet, measures it at rest with each number of engines, and then under leaves, changes and restarts.
func (s *step) phases(ctx context.Context, began time.Time) error {
	if err := s.startDaemons(ctx, began); err != nil {
		return err
	}
	s.engines = &hollowEngines{beat: s.Beat, models: s.size.Models, deployed: s.Deployed, moves: s.LoadMoves}
	for _, m := range s.fleet.members[:s.size.Core] {
		s.engines.control = append(s.engines.control, m.control)
	}
	defer s.engines.stop()
	living, stop := context.WithCancel(context.Background())
	defer stop()
	for _, count := range s.Engines {
		if err := s.measureAtRest(ctx, living, count); err != nil {
			return err
		}
	}
	for _, phase := range []struct {
		name  string
		count int
		do    func(context.Context) ([]float64, int, error)
	}{
		{PhaseLeave, min(s.Leaves, len(s.engines.all)), s.leaves},
		{PhaseChange, s.Changes, s.changes},
		{PhaseRestart, s.Restarts, s.restarts},
	} {
		if phase.count == 0 {
			continue
		}
		if err := s.window(ctx, phase.name, func() ([]float64, int, error) { return phase.do(ctx) }); err != nil {
			return err
		}
	}
	return nil
}

const (
	// leaderWithin is how long a group may take to elect its first leader.
	leaderWithin = 30 * time.Second
	// firstBundleWithin is how long the first bundle may take to be in force.
	firstBundleWithin = 20 * time.Second
	// enginesKnownWithin is how long engines that have come may take to be known everywhere.
	enginesKnownWithin = 30 * time.Second
)

// startDaemons waits for a leader, puts a bundle in force, starts the hollow daemons and waits until all are ready.
func (s *step) startDaemons(ctx context.Context, began time.Time) error {
	f := s.fleet
	if ok, err := s.await(ctx, leaderWithin, 200*time.Millisecond, func() bool { return f.leader() != nil }); err != nil {
		return err
	} else if !ok {
		return s.cut("no leader within %s", leaderWithin)
	}
	led := time.Since(began)
	took, _, err := s.roll(ctx, firstBundleWithin)
	if err != nil {
		return err
	}
	// The others come to a fleet that has a bundle in force: before that all ask without rest.
	if err := f.start(true, s.StartPace, func(span time.Duration) error { return s.pause(ctx, span) }); err != nil {
		return err
	}
	started := time.Since(began)
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	ready := time.Since(began) - started
	s.note(Row{Size: s.size, Phase: PhaseStart, Times: []float64{led.Seconds(), took.Seconds(), ready.Seconds()}})
	s.Say("a leader after %.1f s, a bundle in force %.1f s later, all ready %.1f s after the last was started", led.Seconds(), took.Seconds(), ready.Seconds())
	return nil
}

// awaitReady waits until every daemon has been ready once.
func (s *step) awaitReady(ctx context.Context) error {
	f := s.fleet
	ready := make([]bool, len(f.members))
	allReady := func() bool {
		f.forAll(func(at int, m *member) {
			if !ready[at] {
				status, err := f.get(m, operatorapi.PathReady, nil)
				ready[at] = err == nil && status == http.StatusOK
			}
		})
		return !slices.Contains(ready, false)
	}
	ok, err := s.await(ctx, s.readyWithin(), 500*time.Millisecond, allReady)
	switch at := slices.Index(ready, false); {
	case err != nil:
		return err
	case ok:
		return nil
	case at < 0:
		return s.cut("not all daemons were ready within %s", s.readyWithin())
	default:
		return s.cutNotReady(f.members[at])
	}
}

// cutNotReady cuts the step short and says what a daemon that is not ready says of itself.
func (s *step) cutNotReady(m *member) error {
	var why string
	_, err := s.fleet.get(m, operatorapi.PathReady, &why)
	var status operatorapi.Status
	_, _ = s.fleet.get(m, operatorapi.PathStatus, &status)
	return s.cut("not all daemons were ready within %s; %s at %s says %q, %v; it takes %q for the leader, knows %d others, has a worker id: %t, and epoch %d in force",
		s.readyWithin(), m.name, m.address, why, err, status.Leader, len(status.Peers), status.WorkerID != nil, status.ConfigurationVersion)
}

// measureAtRest brings the fleet to a number of engines, lets it settle and measures it.
func (s *step) measureAtRest(ctx, living context.Context, engines int) error {
	s.size.Engines = engines
	if err := s.engines.grow(living, engines, s.size.Zones, s.fleet.addresses); err != nil {
		return err
	}
	if ok, err := s.await(ctx, enginesKnownWithin, 500*time.Millisecond, func() bool { return s.known(engines) }); err != nil {
		return err
	} else if !ok {
		return s.cut("not all of %d engines were known everywhere within %s", engines, enginesKnownWithin)
	}
	if err := s.pause(ctx, settleFor); err != nil {
		return err
	}
	for range s.Windows {
		if err := s.window(ctx, PhaseRest, func() ([]float64, int, error) { return nil, 0, s.pause(ctx, s.Window) }); err != nil {
			return err
		}
	}
	return nil
}

// known looks at a few daemons for the engines.
func (s *step) known(count int) bool {
	members := s.fleet.members
	for at := 0; at < len(members); at += max(1, len(members)/6) {
		if !members[at].core && !members[at].process.host {
			// The readiness address lists no engines.
			continue
		}
		var list operatorapi.Engines
		if _, err := s.fleet.get(members[at], operatorapi.PathEngines, &list); err != nil || usable(list) != count {
			return false
		}
	}
	return true
}

func usable(list operatorapi.Engines) int {
	count := 0
	for _, engine := range list.Engines {
		if engine.Condition == operatorapi.EngineUsable {
			count++
		}
	}
	return count
}

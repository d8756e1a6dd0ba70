package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/rehearsal/platformkit/form"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Options say how a run goes.
type Options struct {
	// Program is the daemon, Self this program, Build names the build.
	Program, Self, Build string
	// Deployed says that Program is the users' platform's, and that engines and operators speak as there.
	Deployed bool
	// LoadMoves is how often an engine's load in its reports is another; zero never moves it. It needs Deployed.
	LoadMoves time.Duration
	Folder    string
	// Profiles is a folder for what takes the hosts' processor time; empty writes none.
	Profiles string
	Beat     time.Duration
	// StartPace is how many hollow daemons are started a second; zero starts all at once.
	StartPace float64
	Windows   int
	Window    time.Duration
	// Engines are the numbers of engines tried in turn in each step.
	Engines []int
	// Leaves, Changes and Restarts are how many of each are made in each step.
	Leaves, Changes, Restarts int
	Limits                    Limits
	Machine                   Machine
	// Result takes each row as a line of JSON.
	Result io.Writer
	Say    func(format string, args ...any)
}

// errCut says that a step was cut short.
var errCut = errors.New("cut short")

// Run plays all steps that fit, and gives their rows. whole is false where any was refused or cut short.
func Run(ctx context.Context, steps []Size, o Options) (rows []Row, whole bool, err error) {
	whole = true
	note := func(row Row) {
		row.Build = o.Build
		rows = append(rows, row)
		if o.Result != nil {
			_ = json.NewEncoder(o.Result).Encode(row)
		}
	}
	for i, size := range steps {
		need := NeedOf(size, costBy(rows, size))
		if why := Refusal(need, o.Machine, o.Limits); why != "" {
			o.Say("refused: %v: %s", size, why)
			note(Row{Size: size, Phase: PhaseRefused, Cut: why})
			whole = false
			continue
		}
		o.Say("step %d: %v; expected: %v", i+1, size, need)
		s := &step{Options: o, size: size, note: note}
		err := s.play(ctx, i)
		switch {
		case errors.Is(err, errCut):
			whole = false
			o.Say("this step is partial: %s", s.why())
		case err != nil:
			return rows, false, err
		}
		if ctx.Err() != nil {
			return rows, false, nil
		}
	}
	return rows, whole, nil
}

// costBy draws what the next step costs from those that were measured with the most engines; before that, from FirstCost.
func costBy(rows []Row, next Size) Cost {
	cost := FirstCost()
	var cores, memory []Point
	sizes := map[int]bool{}
	for _, row := range rows {
		hollow, measured := row.Kinds[Hollow]
		if row.Phase != PhaseRest || !measured || row.Size.Engines == 0 {
			continue
		}
		sizes[row.Size.Daemons] = true
		cores = append(cores, Point{row.Size, hollow.Cores})
		memory = append(memory, Point{row.Size, hollow.Resident * (1 << 20)})
	}
	if len(sizes) < 2 {
		// One size tells of no slope: all of it is then taken to grow with the peers.
		for _, point := range cores {
			cost.PeerCores = max(cost.PeerCores, point.Value/float64(point.Size.Daemons))
		}
		return cost
	}
	if value, drawn := expect(cores, next); drawn {
		cost.DaemonCores, cost.PeerCores = value, 0
	}
	if value, drawn := expect(memory, next); drawn {
		cost.DaemonBytes, cost.PeerBytes, cost.ProcessBytes = value, 0, 0
	}
	return cost
}

// expect draws points on to the next step, and gives the upper end of what may be; never less than was measured.
func expect(points []Point, next Size) (value float64, drawn bool) {
	fit, err := Draw(points, Constant, PerDaemon)
	if err != nil {
		return 0, false
	}
	value, within := fit.At(next)
	value += within
	for _, point := range points {
		value = max(value, point.Value)
	}
	return value, true
}

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

// settleFor is how long a fleet is left alone after it has grown: what is new goes on being told from daemon
// to daemon for a while after all know it.
const settleFor = 10 * time.Second

// readyWithin is how long all daemons may take to be ready: on a busy machine a large fleet needs longer to start.
func (s *step) readyWithin() time.Duration {
	return time.Minute + time.Duration(s.size.Daemons)*300*time.Millisecond
}

func (s *step) phases(ctx context.Context, began time.Time) error {
	f := s.fleet
	if ok, err := s.await(ctx, 30*time.Second, 200*time.Millisecond, func() bool { return f.leader() != nil }); err != nil {
		return err
	} else if !ok {
		return s.cut("no leader within 30 s")
	}
	led := time.Since(began)
	took, _, err := s.roll(ctx, 20*time.Second)
	if err != nil {
		return err
	}
	// The others come to a fleet that has a bundle in force: before that all ask without rest.
	if err := f.start(true, s.StartPace, func(span time.Duration) error { return s.pause(ctx, span) }); err != nil {
		return err
	}
	hollow := time.Since(began)
	ready := make([]bool, len(f.members))
	allReady := func() bool {
		all := true
		f.forAll(func(at int, m *member) {
			if !ready[at] {
				status, err := f.get(m, operatorapi.PathReady, nil)
				ready[at] = err == nil && status == http.StatusOK
			}
		})
		for _, one := range ready {
			all = all && one
		}
		return all
	}
	if ok, err := s.await(ctx, s.readyWithin(), 500*time.Millisecond, allReady); err != nil {
		return err
	} else if !ok {
		for at, m := range f.members {
			if !ready[at] {
				var why string
				_, err := f.get(m, operatorapi.PathReady, &why)
				var status operatorapi.Status
				_, _ = f.get(m, operatorapi.PathStatus, &status)
				return s.cut("not all daemons were ready within %s; %s at %s says %q, %v; it takes %q for the leader, knows %d others, has a worker id: %t, and epoch %d in force",
					s.readyWithin(), m.name, m.address, why, err, status.Leader, len(status.Fellows), status.WorkerID != nil, status.SpecEpoch)
			}
		}
		return s.cut("not all daemons were ready within %s", s.readyWithin())
	}
	s.note(Row{Size: s.size, Phase: PhaseStart, Times: []float64{led.Seconds(), took.Seconds(), (time.Since(began) - hollow).Seconds()}})
	s.Say("a leader after %.1f s, a bundle in force %.1f s later, all ready %.1f s after the last was started", led.Seconds(), took.Seconds(), (time.Since(began) - hollow).Seconds())

	s.engines = &hollowEngines{beat: s.Beat, models: s.size.Models, deployed: s.Deployed, moves: s.LoadMoves}
	for _, m := range f.members[:s.size.Core] {
		s.engines.control = append(s.engines.control, m.control)
	}
	defer s.engines.stop()
	living, stop := context.WithCancel(context.Background())
	defer stop()
	for _, count := range s.Engines {
		s.size.Engines = count
		if err := s.engines.grow(living, count, s.size.Zones, f.addresses); err != nil {
			return err
		}
		if ok, err := s.await(ctx, 30*time.Second, 500*time.Millisecond, func() bool { return s.known(count) }); err != nil {
			return err
		} else if !ok {
			return s.cut("not all of %d engines were known everywhere within 30 s", count)
		}
		if err := s.pause(ctx, settleFor); err != nil {
			return err
		}
		for range s.Windows {
			if err := s.window(ctx, PhaseRest, func() ([]float64, int, error) { return nil, 0, s.pause(ctx, s.Window) }); err != nil {
				return err
			}
		}
	}
	for _, phase := range []struct {
		name string
		do   func(context.Context) ([]float64, int, error)
	}{{PhaseLeave, s.leaves}, {PhaseChange, s.changes}, {PhaseRestart, s.restarts}} {
		if map[string]int{PhaseLeave: min(s.Leaves, len(s.engines.all)), PhaseChange: s.Changes, PhaseRestart: s.Restarts}[phase.name] == 0 {
			continue
		}
		if err := s.window(ctx, phase.name, func() ([]float64, int, error) { return phase.do(ctx) }); err != nil {
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
		path, head, raw = form.PathConfig, map[string]string{"If-Match": fmt.Sprint(s.revision - 1)}, configuration(s.size, s.revision)
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

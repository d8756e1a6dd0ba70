package registry

import (
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// cluster is a few daemons, control and routing ones, and engines whose heartbeats reach them in any order, late or not at
// all.
type cluster struct {
	random *rand.Rand
	now    clock.Mark
	cores  []*Core
	names  []string
	// engines are the newest registrations; delayed holds heartbeats that are still on their way.
	engines      map[ident.EngineID]*Registration
	delayed      []Registration
	deregistered map[ident.EngineID]bool
	sequence     uint64
}

const controlDaemons = 3

func newCluster(seed uint64) *cluster {
	w := &cluster{random: rand.New(rand.NewPCG(seed, 7)), engines: map[ident.EngineID]*Registration{}, deregistered: map[ident.EngineID]bool{}}
	for i := range controlDaemons + 3 {
		w.names = append(w.names, fmt.Sprint("d", i))
		w.cores = append(w.cores, NewCore(w.names[i], i < controlDaemons, time.Second, 0))
	}
	return w
}

// zone is the zone of a daemon that only routes; control daemons get everything.
func (w *cluster) zone(at int) ident.ZoneID {
	if at < controlDaemons {
		return ""
	}
	return ident.ZoneID(fmt.Sprint("z", at%2))
}

func (w *cluster) step() {
	w.now += clock.Mark(time.Duration(w.random.IntN(400)) * time.Millisecond)
	at := w.random.IntN(controlDaemons)
	id := ident.EngineID(fmt.Sprint("e", w.random.IntN(6)))
	switch n := w.random.IntN(20); {
	case n < 7:
		registration := w.engines[id]
		if registration == nil {
			registration = &Registration{ID: id, Pool: "p", Slots: 4, Zone: ident.ZoneID(fmt.Sprint("z", id[1]%2))}
			w.engines[id] = registration
		}
		registration.CallSeq += 1 + uint64(w.random.IntN(2))
		if w.random.IntN(3) == 0 {
			registration.Slots = w.random.IntN(4) + 1
		}
		if registration.Address == "" || w.random.IntN(6) == 0 {
			registration.Address = fmt.Sprint("a", w.random.IntN(4))
		}
		if w.random.IntN(25) == 0 {
			registration.Draining = true
		}
		if w.random.IntN(4) == 0 {
			w.delayed = append(w.delayed, *registration)
			return
		}
		w.cores[at].ReceiveHeartbeat(w.now, *registration)
	case n < 9:
		if len(w.delayed) > 0 {
			i := w.random.IntN(len(w.delayed))
			w.cores[at].ReceiveHeartbeat(w.now, w.delayed[i])
			if w.random.IntN(2) == 0 {
				w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
			}
		}
	case n == 9:
		if w.random.IntN(6) == 0 {
			w.cores[at].Deregister(w.now, id)
			w.deregistered[id] = true
		}
	case n == 10:
		w.sequence++
		w.cores[at].PublishPlans(w.now, map[ident.EngineID]Plan{id: {Claim: ident.FencingToken(w.sequence / 5), Sequence: w.sequence, Active: w.random.IntN(9),
			Models: []LoadedModel{{Model: fmt.Sprint("m", w.random.IntN(2))}}, PendingLoads: []PendingLoad{{Target: Target{Model: fmt.Sprint("m", w.random.IntN(2))}}}}})
	case n == 11:
		// Now and then a daemon detects timeouts that should not: that must be repaired all the same.
		w.cores[at].Tick(w.now, time.Second, Connectivity{CanDetectTimeouts: true, Horizon: w.now})
	case n == 12 && w.random.IntN(4) == 0:
		// A restarted daemon knows nothing.
		i := w.random.IntN(len(w.cores))
		w.names[i] += "'"
		w.cores[i] = NewCore(w.names[i], i < controlDaemons, time.Second, w.now)
	default:
		w.pull(w.random.IntN(len(w.cores)), w.random.IntN(len(w.cores)))
	}
}

// pull sends one daemon's delta to another; it reports whether anything came.
func (w *cluster) pull(asking, answering int) bool {
	if asking == answering {
		return false
	}
	peer, kind := fmt.Sprint(answering), AllChanges
	switch {
	case asking < controlDaemons && answering < controlDaemons:
		kind = WithHeartbeats
	case answering < controlDaemons && (asking+answering)%controlDaemons == 1:
		// One of the control daemons is asked for urgent changes only, the others for all.
		kind, peer = UrgentOnly, peer+" urgent"
	}
	cursor, wanted := w.cores[asking].NextRequest(peer)
	delta := w.cores[answering].DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted, Filter: kind, Zone: w.zone(asking)}, 1+w.random.IntN(4))
	if w.random.IntN(10) == 0 {
		// The reply is lost.
		return true
	}
	w.cores[asking].ApplyDelta(w.now, peer, delta, wanted)
	_, more := w.cores[asking].NextRequest(peer)
	return len(delta.Records) > 0 || delta.More || len(more) > 0
}

// converge lets all daemons pull from each other until nothing new comes; it returns false if that does not end.
func (w *cluster) converge() bool {
	for range 400 {
		// Pending load figures are published in time.
		w.now += clock.Mark(time.Second)
		received := false
		for _, core := range w.cores {
			before := core.LatestChange()
			core.Tick(w.now, time.Second, Connectivity{})
			received = received || core.LatestChange() != before
		}
		for asking := range w.cores {
			for answering := range w.cores {
				received = w.pull(asking, answering) || received
			}
		}
		if !received {
			return true
		}
	}
	return false
}

// usableEngines is what a daemon would send to, without what differs from daemon to daemon by nature.
func usableEngines(core *Core) map[ident.EngineID]Engine {
	out := map[ident.EngineID]Engine{}
	for id, engine := range core.View().Engines {
		if !engine.Usable() {
			continue
		}
		copied := *engine
		copied.LastHeartbeat, copied.FirstSeen, copied.CallSeq, copied.SlowStartMs = 0, 0, 0, 0
		if copied.Plan != nil {
			plan := *copied.Plan
			plan.Received = 0
			copied.Plan = &plan
		}
		out[id] = copied
	}
	return out
}

// disagreement plays a history and lets the daemons exchange their changes; it says in what they then disagree, or
// nothing.
func disagreement(seed uint64, steps int) string {
	w := newCluster(seed)
	for range steps {
		w.step()
		for i, core := range w.cores {
			for id, engine := range core.View().Engines {
				if w.deregistered[id] && engine.Deregistered != core.departures[id].deregistered {
					return fmt.Sprintf("%s at d%d is deregistered in the view or in the departures, not in both", id, i)
				}
			}
		}
	}
	if !w.converge() {
		return "the daemons never stop exchanging changes"
	}
	// Daemons that may have to detect an engine's timeout know its newest heartbeat.
	for i, core := range w.cores[1:controlDaemons] {
		for id, engine := range core.View().Engines {
			if got, want := core.LastHeartbeats()[id].CallSeq, w.cores[0].LastHeartbeats()[id].CallSeq; engine.Usable() && got != want {
				return fmt.Sprintf("d%d knows heartbeat %d of %s, d0 knows %d", i+1, got, id, want)
			}
		}
	}
	want := usableEngines(w.cores[0])
	for i, core := range w.cores {
		if got := usableEngines(core); !reflect.DeepEqual(got, want) {
			return fmt.Sprintf("d%d knows\n%+v, d0\n%+v", i, got, want)
		}
		for id := range w.deregistered {
			if engine := core.View().Engines[id]; engine != nil && engine.Usable() && core.departures[id].deregistered {
				return fmt.Sprintf("%s is back at d%d", id, i)
			}
		}
	}
	return ""
}

// historiesVariable names the environment variable that says how many histories are played, 400 without it.
const historiesVariable = "CRESSPOND_HISTORIES"

func TestDaemonsConvergeInAnyOrder(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 400
	if histories, err := strconv.Atoi(os.Getenv(historiesVariable)); err == nil {
		parameters.MinSuccessfulTests = histories
	}
	parameters.Workers = runtime.GOMAXPROCS(0)
	properties := gopter.NewProperties(parameters)
	properties.Property("after any history, all daemons that exchanged changes agree",
		prop.ForAll(disagreement, gen.UInt64(), gen.IntRange(1, 300)))
	properties.TestingRun(t)
}

// A heartbeat with the content of an older one is newer all the same: an equal digest with a lower call-seq once counted
// as known, so that a control daemon stayed behind until the next heartbeat.
func TestNewerHeartbeatWithKnownContentIsStillFetched(t *testing.T) {
	if problem := disagreement(11037779802223022953, 160); problem != "" {
		t.Error(problem)
	}
}

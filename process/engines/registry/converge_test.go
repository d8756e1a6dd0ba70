package registry

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// world is a few daemons, control and others, and engines whose words reach them in any order, or late, or not.
type cluster struct {
	random *rand.Rand
	now    clock.Mark
	cores  []*Core
	names  []string
	// engines are the newest words; late holds words that are still under way.
	engines      map[ident.EngineID]*Registration
	delayed      []Registration
	deregistered map[ident.EngineID]bool
	turn         uint64
}

const controls = 3

func newWorld(seed uint64) *cluster {
	w := &cluster{random: rand.New(rand.NewPCG(seed, 7)), engines: map[ident.EngineID]*Registration{}, deregistered: map[ident.EngineID]bool{}}
	for i := range controls + 3 {
		w.names = append(w.names, fmt.Sprint("d", i))
		w.cores = append(w.cores, NewCore(w.names[i], i < controls, time.Second, 0))
	}
	return w
}

// zone is where a daemon stands that only routes; control daemons are told all.
func (w *cluster) zone(at int) ident.ZoneID {
	if at < controls {
		return ""
	}
	return ident.ZoneID(fmt.Sprint("z", at%2))
}

func (w *cluster) step() {
	w.now += clock.Mark(time.Duration(w.random.IntN(400)) * time.Millisecond)
	at := w.random.IntN(controls)
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
		w.turn++
		w.cores[at].PublishPlans(w.now, map[ident.EngineID]Plan{id: {Claim: ident.FencingToken(w.turn / 5), Sequence: w.turn, Active: w.random.IntN(9),
			Models: []LoadedModel{{Model: fmt.Sprint("m", w.random.IntN(2))}}, PendingLoads: []PendingLoad{{Target: Target{Model: fmt.Sprint("m", w.random.IntN(2))}}}}})
	case n == 11:
		// Now and then one judges that should not: that must be put right all the same.
		w.cores[at].Tick(w.now, time.Second, Connectivity{CanDetectTimeouts: true, Horizon: w.now})
	case n == 12 && w.random.IntN(4) == 0:
		// A daemon's next life knows nothing.
		i := w.random.IntN(len(w.cores))
		w.names[i] += "'"
		w.cores[i] = NewCore(w.names[i], i < controls, time.Second, w.now)
	default:
		w.pull(w.random.IntN(len(w.cores)), w.random.IntN(len(w.cores)))
	}
}

// pull has one daemon learn from another; it says whether anything came.
func (w *cluster) pull(asker, asked int) bool {
	if asker == asked {
		return false
	}
	peer, kind := fmt.Sprint(asked), AllChanges
	switch {
	case asker < controls && asked < controls:
		kind = WithHeartbeats
	case asked < controls && (asker+asked)%controls == 1:
		// One of the control daemons is asked for what is urgent only; the others tell all.
		kind, peer = UrgentOnly, peer+" urgent"
	}
	cursor, wanted := w.cores[asker].NextRequest(peer)
	delta := w.cores[asked].DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted, Filter: kind, Zone: w.zone(asker)}, 1+w.random.IntN(4))
	if w.random.IntN(10) == 0 {
		// The reply is lost.
		return true
	}
	w.cores[asker].ApplyDelta(w.now, peer, delta, wanted)
	_, more := w.cores[asker].NextRequest(peer)
	return len(delta.Records) > 0 || delta.More || len(more) > 0
}

// settle lets all daemons ask each other until nothing new comes.
func (w *cluster) converge() bool {
	for range 400 {
		// What is held of loads is told in time.
		w.now += clock.Mark(time.Second)
		came := false
		for _, c := range w.cores {
			before := c.LatestChange()
			c.Tick(w.now, time.Second, Connectivity{})
			came = came || c.LatestChange() != before
		}
		for asker := range w.cores {
			for asked := range w.cores {
				came = w.pull(asker, asked) || came
			}
		}
		if !came {
			return true
		}
	}
	return false
}

// usable is what a daemon would send to, without what differs from daemon to daemon by nature.
func usableEngines(c *Core) map[ident.EngineID]Engine {
	out := map[ident.EngineID]Engine{}
	for id, engine := range c.View().Engines {
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

func TestDaemonsConvergeInAnyOrder(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("after any history, all daemons that talked come to the same", prop.ForAll(func(seed uint64, steps int) string {
		w := newWorld(seed)
		for range steps {
			w.step()
			for i, c := range w.cores {
				for id, engine := range c.View().Engines {
					if w.deregistered[id] && engine.Deregistered != c.departures[id].deregistered {
						return fmt.Sprintf("%s at d%d is gone in one way and not in the other", id, i)
					}
				}
			}
		}
		if !w.converge() {
			return "they talk for ever"
		}
		// Who may have to judge an engine's silence has heard of its newest beat.
		for i, c := range w.cores[1:controls] {
			for id, engine := range c.View().Engines {
				if got, want := c.LastHeartbeats()[id].CallSeq, w.cores[0].LastHeartbeats()[id].CallSeq; engine.Usable() && got != want {
					return fmt.Sprintf("d%d knows of beat %d of %s, d0 of %d", i+1, got, id, want)
				}
			}
		}
		want := usableEngines(w.cores[0])
		for i, c := range w.cores {
			if got := usableEngines(c); !reflect.DeepEqual(got, want) {
				return fmt.Sprintf("d%d knows\n%+v, d0\n%+v", i, got, want)
			}
			for id := range w.deregistered {
				if engine := c.View().Engines[id]; engine != nil && engine.Usable() && c.departures[id].deregistered {
					return fmt.Sprintf("%s is back at d%d", id, i)
				}
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 300)))
	properties.TestingRun(t)
}

package endtoend

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/consensus/linearizability"
)

const (
	// racers is how many operators call at once, as many as may; each makes so many calls.
	racers, racerCalls = 8, 12
	// racerSendings is after how many sendings an operator gives a call up.
	racerSendings = 60
)

// sending is one sending of a call, with what came back at the daemon's side of the caller's loss.
type sending struct {
	at     time.Duration
	status int
}

// racedCall is a call with its sendings.
type racedCall struct {
	linearizability.Call
	sendings []sending
}

// race is operators who change and read the bundle through all daemons at once, and what they saw.
type race struct {
	*ordered
	began time.Time

	mutex sync.Mutex
	calls []*racedCall
	// bodies are all orders sent so far, so that one operator may send another's, byte for byte.
	bodies []raceOrder
}

// raceOrder is an order and how it is sent.
type raceOrder struct {
	order  *linearizability.Write
	method string
	body   []byte
}

func (r *race) now() int64 { return int64(time.Since(r.began)) }

func (r *race) note(call linearizability.Call) *racedCall {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	call.Start, call.Outcome = r.now(), linearizability.Unknown
	noted := &racedCall{Call: call}
	r.calls = append(r.calls, noted)
	return noted
}

// invent makes a new order on a base: three in four are whole bundles, the rest change named items.
func (r *race) invent(random *rand.Rand, who, turn int, base uint64) raceOrder {
	name := fmt.Sprintf("%d-%d", who, turn)
	revision := base + 1 + random.Uint64N(3)
	made := raceOrder{method: "PUT", order: &linearizability.Write{Digest: name, Base: base, Revision: revision, Validity: linearizability.Valid}}
	if base > 0 && random.IntN(4) == 0 {
		made.method = "PATCH"
		made.body = encode(r.t, upstream.Patch{Revision: revision, Upsert: upstream.Items{Paths: []upstream.Path{path(name, "q")}}})
	} else {
		bundle := forwarding(revision, 1)
		bundle.Name, made.order.Content = name, name
		made.body = encode(r.t, bundle)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bodies = append(r.bodies, made)
	return made
}

// earlier gives some order that was sent before, by whomever.
func (r *race) earlier(random *rand.Rand) (raceOrder, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.bodies) == 0 {
		return raceOrder{}, false
	}
	return r.bodies[len(r.bodies)-1-min(random.IntN(len(r.bodies)), random.IntN(len(r.bodies)))], true
}

// read asks some daemons for the newest bundle until one answers.
func (r *race) read(random *rand.Rand, who int) (revision uint64) {
	noted := r.note(linearizability.Call{Client: who, Read: &linearizability.Read{}})
	for range racerSendings {
		status, _, data, _ := r.core[random.IntN(len(r.core))].bundleCall("GET", "", nil)
		var bundle document.Configuration
		if status != 200 || json.Unmarshal(data, &bundle) != nil || bundle.Forward == nil {
			continue
		}
		noted.Read.Revision, noted.Read.Content = bundle.Forward.Revision, bundle.Name
		noted.End, noted.Outcome = r.now(), linearizability.Acknowledged
		return bundle.Forward.Revision
	}
	return 0
}

// order sends an order until there is a clear answer, at times to all daemons at once. A fifth of the answers is lost.
func (r *race) order(random *rand.Rand, who int, made raceOrder) {
	noted := r.note(linearizability.Call{Client: who, Write: made.order})
	query := fmt.Sprintf("?operator=ana&base=%d", made.order.Base)
	for range racerSendings {
		var wait sync.WaitGroup
		if random.IntN(3) == 0 {
			for _, b := range r.core {
				wait.Add(1)
				go func() { defer wait.Done(); b.bundleCall(made.method, query, made.body) }()
			}
		}
		status, _, _, _ := r.core[random.IntN(len(r.core))].bundleCall(made.method, query, made.body)
		wait.Wait()
		noted.sendings = append(noted.sendings, sending{time.Since(r.began), status})
		switch {
		case random.IntN(5) == 0:
			// The answer is lost on its way.
		case taken(status):
			noted.End, noted.Outcome = r.now(), linearizability.Acknowledged
			return
		case status == 409 || status == 400:
			noted.End, noted.Outcome = r.now(), linearizability.Rejected
			return
		}
	}
}

func (r *race) operate(who int) {
	random := rand.New(rand.NewPCG(uint64(who), 18))
	for turn := range racerCalls {
		base := r.read(random, who)
		made, any := r.earlier(random)
		if !any || random.IntN(4) > 0 {
			if random.IntN(6) == 0 {
				base += 1 + random.Uint64N(3)
			}
			made = r.invent(random, who, turn, base)
		}
		r.order(random, who, made)
	}
	r.read(random, who)
}

// disturb cuts leaders off, at once or when an order is on a disk, and ends and starts daemons, until the operators
// are done.
func (r *race) disturb(done <-chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-done:
			return
		default:
		}
		leader := r.leader()
		others := r.others(leader)
		switch turn % 3 {
		case 0:
			r.cut(leader, r.core)
		case 1:
			cut := make(chan struct{})
			r.onceWritten(func(b *bench) bool { return b != leader }, func() { r.cut(leader, r.core); close(cut) })
			select {
			case <-cut:
			case <-done:
				return
			}
		case 2:
			leader.end()
		}
		others[0].await("another leads", func() bool { return leaderOf(others) != nil })
		r.written.Store(nil)
		r.links.Heal()
		if turn%3 == 2 {
			leader.stop, leader.hurry, leader.ended = make(chan struct{}), make(chan struct{}), make(chan error, 1)
			leader.run()
		}
	}
}

// judged gives the calls as the model takes them, each changed at will.
func (r *race) judged(change func(*racedCall) linearizability.Call) []linearizability.Call {
	out := make([]linearizability.Call, len(r.calls))
	for place, call := range r.calls {
		out[place] = change(call)
	}
	return out
}

// TestEightOperatorsAtThreeDaemons has one order of effects explain all that eight operators are told by whole daemons,
// while leaders are cut off and end. Then it looks at what they would have been told by daemons that answer
// without proof.
func TestEightOperatorsAtThreeDaemons(t *testing.T) {
	r := &race{ordered: order(t), began: time.Now()}
	first := forwarding(5, 1)
	r.calls = append(r.calls, &racedCall{Call: linearizability.Call{Client: racers, Start: -2, End: -1, Outcome: linearizability.Acknowledged,
		Write: &linearizability.Write{Digest: "first", Base: 0, Revision: 5, Content: first.Name, Validity: linearizability.Valid}}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wait sync.WaitGroup
		for who := range racers {
			wait.Add(1)
			go func() { defer wait.Done(); r.operate(who) }()
		}
		wait.Wait()
	}()
	r.disturb(done)
	<-done
	r.settled()

	outcomes := map[linearizability.Outcome]int{}
	for _, call := range r.calls {
		outcomes[call.Outcome]++
	}
	t.Logf("%d calls: %v", len(r.calls), outcomes)
	asSeen := func(call *racedCall) linearizability.Call { return call.Call }
	if got := linearizability.Check(r.judged(asSeen), time.Minute); got.Status != linearizability.Linearizable {
		t.Errorf("%s: %s", got.Status, got.Reason)
	}
	unproved := func(call *racedCall) linearizability.Call {
		out := call.Call
		for _, one := range call.sendings {
			if one.status == 503 {
				// What can't be told is called a refusal.
				out.End, out.Outcome = int64(one.at), linearizability.Rejected
				break
			}
		}
		return out
	}
	before := map[int]linearizability.Read{}
	stale := func(call *racedCall) linearizability.Call {
		out := call.Call
		if out.Read == nil || out.Outcome == linearizability.Unknown {
			return out
		}
		if older, known := before[out.Client]; known {
			out.Read = &older
		}
		before[out.Client] = *call.Read
		return out
	}
	for name, broken := range map[string]func(*racedCall) linearizability.Call{"refusals without proof": unproved, "reads of what was before": stale} {
		if got := linearizability.Check(r.judged(broken), time.Minute); got.Status != linearizability.Violated {
			t.Errorf("%s: %s", name, got.Status)
		} else {
			t.Logf("%s: %s", name, got.Reason)
		}
	}
}

// TestAbsurdOrdersAreRefusedAndChangeNothing sends orders that no operator means.
func TestAbsurdOrdersAreRefusedAndChangeNothing(t *testing.T) {
	b := together(t, 1, true, nil)[0]
	if status, reply := b.applied(0, encode(t, forwarding(5, 1))); !taken(status) {
		t.Fatal(status, reply)
	}
	const absurd = uint64(1) << 60
	for name, c := range map[string]struct {
		query string
		body  []byte
	}{
		"a base that none can have":       {fmt.Sprintf("?operator=ana&base=%d", absurd), encode(t, forwarding(absurd+1, 1))},
		"a base that is no number":        {"?operator=ana&base=-1", encode(t, forwarding(6, 1))},
		"no base":                         {"?operator=ana", encode(t, forwarding(6, 1))},
		"no operator":                     {"?base=5", encode(t, forwarding(6, 1))},
		"a revision that none can have":   {"?operator=ana&base=5", encode(t, forwarding(absurd, 1))},
		"more bytes than a bundle may be": {"?operator=ana&base=5", make([]byte, 40<<20)},
	} {
		// A daemon that closes on a body that is too long leaves no answer to a caller that still writes.
		if status, _, _, _ := b.bundleCall("PUT", c.query, c.body); status != 400 && status != 413 && !(status == 0 && len(c.body) > 16<<20) {
			t.Errorf("%s: %d", name, status)
		}
	}
	if got := b.newest(); b.status().ConfigurationVersion != 1 || !same(t, got.Forward, forwarding(5, 1).Forward) {
		t.Errorf("one of them changed something: epoch %d", b.status().ConfigurationVersion)
	}
	// One on a base to come is refused, and stays so once that base is there.
	ahead := encode(t, forwarding(12, 2))
	if status, reply := b.applied(9, ahead); status != 409 {
		t.Errorf("a base to come: %d %+v", status, reply)
	}
	if status, reply := b.applied(5, encode(t, forwarding(9, 1))); !taken(status) {
		t.Fatal(status, reply)
	}
	if status, reply := b.applied(9, ahead); status != 409 {
		t.Errorf("the refused one again: %d %+v", status, reply)
	}
	if status, reply := b.applied(9, encode(t, forwarding(13, 2))); !taken(status) {
		t.Errorf("another on the same base: %d %+v", status, reply)
	}
}

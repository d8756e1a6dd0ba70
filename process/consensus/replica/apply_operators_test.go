package replica

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/linearizability"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout/directapply"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// applyDefect names a defect in how apply requests are decided, to prove that the checker catches it.
type applyDefect string

// simulatedApplies are operators that apply bundles in one step, and what the checker keeps of them.
type simulatedApplies struct {
	*simulation
	// acknowledgedVersions, rejected and baseRevisions describe the requests that had a definite answer, by digest.
	acknowledgedVersions map[string]ident.Version
	rejected             map[string]bool
	baseRevisions        map[string]ident.Revision
	// newest is the highest revision that was acknowledged.
	newest           ident.Revision
	resends, unclear int
	// calls are all calls as their senders saw them, requests their contents by digest, sent all requests in sequence.
	calls    []*linearizability.Call
	requests map[string]*linearizability.Write
	sent     []operatorapi.ApplyRequest
	// extraLoss is the fraction of messages between operators and members that is lost, beside the network's own loss.
	extraLoss float64
	// defect is injected on purpose.
	defect applyDefect
}

const (
	rejectsByRead   applyDefect = "a request based on a newer revision is rejected by what was read, not by the log"
	checksBaseFirst applyDefect = "the base is compared before the request itself is looked up"
	// The next three are caught only by reads or with a state that forgets.
	readsWithoutQuorum applyDefect = "the newest bundle is read without a quorum"
	forgetsAccepted    applyDefect = "a request that is forgotten is rejected"
	forgetsRejected    applyDefect = "a rejected base is accepted later"
)

// deliver sends one copy of a request to a member over the network; the response may be lost.
func (o *simulatedApplies) deliver(to *simulatedNode, call operatorapi.ApplyRequest, answer func(operatorapi.ApplyResponse)) {
	if o.lost() {
		return
	}
	back := func(got operatorapi.ApplyResponse) {
		if !o.lost() {
			o.schedule(o.randomDuration(1, 10), func() { answer(got) })
		}
	}
	unknown := operatorapi.ApplyResponse{Outcome: operatorapi.Unknown}
	o.schedule(o.randomDuration(1, 10), func() {
		if !to.up || o.now < to.frozenUntil {
			return
		}
		incarnation := to.incarnation
		o.lastRequestID++
		o.responders[o.lastRequestID] = func(a Response) {
			if a.Outcome != Applied {
				back(unknown)
				return
			}
			standing := directapply.ViewOf(a.State, call)
			// The decision takes a while, in which anything may happen.
			o.schedule(o.randomDuration(1, 60), func() {
				if to.incarnation != incarnation || !to.up || o.now < to.frozenUntil {
					return
				}
				decision := standing.Decide(call)
				if o.defect == rejectsByRead && call.Base > standing.Revision || o.defect == checksBaseFirst && call.Base != standing.Revision {
					decision = directapply.Decision{Response: operatorapi.ApplyResponse{Outcome: operatorapi.Conflicted, Revision: standing.Revision}}
				}
				if decision.Submit == nil {
					back(decision.Response)
					return
				}
				o.lastRequestID++
				o.responders[o.lastRequestID] = func(b Response) {
					if b.Outcome != Applied {
						back(unknown)
						return
					}
					back(directapply.ResponseTo(b.Result))
				}
				to.execute(to.core.Submit(o.now, o.lastRequestID, *decision.Submit))
			})
		}
		to.execute(to.core.Read(o.now, o.lastRequestID))
	})
}

// scheduleApplies has one operator change the bundle again and again: based on the newest that it knows of, sometimes on
// one that it only expects or on an old one. Some of its requests are duplicates of another operator's, and some are its
// own earlier ones, retried long after they were answered. Between them it reads.
func (o *simulatedApplies) scheduleApplies(who int, turn int, base ident.Revision) {
	if o.operatorsStopped {
		return
	}
	next := func(newest ident.Revision) {
		o.schedule(o.randomDuration(20, 400), func() { o.scheduleApplies(who, turn+1, newest) })
	}
	switch o.random.IntN(10) {
	case 0, 1:
		o.read(who, base, next)
	case 2:
		if len(o.sent) > 0 {
			o.sendUntilAnswered(who, o.sent[len(o.sent)-1-min(o.random.IntN(len(o.sent)), o.random.IntN(len(o.sent)))], base, next)
			return
		}
		fallthrough
	default:
		o.sendUntilAnswered(who, o.newRequest(who, turn, base), base, next)
	}
}

// newRequest makes a new apply request.
func (o *simulatedApplies) newRequest(who, turn int, base ident.Revision) operatorapi.ApplyRequest {
	switch o.random.IntN(10) {
	case 0, 1:
		base += ident.Revision(1 + o.random.IntN(4))
	case 2:
		base -= min(base, ident.Revision(1+o.random.IntN(6)))
	}
	revision := uint64(base) + 1 + o.random.Uint64N(4)
	digest := fmt.Sprintf("%d-%d", who, turn)
	call := operatorapi.ApplyRequest{Base: base, Digest: digest, Operator: fmt.Sprint(who)}
	if base > 0 && o.random.IntN(2) == 0 {
		call.Patch = &upstream.Patch{Revision: revision, Upsert: upstream.Items{Pools: []upstream.Pool{{Name: fmt.Sprint("p", turn%9)}}}}
	} else {
		encoded, err := json.Marshal(document.Configuration{Name: digest, Forward: &upstream.Section{Revision: revision, Pools: []upstream.Pool{{Name: "p"}}}})
		if err != nil {
			panic(err)
		}
		call.Configuration = encoded
	}
	o.requests[digest] = &linearizability.Write{Digest: digest, Base: uint64(base), Revision: revision, Content: statemachine.AppliedID(digest), Validity: linearizability.Valid}
	o.baseRevisions[digest] = base
	o.sent = append(o.sent, call)
	return call
}

// recordCall records a call's start, and returns the record that takes its definite answer.
func (o *simulatedApplies) recordCall(call linearizability.Call) *linearizability.Call {
	call.Start, call.Outcome = int64(o.now), linearizability.Unknown
	o.calls = append(o.calls, &call)
	return &call
}

// read reads the newest bundle through some member, and gives up after a time-out.
func (o *simulatedApplies) read(who int, base ident.Revision, next func(ident.Revision)) {
	noted := o.recordCall(linearizability.Call{Client: who, Read: &linearizability.Read{}})
	done := false
	finish := func(revision ident.Revision) {
		if !done {
			done = true
			next(revision)
		}
	}
	o.requestNewest(o.randomMachines(1)[0], func(newest directapply.Latest) {
		if !done {
			noted.End, noted.Outcome = int64(o.now), linearizability.Acknowledged
			noted.Read.Revision = uint64(newest.Revision)
			if newest.Proposal != nil {
				noted.Read.Content = newest.Proposal.ID
			}
		}
		finish(newest.Revision)
	})
	o.schedule(o.randomDuration(300, 1200), func() { finish(base) })
}

// scheduleReads reads again and again, so that a member that serves stale data is met.
func (o *simulatedApplies) scheduleReads(who int) {
	if o.operatorsStopped {
		return
	}
	o.read(who, 0, func(ident.Revision) { o.schedule(o.randomDuration(1, 60), func() { o.scheduleReads(who) }) })
}

// requestNewest sends one read to a member over the network; request and response may be lost.
func (o *simulatedApplies) requestNewest(to *simulatedNode, answer func(directapply.Latest)) {
	if o.lost() {
		return
	}
	o.schedule(o.randomDuration(1, 10), func() {
		if !to.up || o.now < to.frozenUntil {
			return
		}
		seen := func(state *statemachine.State) {
			newest := directapply.LatestOf(state)
			if !o.lost() {
				o.schedule(o.randomDuration(1, 10), func() { answer(newest) })
			}
		}
		if o.defect == readsWithoutQuorum {
			if to.core.raft.Role() == raft.Leader {
				seen(to.core.state)
			}
			return
		}
		o.lastRequestID++
		o.responders[o.lastRequestID] = func(a Response) {
			if a.Outcome == Applied {
				seen(a.State)
			}
		}
		to.execute(to.core.Read(o.now, o.lastRequestID))
	})
}

// sendUntilAnswered sends a request, and retries it at other members as long as there is no definite answer; some go to
// three members at once. A few operators give up.
func (o *simulatedApplies) sendUntilAnswered(who int, order operatorapi.ApplyRequest, base ident.Revision, next func(ident.Revision)) {
	noted := o.recordCall(linearizability.Call{Client: who, Write: o.requests[order.Digest]})
	done := false
	finish := func(revision ident.Revision) {
		done = true
		next(revision)
	}
	take := func(got operatorapi.ApplyResponse) {
		outcome := linearizability.Acknowledged
		switch got.Outcome {
		case operatorapi.Applied:
			o.recordAcknowledged(order, got)
		case operatorapi.Conflicted, operatorapi.Invalid:
			o.recordRejected(order, got)
			outcome = linearizability.Rejected
		default:
			o.unclear++
			return
		}
		if !done {
			noted.End, noted.Outcome = int64(o.now), outcome
			finish(got.Revision)
		}
	}
	var send func(sendings int)
	send = func(sendings int) {
		switch {
		case done || o.operatorsStopped:
			return
		case sendings > 1 && o.random.IntN(25) == 0, sendings > 12:
			// It gives up; what it sent may still be in flight.
			finish(base)
			return
		case sendings > 0:
			o.resends++
		}
		members := 1
		if o.random.IntN(4) == 0 {
			members = 3
		}
		for _, to := range o.randomMachines(members) {
			o.deliver(to, order, take)
		}
		if other := o.randomMachines(1)[0]; o.random.IntN(2) == 0 {
			// A copy may be in flight for long, in a daemon that keeps looking for a leader.
			o.schedule(o.randomDuration(0, 800), func() { o.deliver(other, order, take) })
		}
		o.schedule(o.randomDuration(300, 1200), func() { send(sendings + 1) })
	}
	send(0)
}

// lost draws whether a message is lost: on some seeds, every fifth at each step.
func (o *simulatedApplies) lost() bool {
	return o.random.Float64() < max(o.loss, o.extraLoss)
}

// newSimulatedApplies makes a group and up to eight operators, since as many requests may be in flight at once.
func newSimulatedApplies(t *testing.T, seed uint64, size int, limits statemachine.Limits) *simulatedApplies {
	adjust := func(config *Config) {
		// So few entries between snapshots that members that lag are sent one, and members that restart read one.
		config.CompactEntries, config.RetainEntries = 12, 3
		config.HistoryLimits = limits
	}
	o := &simulatedApplies{simulation: newAdjustedSimulation(t, seed, size, noDefect, adjust), acknowledgedVersions: map[string]ident.Version{}, rejected: map[string]bool{}, baseRevisions: map[string]ident.Revision{},
		requests: map[string]*linearizability.Write{}}
	if seed%4 == 3 {
		o.extraLoss = 0.2
	}
	for who := range 2 + seed%7 {
		o.scheduleApplies(int(who), 0, 0)
	}
	for who := range 3 {
		o.scheduleReads(100 + who)
	}
	return o
}

// tinyLimits have a group forget requests all the time.
func tinyLimits() statemachine.Limits { return statemachine.Limits{Versions: 4, RejectedApplies: 3} }

// scheduleForgetting makes the members' states forget what the injected defect would have lost.
func (o *simulatedApplies) scheduleForgetting() {
	o.schedule(20*time.Millisecond, func() {
		for _, n := range o.nodes {
			switch o.defect {
			case forgetsRejected:
				n.core.state.RejectedAhead = nil
			case forgetsAccepted:
				n.core.state.AppliesKnownFrom = 0
			}
		}
		o.scheduleForgetting()
	})
}

package statemachine

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
)

// retryCase is one command of which a second copy comes late: after others have acted, and after a snapshot.
type retryCase struct {
	name string
	// before leads to the state in which the command comes; meanwhile happens between it and its late retry.
	before    []Command
	command   Command
	meanwhile []Command
	// grows says that the late retry may move ends of leases to later, which holds their successors back and no more.
	grows func(state *State)
}

const retryLeaseMs = 30000

func retryCases() []retryCase {
	const (
		operator  = "ana"
		bundle    = "{}"
		secondSet = 5000
	)
	acquire := func(node ident.NodeID) Command { return Command{Op: OpAcquire, NodeID: node, LeaseMs: retryLeaseMs} }
	propose := Command{Op: OpPropose, ProposalID: "p", Operator: operator, Configuration: []byte(bundle)}
	review := Command{Op: OpReview, ProposalID: "p", Operator: "berta"}
	sign := Command{Op: OpSignOff, ProposalID: "p", Operator: "chen"}
	roll := Command{Op: OpRollOut, ProposalID: "p", Operator: operator}
	apply := func(digest string, base, revision ident.Revision) Command {
		return Command{Op: OpApply, Digest: digest, BaseRevision: base, Revision: revision, Configuration: []byte(bundle), Operator: operator}
	}
	closureCommand := func(base ident.Version, closed bool, by string) Command {
		return Command{Op: OpClosure, Engine: "e", Closed: closed, Base: base, HasBase: true, Operator: by}
	}
	protect := func(base ident.Version, retained bool, by string) Command {
		return Command{Op: OpProtect, Engine: "e", Closed: retained, Base: base, HasBase: true, Operator: by}
	}
	acquirePlanner := Command{Op: OpAcquirePlanner, NodeID: "a#1", LeaseMs: 3000, AnnouncesAll: true, Orders: map[ident.EngineID]uint64{"e": 4}, OrdersSequence: 2}
	ranking := func(stamp ident.SnowflakeID, closed bool) Command {
		return Command{Op: OpClosure, NodeID: "a#1", Engine: "e", Closed: closed, Operator: "ranking", Ranking: &closure.RankingDecision{Token: 1, ID: stamp}}
	}
	register := func(node ident.NodeID) Command { return Command{Op: OpRegister, NodeID: node, Address: "x:1"} }
	release := Command{Op: OpRelease, NodeID: "a#1", WorkerID: 0, LastTimestamp: 1500}
	leases := func(state *State) {
		for worker, lease := range state.Workers.Leases {
			lease.LeaseExpiry = 0
			state.Workers.Leases[worker] = lease
		}
	}
	clearPlannerLease := func(state *State) {
		state.PlannerLease.Expiry, state.PlannerLease.LastAnnounced, state.PlannerLease.Announced = 0, 0, nil
	}
	return []retryCase{
		{"ACQUIRE", nil, acquire("a#1"), []Command{acquire("b#1")}, nil},
		{"RENEW", []Command{acquire("a#1")}, Command{Op: OpRenew, NodeID: "a#1", LeaseMs: retryLeaseMs}, []Command{acquire("b#1")}, leases},
		{"RELEASE", []Command{acquire("a#1")}, release, []Command{acquire("b#1")}, nil},
		{"RECLAIM", []Command{acquire("a#1")}, Command{Op: OpReclaim, At: 1100 + retryLeaseMs}, []Command{acquire("b#1")}, nil},
		{"PROPOSE", nil, propose, []Command{review, sign, roll}, nil},
		{"PROPOSE that lost", nil, propose, []Command{apply("d", 0, 1)}, nil},
		{"REVIEW", []Command{propose}, review, []Command{sign, roll}, nil},
		{"SIGN", []Command{propose, review}, sign, []Command{roll}, nil},
		{"ROLL", []Command{propose, review, sign}, roll, []Command{apply("d", 1, 2)}, nil},
		{"APPLY", nil, apply("d", 0, 1), []Command{apply("d2", 1, 2), apply("d3", 2, 3)}, nil},
		{"APPLY that lost", []Command{apply("d2", 0, 1)}, apply("d", 0, 1), []Command{apply("d3", 1, 2)}, nil},
		{"APPLY on a base not in force yet", []Command{apply("d1", 0, 1)}, apply("d", 2, 3), []Command{apply("d2", 1, 2)}, nil},
		{"CLOSURE", nil, closureCommand(0, true, operator), []Command{closureCommand(1, false, "berta")}, nil},
		{"CLOSURE, opening", []Command{closureCommand(0, true, operator)}, closureCommand(1, false, operator), []Command{closureCommand(2, true, "berta")}, nil},
		{"CLOSURE by the ranking", []Command{acquirePlanner}, ranking(7, true), []Command{closureCommand(1, false, operator)}, nil},
		{"CLOSURE by the ranking, overtaken", []Command{acquirePlanner}, ranking(7, true), []Command{ranking(8, false)}, nil},
		{"KEEP", nil, protect(0, true, operator), []Command{protect(1, false, "berta")}, nil},
		{"KEEP taken back", []Command{protect(0, true, operator)}, protect(1, false, operator), []Command{protect(2, true, "berta")}, nil},
		{"ENLIST", nil, register("a#1"), []Command{register("b#1")}, nil},
		{"ENLIST of an incarnation that was followed", []Command{acquire("a#1")}, register("a#1"), []Command{register("a#2"), acquire("a#2")}, nil},
		{"ENLIST of an incarnation that stopped", []Command{acquire("a#1")}, register("a#1"), []Command{release}, nil},
		{"LOST", []Command{register("a#1")}, Command{Op: OpDeclareLost, LostDaemon: "a#1", Operator: operator}, []Command{register("a#2")}, nil},
		{"LEAVE", nil, Command{Op: OpEngineDeparted, Engine: "e"}, []Command{{Op: OpEngineDeparted, Engine: "f"}}, nil},
		{"CLAIM, fresh", nil, Command{Op: OpAcquirePlanner, NodeID: "a#1", LeaseMs: 3000}, nil, clearPlannerLease},
		{"CLAIM", []Command{acquirePlanner}, acquirePlanner, nil, clearPlannerLease},
		{"CLAIM, overtaken", []Command{acquirePlanner}, acquirePlanner, []Command{{Op: OpAcquirePlanner, NodeID: "a#1", LeaseMs: 3000, Orders: map[ident.EngineID]uint64{"e": 5}, OrdersSequence: 3}}, clearPlannerLease},
		{"CLAIM of another", []Command{acquirePlanner}, Command{Op: OpAcquirePlanner, NodeID: "b#1", LeaseMs: 3000}, nil, nil},
		{"DROP-CLAIM", []Command{acquirePlanner}, Command{Op: OpReleasePlanner, NodeID: "a#1"}, []Command{{Op: OpAcquirePlanner, NodeID: "b#1", LeaseMs: 3000, At: secondSet + retryLeaseMs}}, nil},
	}
}

// lateRetryChanges says whether the late retry of a command changes anything; broken damages the state first.
func lateRetryChanges(t *testing.T, r retryCase, command Command, broken func(*State)) bool {
	t.Helper()
	state := New()
	now := ident.GroupTime(1000)
	take := func(c Command) Result {
		now++
		c.At = max(c.At, now)
		now = c.At
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		return state.Apply(data)
	}
	for _, c := range r.before {
		if result := take(c); result.Outcome != Done {
			t.Fatalf("%s: %s came to %+v", r.name, c.Op, result)
		}
	}
	take(command)
	for _, c := range r.meanwhile {
		if result := take(c); result.Outcome != Done {
			t.Fatalf("%s: %s meanwhile came to %+v", r.name, c.Op, result)
		}
	}
	restored, err := Restore(state.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	state = restored
	broken(state)
	before, err := Restore(state.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	// Copies come in one form and many.
	take(command)
	take(command)
	after, err := Restore(state.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range []*State{before, after} {
		one.Now = 0
		if r.grows != nil {
			r.grows(one)
		}
	}
	return !reflect.DeepEqual(before.comparable(t), after.comparable(t))
}

// comparable is a state as plain values.
func (s *State) comparable(t *testing.T) (out map[string]any) {
	t.Helper()
	if err := json.Unmarshal(s.Snapshot(), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestLateRetryOfACommandChangesNothing: each command of the group may be applied again at any later time, also after a
// snapshot, and then does what it did before, or nothing.
func TestLateRetryOfACommandChangesNothing(t *testing.T) {
	covered := map[Op]bool{}
	for _, r := range retryCases() {
		covered[r.command.Op] = true
		if lateRetryChanges(t, r, r.command, func(*State) {}) {
			t.Errorf("%s: the late retry changed the state", r.name)
		}
	}
	for _, op := range []Op{OpAcquire, OpRenew, OpRelease, OpReclaim, OpPropose, OpReview, OpSignOff, OpRollOut, OpClosure, OpProtect, OpAcquirePlanner, OpReleasePlanner, OpRegister, OpDeclareLost, OpEngineDeparted, OpApply} {
		if !covered[op] {
			t.Errorf("%s is not tried", op)
		}
	}
}

// TestLateRetryCheckDetectsBrokenVariants is the broken variant: commands without what a copy is known by, and a state that has
// forgotten it.
func TestLateRetryCheckDetectsBrokenVariants(t *testing.T) {
	withoutBase := func(c Command) Command { c.HasBase = false; return c }
	withoutID := func(c Command) Command { record := *c.Ranking; record.ID = 0; c.Ranking = &record; return c }
	same := func(c Command) Command { return c }
	unchanged := func(*State) {}
	seen := 0
	for _, broken := range []struct {
		name    string
		command func(Command) Command
		state   func(*State)
	}{
		{"CLOSURE", withoutBase, unchanged}, {"CLOSURE, opening", withoutBase, unchanged}, {"KEEP", withoutBase, unchanged}, {"KEEP taken back", withoutBase, unchanged},
		{"CLOSURE by the ranking", withoutID, unchanged}, {"CLOSURE by the ranking", same, func(s *State) { s.LastRanking = RankingDecision{} }},
		{"ENLIST of an incarnation that was followed", same, func(s *State) { s.EndedIncarnations = nil }}, {"ENLIST of an incarnation that stopped", same, func(s *State) { s.EndedIncarnations = nil }},
		{"CLAIM, overtaken", same, func(s *State) { s.PlannerLease.OrdersSequence = 0 }}, {"LEAVE", same, func(s *State) { s.DepartedEngines = nil }},
		{"APPLY on a base not in force yet", same, func(s *State) { s.RejectedAhead = nil }},
	} {
		for _, r := range retryCases() {
			if r.name != broken.name {
				continue
			}
			seen++
			if !lateRetryChanges(t, r, broken.command(r.command), broken.state) {
				t.Errorf("%s: broken, and not seen", broken.name)
			}
		}
	}
	if seen != 11 {
		t.Errorf("%d variants were tried", seen)
	}
}

// TestIncarnationThatRenewsItsLeaseIsServing: of two incarnations of a name the registrations may be applied in any order, and each more
// than once; once the later incarnation has its lease again, it serves, and it alone.
func TestIncarnationThatRenewsItsLeaseIsServing(t *testing.T) {
	register := func(node ident.NodeID) Command {
		return Command{Op: OpRegister, NodeID: node, Address: "x:" + string(node)}
	}
	acquire := func(node ident.NodeID) Command { return Command{Op: OpAcquire, NodeID: node, LeaseMs: retryLeaseMs} }
	early, late := register("a#1"), register("a#2")
	for name, calls := range map[string][]Command{
		"in order":             {early, acquire("a#1"), late},
		"overtaken":            {acquire("a#1"), late, early},
		"overtaken, said anew": {acquire("a#1"), late, early, late},
		"a late copy":          {early, acquire("a#1"), late, early, early},
		"many copies":          {early, late, early, late, early},
	} {
		state := New()
		now := ident.GroupTime(1000)
		for _, c := range append(calls, acquire("a#2")) {
			now++
			if result := apply(t, state, now, c); result.Outcome != Done {
				t.Errorf("%s: %s came to %+v", name, c.Op, result)
			}
		}
		if serving, there := state.Serving["a#2"]; len(state.Serving) != 1 || !there || serving.Address != "x:a#2" {
			t.Errorf("%s: %+v serve", name, state.Serving)
		}
		// From then on no copy of the earlier incarnation's call changes that.
		apply(t, state, now, early)
		if _, there := state.Serving["a#2"]; len(state.Serving) != 1 || !there {
			t.Errorf("%s: after a late retry %+v serve", name, state.Serving)
		}
	}
}

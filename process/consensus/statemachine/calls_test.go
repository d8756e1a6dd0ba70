package statemachine

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// callGroup applies commands to a state, each at a later time, and snapshots it between.
type callGroup struct {
	t     *testing.T
	state *State
	now   ident.GroupTime
}

func newCallGroup(t *testing.T, level FeatureLevel) *callGroup {
	g := &callGroup{t: t, state: New(), now: 1000}
	g.apply(Command{Op: OpRaiseFeatureLevel, FeatureLevel: level})
	g.now++
	return g
}

func (g *callGroup) apply(c Command) Result {
	g.t.Helper()
	g.now++
	result := apply(g.t, g.state, g.now, c)
	restored, err := Restore(g.state.Snapshot())
	if err != nil {
		g.t.Fatal(err)
	}
	g.state = restored
	return result
}

// call gives a command an operator's call id, as of now.
func (g *callGroup) call(id string, c Command) Command {
	c.CallID, c.CalledAt = id, g.now
	return c
}

// lateCall is a call whose late copy could take effect, though the call did not.
type lateCall struct {
	name              string
	before, meanwhile []Command
	command           Command
	want              Outcome
}

func lateCalls() []lateCall {
	propose := Command{Op: OpPropose, ProposalID: "p", Operator: "ana", Configuration: []byte("{}")}
	review := Command{Op: OpReview, ProposalID: "p", Operator: "berta"}
	sign := Command{Op: OpSignOff, ProposalID: "p", Operator: "chen"}
	roll := Command{Op: OpRollOut, ProposalID: "p", Operator: "ana"}
	closing := func(base ident.Version, closed bool, zone ident.ZoneID) Command {
		return Command{Op: OpClosure, Zone: zone, Closed: closed, Base: base, HasBase: true, Operator: "ana"}
	}
	lost := Command{Op: OpDeclareLost, LostDaemon: "d#1", Operator: "ana"}
	second := propose
	second.ProposalID, second.Base = "q", 1
	return []lateCall{
		{"PROPOSE on a base not in force yet", []Command{propose, review, sign}, []Command{roll}, second, Conflict},
		{"REVIEW before its proposal", nil, []Command{propose}, review, Missing},
		{"SIGN before its review", []Command{propose}, []Command{review}, sign, Forbidden},
		{"ROLL before its signature", []Command{propose, review}, []Command{sign}, roll, Forbidden},
		{"CLOSURE that changes nothing", []Command{closing(0, true, "a")}, []Command{closing(1, false, "a")}, closing(1, true, "a"), Done},
		{"LOST before the daemon serves", nil, []Command{{Op: OpRegister, NodeID: "d#1", Address: "x:1"}}, lost, Missing},
	}
}

// lateCopy plays a call, what others do meanwhile, and two late copies of the call; it gives how the copies ended, and
// whether they changed anything but the time.
func lateCopy(t *testing.T, level FeatureLevel, c lateCall) (first, late Result, changed bool) {
	t.Helper()
	g := newCallGroup(t, level)
	for i, each := range c.before {
		if result := g.apply(g.call(fmt.Sprint("before ", i), each)); result.Outcome != Done {
			t.Fatalf("%s: %s came to %+v", c.name, each.Op, result)
		}
	}
	sent := g.call("late", c.command)
	first = g.apply(sent)
	for i, each := range c.meanwhile {
		if result := g.apply(g.call(fmt.Sprint("meanwhile ", i), each)); result.Outcome != Done {
			t.Fatalf("%s: %s meanwhile came to %+v", c.name, each.Op, result)
		}
	}
	before := g.state.comparable(t)
	g.apply(sent)
	late = g.apply(sent)
	after := g.state.comparable(t)
	before["now"], after["now"] = nil, nil
	return first, late, fmt.Sprint(before) != fmt.Sprint(after)
}

func TestLateCopyOfACallHasItsOutcomeAndChangesNothing(t *testing.T) {
	seen := 0
	for _, c := range lateCalls() {
		first, late, changed := lateCopy(t, CallMemoryLevel, c)
		if first.Outcome != c.want || late.Outcome != c.want || changed {
			t.Errorf("%s: %s, then %s, the state changed: %t", c.name, first.Outcome, late.Outcome, changed)
		}
		// The broken variant: a group below the level remembers no calls, and takes the copy for a new one.
		if _, late, changed := lateCopy(t, BaseLevel, c); changed || late.Outcome != c.want {
			seen++
		}
	}
	if want := len(lateCalls()); seen != want {
		t.Errorf("without memory %d of %d late copies take effect", seen, want)
	}
}

func TestCallIDBelongsToOneCall(t *testing.T) {
	g := newCallGroup(t, CallMemoryLevel)
	closing := Command{Op: OpClosure, Zone: "a", Closed: true, HasBase: true, Operator: "ana"}
	if result := g.apply(g.call("x", closing)); result.Outcome != Done {
		t.Fatal(result)
	}
	other := closing
	other.Zone = "b"
	if result := g.apply(g.call("x", other)); result.Outcome != Conflict || g.state.Closures.Version != 1 {
		t.Errorf("another call with the same id: %+v", result)
	}
	// Leaders stamp each copy anew, and daemons note anew when it came.
	again := g.call("x", closing)
	again.LeaseMs, again.HandoverGapMs = 7, 8
	if result := g.apply(again); result.Outcome != Done || result.Closures == nil || result.Closures.Version != 1 {
		t.Errorf("the same call again: %+v", result)
	}
}

func TestForgottenCallIsUnprovenAndChangesNothing(t *testing.T) {
	for name, forget := range map[string]func(*callGroup){
		"by number": func(g *callGroup) {
			for i := range maxRememberedCalls {
				g.apply(g.call(fmt.Sprint("other ", i), Command{Op: OpReview, ProposalID: "none", Operator: "ana"}))
			}
		},
		"by age": func(g *callGroup) {
			g.now = g.now.Add(callMemory + time.Second)
			g.apply(g.call("other", Command{Op: OpReview, ProposalID: "none", Operator: "ana"}))
		},
	} {
		g := newCallGroup(t, CallMemoryLevel)
		late := g.call("late", Command{Op: OpReview, ProposalID: "p", Operator: "berta"})
		if result := g.apply(late); result.Outcome != Missing {
			t.Fatalf("%s: %+v", name, result)
		}
		forget(g)
		g.apply(Command{Op: OpPropose, ProposalID: "p", Operator: "ana", Configuration: []byte("{}")})
		if result := g.apply(late); result.Outcome != Unproven || len(g.state.Proposals["p"].Reviews) > 0 {
			t.Errorf("%s: the late copy came to %+v", name, result)
		}
		if result := g.apply(g.call("late", Command{Op: OpReview, ProposalID: "p", Operator: "berta"})); result.Outcome != Done {
			t.Errorf("%s: the same call made anew came to %+v", name, result)
		}
		if len(g.state.Calls) > maxRememberedCalls {
			t.Errorf("%s: %d calls are remembered", name, len(g.state.Calls))
		}
	}
}

func TestCallsFromBeforeTheLevelAreUnproven(t *testing.T) {
	g := newCallGroup(t, BaseLevel)
	early := g.call("early", Command{Op: OpReview, ProposalID: "p", Operator: "berta"})
	g.apply(early)
	g.apply(Command{Op: OpRaiseFeatureLevel, FeatureLevel: CallMemoryLevel})
	g.apply(Command{Op: OpPropose, ProposalID: "p", Operator: "ana", Configuration: []byte("{}")})
	if result := g.apply(early); result.Outcome != Unproven {
		t.Errorf("a copy from before the level came to %+v", result)
	}
}

func TestFeatureLevelIsNeverLowered(t *testing.T) {
	g := newCallGroup(t, CallMemoryLevel)
	known := g.state.CallsKnownFrom
	g.apply(Command{Op: OpRaiseFeatureLevel, FeatureLevel: BaseLevel})
	g.apply(Command{Op: OpRaiseFeatureLevel, FeatureLevel: CallMemoryLevel})
	if g.state.FeatureLevel != CallMemoryLevel || g.state.CallsKnownFrom != known {
		t.Errorf("level %d, calls known from %d", g.state.FeatureLevel, g.state.CallsKnownFrom)
	}
}

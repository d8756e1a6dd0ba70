package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// mixedGroup is a group of three whose machines run builds of different levels; upgrade gives one the newer build.
type mixedGroup struct {
	*simulation
	levels map[int]statemachine.FeatureLevel
}

func newMixedGroup(t *testing.T, seed uint64) *mixedGroup {
	g := &mixedGroup{levels: map[int]statemachine.FeatureLevel{}}
	g.simulation = newSimulation(t, seed, 3, noDefect)
	g.simulation.levels = func(n *simulatedNode) statemachine.FeatureLevel { return g.levels[n.index] }
	g.faultsEnabled, g.loss = false, 0
	for _, n := range g.nodes {
		g.restartWith(n, statemachine.BaseLevel)
	}
	g.scheduleOperator()
	g.runFor(5 * time.Second)
	return g
}

func (g *mixedGroup) restartWith(n *simulatedNode, level statemachine.FeatureLevel) {
	n.crash()
	g.levels[n.index] = level
	n.restart()
}

// assertLevel checks the level at all machines that are there, and that their states are equal where they applied alike.
func (g *mixedGroup) assertLevel(when string, want statemachine.FeatureLevel) {
	g.t.Helper()
	for _, violation := range g.violations {
		g.t.Errorf("%s: %s", when, violation)
	}
	for _, n := range g.nodes {
		if n.up && n.core.state.FeatureLevel != want {
			g.t.Errorf("%s: member %d is at level %d, not %d", when, n.id, n.core.state.FeatureLevel, want)
		}
	}
}

func TestFeatureLevelIsRaisedOnceAllMembersUnderstandIt(t *testing.T) {
	for seed := range uint64(20) {
		g := newMixedGroup(t, seed)
		g.assertLevel("all of the build before", statemachine.BaseLevel)
		for i, n := range g.nodes[:2] {
			g.restartWith(n, statemachine.CallMemoryLevel)
			g.runFor(5 * time.Second)
			g.assertLevel([]string{"one upgraded", "two upgraded"}[i], statemachine.BaseLevel)
		}
		g.restartWith(g.nodes[2], statemachine.CallMemoryLevel)
		g.runFor(5 * time.Second)
		g.assertLevel("all upgraded", statemachine.CallMemoryLevel)
		if g.digestsCompared == 0 || g.notices[raft.NoticeStateDiffers] > 0 {
			t.Errorf("seed %d: %d digests compared, %d differ", seed, g.digestsCompared, g.notices[raft.NoticeStateDiffers])
		}
	}
}

func TestMemberOfTooOldABuildIsNotAdmitted(t *testing.T) {
	for seed := range uint64(20) {
		g := newMixedGroup(t, seed)
		for _, n := range g.nodes {
			g.restartWith(n, statemachine.CallMemoryLevel)
		}
		g.runFor(5 * time.Second)
		g.assertLevel("all upgraded", statemachine.CallMemoryLevel)
		g.nodes[0].crash()
		g.nodes[0].removed = true
		g.addMachine()
		old := g.nodes[3]
		g.runFor(10 * time.Second)
		if _, known := g.leader().core.raft.Membership().Find(old.id); known {
			t.Errorf("seed %d: a machine of level %d was admitted at level %d", seed, g.levels[old.index], statemachine.CallMemoryLevel)
		}
		// Back by replacing one member: the same machine with a build that fits takes the vote.
		g.restartWith(old, statemachine.CallMemoryLevel)
		g.runFor(10 * time.Second)
		if self, _ := g.leader().core.raft.Membership().Find(old.id); !self.Voter {
			t.Errorf("seed %d: the machine does not vote with a build that fits", seed)
		}
		g.assertLevel("one replaced", statemachine.CallMemoryLevel)
	}
}

func TestFolderOfANewerLevelIsRefused(t *testing.T) {
	g := newMixedGroup(t, 1)
	for _, n := range g.nodes {
		g.restartWith(n, statemachine.CallMemoryLevel)
	}
	g.runFor(5 * time.Second)
	state := g.leader().core.state
	config := g.config
	config.FeatureLevel = statemachine.BaseLevel
	member := raft.New(9, config.Timing, raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: raft.Snapshot{Index: 1, Term: 1}}, g.random)
	_, err := NewCore(config, member, state.Snapshot(), g.now, nil)
	var refused statemachine.FeatureLevelError
	if !errors.As(err, &refused) || refused != (statemachine.FeatureLevelError{Found: statemachine.CallMemoryLevel, Supported: statemachine.BaseLevel}) {
		t.Errorf("the folder was opened: %v", err)
	}
}

// The broken variant: a leader that asks nobody. The member that does not understand the level notices, and serves
// nothing more.
func TestLevelRaisedWithoutAskingEndsMembersBelowIt(t *testing.T) {
	g := newMixedGroup(t, 2)
	g.raisesAtOnce = true
	leader := g.leader()
	g.restartWith(leader, statemachine.CallMemoryLevel)
	for _, n := range g.nodes {
		if n != leader && len(g.violations) == 0 {
			g.restartWith(n, statemachine.CallMemoryLevel)
			g.runFor(5 * time.Second)
		}
	}
	if len(g.violations) == 0 {
		t.Error("nobody noticed")
	}
}

package raft

import (
	"os"
	"testing"
)

type modelResult struct {
	states, transitions, depth int
	// complete says that every state within the budget was visited.
	complete bool
	fault    error
	trace    []string
}

// explore searches breadth first, so that a fault is found by one of the shortest histories.
func (m *model) explore(voters int) (result modelResult) {
	first := m.start(voters)
	if err := m.check(first); err != nil {
		return modelResult{fault: err}
	}
	m.seen(first)
	layer := []*modelState{first}
	defer func() { result.states = len(m.visited) }()
	for len(layer) > 0 && (m.budget.depth == 0 || result.depth < m.budget.depth) {
		var following []*modelState
		for _, state := range layer {
			for _, next := range m.successors(state) {
				result.transitions++
				if err := m.check(next); err != nil {
					result.fault = err
					for at := next; at.parent != nil; at = at.parent {
						result.trace = append([]string{at.event}, result.trace...)
					}
					return result
				}
				if !m.seen(next) {
					following = append(following, next)
				}
			}
			if len(m.visited) > m.budget.states {
				return result
			}
		}
		result.depth++
		layer = following
	}
	result.complete = len(layer) == 0 || result.depth == m.budget.depth
	return result
}

// modelSearch is one search of the model; those marked long run only when CRESSPOND_MODEL=all asks for them.
type modelSearch struct {
	voters int
	budget modelBudget
	long   bool
}

const (
	modelStates = 150_000
	// longModelStates bounds the searches that CI leaves out.
	longModelStates = 1_000_000
)

// TestMembershipChangesPreserveEveryCommit searches all histories within each budget.
func TestMembershipChangesPreserveEveryCommit(t *testing.T) {
	for _, search := range []modelSearch{
		// Every order of two changes and one leader change, completely.
		{voters: 4, budget: modelBudget{elections: 1, changes: 2}},
		{voters: 3, budget: modelBudget{elections: 1, changes: 2}, long: true},
		// All kinds of events together, to a depth.
		{voters: 3, budget: modelBudget{elections: 2, changes: 2, commands: 1, crashes: 1, losses: 1, resends: 1, depth: 4}},
		{voters: 4, budget: modelBudget{elections: 2, changes: 2, commands: 1, crashes: 1, losses: 1, resends: 1, depth: 4}},
		{voters: 3, budget: modelBudget{elections: 1, changes: 2, crashes: 1, losses: 1, depth: 5}},
		// Logs are compacted, and members that lag are sent snapshots.
		{voters: 3, budget: modelBudget{elections: 1, commands: 1, compactions: 2, losses: 1, depth: 7}},
		{voters: 3, budget: modelBudget{elections: 1, changes: 1, commands: 1, compactions: 1, crashes: 1, resends: 1, depth: 5}},
		{voters: 3, budget: modelBudget{elections: 2, commands: 2, compactions: 2, losses: 1, crashes: 1, resends: 1, depth: 9}, long: true},
		{voters: 3, budget: modelBudget{elections: 2, changes: 2}, long: true},
		{voters: 4, budget: modelBudget{elections: 2, changes: 1}, long: true},
		{voters: 4, budget: modelBudget{elections: 2, changes: 2, depth: 11}, long: true},
		{voters: 3, budget: modelBudget{elections: 1, changes: 2, crashes: 1, losses: 1, depth: 9}, long: true},
		{voters: 4, budget: modelBudget{elections: 1, changes: 2, crashes: 1, losses: 1, depth: 9}, long: true},
		{voters: 4, budget: modelBudget{elections: 2, changes: 2, commands: 1, crashes: 1, losses: 1, resends: 1, depth: 6}, long: true},
	} {
		search.budget.states = modelStates
		if search.long {
			if os.Getenv("CRESSPOND_MODEL") != "all" {
				continue
			}
			search.budget.states = longModelStates
		}
		result := newModel(correctRules, search.budget).explore(search.voters)
		t.Logf("%d voters, %+v: %d states, %d transitions, depth %d, complete %t", search.voters, search.budget, result.states, result.transitions, result.depth, result.complete)
		if result.fault != nil {
			t.Errorf("%d voters: %v after %q", search.voters, result.fault, result.trace)
		}
		if !result.complete && !search.long {
			t.Errorf("%d voters, %+v: the search was cut short at %d states", search.voters, search.budget, result.states)
		}
	}
}

// TestModelCatchesBrokenRules breaks one rule at a time: its consequence must be found, not only the broken rule itself.
func TestModelCatchesBrokenRules(t *testing.T) {
	for _, broken := range []struct {
		variant modelVariant
		voters  int
		budget  modelBudget
	}{
		{beforeOwnCommit, 4, modelBudget{elections: 2, changes: 2}},
		{twoUncommitted, 3, modelBudget{elections: 1, changes: 2}},
		{twoVotersAtOnce, 3, modelBudget{elections: 1, changes: 1}},
		{inForceWhenCommitted, 3, modelBudget{elections: 1, changes: 2, commands: 1}},
		{compactedUncommitted, 3, modelBudget{elections: 1, commands: 1, compactions: 1, crashes: 1}},
	} {
		t.Run(string(broken.variant), func(t *testing.T) {
			broken.budget.states = modelStates
			checker := newModel(broken.variant, broken.budget)
			checker.consequencesOnly = true
			result := checker.explore(broken.voters)
			if result.fault == nil {
				t.Fatalf("not caught in %d states to depth %d", result.states, result.depth)
			}
			t.Logf("%d states: %v after %q", result.states, result.fault, result.trace)
		})
	}
}

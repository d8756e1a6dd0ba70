package raft

import (
	"fmt"
	"maps"
	"slices"
)

// checkedKey is the part of a state that the checks look at: not the links, not the budget.
type checkedKey struct {
	nodes   [modelMembers]int
	history int
}

type checkedResult struct {
	history int
	fault   error
}

// check checks each combination of members and history once.
func (m *model) check(state *modelState) error {
	key := checkedKey{state.nodes, state.history}
	result, known := m.checked[key]
	if !known {
		result.fault = m.inspect(state)
		result.history = state.history
		m.checked[key] = result
	}
	state.history = result.history
	return result.fault
}

// inspect checks the invariants, and extends the history by what the state shows.
func (m *model) inspect(state *modelState) error {
	history := m.histories[state.history]
	changed := false
	for _, nodeID := range state.nodes {
		node := &m.nodes[nodeID]
		if node.core.role == Leader {
			if other, known := history.leaders[node.core.term]; known && other != node.id {
				return fmt.Errorf("election safety: %d and %d lead term %d", other, node.id, node.core.term)
			} else if !known {
				history.leaders, changed = maps.Clone(history.leaders), true
				history.leaders[node.core.term] = node.id
			}
		}
		applied := appliedEntries(node.core)
		for index := Index(2); index <= node.core.commitIndex; index++ {
			entry := applied[index-2]
			if int(index)-2 < len(history.committed) {
				if known := history.committed[index-2]; known.entry.Term != entry.Term || string(known.entry.Data) != string(entry.Data) {
					return fmt.Errorf("state machine safety: %d commits another entry than was committed at %d", node.id, index)
				}
				continue
			}
			history.committed, changed = append(slices.Clip(history.committed), committedEntry{entry, node.core.term}), true
		}
	}
	if changed {
		state.history = intern(fmt.Sprint(history), m.historyIDs, &m.histories, history)
	}
	highest := Term(0)
	for term := range history.leaders {
		highest = max(highest, term)
	}
	for member, nodeID := range state.nodes {
		node := &m.nodes[nodeID]
		if node.core.role == Leader {
			if err := m.checkLeader(node, history, highest); err != nil {
				return err
			}
		}
		for _, other := range state.nodes[member+1:] {
			if err := matching(node.core, m.nodes[other].core); err != nil {
				return err
			}
		}
	}
	return nil
}

// membership decodes a membership, each once.
func (m *model) membership(data []byte) Membership {
	known, met := m.memberships[string(data)]
	if !met {
		known, _ = DecodeMembership(data)
		m.memberships[string(data)] = known
	}
	return known
}

// checkLeader checks leader completeness, one change at a time, and that quorums overlap.
func (m *model) checkLeader(node *modelNode, history modelHistory, highest Term) error {
	core := node.core
	inForce := core.memberships[0].membership
	applied := appliedEntries(core)
	for _, known := range history.committed {
		if known.entry.Kind == EntryMembership {
			inForce = m.membership(known.entry.Data)
		}
		present := int(known.entry.Index)-2 < len(applied)
		if core.term > known.term && (!present || applied[known.entry.Index-2].Term != known.entry.Term) {
			return fmt.Errorf("leader completeness: %d leads term %d and lacks entry %d, committed in term %d", node.id, core.term, known.entry.Index, known.term)
		}
	}
	if m.consequencesOnly {
		return nil
	}
	uncommitted, before := 0, core.memberships[0].membership
	for _, entry := range core.raftLog.entries {
		if entry.Kind != EntryMembership || entry.Index <= core.raftLog.snapshot.Index {
			continue
		}
		membership := m.membership(entry.Data)
		if entry.Index > core.commitIndex && entry.Term == core.term {
			uncommitted++
		}
		if voterChanges(before, membership) > 1 {
			return fmt.Errorf("%d has a change of more than one voter at %d", node.id, entry.Index)
		}
		before = membership
	}
	if uncommitted > 1 {
		return fmt.Errorf("%d has %d changes that are not committed", node.id, uncommitted)
	}
	if core.term == highest && disjointQuorums(before.Voters(), inForce.Voters()) {
		return fmt.Errorf("quorums: %d leads %v, and %v is committed", node.id, before.Voters(), inForce.Voters())
	}
	return nil
}

// matching checks log matching: two logs that agree in one entry agree in all before it.
func matching(a, b *Core) error {
	agree := false
	first, second := appliedEntries(a), appliedEntries(b)
	for position := min(len(first), len(second)) - 1; position >= 0; position-- {
		same := first[position].Term == second[position].Term
		if same && string(first[position].Data) != string(second[position].Data) || agree && !same {
			return fmt.Errorf("log matching: %d and %d differ at %d", a.id, b.id, position+2)
		}
		agree = agree || same
	}
	return nil
}

// disjointQuorums says whether two sets of voters have majorities without a common member.
func disjointQuorums(a, b []MemberID) bool {
	isQuorum := func(voters []MemberID, set uint) bool {
		count := 0
		for _, id := range voters {
			if set&(1<<id) != 0 {
				count++
			}
		}
		return count > len(voters)/2
	}
	for set := uint(0); set < 2<<modelMembers; set++ {
		if isQuorum(a, set) && isQuorum(b, ^set) {
			return true
		}
	}
	return false
}

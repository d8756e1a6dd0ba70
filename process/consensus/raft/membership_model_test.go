package raft

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// This is a bounded model checker for single-server membership changes. It steps the real Core through every order of
// elections, append exchanges, disk writes, proposals, crashes and losses within a budget, breadth first, and visits
// each state once. A state is memory and disk of four members, and the messages on the links between them.
//
// An election is one event: the candidate's requests reach any chosen set of the others, which answer. An append and
// its answer are one event, with the answer lost in a variant of it. That is no restriction for safety: a member that
// has voted in a term takes no part in an earlier one, so a vote may be moved to the moment at which it is counted,
// and a late answer is equivalent to a lost one that is repeated. Followers write at once (a write that is lost in a crash
// is equivalent to a lost message); a leader's own writes need an event of their own, so that others may sync an entry
// before it does. Elections need no time to pass, so nothing here rests on timers, leases or pre-votes. Pre-votes only
// hold elections back: a pre-vote round changes no term, vote, log or commit index, so each history with such rounds is one
// of those without them that are searched here. A snapshot holds the entries that it stands for, and fits into one chunk.

// modelBudget bounds what happens in one history.
type modelBudget struct {
	elections, changes, commands, crashes, losses, resends, compactions uint8
	// depth bounds the number of events; zero means until no new state is found.
	depth int
	// states bounds the search.
	states int
}

// modelVariant is a rule of membership changes that is broken on purpose.
type modelVariant string

const (
	correctRules         modelVariant = ""
	beforeOwnCommit      modelVariant = "a change is proposed before the leader has committed in its own term"
	twoUncommitted       modelVariant = "a change is proposed while another is not committed"
	twoVotersAtOnce      modelVariant = "two voters are changed by one entry"
	inForceWhenCommitted modelVariant = "a membership is in force only when it is committed"
	compactedUncommitted modelVariant = "a snapshot holds entries that are not committed"
)

const modelMembers = 4

// modelWrite is a save that is not synced yet.
type modelWrite struct {
	save      *Save
	afterSync []Message
}

// modelNode is one member's state; it is never changed once it is known.
type modelNode struct {
	id            MemberID
	core          *Core
	disk          PersistentState
	pendingWrites []modelWrite
}

// modelLinks holds the ids of the messages in flight: from, to, in order.
type modelLinks [modelMembers][modelMembers][]int

// modelState is one state of the search. Members, messages and histories are ids, so that states share them.
type modelState struct {
	nodes   [modelMembers]int
	links   modelLinks
	history int
	// spent is how much of the budget has been used.
	spent modelBudget
	depth int
	// parent and event tell how the state was reached.
	parent *modelState
	event  string
}

// modelHistory is what the checker remembers of a history.
type modelHistory struct {
	leaders map[Term]MemberID
	// committed lists the committed entries by index, from 2 on.
	committed []committedEntry
}

// committedEntry is an entry and the term of the first member that knew it to be committed.
type committedEntry struct {
	entry Entry
	term  Term
}

// model is a search: what was found so far, each member, message and history once, by its id.
type model struct {
	variant    modelVariant
	budget     modelBudget
	nodes      []modelNode
	nodeIDs    map[string]int
	messages   []Message
	messageIDs map[string]int
	histories  []modelHistory
	historyIDs map[string]int
	visited    map[string]struct{}
	// stepped, checked and memberships are caches: of steps, of checks, of decoded memberships.
	stepped     map[steppedKey]steppedResult
	checked     map[checkedKey]checkedResult
	memberships map[string]Membership
	// consequencesOnly leaves out the checks of the rules themselves, so that only the consequences of breaking them count.
	consequencesOnly bool
}

// steppedKey identifies a step of one member: its kind, and the message or membership it is taken with.
type steppedKey struct {
	nodeID int
	kind   string
	arg    int
}

// steppedResult is the member after a step, and the messages it sent.
type steppedResult struct {
	nodeID int
	sent   []int
}

// sameSource makes every election timeout the same: the model has no clock.
type sameSource struct{}

func (sameSource) Uint64() uint64 { return 1 << 62 }

var modelTiming = Timing{HeartbeatTicks: 1, ElectionTicks: 1024}

func newModel(variant modelVariant, budget modelBudget) *model {
	return &model{
		variant: variant, budget: budget,
		nodeIDs: map[string]int{}, messageIDs: map[string]int{}, historyIDs: map[string]int{}, visited: map[string]struct{}{},
		stepped: map[steppedKey]steppedResult{}, checked: map[checkedKey]checkedResult{}, memberships: map[string]Membership{},
	}
}

// cloneCore copies a core so that stepping the copy leaves the original as it is.
func cloneCore(c *Core) *Core {
	cloned := *c
	cloned.raftLog.entries = slices.Clone(c.raftLog.entries)
	cloned.memberships = slices.Clone(c.memberships)
	cloned.votes = maps.Clone(c.votes)
	cloned.pendingReads = slices.Clone(c.pendingReads)
	cloned.effects = Effects{}
	if c.incoming != nil {
		incoming := *c.incoming
		cloned.incoming = &incoming
	}
	if c.peers != nil {
		cloned.peers = map[MemberID]*progress{}
		for id, known := range c.peers {
			copied := *known
			if known.outgoing != nil {
				outgoing := *known.outgoing
				copied.outgoing = &outgoing
			}
			cloned.peers[id] = &copied
		}
	}
	return &cloned
}

func (m *model) node(n modelNode) int { return intern(n.key(), m.nodeIDs, &m.nodes, n) }

func (m *model) message(message Message) int {
	return intern(messageKey(message), m.messageIDs, &m.messages, message)
}

// run steps a member's core and syncs its saves; a leader's saves stay pending.
func (m *model) run(nodeID int, kind string, arg int, step func(*Core) Effects) (int, []int) {
	key := steppedKey{nodeID, kind, arg}
	if result, known := m.stepped[key]; known {
		return result.nodeID, result.sent
	}
	before := &m.nodes[nodeID]
	node := modelNode{id: before.id, core: cloneCore(before.core), disk: before.disk, pendingWrites: slices.Clone(before.pendingWrites)}
	var sent []int
	m.perform(&node, &sent, step)
	if node.core.role != Leader {
		for len(node.pendingWrites) > 0 {
			m.sync(&node, &sent)
		}
	}
	result := steppedResult{m.node(node), sent}
	m.stepped[key] = result
	return result.nodeID, result.sent
}

// perform takes one step and carries out its effects.
func (m *model) perform(node *modelNode, sent *[]int, step func(*Core) Effects) {
	if m.variant == inForceWhenCommitted {
		forgetUncommitted(node.core)
	}
	effects := step(node.core)
	if m.variant == inForceWhenCommitted {
		forgetUncommitted(node.core)
	}
	if effects.Save != nil || len(effects.AfterSync) > 0 && len(node.pendingWrites) > 0 {
		if effects.Save == nil {
			effects.Save = &Save{HardState: node.pendingWrites[len(node.pendingWrites)-1].save.HardState}
		}
		node.pendingWrites = append(node.pendingWrites, modelWrite{effects.Save, effects.AfterSync})
		effects.AfterSync = nil
	}
	m.send(node, sent, effects.Immediate)
	m.send(node, sent, effects.AfterSync)
}

func (m *model) send(node *modelNode, sent *[]int, messages []Message) {
	for _, message := range messages {
		switch {
		case message.To == node.id:
			m.perform(node, sent, func(c *Core) Effects { return c.Step(Receive{message}) })
		case message.Kind == MsgAppend && len(message.Entries) == 0:
			// It carries only the commit index; to lose it is harmless.
		default:
			*sent = append(*sent, m.message(message))
		}
	}
}

// sync writes the first pending save to disk.
func (m *model) sync(node *modelNode, sent *[]int) {
	write := node.pendingWrites[0]
	node.pendingWrites = node.pendingWrites[1:]
	node.disk.HardState = write.save.HardState
	if write.save.Snapshot != nil {
		node.disk.Snapshot = *write.save.Snapshot
	}
	node.disk.Entries = slices.DeleteFunc(slices.Clone(node.disk.Entries), func(e Entry) bool {
		return e.Index <= write.save.CompactTo || write.save.TruncateFrom > 0 && e.Index >= write.save.TruncateFrom
	})
	node.disk.Entries = append(node.disk.Entries, write.save.Entries...)
	if count := len(write.save.Entries); count > 0 {
		last := write.save.Entries[count-1]
		m.perform(node, sent, func(c *Core) Effects { return c.Step(Persisted{Index: last.Index, Term: last.Term}) })
	}
	m.send(node, sent, write.afterSync)
}

// forgetUncommitted is the broken rule by which a membership is in force only from its commit on.
func forgetUncommitted(c *Core) {
	c.memberships = c.memberships[:1]
	for _, entry := range c.raftLog.entries {
		if entry.Kind == EntryMembership && entry.Index <= c.commitIndex {
			membership, _ := DecodeMembership(entry.Data)
			c.memberships = append(c.memberships, membershipEntry{entry.Index, membership})
		}
	}
	c.updatePeers()
}

// uncheckedPropose is proposeMembership without the rule that the variant breaks.
func (m *model) uncheckedPropose(c *Core, next Membership) Effects {
	c.effects = Effects{}
	open := c.membershipCommitted() || m.variant == twoUncommitted
	if m.variant == inForceWhenCommitted {
		open = true
		for _, entry := range c.raftLog.entries {
			open = open && (entry.Kind != EntryMembership || entry.Index <= c.commitIndex)
		}
	}
	own := c.CommittedInTerm() || m.variant == beforeOwnCommit
	single := voterChanges(c.Membership(), next) <= 1 || m.variant == twoVotersAtOnce
	if c.role == Leader && open && own && single && len(next.Voters()) > 0 {
		c.effects.ProposedIndex = c.appendEntry(EntryMembership, next.Encode())
		c.sendAppends()
		c.advanceCommit()
	}
	c.deliverCommitted()
	return c.effects
}

// proposals lists the memberships that a leader might propose.
func (m *model) proposals(c *Core) []Membership {
	current := c.Membership()
	var proposals []Membership
	for id := MemberID(1); id <= modelMembers; id++ {
		found, in := current.Find(id)
		if in && found.Voter {
			if id != c.id {
				proposals = append(proposals, current.Without(id))
			}
			continue
		}
		next := current.With(Member{ID: id, Voter: true})
		slices.SortFunc(next.Members, func(a, b Member) int { return int(a.ID) - int(b.ID) })
		proposals = append(proposals, next)
		if m.variant == twoVotersAtOnce {
			for _, gone := range current.Voters() {
				if gone != c.id {
					proposals = append(proposals, next.Without(gone))
				}
			}
		}
	}
	return proposals
}

// next makes the state after one event; the caller changes members and links.
func (s *modelState) next(event string) *modelState {
	next := *s
	next.parent, next.event, next.depth = s, event, s.depth+1
	return &next
}

// put appends messages to their links.
func (m *model) put(state *modelState, messages []int) {
	for _, id := range messages {
		message := m.messages[id]
		queue := &state.links[message.From-1][message.To-1]
		*queue = append(slices.Clip(*queue), id)
	}
}

// deliver steps the receiver of a message and returns what that sends.
func (m *model) deliver(state *modelState, id int) []int {
	to := m.messages[id].To - 1
	var sent []int
	state.nodes[to], sent = m.run(state.nodes[to], "receive", id, func(c *Core) Effects { return c.Step(Receive{m.messages[id]}) })
	return sent
}

// split separates the messages for one member from the others.
func (m *model) split(messages []int, to MemberID) (those, others []int) {
	for _, id := range messages {
		if m.messages[id].To == to {
			those = append(those, id)
		} else {
			others = append(others, id)
		}
	}
	return those, others
}

// elect has a member campaign, with its requests reaching the members of a bit set.
func (m *model) elect(state *modelState, member int, reach uint) *modelState {
	elected := state.next(fmt.Sprintf("%d campaigns, and reaches %04b", member+1, reach))
	elected.spent.elections++
	var requests []int
	elected.nodes[member], requests = m.run(elected.nodes[member], "stand", 0, func(c *Core) Effects {
		return c.Step(Receive{Message{Kind: MsgTimeoutNow, From: c.id%modelMembers + 1, To: c.id, Term: max(c.term, 1)}})
	})
	for _, request := range requests {
		message := m.messages[request]
		if message.Kind != MsgVote {
			// A group of one leads at once.
			m.put(elected, []int{request})
			continue
		}
		if reach&(1<<(message.To-1)) == 0 {
			continue
		}
		answers, others := m.split(m.deliver(elected, request), MemberID(member+1))
		m.put(elected, others)
		for _, answer := range answers {
			m.put(elected, m.deliver(elected, answer))
		}
	}
	return elected
}

// exchange delivers the first message of a link, and delivers or loses the answers.
func (m *model) exchange(state *modelState, from, to int, answered bool) *modelState {
	event := fmt.Sprintf("%d to %d, answered %t", from+1, to+1, answered)
	exchanged := state.next(event)
	id := exchanged.links[from][to][0]
	exchanged.links[from][to] = exchanged.links[from][to][1:]
	answers, others := m.split(m.deliver(exchanged, id), MemberID(from+1))
	m.put(exchanged, others)
	if !answered {
		exchanged.spent.losses++
		return exchanged
	}
	for _, answer := range answers {
		m.put(exchanged, m.deliver(exchanged, answer))
	}
	return exchanged
}

// successors lists the states after each event that may come next.
func (m *model) successors(state *modelState) []*modelState {
	var successors []*modelState
	for member := range modelMembers {
		nodeID := state.nodes[member]
		node := &m.nodes[nodeID]
		if node.core.role == Leader {
			successors = append(successors, m.leaderSteps(state, member)...)
		} else if state.spent.elections < m.budget.elections && node.core.isVoter() {
			for reach := uint(0); reach < 1<<modelMembers; reach++ {
				if reach&(1<<member) != 0 {
					continue
				}
				if elected := m.elect(state, member, reach); m.nodes[elected.nodes[member]].core.role == Leader {
					successors = append(successors, elected)
				}
			}
		}
		if upTo := m.compactable(node.core); state.spent.compactions < m.budget.compactions && upTo > node.core.raftLog.snapshot.Index {
			compacted := state.next(fmt.Sprintf("%d compacts to %d", member+1, upTo))
			compacted.spent.compactions++
			var messages []int
			compacted.nodes[member], messages = m.run(nodeID, "compact", 0, func(c *Core) Effects { return compactTo(c, upTo) })
			m.put(compacted, messages)
			successors = append(successors, compacted)
		}
		if state.spent.crashes < m.budget.crashes {
			crashed := state.next(fmt.Sprintf("%d crashes", member+1))
			crashed.spent.crashes++
			restored := node.disk
			restored.Entries = slices.Clone(node.disk.Entries)
			crashed.nodes[member] = m.node(modelNode{id: node.id, core: New(node.id, modelTiming, restored, rand.New(sameSource{})), disk: node.disk})
			successors = append(successors, crashed)
		}
		for to := range modelMembers {
			if len(state.links[member][to]) == 0 {
				continue
			}
			successors = append(successors, m.exchange(state, member, to, true))
			if state.spent.losses < m.budget.losses {
				successors = append(successors, m.exchange(state, member, to, false))
				lost := state.next(fmt.Sprintf("%d to %d, lost", member+1, to+1))
				lost.spent.losses++
				lost.links[member][to] = lost.links[member][to][1:]
				successors = append(successors, lost)
			}
		}
	}
	for _, next := range successors {
		m.purge(next)
	}
	return successors
}

// purge removes messages of a term that both ends have left: they change nothing.
func (m *model) purge(state *modelState) {
	for from := range state.links {
		for to, queue := range state.links[from] {
			reached := m.nodes[state.nodes[to]].core.term
			if len(queue) == 0 || m.nodes[state.nodes[from]].core.term < reached {
				continue
			}
			if slices.ContainsFunc(queue, func(id int) bool { return m.messages[id].Term < reached }) {
				state.links[from][to] = slices.DeleteFunc(slices.Clone(queue), func(id int) bool { return m.messages[id].Term < reached })
			}
		}
	}
}

// leaderSteps lists what a leader may do by itself.
func (m *model) leaderSteps(state *modelState, member int) []*modelState {
	var successors []*modelState
	nodeID := state.nodes[member]
	step := func(event, kind string, arg int, step func(*Core) Effects) *modelState {
		next := state.next(event)
		var messages []int
		next.nodes[member], messages = m.run(nodeID, kind, arg, step)
		m.put(next, messages)
		successors = append(successors, next)
		return next
	}
	node := &m.nodes[nodeID]
	if len(node.pendingWrites) > 0 {
		synced := modelNode{id: node.id, core: cloneCore(node.core), disk: node.disk, pendingWrites: slices.Clone(node.pendingWrites)}
		var messages []int
		m.sync(&synced, &messages)
		next := state.next(fmt.Sprintf("%d has written", member+1))
		next.nodes[member] = m.node(synced)
		m.put(next, messages)
		successors = append(successors, next)
	}
	if state.spent.changes < m.budget.changes {
		for number, membership := range m.proposals(node.core) {
			next := step(fmt.Sprintf("%d proposes %v", member+1, membership.Voters()), "change", number, func(c *Core) Effects {
				if m.variant == correctRules {
					return c.Step(ProposeMembership{membership})
				}
				return m.uncheckedPropose(c, membership)
			})
			next.spent.changes++
		}
	}
	if state.spent.commands < m.budget.commands {
		step(fmt.Sprintf("%d proposes a command", member+1), "command", 0, func(c *Core) Effects { return c.Step(Propose{Data: []byte("x")}) }).spent.commands++
	}
	if state.spent.resends < m.budget.resends {
		step(fmt.Sprintf("%d sends again", member+1), "tick", 0, func(c *Core) Effects { return c.Step(Tick{}) }).spent.resends++
	}
	return successors
}

// seen says whether a state was visited before, and records it.
func (m *model) seen(state *modelState) bool {
	key := make([]byte, 0, 96)
	for _, nodeID := range state.nodes {
		key = binary.AppendUvarint(key, uint64(nodeID))
	}
	key = binary.AppendUvarint(key, uint64(state.history))
	key = append(key, state.spent.elections, state.spent.changes, state.spent.commands, state.spent.crashes, state.spent.losses, state.spent.resends, state.spent.compactions)
	for from := range state.links {
		for _, queue := range state.links[from] {
			key = binary.AppendUvarint(key, uint64(len(queue)))
			for _, id := range queue {
				key = binary.AppendUvarint(key, uint64(id))
			}
		}
	}
	if _, met := m.visited[string(key)]; met {
		return true
	}
	m.visited[string(key)] = struct{}{}
	return false
}

// start makes a group whose first member was elected and has committed an entry in its term.
func (m *model) start(voters int) *modelState {
	var members Membership
	for id := MemberID(1); id <= modelMembers; id++ {
		members.Members = append(members.Members, Member{ID: id, Voter: int(id) <= voters})
	}
	state := &modelState{history: intern("", m.historyIDs, &m.histories, modelHistory{leaders: map[Term]MemberID{}})}
	for member := range modelMembers {
		disk := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: members}}
		id := MemberID(member + 1)
		state.nodes[member] = m.node(modelNode{id: id, core: New(id, modelTiming, disk, rand.New(sameSource{})), disk: disk})
	}
	state = m.elect(state, 0, 1<<modelMembers-1)
	for len(m.nodes[state.nodes[0]].pendingWrites) > 0 {
		state = m.leaderSteps(state, 0)[0]
	}
	for to := range modelMembers {
		for len(state.links[0][to]) > 0 {
			state = m.exchange(state, 0, to, true)
		}
	}
	state.parent, state.event, state.spent, state.depth = nil, "", modelBudget{}, 0
	return state
}

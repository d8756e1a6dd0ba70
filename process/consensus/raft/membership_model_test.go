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
// before it does. Elections need no time to pass, so nothing here rests on timers, leases or pre-votes.

// modelBudget bounds what happens in one history.
type modelBudget struct {
	elections, changes, commands, crashes, losses, resends uint8
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

type modelState struct {
	nodes   [modelMembers]int
	links   modelLinks
	history int
	spent   modelBudget
	depth   int
	// parent and event tell how the state was reached.
	parent *modelState
	event  string
}

// modelHistory is what the checker remembers of a history.
type modelHistory struct {
	leaders map[Term]MemberID
	// committed lists entries by index, and by whom in which term each was first known to be committed.
	committed []committedEntry
}

type committedEntry struct {
	entry Entry
	term  Term
}

type model struct {
	variant     modelVariant
	budget      modelBudget
	nodes       []modelNode
	nodeIDs     map[string]int
	messages    []Message
	messageIDs  map[string]int
	histories   []modelHistory
	historyIDs  map[string]int
	visited     map[string]struct{}
	stepped     map[steppedKey]steppedResult
	checked     map[checkedKey]checkedResult
	memberships map[string]Membership
	// consequencesOnly leaves out the checks of the rules themselves, so that only the consequences of breaking them count.
	consequencesOnly bool
}

type steppedKey struct {
	node int
	kind string
	arg  int
}

type steppedResult struct {
	node int
	out  []int
}

// sameSource makes every election timeout the same: the model has no clock.
type sameSource struct{}

func (sameSource) Uint64() uint64 { return 1 << 62 }

var modelTiming = Timing{HeartbeatTicks: 1, ElectionTicks: 1024}

func newModel(variant modelVariant, budget modelBudget) *model {
	return &model{variant: variant, budget: budget, nodeIDs: map[string]int{}, messageIDs: map[string]int{}, historyIDs: map[string]int{},
		visited: map[string]struct{}{}, stepped: map[steppedKey]steppedResult{}, checked: map[checkedKey]checkedResult{}, memberships: map[string]Membership{}}
}

// cloneCore copies a core so that stepping the copy leaves the original as it is.
func cloneCore(c *Core) *Core {
	out := *c
	out.raftLog.entries = slices.Clone(c.raftLog.entries)
	out.memberships = slices.Clone(c.memberships)
	out.votes = maps.Clone(c.votes)
	out.pendingReads = slices.Clone(c.pendingReads)
	out.effects = Effects{}
	if c.peers != nil {
		out.peers = map[MemberID]*progress{}
		for id, known := range c.peers {
			copied := *known
			out.peers[id] = &copied
		}
	}
	return &out
}

func (m *model) node(n modelNode) int { return intern(n.key(), m.nodeIDs, &m.nodes, n) }

func (m *model) message(message Message) int {
	return intern(messageKey(message), m.messageIDs, &m.messages, message)
}

// run steps a member's core and syncs its saves; a leader's saves stay pending.
func (m *model) run(at int, kind string, arg int, step func(*Core) Effects) (int, []int) {
	key := steppedKey{at, kind, arg}
	if result, known := m.stepped[key]; known {
		return result.node, result.out
	}
	old := &m.nodes[at]
	n := modelNode{id: old.id, core: cloneCore(old.core), disk: old.disk, pendingWrites: slices.Clone(old.pendingWrites)}
	var out []int
	m.perform(&n, &out, step)
	if n.core.role != Leader {
		for len(n.pendingWrites) > 0 {
			m.sync(&n, &out)
		}
	}
	result := steppedResult{m.node(n), out}
	m.stepped[key] = result
	return result.node, result.out
}

// perform takes one step and carries out its effects.
func (m *model) perform(n *modelNode, out *[]int, step func(*Core) Effects) {
	if m.variant == inForceWhenCommitted {
		forgetUncommitted(n.core)
	}
	effects := step(n.core)
	if m.variant == inForceWhenCommitted {
		forgetUncommitted(n.core)
	}
	if effects.Save != nil || len(effects.AfterSync) > 0 && len(n.pendingWrites) > 0 {
		if effects.Save == nil {
			effects.Save = &Save{HardState: n.pendingWrites[len(n.pendingWrites)-1].save.HardState}
		}
		n.pendingWrites = append(n.pendingWrites, modelWrite{effects.Save, effects.AfterSync})
		effects.AfterSync = nil
	}
	m.send(n, out, effects.Immediate)
	m.send(n, out, effects.AfterSync)
}

func (m *model) send(n *modelNode, out *[]int, messages []Message) {
	for _, message := range messages {
		switch {
		case message.To == n.id:
			m.perform(n, out, func(c *Core) Effects { return c.Step(Receive{message}) })
		case message.Kind == MsgAppend && len(message.Entries) == 0:
			// It carries only the commit index; to lose it is harmless.
		default:
			*out = append(*out, m.message(message))
		}
	}
}

// sync writes the first pending save to disk.
func (m *model) sync(n *modelNode, out *[]int) {
	write := n.pendingWrites[0]
	n.pendingWrites = n.pendingWrites[1:]
	n.disk.HardState = write.save.HardState
	n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e Entry) bool {
		return write.save.TruncateFrom > 0 && e.Index >= write.save.TruncateFrom
	})
	n.disk.Entries = append(n.disk.Entries, write.save.Entries...)
	if count := len(write.save.Entries); count > 0 {
		last := write.save.Entries[count-1]
		m.perform(n, out, func(c *Core) Effects { return c.Step(Persisted{Index: last.Index, Term: last.Term}) })
	}
	m.send(n, out, write.afterSync)
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
	var out []Membership
	for id := MemberID(1); id <= modelMembers; id++ {
		found, in := current.Find(id)
		if in && found.Voter {
			if id != c.id {
				out = append(out, current.Without(id))
			}
			continue
		}
		next := current.With(Member{ID: id, Voter: true})
		slices.SortFunc(next.Members, func(a, b Member) int { return int(a.ID) - int(b.ID) })
		out = append(out, next)
		if m.variant == twoVotersAtOnce {
			for _, gone := range current.Voters() {
				if gone != c.id {
					out = append(out, next.Without(gone))
				}
			}
		}
	}
	return out
}

// next makes the state after one event; the caller changes members and links.
func (s *modelState) next(event string) *modelState {
	out := *s
	out.parent, out.event, out.depth = s, event, s.depth+1
	return &out
}

// put appends messages to their links.
func (m *model) put(s *modelState, messages []int) {
	for _, id := range messages {
		message := m.messages[id]
		queue := &s.links[message.From-1][message.To-1]
		*queue = append(slices.Clip(*queue), id)
	}
}

// deliver steps the receiver of a message and returns what that sends.
func (m *model) deliver(s *modelState, id int) []int {
	to := m.messages[id].To - 1
	var out []int
	s.nodes[to], out = m.run(s.nodes[to], "receive", id, func(c *Core) Effects { return c.Step(Receive{m.messages[id]}) })
	return out
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
func (m *model) elect(s *modelState, member int, reach uint) *modelState {
	out := s.next(fmt.Sprintf("%d campaigns, and reaches %04b", member+1, reach))
	out.spent.elections++
	var requests []int
	out.nodes[member], requests = m.run(out.nodes[member], "stand", 0, func(c *Core) Effects {
		return c.Step(Receive{Message{Kind: MsgTimeoutNow, From: c.id%modelMembers + 1, To: c.id, Term: max(c.term, 1)}})
	})
	for _, request := range requests {
		message := m.messages[request]
		if message.Kind != MsgVote {
			// A group of one leads at once.
			m.put(out, []int{request})
			continue
		}
		if reach&(1<<(message.To-1)) == 0 {
			continue
		}
		answers, others := m.split(m.deliver(out, request), MemberID(member+1))
		m.put(out, others)
		for _, answer := range answers {
			m.put(out, m.deliver(out, answer))
		}
	}
	return out
}

// exchange delivers the first message of a link, and delivers or loses the answers.
func (m *model) exchange(s *modelState, from, to int, answered bool) *modelState {
	event := fmt.Sprintf("%d to %d, answered %t", from+1, to+1, answered)
	out := s.next(event)
	id := out.links[from][to][0]
	out.links[from][to] = out.links[from][to][1:]
	answers, others := m.split(m.deliver(out, id), MemberID(from+1))
	m.put(out, others)
	if !answered {
		out.spent.losses++
		return out
	}
	for _, answer := range answers {
		m.put(out, m.deliver(out, answer))
	}
	return out
}

// successors lists the states after each event that may come next.
func (m *model) successors(s *modelState) []*modelState {
	var out []*modelState
	for member := range modelMembers {
		at := s.nodes[member]
		n := &m.nodes[at]
		if n.core.role == Leader {
			out = append(out, m.leaderSteps(s, member)...)
		} else if s.spent.elections < m.budget.elections && n.core.isVoter() {
			for reach := uint(0); reach < 1<<modelMembers; reach++ {
				if reach&(1<<member) != 0 {
					continue
				}
				if elected := m.elect(s, member, reach); m.nodes[elected.nodes[member]].core.role == Leader {
					out = append(out, elected)
				}
			}
		}
		if s.spent.crashes < m.budget.crashes {
			crashed := s.next(fmt.Sprintf("%d crashes", member+1))
			crashed.spent.crashes++
			restored := n.disk
			restored.Entries = slices.Clone(n.disk.Entries)
			crashed.nodes[member] = m.node(modelNode{id: n.id, core: New(n.id, modelTiming, restored, rand.New(sameSource{})), disk: n.disk})
			out = append(out, crashed)
		}
		for to := range modelMembers {
			if len(s.links[member][to]) == 0 {
				continue
			}
			out = append(out, m.exchange(s, member, to, true))
			if s.spent.losses < m.budget.losses {
				out = append(out, m.exchange(s, member, to, false))
				lost := s.next(fmt.Sprintf("%d to %d, lost", member+1, to+1))
				lost.spent.losses++
				lost.links[member][to] = lost.links[member][to][1:]
				out = append(out, lost)
			}
		}
	}
	for _, next := range out {
		m.purge(next)
	}
	return out
}

// purge removes messages of a term that both ends have left: they change nothing.
func (m *model) purge(s *modelState) {
	for from := range s.links {
		for to, queue := range s.links[from] {
			reached := m.nodes[s.nodes[to]].core.term
			if len(queue) == 0 || m.nodes[s.nodes[from]].core.term < reached {
				continue
			}
			if slices.ContainsFunc(queue, func(id int) bool { return m.messages[id].Term < reached }) {
				s.links[from][to] = slices.DeleteFunc(slices.Clone(queue), func(id int) bool { return m.messages[id].Term < reached })
			}
		}
	}
}

// leaderSteps lists what a leader may do by itself.
func (m *model) leaderSteps(s *modelState, member int) []*modelState {
	var out []*modelState
	at := s.nodes[member]
	step := func(event, kind string, arg int, step func(*Core) Effects) *modelState {
		next := s.next(event)
		var messages []int
		next.nodes[member], messages = m.run(at, kind, arg, step)
		m.put(next, messages)
		out = append(out, next)
		return next
	}
	n := &m.nodes[at]
	if len(n.pendingWrites) > 0 {
		synced := modelNode{id: n.id, core: cloneCore(n.core), disk: n.disk, pendingWrites: slices.Clone(n.pendingWrites)}
		var messages []int
		m.sync(&synced, &messages)
		next := s.next(fmt.Sprintf("%d has written", member+1))
		next.nodes[member] = m.node(synced)
		m.put(next, messages)
		out = append(out, next)
	}
	if s.spent.changes < m.budget.changes {
		for number, membership := range m.proposals(n.core) {
			next := step(fmt.Sprintf("%d proposes %v", member+1, membership.Voters()), "change", number, func(c *Core) Effects {
				if m.variant == correctRules {
					return c.Step(ProposeMembership{membership})
				}
				return m.uncheckedPropose(c, membership)
			})
			next.spent.changes++
		}
	}
	if s.spent.commands < m.budget.commands {
		step(fmt.Sprintf("%d proposes a command", member+1), "command", 0, func(c *Core) Effects { return c.Step(Propose{Data: []byte("x")}) }).spent.commands++
	}
	if s.spent.resends < m.budget.resends {
		step(fmt.Sprintf("%d sends again", member+1), "tick", 0, func(c *Core) Effects { return c.Step(Tick{}) }).spent.resends++
	}
	return out
}

// seen says whether a state was visited before, and records it.
func (m *model) seen(s *modelState) bool {
	key := make([]byte, 0, 96)
	for _, node := range s.nodes {
		key = binary.AppendUvarint(key, uint64(node))
	}
	key = binary.AppendUvarint(key, uint64(s.history))
	key = append(key, s.spent.elections, s.spent.changes, s.spent.commands, s.spent.crashes, s.spent.losses, s.spent.resends)
	for from := range s.links {
		for _, queue := range s.links[from] {
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
	s := &modelState{history: intern("", m.historyIDs, &m.histories, modelHistory{leaders: map[Term]MemberID{}})}
	for member := range modelMembers {
		disk := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: members}}
		id := MemberID(member + 1)
		s.nodes[member] = m.node(modelNode{id: id, core: New(id, modelTiming, disk, rand.New(sameSource{})), disk: disk})
	}
	s = m.elect(s, 0, 1<<modelMembers-1)
	for len(m.nodes[s.nodes[0]].pendingWrites) > 0 {
		s = m.leaderSteps(s, 0)[0]
	}
	for to := range modelMembers {
		for len(s.links[0][to]) > 0 {
			s = m.exchange(s, 0, to, true)
		}
	}
	s.parent, s.event, s.spent, s.depth = nil, "", modelBudget{}, 0
	return s
}

package raft

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

// This is a bounded model of single-server membership changes. It steps the real Core through every order of
// elections, append exchanges, disk writes, proposals, crashes and losses within a budget, breadth first, and keeps
// each state once. A state is what four members hold in memory, on disk and on the links between them.
//
// An election is one event: the candidate's requests reach any chosen set of the others, which answer. An append and
// its answer are one event, with the answer lost in a variant of it. That is no restriction for safety: a member that
// has voted in a term takes no part in an earlier one, so a vote may be moved to the moment at which it is counted,
// and an answer that is late may be taken as lost and given again. Followers write at once (a write that a crash
// loses is a message that never came); a leader's own writes wait for an event of their own, so that others may hold
// an entry before it does. Elections need no time to pass, so nothing here rests on timers, leases or pre-votes.

// modelBudget bounds what happens in one history.
type modelBudget struct {
	elections, changes, commands, crashes, losses, resends uint8
	// depth bounds the number of events; zero means until no new state is found.
	depth int
	// states bounds the search.
	states int
}

// modelVariant is a way to break the rules of membership changes on purpose.
type modelVariant string

const (
	correctRules       modelVariant = ""
	beforeOwnCommit    modelVariant = "a change is proposed before the leader has committed in its own term"
	twoUncommitted     modelVariant = "a change is proposed while another is not committed"
	twoVotersAtOnce    modelVariant = "two voters are changed by one entry"
	takenWhenCommitted modelVariant = "a membership is taken up only when it is committed"
)

const modelMembers = 4

// modelWrite is a write that is not synced yet.
type modelWrite struct {
	save  *Save
	later []Message
}

// modelNode is one member's state; it is never changed once it is known.
type modelNode struct {
	id    MemberID
	core  *Core
	disk  PersistentState
	queue []modelWrite
}

// modelLinks holds the messages under way: from, to, in order.
type modelLinks [modelMembers][modelMembers][]int

type modelState struct {
	nodes  [modelMembers]int
	links  modelLinks
	ledger int
	spent  modelBudget
	depth  int
	// parent and event tell how the state was reached.
	parent *modelState
	event  string
}

// modelLedger is what the checker remembers of a history.
type modelLedger struct {
	leaders map[Term]MemberID
	// committed lists entries by index, and by whom in which term each was first known to be committed.
	committed []committedEntry
}

type committedEntry struct {
	entry Entry
	by    Term
}

type model struct {
	variant  modelVariant
	budget   modelBudget
	nodes    []modelNode
	nodeIDs  map[string]int
	messages []Message
	sent     map[string]int
	ledgers  []modelLedger
	known    map[string]int
	visited  map[string]struct{}
	stepped  map[steppedKey]steppedResult
	checked  map[checkedKey]checkedResult
	read     map[string]Membership
	// consequences leaves out what holds the rules themselves, so that only what comes of breaking them is seen.
	consequences bool
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
	return &model{variant: variant, budget: budget, nodeIDs: map[string]int{}, sent: map[string]int{}, known: map[string]int{},
		visited: map[string]struct{}{}, stepped: map[steppedKey]steppedResult{}, checked: map[checkedKey]checkedResult{}, read: map[string]Membership{}}
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

// stateKey builds the name of a state.
type stateKey []byte

func (k *stateKey) number(numbers ...uint64) {
	for _, number := range numbers {
		*k = binary.AppendUvarint(*k, number)
	}
}

func (k *stateKey) flag(set bool) {
	if set {
		k.number(1)
	} else {
		k.number(0)
	}
}

func (k *stateKey) entries(entries []Entry) {
	k.number(uint64(len(entries)))
	for _, entry := range entries {
		k.number(uint64(entry.Index), uint64(entry.Term), uint64(entry.Kind), uint64(len(entry.Data)))
		*k = append(*k, entry.Data...)
	}
}

func (k *stateKey) message(message Message) {
	k.number(uint64(message.Kind), uint64(message.From), uint64(message.To), uint64(message.Term), uint64(message.LogIndex), uint64(message.LogTerm), uint64(message.Commit), uint64(message.Hint))
	k.flag(message.Reject)
	k.entries(message.Entries)
}

// key names a member's state; timers are left out.
func (n *modelNode) key() string {
	out := make(stateKey, 0, 512)
	c := n.core
	out.number(uint64(c.id), uint64(c.term), uint64(c.vote), uint64(c.role), uint64(c.leader), uint64(c.commitIndex), uint64(c.raftLog.stableIndex))
	out.entries(c.raftLog.entries)
	for id := MemberID(1); id <= modelMembers; id++ {
		peer := c.peers[id]
		out.flag(peer != nil)
		if peer != nil {
			out.number(uint64(peer.match), uint64(peer.next))
			out.flag(peer.probing)
		}
		granted, answered := c.votes[id]
		out.flag(answered)
		out.flag(granted)
	}
	out.number(uint64(c.memberships[len(c.memberships)-1].index), uint64(n.disk.HardState.Term), uint64(n.disk.HardState.Vote))
	out.entries(n.disk.Entries)
	for _, write := range n.queue {
		out.number(uint64(write.save.HardState.Term), uint64(write.save.HardState.Vote), uint64(write.save.TruncateFrom), uint64(len(write.later)))
		out.entries(write.save.Entries)
		for _, message := range write.later {
			out.message(message)
		}
	}
	return string(out)
}

func messageKey(message Message) string {
	out := make(stateKey, 0, 128)
	out.message(message)
	return string(out)
}

func intern[T any](key string, known map[string]int, list *[]T, value T) int {
	if at, seen := known[key]; seen {
		return at
	}
	known[key] = len(*list)
	*list = append(*list, value)
	return len(*list) - 1
}

func (m *model) node(n modelNode) int { return intern(n.key(), m.nodeIDs, &m.nodes, n) }
func (m *model) message(message Message) int {
	return intern(messageKey(message), m.sent, &m.messages, message)
}

// run steps a member's core and writes what is to be written; a leader's writes wait.
func (m *model) run(at int, kind string, arg int, step func(*Core) Effects) (int, []int) {
	key := steppedKey{at, kind, arg}
	if result, known := m.stepped[key]; known {
		return result.node, result.out
	}
	old := &m.nodes[at]
	n := modelNode{id: old.id, core: cloneCore(old.core), disk: old.disk, queue: slices.Clone(old.queue)}
	var out []int
	m.perform(&n, &out, step)
	if n.core.role != Leader {
		for len(n.queue) > 0 {
			m.sync(&n, &out)
		}
	}
	result := steppedResult{m.node(n), out}
	m.stepped[key] = result
	return result.node, result.out
}

// perform takes one step and does what it asks for.
func (m *model) perform(n *modelNode, out *[]int, step func(*Core) Effects) {
	if m.variant == takenWhenCommitted {
		forgetUncommitted(n.core)
	}
	effects := step(n.core)
	if m.variant == takenWhenCommitted {
		forgetUncommitted(n.core)
	}
	if effects.Save != nil || len(effects.AfterSync) > 0 && len(n.queue) > 0 {
		if effects.Save == nil {
			effects.Save = &Save{HardState: n.queue[len(n.queue)-1].save.HardState}
		}
		n.queue = append(n.queue, modelWrite{effects.Save, effects.AfterSync})
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
			// It tells only how much is committed, and is taken as lost.
		default:
			*out = append(*out, m.message(message))
		}
	}
}

// sync puts the first write that waits on disk.
func (m *model) sync(n *modelNode, out *[]int) {
	write := n.queue[0]
	n.queue = n.queue[1:]
	n.disk.HardState = write.save.HardState
	n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e Entry) bool {
		return write.save.TruncateFrom > 0 && e.Index >= write.save.TruncateFrom
	})
	n.disk.Entries = append(n.disk.Entries, write.save.Entries...)
	if count := len(write.save.Entries); count > 0 {
		last := write.save.Entries[count-1]
		m.perform(n, out, func(c *Core) Effects { return c.Step(Persisted{Index: last.Index, Term: last.Term}) })
	}
	m.send(n, out, write.later)
}

// forgetUncommitted is the broken rule by which a membership counts only from its commit on.
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

// uncheckedPropose is proposeMembership without the rules that the variant lacks.
func (m *model) uncheckedPropose(c *Core, next Membership) Effects {
	c.effects = Effects{}
	open := c.membershipCommitted() || m.variant == twoUncommitted
	if m.variant == takenWhenCommitted {
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

// next makes a state after one event in which some members have moved and messages were sent.
func (s *modelState) next(event string) *modelState {
	out := *s
	out.parent, out.event, out.depth = s, event, s.depth+1
	return &out
}

// put adds messages to their links.
func (m *model) put(s *modelState, messages []int) {
	for _, id := range messages {
		message := m.messages[id]
		line := &s.links[message.From-1][message.To-1]
		*line = append(slices.Clip(*line), id)
	}
}

// deliver gives a message to its receiver and returns what that sends.
func (m *model) deliver(s *modelState, id int) []int {
	to := m.messages[id].To - 1
	var out []int
	s.nodes[to], out = m.run(s.nodes[to], "receive", id, func(c *Core) Effects { return c.Step(Receive{m.messages[id]}) })
	return out
}

// split parts the messages for one member from the others.
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

// elect has a member stand, with its requests reaching the members of a bit set.
func (m *model) elect(s *modelState, place int, reach uint) *modelState {
	out := s.next(fmt.Sprintf("%d stands, and reaches %04b", place+1, reach))
	out.spent.elections++
	var requests []int
	out.nodes[place], requests = m.run(out.nodes[place], "stand", 0, func(c *Core) Effects {
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
		answers, others := m.split(m.deliver(out, request), MemberID(place+1))
		m.put(out, others)
		for _, answer := range answers {
			m.put(out, m.deliver(out, answer))
		}
	}
	return out
}

// exchange delivers the first message of a link, and its answers, or loses those.
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
	for place := range modelMembers {
		at := s.nodes[place]
		n := &m.nodes[at]
		if n.core.role == Leader {
			out = append(out, m.leaderSteps(s, place)...)
		} else if s.spent.elections < m.budget.elections && n.core.isVoter() {
			for reach := uint(0); reach < 1<<modelMembers; reach++ {
				if reach&(1<<place) != 0 {
					continue
				}
				if elected := m.elect(s, place, reach); m.nodes[elected.nodes[place]].core.role == Leader {
					out = append(out, elected)
				}
			}
		}
		if s.spent.crashes < m.budget.crashes {
			crashed := s.next(fmt.Sprintf("%d crashes", place+1))
			crashed.spent.crashes++
			restored := n.disk
			restored.Entries = slices.Clone(n.disk.Entries)
			crashed.nodes[place] = m.node(modelNode{id: n.id, core: New(n.id, modelTiming, restored, rand.New(sameSource{})), disk: n.disk})
			out = append(out, crashed)
		}
		for to := range modelMembers {
			if len(s.links[place][to]) == 0 {
				continue
			}
			out = append(out, m.exchange(s, place, to, true))
			if s.spent.losses < m.budget.losses {
				out = append(out, m.exchange(s, place, to, false))
				lost := s.next(fmt.Sprintf("%d to %d, lost", place+1, to+1))
				lost.spent.losses++
				lost.links[place][to] = lost.links[place][to][1:]
				out = append(out, lost)
			}
		}
	}
	for _, next := range out {
		m.purge(next)
	}
	return out
}

// purge takes messages of a term that both ends have left from the links: they change nothing.
func (m *model) purge(s *modelState) {
	for from := range s.links {
		for to, line := range s.links[from] {
			reached := m.nodes[s.nodes[to]].core.term
			if len(line) == 0 || m.nodes[s.nodes[from]].core.term < reached {
				continue
			}
			if slices.ContainsFunc(line, func(id int) bool { return m.messages[id].Term < reached }) {
				s.links[from][to] = slices.DeleteFunc(slices.Clone(line), func(id int) bool { return m.messages[id].Term < reached })
			}
		}
	}
}

// leaderSteps lists what a leader may do by itself.
func (m *model) leaderSteps(s *modelState, place int) []*modelState {
	var out []*modelState
	at := s.nodes[place]
	step := func(event, kind string, arg int, step func(*Core) Effects) *modelState {
		next := s.next(event)
		var messages []int
		next.nodes[place], messages = m.run(at, kind, arg, step)
		m.put(next, messages)
		out = append(out, next)
		return next
	}
	n := &m.nodes[at]
	if len(n.queue) > 0 {
		synced := modelNode{id: n.id, core: cloneCore(n.core), disk: n.disk, queue: slices.Clone(n.queue)}
		var messages []int
		m.sync(&synced, &messages)
		next := s.next(fmt.Sprintf("%d has written", place+1))
		next.nodes[place] = m.node(synced)
		m.put(next, messages)
		out = append(out, next)
	}
	if s.spent.changes < m.budget.changes {
		for number, membership := range m.proposals(n.core) {
			next := step(fmt.Sprintf("%d proposes %v", place+1, membership.Voters()), "change", number, func(c *Core) Effects {
				if m.variant == correctRules {
					return c.Step(ProposeMembership{membership})
				}
				return m.uncheckedPropose(c, membership)
			})
			next.spent.changes++
		}
	}
	if s.spent.commands < m.budget.commands {
		step(fmt.Sprintf("%d proposes a command", place+1), "command", 0, func(c *Core) Effects { return c.Step(Propose{Data: []byte("x")}) }).spent.commands++
	}
	if s.spent.resends < m.budget.resends {
		step(fmt.Sprintf("%d sends again", place+1), "tick", 0, func(c *Core) Effects { return c.Step(Tick{}) }).spent.resends++
	}
	return out
}

// seen says whether a state was met before, and keeps it.
func (m *model) seen(s *modelState) bool {
	key := make([]byte, 0, 96)
	for _, at := range s.nodes {
		key = binary.AppendUvarint(key, uint64(at))
	}
	key = binary.AppendUvarint(key, uint64(s.ledger))
	key = append(key, s.spent.elections, s.spent.changes, s.spent.commands, s.spent.crashes, s.spent.losses, s.spent.resends)
	for from := range s.links {
		for _, line := range s.links[from] {
			key = binary.AppendUvarint(key, uint64(len(line)))
			for _, id := range line {
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

// checkedKey is all that a check looks at; the links and the budget are not.
type checkedKey struct {
	nodes  [modelMembers]int
	ledger int
}

type checkedResult struct {
	ledger int
	fault  error
}

// check checks each combination of members and history once.
func (m *model) check(s *modelState) error {
	key := checkedKey{s.nodes, s.ledger}
	result, known := m.checked[key]
	if !known {
		result.fault = m.inspect(s)
		result.ledger = s.ledger
		m.checked[key] = result
	}
	s.ledger = result.ledger
	return result.fault
}

// inspect holds what must never happen, and notes what the history has shown.
func (m *model) inspect(s *modelState) error {
	ledger := m.ledgers[s.ledger]
	changed := false
	for _, at := range s.nodes {
		n := &m.nodes[at]
		if n.core.role == Leader {
			if other, known := ledger.leaders[n.core.term]; known && other != n.id {
				return fmt.Errorf("election safety: %d and %d lead term %d", other, n.id, n.core.term)
			} else if !known {
				ledger.leaders, changed = maps.Clone(ledger.leaders), true
				ledger.leaders[n.core.term] = n.id
			}
		}
		for index := Index(2); index <= n.core.commitIndex; index++ {
			entry := n.core.raftLog.entries[index-2]
			if int(index)-2 < len(ledger.committed) {
				if known := ledger.committed[index-2]; known.entry.Term != entry.Term || string(known.entry.Data) != string(entry.Data) {
					return fmt.Errorf("state machine safety: %d commits another entry than was committed at %d", n.id, index)
				}
				continue
			}
			ledger.committed, changed = append(slices.Clip(ledger.committed), committedEntry{entry, n.core.term}), true
		}
	}
	if changed {
		s.ledger = intern(fmt.Sprint(ledger), m.known, &m.ledgers, ledger)
	}
	highest := Term(0)
	for term := range ledger.leaders {
		highest = max(highest, term)
	}
	for place, at := range s.nodes {
		n := &m.nodes[at]
		if n.core.role == Leader {
			if err := m.checkLeader(n, ledger, highest); err != nil {
				return err
			}
		}
		for _, other := range s.nodes[place+1:] {
			if err := matching(n.core, m.nodes[other].core); err != nil {
				return err
			}
		}
	}
	return nil
}

// membership reads a membership, each once.
func (m *model) membership(data []byte) Membership {
	known, met := m.read[string(data)]
	if !met {
		known, _ = DecodeMembership(data)
		m.read[string(data)] = known
	}
	return known
}

// checkLeader holds leader completeness, one change at a time, and that quorums meet.
func (m *model) checkLeader(n *modelNode, ledger modelLedger, highest Term) error {
	c := n.core
	inForce := c.memberships[0].membership
	for _, known := range ledger.committed {
		if known.entry.Kind == EntryMembership {
			inForce = m.membership(known.entry.Data)
		}
		if term, held := c.raftLog.term(known.entry.Index); c.term > known.by && (!held || term != known.entry.Term) {
			return fmt.Errorf("leader completeness: %d leads term %d and lacks entry %d, committed in term %d", n.id, c.term, known.entry.Index, known.by)
		}
	}
	if m.consequences {
		return nil
	}
	open, before := 0, c.memberships[0].membership
	for _, entry := range c.raftLog.entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership := m.membership(entry.Data)
		if entry.Index > c.commitIndex && entry.Term == c.term {
			open++
		}
		if voterChanges(before, membership) > 1 {
			return fmt.Errorf("%d has a change of more than one voter at %d", n.id, entry.Index)
		}
		before = membership
	}
	if open > 1 {
		return fmt.Errorf("%d has %d changes that are not committed", n.id, open)
	}
	if c.term == highest && disjointQuorums(before.Voters(), inForce.Voters()) {
		return fmt.Errorf("quorums: %d leads %v, and %v is committed", n.id, before.Voters(), inForce.Voters())
	}
	return nil
}

// matching holds that two logs that agree in one entry agree in all before it.
func matching(a, b *Core) error {
	agree := false
	for at := min(len(a.raftLog.entries), len(b.raftLog.entries)) - 1; at >= 0; at-- {
		same := a.raftLog.entries[at].Term == b.raftLog.entries[at].Term
		if same && string(a.raftLog.entries[at].Data) != string(b.raftLog.entries[at].Data) || agree && !same {
			return fmt.Errorf("log matching: %d and %d differ at %d", a.id, b.id, at+2)
		}
		agree = agree || same
	}
	return nil
}

// disjointQuorums says whether a majority of one set of voters and a majority of another may share nobody.
func disjointQuorums(a, b []MemberID) bool {
	quorum := func(voters []MemberID, set uint) bool {
		count := 0
		for _, id := range voters {
			if set&(1<<id) != 0 {
				count++
			}
		}
		return count > len(voters)/2
	}
	for set := uint(0); set < 2<<modelMembers; set++ {
		if quorum(a, set) && quorum(b, ^set) {
			return true
		}
	}
	return false
}

// start is a group whose first member has been elected and has committed in its term.
func (m *model) start(voters int) *modelState {
	var members Membership
	for id := MemberID(1); id <= modelMembers; id++ {
		members.Members = append(members.Members, Member{ID: id, Voter: int(id) <= voters})
	}
	s := &modelState{ledger: intern("", m.known, &m.ledgers, modelLedger{leaders: map[Term]MemberID{}})}
	for place := range modelMembers {
		disk := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: members}}
		id := MemberID(place + 1)
		s.nodes[place] = m.node(modelNode{id: id, core: New(id, modelTiming, disk, rand.New(sameSource{})), disk: disk})
	}
	s = m.elect(s, 0, 1<<modelMembers-1)
	for len(m.nodes[s.nodes[0]].queue) > 0 {
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

type modelResult struct {
	states, transitions, depth int
	// whole says that no state within the budget was left out.
	whole bool
	fault error
	trace []string
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
		for _, s := range layer {
			for _, next := range m.successors(s) {
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
	result.whole = len(layer) == 0 || result.depth == m.budget.depth
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

// TestMembershipChangesKeepEveryCommit searches all histories within each budget.
func TestMembershipChangesKeepEveryCommit(t *testing.T) {
	for _, search := range []modelSearch{
		// Every order of two changes and one leader change, to the end.
		{voters: 4, budget: modelBudget{elections: 1, changes: 2}},
		{voters: 3, budget: modelBudget{elections: 1, changes: 2}, long: true},
		// All kinds of events together, to a depth.
		{voters: 3, budget: modelBudget{elections: 2, changes: 2, commands: 1, crashes: 1, losses: 1, resends: 1, depth: 4}},
		{voters: 4, budget: modelBudget{elections: 2, changes: 2, commands: 1, crashes: 1, losses: 1, resends: 1, depth: 4}},
		{voters: 3, budget: modelBudget{elections: 1, changes: 2, crashes: 1, losses: 1, depth: 5}},
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
		t.Logf("%d voters, %+v: %d states, %d transitions, depth %d, whole %t", search.voters, search.budget, result.states, result.transitions, result.depth, result.whole)
		if result.fault != nil {
			t.Errorf("%d voters: %v after %q", search.voters, result.fault, result.trace)
		}
		if !result.whole && !search.long {
			t.Errorf("%d voters, %+v: the search was cut short at %d states", search.voters, search.budget, result.states)
		}
	}
}

// TestTheModelCatchesBrokenRules breaks one rule at a time: what comes of it must be seen, not only the break itself.
func TestTheModelCatchesBrokenRules(t *testing.T) {
	for _, broken := range []struct {
		variant modelVariant
		voters  int
		budget  modelBudget
	}{
		{beforeOwnCommit, 4, modelBudget{elections: 2, changes: 2}},
		{twoUncommitted, 3, modelBudget{elections: 1, changes: 2}},
		{twoVotersAtOnce, 3, modelBudget{elections: 1, changes: 1}},
		{takenWhenCommitted, 3, modelBudget{elections: 1, changes: 2, commands: 1}},
	} {
		t.Run(string(broken.variant), func(t *testing.T) {
			broken.budget.states = modelStates
			m := newModel(broken.variant, broken.budget)
			m.consequences = true
			result := m.explore(broken.voters)
			if result.fault == nil {
				t.Fatalf("not caught in %d states to depth %d", result.states, result.depth)
			}
			t.Logf("%d states: %v after %q", result.states, result.fault, result.trace)
		})
	}
}

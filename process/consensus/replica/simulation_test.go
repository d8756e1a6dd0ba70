package replica

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// The simulator runs a whole group and its holders in made-up time: links that lose, repeat, delay
// and cut one way, disks that stall and lose what was not synced, machines that crash, freeze and are
// wiped, and clocks whose time of day jumps. A checker holds what must never happen.

// brk names a way to break the machinery on purpose, to see that the checker bites.
type brk string

const (
	sound          brk = ""
	diskLies       brk = "a disk that says synced before it is"
	voteForgotten  brk = "a term and a vote that are not kept"
	readsUnasked   brk = "reads answered without asking a majority"
	floorForgotten brk = "floors that are forgotten"
	tenureOverrun  brk = "a holder that mints on after its tenure"
	wipedKeepsName brk = "a wiped member that votes under its old identity"
)

type simEvent struct {
	at  clock.Mark
	seq int
	run func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }

func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *simHeap) Push(x any) { *h = append(*h, x.(simEvent)) }

func (h *simHeap) Pop() any { old := *h; last := old[len(old)-1]; *h = old[:len(old)-1]; return last }

type sim struct {
	t       *testing.T
	random  *rand.Rand
	broken  brk
	now     clock.Mark
	events  simHeap
	seq     int
	nodes   []*simNode
	holders []*simHolder
	cut     map[[2]int]bool
	loss    float64
	faults  bool

	// What the checker keeps.
	violations  []string
	leaderOf    map[raft.Term]raft.MemberID
	applied     map[raft.Index]string
	minted      map[ident.SnowflakeID]string
	mints       int
	ackedEpoch  ident.Version
	firstNow    ident.GroupTime
	firstAt     clock.Mark
	acks, reads int
	refs        uint64
	asked       map[uint64]func(Response)
	crashes     int
	// calm leaves time between troubles, so that a leader lasts long enough to reclaim what lapsed.
	calm bool
	// ended stops the operators, so that what they were told can spread before the end is looked at.
	ended                   bool
	wipes, replaced, losses int
	// size is how many machines are to vote.
	size int
	// diskTakes is how long each write takes beside the rest.
	diskTakes time.Duration
	// notices counts what members noticed, compared the digests that peers answered with, gaveUp who gave up its state.
	notices  map[raft.NoticeKind]int
	compared int
	gaveUp   []raft.MemberID
	// highest is the last entry that any leader applied, lostDisks what identities held whose disks were wiped.
	highest   raft.Index
	lostDisks map[raft.MemberID]raft.PersistentState
	// mayGiveUp says that some state was made to differ.
	mayGiveUp bool
	// config is the group's.
	config Config
	// link, where it is set, is how many bytes a second each machine sends, one message after the other; busyUntil
	// says until when a machine's link is taken. wholeSnapshots has members say that they take no parts.
	link           int
	busyUntil      map[int]clock.Mark
	wholeSnapshots bool
	// damage changes snapshots on their way, while there is trouble.
	damage func(*raft.Message)
	// plan decides on the next membership; nil stands for the real plan.
	plan func(MembershipPlan) (raft.Membership, bool)
	// onlyPower has all machines lose power over and over, and nothing else happen.
	onlyPower bool
	// endsUnheld has those that stop end though nobody said that they may.
	endsUnheld bool
	// sentBytes is how much all machines sent.
	sentBytes int
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + clock.Mark(d), s.seq, run})
}

func (s *sim) ms(from, to int) time.Duration {
	return time.Duration(from+s.random.IntN(to-from+1)) * time.Millisecond
}

func simConfig(size int) Config {
	config := DefaultConfig()
	config.CompactEntries, config.RetainEntries = 40, 10
	config.Voters = size
	return config
}

func newSim(t *testing.T, seed uint64, size int, broken brk) *sim {
	return newAdjustedSim(t, seed, size, broken, nil)
}

// newAdjustedSim makes a simulated group with its members' settings changed by adjust.
func newAdjustedSim(t *testing.T, seed uint64, size int, broken brk, adjust func(*Config)) *sim {
	config := simConfig(size)
	if adjust != nil {
		adjust(&config)
	}
	return newSimWith(t, seed, config, broken)
}

func newSimWith(t *testing.T, seed uint64, config Config, broken brk) *sim {
	size := config.Voters
	s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 99)), broken: broken, now: clock.Mark(time.Hour), cut: map[[2]int]bool{}, loss: 0.02, faults: true, calm: seed%2 == 1,
		size: size, leaderOf: map[raft.Term]raft.MemberID{}, applied: map[raft.Index]string{}, minted: map[ident.SnowflakeID]string{}, asked: map[uint64]func(Response){}, notices: map[raft.NoticeKind]int{}, lostDisks: map[raft.MemberID]raft.PersistentState{}, config: config}
	var members raft.Membership
	for i := range size {
		members.Members = append(members.Members, raft.Member{ID: raft.MemberID(i + 1), Name: fmt.Sprint("core-", i), Address: fmt.Sprint(i), Voter: true})
	}
	for i := range size {
		n := &simNode{sim: s, place: i, id: raft.MemberID(i + 1)}
		n.disk.state = raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: statemachine.New().Snapshot()}}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	return s
}

// some picks some of the machines that are there.
func (s *sim) some(count int) []*simNode {
	here := slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return n.gone })
	s.random.Shuffle(len(here), func(i, j int) { here[i], here[j] = here[j], here[i] })
	return here[:min(count, len(here))]
}

// add brings up a new machine with an empty disk.
func (s *sim) add() {
	n := &simNode{sim: s, place: len(s.nodes), id: raft.MemberID(1000 + len(s.nodes))}
	s.nodes = append(s.nodes, n)
	n.start()
}

// whole says that all machines that are to be there are up and vote, so that one of them may be lost.
func (s *sim) whole() bool {
	here := 0
	for _, n := range s.nodes {
		if n.gone {
			continue
		}
		here++
		members := n.core.raft.Membership()
		if self, known := members.Find(n.id); !n.up || !known || !self.Voter || len(members.Voters()) != s.size {
			return false
		}
		// Whoever was replaced must be out.
		for _, other := range s.nodes {
			if found, in := members.Find(other.id); other.gone && in && found.Voter {
				return false
			}
		}
	}
	return here == s.size
}

// nextMembership asks the plan.
func (s *sim) nextMembership(plan MembershipPlan) (raft.Membership, bool) {
	if s.plan != nil {
		return s.plan(plan)
	}
	return plan.Next()
}

func (s *sim) nodeOf(id raft.MemberID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *sim) runFor(d time.Duration) {
	end := s.now + clock.Mark(d)
	for len(s.events) > 0 && s.events[0].at <= end && len(s.violations) < 5 {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	s.now = max(s.now, end)
}

// run is one history: trouble for a while, then quiet, in which the group must act again within the brief's twelve seconds.
func (s *sim) run(trouble time.Duration) {
	for i := range 4 {
		h := &simHolder{sim: s, name: fmt.Sprint("holder-", i), rate: 1 + (s.random.Float64()-0.5)*0.002}
		s.holders = append(s.holders, h)
		h.begin()
	}
	s.operate()
	s.trouble()
	if s.calm {
		trouble *= 2
	}
	s.runFor(trouble)
	s.heal()
	before := s.acks
	s.runFor(12 * time.Second)
	if s.acks == before && len(s.violations) == 0 {
		s.fault("nothing was acknowledged within 12 s of the last trouble")
	}
	s.ended = true
	s.runFor(2 * time.Second)
	if s.size >= 3 && !s.whole() {
		s.fault("not all machines vote 14 s after the last trouble")
	}
	for _, n := range s.nodes {
		if n.gone {
			continue
		}
		if n.core.state.Closures.Version < s.ackedEpoch {
			s.fault("member %d ends with closures at epoch %d, and %d was acknowledged", n.id, n.core.state.Closures.Version, s.ackedEpoch)
		}
	}
	if s.mints == 0 || s.reads == 0 {
		s.fault("nothing was checked: %d mints, %d reads", s.mints, s.reads)
	}
}

// tryRun takes a broken invariant's panic for a catch too.
func (s *sim) tryRun(trouble time.Duration) (caught string) {
	defer func() {
		if p := recover(); p != nil {
			caught = fmt.Sprint(p)
		}
	}()
	s.run(trouble)
	return cmp.Or(append(s.violations, "")...)
}

// calmSim is a group without troubles of its own, that has been told something.
func calmSim(t *testing.T, seed uint64, size int) *sim {
	s := newSim(t, seed, size, sound)
	s.faults, s.loss = false, 0
	h := &simHolder{sim: s, name: "holder", rate: 1}
	s.holders = append(s.holders, h)
	h.begin()
	s.operate()
	s.runFor(5 * time.Second)
	if s.acks == 0 {
		t.Fatal("the group does not act")
	}
	return s
}

// until runs until something holds, and says how long that took.
func (s *sim) until(most time.Duration, holds func() bool) time.Duration {
	began := s.now
	for s.now.Since(began) < most && !holds() {
		s.runFor(10 * time.Millisecond)
	}
	return s.now.Since(began)
}

// leader finds who leads.
func (s *sim) leader() *simNode {
	for _, n := range s.nodes {
		if n.up && s.now >= n.frozenUntil && n.core.IsLeader() {
			return n
		}
	}
	return nil
}

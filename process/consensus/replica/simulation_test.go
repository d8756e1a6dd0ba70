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

// The simulation runs a complete group and its clients in simulated time, deterministically by its seed: a network that
// loses, duplicates and delays messages and is partitioned one way or both, disks that stall and lose what was not
// synced, machines that crash, are suspended and are wiped, and clocks whose time of day jumps. Checks after each step
// report violations of the invariants (simulation_checks_test.go).

// defect names a defect that is injected on purpose, to prove that the checks catch it.
type defect string

const (
	noDefect           defect = ""
	lyingDisk          defect = "a disk that reports a sync before it happened"
	forgottenVotes     defect = "a term and a vote that are not persisted"
	unconfirmedReads   defect = "reads answered without confirmation by a majority"
	forgottenFloors    defect = "timestamp floors that are forgotten"
	overrunLease       defect = "a holder that generates ids after its lease expired"
	wipedKeepsIdentity defect = "a wiped member that votes under its old identity"
)

type scheduledEvent struct {
	at  clock.Mark
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (h eventQueue) Len() int { return len(h) }

func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventQueue) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

func (h *eventQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type simulation struct {
	t             *testing.T
	random        *rand.Rand
	defect        defect
	now           clock.Mark
	events        eventQueue
	seq           int
	nodes         []*simulatedNode
	holders       []*simulatedLeaseHolder
	partitioned   map[[2]int]bool
	loss          float64
	faultsEnabled bool

	// What the checks keep.
	violations     []string
	leaderOf       map[raft.Term]raft.MemberID
	applied        map[raft.Index]string
	minted         map[ident.SnowflakeID]string
	mints          int
	ackedVersion   ident.Version
	firstGroupTime ident.GroupTime
	firstAt        clock.Mark
	acks, reads    int
	lastRequestID  uint64
	responders     map[uint64]func(Response)
	crashes        int
	// sparseFaults leaves time between faults, so that a leader lasts long enough to reclaim expired leases.
	sparseFaults bool
	// operatorsStopped stops the operators, so that what was acknowledged can spread before the final checks.
	operatorsStopped        bool
	wipes, replaced, losses int
	// voters is how many machines are to vote.
	voters int
	// writeDuration is added to the duration of each write.
	writeDuration time.Duration
	// notices counts the members' notices, digestsCompared the digests in replies; resigned lists the members that
	// resigned.
	notices         map[raft.NoticeKind]int
	digestsCompared int
	resigned        []raft.MemberID
	// highestApplied is the last entry that any leader applied, wipedDisks what the members held whose disks were wiped.
	highestApplied raft.Index
	wipedDisks     map[raft.MemberID]raft.PersistentState
	// resignationExpected says that some state was made to diverge.
	resignationExpected bool
	// config is the group's.
	config Config
	// linkBytesPerSecond, where it is set, limits what each machine sends, one message after the other; linkBusyUntil is
	// when a machine's link is free. unchunkedSnapshots has members announce that they accept no chunks.
	linkBytesPerSecond int
	linkBusyUntil      map[int]clock.Mark
	unchunkedSnapshots bool
	// damageSnapshot alters snapshots in transit, until the faults end.
	damageSnapshot func(*raft.Message)
	// membershipRule decides on the next membership; nil stands for MembershipPlan.Next.
	membershipRule func(MembershipPlan) (raft.Membership, bool)
	// levels is the feature level of each machine's build; nil stands for this build's on all.
	levels func(*simulatedNode) statemachine.FeatureLevel
	// raisesAtOnce is a defect: a leader raises the feature level without asking the members.
	raisesAtOnce bool
	// powerLossOnly restricts the faults to power losses of all machines.
	powerLossOnly bool
	// stopsUnsafely has machines that stop end before they may.
	stopsUnsafely bool
	// sentBytes is the number of bytes that all machines sent.
	sentBytes int
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, scheduledEvent{s.now + clock.Mark(d), s.seq, run})
}

func (s *simulation) randomDuration(from, to int) time.Duration {
	return time.Duration(from+s.random.IntN(to-from+1)) * time.Millisecond
}

func simulationConfig(size int) Config {
	config := DefaultConfig()
	config.CompactEntries, config.RetainEntries = 40, 10
	// Logs of megabytes are played too, as builds before this one kept them.
	config.CompactBytes, config.RetainBytes = 8<<20, 2<<20
	config.Voters = size
	return config
}

func newSimulation(t *testing.T, seed uint64, size int, broken defect) *simulation {
	return newAdjustedSimulation(t, seed, size, broken, nil)
}

// newAdjustedSimulation makes a simulated group whose configuration is changed by adjust.
func newAdjustedSimulation(t *testing.T, seed uint64, size int, broken defect, adjust func(*Config)) *simulation {
	config := simulationConfig(size)
	if adjust != nil {
		adjust(&config)
	}
	return newSimulationWith(t, seed, config, broken)
}

func newSimulationWith(t *testing.T, seed uint64, config Config, broken defect) *simulation {
	size := config.Voters
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 99)), defect: broken, now: clock.Mark(time.Hour), partitioned: map[[2]int]bool{}, loss: 0.02, faultsEnabled: true, sparseFaults: seed%2 == 1,
		voters: size, leaderOf: map[raft.Term]raft.MemberID{}, applied: map[raft.Index]string{}, minted: map[ident.SnowflakeID]string{}, responders: map[uint64]func(Response){}, notices: map[raft.NoticeKind]int{}, wipedDisks: map[raft.MemberID]raft.PersistentState{}, config: config}
	var members raft.Membership
	for i := range size {
		members.Members = append(members.Members, raft.Member{ID: raft.MemberID(i + 1), Name: fmt.Sprint("core-", i), Address: fmt.Sprint(i), Voter: true})
	}
	for i := range size {
		n := &simulatedNode{sim: s, index: i, id: raft.MemberID(i + 1)}
		n.disk.state = raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: statemachine.New().Snapshot()}}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	return s
}

// randomMachines draws from the machines that were not removed.
func (s *simulation) randomMachines(count int) []*simulatedNode {
	here := slices.DeleteFunc(slices.Clone(s.nodes), func(n *simulatedNode) bool { return n.removed })
	s.random.Shuffle(len(here), func(i, j int) { here[i], here[j] = here[j], here[i] })
	return here[:min(count, len(here))]
}

// addMachine starts a new machine with an empty disk.
func (s *simulation) addMachine() {
	n := &simulatedNode{sim: s, index: len(s.nodes), id: raft.MemberID(1000 + len(s.nodes))}
	s.nodes = append(s.nodes, n)
	n.start()
}

// fullyRepaired reports whether all machines that are to be there are up and vote, so that one of them may be lost.
func (s *simulation) fullyRepaired() bool {
	here := 0
	for _, n := range s.nodes {
		if n.removed {
			continue
		}
		here++
		members := n.core.raft.Membership()
		if self, known := members.Find(n.id); !n.up || !known || !self.Voter || len(members.Voters()) != s.voters {
			return false
		}
		// Replaced machines must not vote any more.
		for _, other := range s.nodes {
			if found, in := members.Find(other.id); other.removed && in && found.Voter {
				return false
			}
		}
	}
	return here == s.voters
}

// featureLevel is the level that a machine's build understands.
func (s *simulation) featureLevel(n *simulatedNode) statemachine.FeatureLevel {
	if s.levels == nil {
		return statemachine.SupportedFeatureLevel
	}
	return s.levels(n)
}

// raiseFeatureLevel does what a leader's actor does with each tick.
func (s *simulation) raiseFeatureLevel(leader *simulatedNode) Effects {
	if s.raisesAtOnce && leader.core.state.FeatureLevel < s.featureLevel(leader) {
		return leader.core.Submit(s.now, 0, statemachine.Command{Op: statemachine.OpRaiseFeatureLevel, FeatureLevel: s.featureLevel(leader)})
	}
	return leader.core.RaiseFeatureLevel(s.now)
}

// nextMembership applies the membership rule of this simulation.
func (s *simulation) nextMembership(plan MembershipPlan) (raft.Membership, bool) {
	if s.membershipRule != nil {
		return s.membershipRule(plan)
	}
	return plan.Next()
}

func (s *simulation) nodeOf(id raft.MemberID) *simulatedNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now + clock.Mark(d)
	for len(s.events) > 0 && s.events[0].at <= end && len(s.violations) < 5 {
		event := heap.Pop(&s.events).(scheduledEvent)
		s.now = event.at
		event.run()
	}
	s.now = max(s.now, end)
}

// runHistory plays one history: faults for a while, then none, when the group must recover within twelve seconds.
func (s *simulation) runHistory(faultDuration time.Duration) {
	for i := range 4 {
		h := &simulatedLeaseHolder{sim: s, name: fmt.Sprint("holder-", i), rate: 1 + (s.random.Float64()-0.5)*0.002}
		s.holders = append(s.holders, h)
		h.begin()
	}
	s.scheduleOperator()
	s.scheduleFaults()
	if s.sparseFaults {
		faultDuration *= 2
	}
	s.runFor(faultDuration)
	s.heal()
	before := s.acks
	s.runFor(12 * time.Second)
	if s.acks == before && len(s.violations) == 0 {
		s.reportViolation("nothing was acknowledged within 12 s of the last fault")
	}
	s.operatorsStopped = true
	s.runFor(2 * time.Second)
	if s.voters >= 3 && !s.fullyRepaired() {
		s.reportViolation("not all machines vote 14 s after the last fault")
	}
	for _, n := range s.nodes {
		if n.removed {
			continue
		}
		if n.core.state.Closures.Version < s.ackedVersion {
			s.reportViolation("member %d ends with closures at version %d, and %d was acknowledged", n.id, n.core.state.Closures.Version, s.ackedVersion)
		}
	}
	if s.mints == 0 || s.reads == 0 {
		s.reportViolation("nothing was checked: %d mints, %d reads", s.mints, s.reads)
	}
}

// runUntilViolation returns the first violation, or the panic of a broken invariant.
func (s *simulation) runUntilViolation(faultDuration time.Duration) (caught string) {
	defer func() {
		if p := recover(); p != nil {
			caught = fmt.Sprint(p)
		}
	}()
	s.runHistory(faultDuration)
	return cmp.Or(append(s.violations, "")...)
}

// newFaultlessSimulation makes a group without random faults that has acknowledged something.
func newFaultlessSimulation(t *testing.T, seed uint64, size int) *simulation {
	sim := newSimulation(t, seed, size, noDefect)
	sim.faultsEnabled, sim.loss = false, 0
	h := &simulatedLeaseHolder{sim: sim, name: "holder", rate: 1}
	sim.holders = append(sim.holders, h)
	h.begin()
	sim.scheduleOperator()
	sim.runFor(5 * time.Second)
	if sim.acks == 0 {
		t.Fatal("the group acknowledges nothing")
	}
	return sim
}

// runUntil runs until a condition holds, and returns how long that took.
func (s *simulation) runUntil(most time.Duration, holds func() bool) time.Duration {
	began := s.now
	for s.now.Since(began) < most && !holds() {
		s.runFor(10 * time.Millisecond)
	}
	return s.now.Since(began)
}

// leader returns the node that leads; nil where none does.
func (s *simulation) leader() *simulatedNode {
	for _, n := range s.nodes {
		if n.up && s.now >= n.frozenUntil && n.core.IsLeader() {
			return n
		}
	}
	return nil
}

package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

const (
	// digestStep is the least number of entries between two digests of the state. A larger state is summed up less
	// often: once for each bytesPerEntry of it, so that a digest costs little beside what its entries did.
	digestStep    raft.Index = 16
	bytesPerEntry            = 4 << 10
	// keptDigests is how many a member keeps, so that it can be asked for one that lies a little back.
	keptDigests = 8
	// compareFor is how long a leader waits for its peers' digests at one index before it goes on to a newer one.
	compareFor = 2 * time.Second
)

// StateDiffersError says that this member's state is not what a majority holds.
type StateDiffersError struct {
	Index         raft.Index
	Own, Majority uint64
}

func (e *StateDiffersError) Error() string {
	return fmt.Sprintf("the state up to entry %d differs from what a majority holds (%016x instead of %016x)", e.Index, e.Own, e.Majority)
}

// digests keeps a member's digests of its state and, while it leads, compares its peers' with its own.
//
// Every member sums up its state at the same indexes. A leader's heartbeat names its newest digest to those peers
// that have not answered it yet, and they answer with theirs at that index. A majority of voters decides which one is
// right. One member at a time that holds another is told so, and gives up its state; a leader that does so itself.
type digests struct {
	form uint64
	step raft.Index
	kept []raft.StateDigest

	// comparing is the leader's digest that peers are asked for since asked; answers holds theirs.
	comparing raft.StateDigest
	asked     clock.Mark
	answers   map[raft.MemberID]uint64
	answered  map[raft.MemberID]bool
	// differing lists the members that differed by the last comparison, told whoever was told to give up: as long as
	// it belongs to the group nobody else is.
	differing []raft.MemberID
	told      raft.MemberID
}

func newDigests(form uint64) digests { return digests{form: form, step: digestStep} }

// due says whether the state is to be summed up at this index.
func (d *digests) due(index raft.Index) bool { return index%d.step == 0 }

// keep takes this member's digest at an index, of a state of so many bytes.
func (d *digests) keep(index raft.Index, sum uint64, bytes int) {
	d.kept = append(d.kept, raft.StateDigest{Index: index, Format: d.form, Sum: sum})
	d.kept = d.kept[max(0, len(d.kept)-keptDigests):]
	// Steps are powers of two, so that members whose steps differ still meet at some indexes.
	for d.step = digestStep; int(d.step)*bytesPerEntry < bytes; d.step *= 2 {
	}
}

// forget drops what was kept: the state was replaced.
func (d *digests) forget() { *d = digests{form: d.form, step: d.step} }

// stop ends the comparison: this member no longer leads, or leads anew.
func (d *digests) stop() {
	*d = digests{form: d.form, step: d.step, kept: d.kept}
}

// newest is the last digest; zero before the first.
func (d *digests) newest() raft.StateDigest {
	if len(d.kept) == 0 {
		return raft.StateDigest{}
	}
	return d.kept[len(d.kept)-1]
}

func (d *digests) at(index raft.Index) (raft.StateDigest, bool) {
	for _, own := range d.kept {
		if own.Index == index {
			return own, true
		}
	}
	return raft.StateDigest{}, false
}

// answer is a member's answer to a leader that asks for a digest; none where it has none at that index. The error
// says that the leader knows a majority to hold another state.
func (d *digests) answer(asked raft.StateDigest) (*raft.StateDigest, error) {
	own, known := d.at(asked.Index)
	if !known {
		return nil, nil
	}
	if asked.Differs && asked.Format == own.Format && asked.Sum != own.Sum {
		return nil, &StateDiffersError{Index: own.Index, Own: own.Sum, Majority: asked.Sum}
	}
	return &own, nil
}

// begin has a leader compare its newest digest, once the peers have answered the one before or took too long.
func (d *digests) begin(now clock.Mark, self raft.MemberID, peers raft.Membership) {
	newest := d.newest()
	if newest.Index <= d.comparing.Index {
		return
	}
	if d.comparing.Index > 0 && now.Since(d.asked) < compareFor && !d.complete(peers) {
		return
	}
	d.comparing, d.asked = newest, now
	d.answers, d.answered = map[raft.MemberID]uint64{self: newest.Sum}, map[raft.MemberID]bool{self: true}
}

func (d *digests) complete(peers raft.Membership) bool {
	for _, peer := range peers.Members {
		if !d.answered[peer.ID] {
			return false
		}
	}
	return true
}

// ask is what a leader's heartbeat to a peer carries; nothing where the peer has answered and is not to give up.
func (d *digests) ask(peer raft.MemberID, members raft.Membership) *raft.StateDigest {
	asked := d.comparing
	if asked.Index == 0 {
		return nil
	}
	if !d.answered[peer] {
		return &asked
	}
	right, decided := d.decide(members)
	if sum, compared := d.answers[peer]; peer != d.told || !decided || !compared || sum == right {
		return nil
	}
	asked.Sum, asked.Differs = right, true
	return &asked
}

// verdict is what a leader finds by an answer.
type verdict struct {
	// differs says that the answer is the first to differ from the leader's digest at its index.
	differs bool
	// self says that this leader's own state is the one that differs from a majority's.
	self error
}

// take notes a peer's answer. Answers of another form tell nothing.
func (d *digests) take(self, from raft.MemberID, said raft.StateDigest, members raft.Membership) verdict {
	if said.Index != d.comparing.Index || d.answered[from] || d.comparing.Index == 0 {
		return verdict{}
	}
	d.answered[from] = true
	if said.Format != d.form {
		return verdict{}
	}
	d.answers[from] = said.Sum
	found := verdict{differs: said.Sum != d.comparing.Sum}
	right, decided := d.decide(members)
	if !decided {
		if found.differs {
			d.differing = append(d.differing, from)
		}
		return found
	}
	d.differing = d.whoDiffers(right)
	d.choose(right, members)
	if d.comparing.Sum != right {
		found.self = &StateDiffersError{Index: d.comparing.Index, Own: d.comparing.Sum, Majority: right}
	}
	return found
}

func (d *digests) whoDiffers(right uint64) []raft.MemberID {
	var out []raft.MemberID
	for _, id := range slices.Sorted(maps.Keys(d.answers)) {
		if d.answers[id] != right {
			out = append(out, id)
		}
	}
	return out
}

// choose says who is told to give up: one at a time, since the group may stand losing no more, and its place must be
// taken before the next is told.
func (d *digests) choose(right uint64, members raft.Membership) {
	_, belongs := members.Find(d.told)
	if sum, compared := d.answers[d.told]; !belongs || compared && sum == right {
		d.told = 0
	}
	if d.told == 0 && len(d.differing) > 0 {
		d.told = d.differing[0]
	}
}

// decide gives the digest that a majority of all voters holds, if there is one.
func (d *digests) decide(members raft.Membership) (uint64, bool) {
	voters := members.Voters()
	counts := map[uint64]int{}
	for _, id := range voters {
		if sum, said := d.answers[id]; said {
			counts[sum]++
		}
	}
	for sum, count := range counts {
		if count > len(voters)/2 {
			return sum, true
		}
	}
	return 0, false
}

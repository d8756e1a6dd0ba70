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
	minDigestInterval  raft.Index = 16
	stateBytesPerEntry            = 4 << 10
	// keptDigests is how many a member keeps, so that it can be asked for one that lies a little back.
	retainedDigests = 8
	// compareFor is how long a leader waits for its peers' digests at one index before it goes on to a newer one.
	comparisonTimeout = 2 * time.Second
)

// StateDiffersError says that this member's state is not what a majority holds.
type StateDivergedError struct {
	Index         raft.Index
	Own, Majority uint64
}

func (e *StateDivergedError) Error() string {
	return fmt.Sprintf("the state up to entry %d differs from what a majority holds (%016x instead of %016x)", e.Index, e.Own, e.Majority)
}

// digests keeps a member's digests of its state and, while it leads, compares its peers' with its own.
//
// Every member sums up its state at the same indexes. A leader's heartbeat names its newest digest to those peers
// that have not answered it yet, and they answer with theirs at that index. A majority of voters decides which one is
// right. One member at a time that holds another is told so, and gives up its state; a leader that does so itself.
type digestTracker struct {
	form     uint64
	interval raft.Index
	recent   []raft.StateDigest

	// comparing is the leader's digest that peers are asked for since asked; answers holds theirs.
	comparing   raft.StateDigest
	requestedAt clock.Mark
	replies     map[raft.MemberID]uint64
	replied     map[raft.MemberID]bool
	// differing lists the members that differed by the last comparison, told whoever was told to give up: as long as
	// it belongs to the group nobody else is.
	divergent []raft.MemberID
	resigning raft.MemberID
}

func newDigests(form uint64) digestTracker {
	return digestTracker{form: form, interval: minDigestInterval}
}

// due says whether the state is to be summed up at this index.
func (d *digestTracker) due(index raft.Index) bool { return index%d.interval == 0 }

// keep takes this member's digest at an index, of a state of so many bytes.
func (d *digestTracker) record(index raft.Index, sum uint64, bytes int) {
	d.recent = append(d.recent, raft.StateDigest{Index: index, Format: d.form, Sum: sum})
	d.recent = d.recent[max(0, len(d.recent)-retainedDigests):]
	// Steps are powers of two, so that members whose steps differ still meet at some indexes.
	for d.interval = minDigestInterval; int(d.interval)*stateBytesPerEntry < bytes; d.interval *= 2 {
	}
}

// forget drops what was kept: the state was replaced.
func (d *digestTracker) reset() { *d = digestTracker{form: d.form, interval: d.interval} }

// stop ends the comparison: this member no longer leads, or leads anew.
func (d *digestTracker) stopComparing() {
	*d = digestTracker{form: d.form, interval: d.interval, recent: d.recent}
}

// newest is the last digest; zero before the first.
func (d *digestTracker) newest() raft.StateDigest {
	if len(d.recent) == 0 {
		return raft.StateDigest{}
	}
	return d.recent[len(d.recent)-1]
}

func (d *digestTracker) at(index raft.Index) (raft.StateDigest, bool) {
	for _, own := range d.recent {
		if own.Index == index {
			return own, true
		}
	}
	return raft.StateDigest{}, false
}

// answer is a member's answer to a leader that asks for a digest; none where it has none at that index. The error
// says that the leader knows a majority to hold another state.
func (d *digestTracker) replyTo(asked raft.StateDigest) (*raft.StateDigest, error) {
	own, known := d.at(asked.Index)
	if !known {
		return nil, nil
	}
	if asked.Differs && asked.Format == own.Format && asked.Sum != own.Sum {
		return nil, &StateDivergedError{Index: own.Index, Own: own.Sum, Majority: asked.Sum}
	}
	return &own, nil
}

// begin has a leader compare its newest digest, once the peers have answered the one before or took too long.
func (d *digestTracker) startComparison(now clock.Mark, self raft.MemberID, peers raft.Membership) {
	newest := d.newest()
	if newest.Index <= d.comparing.Index {
		return
	}
	if d.comparing.Index > 0 && now.Since(d.requestedAt) < comparisonTimeout && !d.allReplied(peers) {
		return
	}
	d.comparing, d.requestedAt = newest, now
	d.replies, d.replied = map[raft.MemberID]uint64{self: newest.Sum}, map[raft.MemberID]bool{self: true}
}

func (d *digestTracker) allReplied(peers raft.Membership) bool {
	for _, peer := range peers.Members {
		if !d.replied[peer.ID] {
			return false
		}
	}
	return true
}

// ask is what a leader's heartbeat to a peer carries; nothing where the peer has answered and is not to give up.
func (d *digestTracker) requestFor(peer raft.MemberID, members raft.Membership) *raft.StateDigest {
	asked := d.comparing
	if asked.Index == 0 {
		return nil
	}
	if !d.replied[peer] {
		return &asked
	}
	right, decided := d.majoritySum(members)
	if sum, compared := d.replies[peer]; peer != d.resigning || !decided || !compared || sum == right {
		return nil
	}
	asked.Sum, asked.Differs = right, true
	return &asked
}

// verdict is what a leader finds by an answer.
type comparison struct {
	// differs says that the answer is the first to differ from the leader's digest at its index.
	divergent bool
	// self says that this leader's own state is the one that differs from a majority's.
	selfDiverged error
}

// take notes a peer's answer. Answers of another form tell nothing.
func (d *digestTracker) recordReply(self, from raft.MemberID, said raft.StateDigest, members raft.Membership) comparison {
	if said.Index != d.comparing.Index || d.replied[from] || d.comparing.Index == 0 {
		return comparison{}
	}
	d.replied[from] = true
	if said.Format != d.form {
		return comparison{}
	}
	d.replies[from] = said.Sum
	found := comparison{divergent: said.Sum != d.comparing.Sum}
	right, decided := d.majoritySum(members)
	if !decided {
		if found.divergent {
			d.divergent = append(d.divergent, from)
		}
		return found
	}
	d.divergent = d.divergentFrom(right)
	d.chooseResigning(right, members)
	if d.comparing.Sum != right {
		found.selfDiverged = &StateDivergedError{Index: d.comparing.Index, Own: d.comparing.Sum, Majority: right}
	}
	return found
}

func (d *digestTracker) divergentFrom(right uint64) []raft.MemberID {
	var out []raft.MemberID
	for _, id := range slices.Sorted(maps.Keys(d.replies)) {
		if d.replies[id] != right {
			out = append(out, id)
		}
	}
	return out
}

// choose says who is told to give up: one at a time, since the group may stand losing no more, and its place must be
// taken before the next is told.
func (d *digestTracker) chooseResigning(right uint64, members raft.Membership) {
	_, belongs := members.Find(d.resigning)
	if sum, compared := d.replies[d.resigning]; !belongs || compared && sum == right {
		d.resigning = 0
	}
	if d.resigning == 0 && len(d.divergent) > 0 {
		d.resigning = d.divergent[0]
	}
}

// decide gives the digest that a majority of all voters holds, if there is one.
func (d *digestTracker) majoritySum(members raft.Membership) (uint64, bool) {
	voters := members.Voters()
	counts := map[uint64]int{}
	for _, id := range voters {
		if sum, said := d.replies[id]; said {
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

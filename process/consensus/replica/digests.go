package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

const (
	// minDigestPeriod is how often the state is digested, by the group's time, as long as entries are applied: so a state
	// that differs is found within the three seconds that operators allow. A larger state is digested less often, in
	// proportion to stateBytesPerPeriod, since a digest costs some 10 ms for each megabyte.
	minDigestPeriod     = time.Second
	stateBytesPerPeriod = 512 << 10
	// retainedDigests is how many digests a member keeps, so that a leader can request one that is a little older.
	retainedDigests = 8
	// comparisonTimeout is how long a leader waits for its peers' digests at one index before it goes on to a newer one.
	comparisonTimeout = 2 * time.Second
)

// StateDivergedError says that this member's state differs from the one that a majority holds at the same index. Own and
// Majority are the two digests.
type StateDivergedError struct {
	Index         raft.Index
	Own, Majority uint64
}

func (e *StateDivergedError) Error() string {
	return fmt.Sprintf("the state up to entry %d differs from what a majority holds (%016x instead of %016x)", e.Index, e.Own, e.Majority)
}

// digestTracker keeps a member's digests of its state and, while the member leads, compares its peers' with its own.
//
// Every member digests its state at the same entries: the first in each period of the group's time, which is part of the
// state. A leader's heartbeats carry its newest digest to those peers that
// have not replied to it yet, and they reply with theirs at that index. A majority of the voters decides which digest is
// right. One divergent member at a time is ordered to resign: it gives up its state and joins anew. A leader whose own
// state diverged resigns by itself.
type digestTracker struct {
	// format identifies the build and encoding; digests of different formats can't be compared.
	format uint64
	// period is the group's time between two digests.
	period time.Duration
	// recent are this member's last digests, the newest last.
	recent []raft.StateDigest

	// comparing is the leader's digest that peers are asked to compare since requestedAt. replies holds the digests of
	// those that replied in the same format, replied all that replied.
	comparing   raft.StateDigest
	requestedAt clock.Mark
	replies     map[raft.MemberID]uint64
	replied     map[raft.MemberID]bool
	// divergent lists the members that differed in the last comparison. resigning is the one that is ordered to resign;
	// no other is as long as it belongs to the group.
	divergent []raft.MemberID
	resigning raft.MemberID
}

func newDigestTracker(format uint64) digestTracker {
	return digestTracker{format: format, period: minDigestPeriod}
}

// due reports whether the state is to be digested after an entry that moved the group's time on.
func (d *digestTracker) due(before, after ident.GroupTime) bool {
	period := ident.GroupTime(d.period.Milliseconds())
	return before/period != after/period
}

// record keeps this member's digest at an index. stateBytes is the size of the state, which decides on the period.
func (d *digestTracker) record(index raft.Index, sum uint64, stateBytes int) {
	d.recent = append(d.recent, raft.StateDigest{Index: index, Format: d.format, Sum: sum})
	d.recent = d.recent[max(0, len(d.recent)-retainedDigests):]
	// Periods double, so that members whose periods differ still digest at some of the same entries.
	limit := stateBytesPerPeriod
	for d.period = minDigestPeriod; limit < stateBytes; d.period *= 2 {
		limit *= 2
	}
}

// reset forgets all digests, since the state was replaced.
func (d *digestTracker) reset() { *d = digestTracker{format: d.format, period: d.period} }

// stopComparing ends the comparison, since this member began or ceased to lead.
func (d *digestTracker) stopComparing() {
	*d = digestTracker{format: d.format, period: d.period, recent: d.recent}
}

// newest returns the last digest; zero before the first.
func (d *digestTracker) newest() raft.StateDigest {
	if len(d.recent) == 0 {
		return raft.StateDigest{}
	}
	return d.recent[len(d.recent)-1]
}

// at returns the digest at an index, if it is still kept.
func (d *digestTracker) at(index raft.Index) (raft.StateDigest, bool) {
	for _, own := range d.recent {
		if own.Index == index {
			return own, true
		}
	}
	return raft.StateDigest{}, false
}

// replyTo returns a member's reply to a leader's request; nil where it keeps no digest at that index. The error is a
// StateDivergedError where the leader orders it to resign.
func (d *digestTracker) replyTo(requested raft.StateDigest) (*raft.StateDigest, error) {
	own, known := d.at(requested.Index)
	if !known {
		return nil, nil
	}
	if requested.Differs && requested.Format == own.Format && requested.Sum != own.Sum {
		return nil, &StateDivergedError{Index: own.Index, Own: own.Sum, Majority: requested.Sum}
	}
	return &own, nil
}

// startComparison has a leader compare its newest digest, once all peers replied to the one before or timed out.
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

// allReplied reports whether each member replied to the digest that is being compared.
func (d *digestTracker) allReplied(peers raft.Membership) bool {
	for _, peer := range peers.Members {
		if !d.replied[peer.ID] {
			return false
		}
	}
	return true
}

// requestFor returns what a leader's heartbeat to a peer carries; nil where the peer has replied and is not ordered to
// resign.
func (d *digestTracker) requestFor(peer raft.MemberID, members raft.Membership) *raft.StateDigest {
	request := d.comparing
	if request.Index == 0 {
		return nil
	}
	if !d.replied[peer] {
		return &request
	}
	right, decided := d.majoritySum(members)
	if sum, compared := d.replies[peer]; peer != d.resigning || !decided || !compared || sum == right {
		return nil
	}
	request.Sum, request.Differs = right, true
	return &request
}

// comparison is what a leader finds by a peer's reply.
type comparison struct {
	// divergent says that the reply differs from the leader's digest.
	divergent bool
	// selfDiverged is a StateDivergedError where the leader's own state differs from the majority's.
	selfDiverged error
}

// recordReply compares a peer's reply. Replies of another format prove nothing.
func (d *digestTracker) recordReply(self, from raft.MemberID, reply raft.StateDigest, members raft.Membership) comparison {
	if reply.Index != d.comparing.Index || d.replied[from] || d.comparing.Index == 0 {
		return comparison{}
	}
	d.replied[from] = true
	if reply.Format != d.format {
		return comparison{}
	}
	d.replies[from] = reply.Sum
	found := comparison{divergent: reply.Sum != d.comparing.Sum}
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

// divergentFrom lists the members whose digest is another than the right one.
func (d *digestTracker) divergentFrom(right uint64) []raft.MemberID {
	var divergent []raft.MemberID
	for _, id := range slices.Sorted(maps.Keys(d.replies)) {
		if d.replies[id] != right {
			divergent = append(divergent, id)
		}
	}
	return divergent
}

// chooseResigning chooses the member that is ordered to resign: one at a time, since the group may not survive the loss of
// more, and it must be replaced before the next resigns.
func (d *digestTracker) chooseResigning(right uint64, members raft.Membership) {
	_, belongs := members.Find(d.resigning)
	if sum, compared := d.replies[d.resigning]; !belongs || compared && sum == right {
		d.resigning = 0
	}
	if d.resigning == 0 && len(d.divergent) > 0 {
		d.resigning = d.divergent[0]
	}
}

// majoritySum returns the digest that a majority of all voters holds, if there is one.
func (d *digestTracker) majoritySum(members raft.Membership) (uint64, bool) {
	voters := members.Voters()
	counts := map[uint64]int{}
	for _, id := range voters {
		if sum, replied := d.replies[id]; replied {
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

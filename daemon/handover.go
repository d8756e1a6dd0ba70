package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// unreleased names something that a draining daemon alone holds and could not transfer or release.
type unreleased string

const (
	// Leadership ends by an election instead; the planner's lease and the worker id by their expiry.
	leadership    unreleased = "leadership"
	plannersClaim unreleased = "planner's lease"
	workerID      unreleased = "worker id"
	// openResponses are requests of callers and operators that were not answered.
	openResponses unreleased = "open responses"
	// attemptMemory is the memory of the attempts that this daemon owns.
	attemptMemory unreleased = "attempt memory"
	// engineRegistrations are registrations that no other control daemon has seen.
	engineRegistrations unreleased = "engine registrations"
	// logEntries are committed entries that too few other voters hold.
	logEntries unreleased = "log entries"
)

// unreleasedSet collects what could not be transferred or released in time. It is safe for use from several
// goroutines.
type unreleasedSet struct {
	mutex     sync.Mutex
	resources []unreleased
}

func (k *unreleasedSet) add(resource unreleased) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !slices.Contains(k.resources, resource) {
		k.resources = append(k.resources, resource)
	}
}

func (k *unreleasedSet) all() []unreleased {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return slices.Clone(k.resources)
}

const (
	// registrationsSeenLimit bounds the wait for another control daemon to see the newest registrations.
	registrationsSeenLimit = 300 * time.Millisecond
	// memberRetireLimit bounds how long a member stays while too few others are in contact and hold the log: the time
	// for an election, and for a learner to be promoted.
	memberRetireLimit = 4 * time.Second
	// logReplicatedLimit bounds the wait for the same confirmation after the member has ended.
	logReplicatedLimit = 400 * time.Millisecond
	// logReplicatedEvery is how often the leader is queried for it.
	logReplicatedEvery = 25 * time.Millisecond
)

// awaitRegistrationsSeen waits until another control daemon has seen all registrations that were made here, except
// for the engines' load.
func (d *Daemon) awaitRegistrationsSeen(remaining *unreleasedSet) {
	if !d.config.Serves(daemonconfig.Control) || len(d.registry.View().Engines) == 0 {
		return
	}
	var peers []ident.NodeID
	for _, peer := range d.members.View().InContact(d.clock.Elapsed(), membership.ContactWindow) {
		if peer.NodeID != d.nodeID && peer.Serves(string(daemonconfig.Control)) {
			peers = append(peers, peer.NodeID)
		}
	}
	if len(peers) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(context.Background(), registrationsSeenLimit)
	defer cancel()
	reached := make(chan bool, len(peers))
	change := d.registry.LatestNonLoadChange()
	for _, peer := range peers {
		go func() {
			reached <- d.registry.AwaitPropagation(bounded, change, registrationsSeenLimit, func() []ident.NodeID { return []ident.NodeID{peer} })
		}()
	}
	for range peers {
		if <-reached {
			return
		}
	}
	remaining.add(engineRegistrations)
}

// retireMember ends this daemon's member of the group, after which nothing more is written to its disk. It first
// waits until the others can do without it, and then for the leader's confirmation that they hold all that was
// committed.
func (d *Daemon) retireMember(limit context.Context, remaining *unreleasedSet) {
	groupMember, incarnation := d.replica.Load(), d.memberIncarnation.Load()
	if groupMember == nil || incarnation == nil {
		return
	}
	condition := groupMember.Status()
	self, known := condition.Membership.Find(incarnation.store.MemberID)
	if !known || !self.Voter || len(condition.Membership.Voters()) == 1 {
		return
	}
	bounded, cancel := context.WithTimeout(limit, memberRetireLimit)
	defer cancel()
	if !d.awaitLogReplicated(bounded, self) {
		remaining.add(logEntries)
		return
	}
	d.memberRetired.Store(true)
	incarnation.cancel()
	last, done := context.WithTimeout(context.Background(), logReplicatedLimit)
	defer done()
	if !d.awaitLogReplicated(last, self) {
		remaining.add(logEntries)
	}
}

// awaitLogReplicated queries the leader until it confirms that the others hold the log; if this member leads, it
// transfers its leadership first.
func (d *Daemon) awaitLogReplicated(ctx context.Context, self raft.Member) bool {
	ticker := time.NewTicker(logReplicatedEvery)
	defer ticker.Stop()
	offered := clock.Mark(0)
	for {
		leader := d.leaderAddress()
		switch groupMember := d.replica.Load(); {
		case groupMember != nil && groupMember.Status().IsLeader:
			if now := d.clock.Elapsed(); now.Since(offered) > leadershipTransferEvery {
				offered = now
				groupMember.TransferLeadership()
			}
		case leader != "" && leader != self.Address && d.requestJoin(ctx, leader, self, true):
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

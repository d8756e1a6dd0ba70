package tenantquota

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/quota"
)

const (
	// contactCheckInterval is the shortest time between two searches for daemons out of contact.
	contactCheckInterval = time.Second
	// standingPeriod is how long a standing rate lasts from the reply that gave it, in package quota. The allocator's
	// Status tells the same, and costs time with each tenant.
	standingPeriod = 12 * time.Second
	// maxNamedDaemons bounds the daemons that one log line names.
	maxNamedDaemons = 10
)

// leaderLog logs the changes of state of a leader's buckets, from its calls. It starts anew in each term.
type leaderLog struct {
	// members is how many daemons may still send on credit of the leader before.
	members int
	log     log.Interface
	// begun says that the term's first call was answered.
	begun bool
	// credit is what daemons reported to have sent on credit since the last line on it, which was at creditAt.
	credit        uint64
	creditDaemons map[ident.NodeID]bool
	creditAt      clock.Mark
	// contacts are the daemons with a standing rate, reserved those of them for which tokens are reserved.
	contacts  map[ident.NodeID]contact
	reserved  map[ident.NodeID]bool
	checkedAt clock.Mark
}

// contact is when a daemon made its last call, and until when it may send on credit.
type contact struct {
	last, standingUntil clock.Mark
}

// ended reports whether the daemon may no longer send on credit.
func (c contact) ended(now clock.Mark) bool { return now >= c.standingUntil }

// overdue reports whether the leader reserves tokens for the daemon.
func (c contact) overdue(now clock.Mark) bool {
	return now.Since(c.last) > quota.ContactTimeout && !c.ended(now)
}

func newLeaderLog(logger log.Interface) leaderLog {
	return leaderLog{
		log:           logger,
		creditDaemons: map[ident.NodeID]bool{},
		contacts:      map[ident.NodeID]contact{},
		reserved:      map[ident.NodeID]bool{},
	}
}

// begin logs the first call that a leader answers in a term.
func (l *leaderLog) begin(leadership Leadership) {
	if l.begun {
		return
	}
	l.begun = true
	l.log.WithFields(log.Fields{
		"term":    leadership.Term,
		"members": l.members,
		"first":   leadership.First,
	}).Info("quota: the leader begins to allot tokens")
}

// noteCredit logs what daemons have sent on credit, all of them in one line.
func (l *leaderLog) noteCredit(daemon ident.NodeID, amount uint64, now clock.Mark) {
	if amount > 0 {
		l.credit += amount
		l.creditDaemons[daemon] = true
	}
	if l.credit == 0 || l.creditAt != 0 && now.Since(l.creditAt) < logInterval {
		return
	}
	l.log.WithFields(log.Fields{
		"requests": l.credit,
		"daemons":  len(l.creditDaemons),
	}).Info("quota: requests sent on credit were reported and are charged")
	l.credit = 0
	l.creditAt = now
	clear(l.creditDaemons)
}

// noteContact logs for which daemons out of contact tokens begin or end to be reserved.
func (l *leaderLog) noteContact(daemon ident.NodeID, reply quota.Reply, now clock.Mark) {
	l.renewContact(daemon, reply, now)
	if l.checkedAt != 0 && now.Since(l.checkedAt) < contactCheckInterval {
		return
	}
	l.checkedAt = now
	reserved := l.overdueDaemons(now)
	if begun := without(reserved, l.reserved); len(begun) > 0 {
		l.of(begun).Warn("quota: tokens are reserved for daemons out of contact")
	}
	if ended := without(l.reserved, reserved); len(ended) > 0 {
		l.of(ended).Info("quota: no more tokens are reserved for daemons that were out of contact")
	}
	l.reserved = reserved
}

// renewContact notes a call of a daemon, and whether its reply gave a standing rate.
func (l *leaderLog) renewContact(daemon ident.NodeID, reply quota.Reply, now clock.Mark) {
	renewed, known := l.contacts[daemon]
	if !known {
		l.retireEarlier(daemon)
	}
	renewed.last = now
	for _, allotment := range reply.Allotments {
		if allotment.StandingRate > 0 {
			renewed.standingUntil = now + clock.Mark(standingPeriod)
		}
	}
	l.contacts[daemon] = renewed
}

// retireEarlier forgets the incarnations that a daemon replaces.
func (l *leaderLog) retireEarlier(daemon ident.NodeID) {
	for other := range l.contacts {
		if other.Name() == daemon.Name() {
			delete(l.contacts, other)
		}
	}
}

// overdueDaemons returns the daemons for which tokens are reserved, and forgets those that may no longer send on credit.
func (l *leaderLog) overdueDaemons(now clock.Mark) map[ident.NodeID]bool {
	overdue := map[ident.NodeID]bool{}
	for daemon, contact := range l.contacts {
		if contact.ended(now) {
			delete(l.contacts, daemon)
		}
		if contact.overdue(now) {
			overdue[daemon] = true
		}
	}
	return overdue
}

// of makes a line on some daemons.
func (l *leaderLog) of(daemons []ident.NodeID) *log.Entry {
	return l.log.WithFields(log.Fields{
		"daemons": daemons[:min(len(daemons), maxNamedDaemons)],
		"count":   len(daemons),
	})
}

// without returns what is in one set and not in the other, sorted.
func without(some, others map[ident.NodeID]bool) []ident.NodeID {
	var left []ident.NodeID
	for daemon := range some {
		if !others[daemon] {
			left = append(left, daemon)
		}
	}
	slices.Sort(left)
	return left
}

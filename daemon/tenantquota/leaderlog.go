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
	// contactForgottenAfter is when a daemon that makes no calls is no longer looked at: its credit has ended by then.
	contactForgottenAfter = 30 * time.Second
	// maxNamedDaemons bounds the daemons that one log line names.
	maxNamedDaemons = 10
)

// leaderLog logs the changes of state of a leader's buckets, from its calls. It starts anew in each term.
type leaderLog struct {
	log log.Interface
	// begun says that the term's first call was answered.
	begun bool
	// credit is what daemons reported to have sent on credit since the last line on it, which was at creditAt.
	credit        uint64
	creditDaemons map[ident.NodeID]bool
	creditAt      clock.Mark
	// contacts are the last calls of daemons, reserved the daemons for which tokens are reserved.
	contacts  map[ident.NodeID]clock.Mark
	reserved  map[ident.NodeID]bool
	checkedAt clock.Mark
}

func newLeaderLog(logger log.Interface) leaderLog {
	return leaderLog{
		log:           logger,
		creditDaemons: map[ident.NodeID]bool{},
		contacts:      map[ident.NodeID]clock.Mark{},
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
		"members": len(leadership.Members),
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

// noteContact logs for which daemons out of contact tokens begin or end to be reserved. status is called only if a daemon
// may be one of them.
func (l *leaderLog) noteContact(daemon ident.NodeID, now clock.Mark, status func() []quota.TenantBucket) {
	l.contacts[daemon] = now
	if l.checkedAt != 0 && now.Since(l.checkedAt) < contactCheckInterval {
		return
	}
	l.checkedAt = now
	if !l.anyOverdue(now) && len(l.reserved) == 0 {
		return
	}
	reserved := reservedDaemons(status())
	if begun := without(reserved, l.reserved); len(begun) > 0 {
		l.of(begun).Warn("quota: tokens are reserved for daemons out of contact")
	}
	if ended := without(l.reserved, reserved); len(ended) > 0 {
		l.of(ended).Info("quota: no more tokens are reserved for daemons that were out of contact")
	}
	l.reserved = reserved
}

// anyOverdue reports whether a daemon has made no call for longer than it may, and forgets those that ended long ago.
func (l *leaderLog) anyOverdue(now clock.Mark) bool {
	overdue := false
	for daemon, last := range l.contacts {
		if now.Since(last) > contactForgottenAfter {
			delete(l.contacts, daemon)
		}
		overdue = overdue || now.Since(last) > quota.ContactTimeout
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

// reservedDaemons returns the daemons out of contact that may still spend on credit.
func reservedDaemons(buckets []quota.TenantBucket) map[ident.NodeID]bool {
	reserved := map[ident.NodeID]bool{}
	for _, bucket := range buckets {
		for _, allowance := range bucket.Daemons {
			if allowance.Overdue && allowance.StandingRate > 0 {
				reserved[allowance.Daemon] = true
			}
		}
	}
	return reserved
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

package ownership

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/cluster/affinity"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

const (
	// ContactWindow is how recent the last contact with a daemon must be for it to count as reachable.
	ContactWindow = 3 * time.Second
	// UncertainWindow is for how long a daemon that became unreachable, or has just started, leaves it uncertain what
	// it knew.
	UncertainWindow = 8 * time.Second
)

// AttemptOwners are the daemons to query about an attempt.
type AttemptOwners struct {
	// Query lists their addresses, this daemon's own among them.
	Query []string
	// Informed holds those that would know of an earlier claim, each with the address of the other owner.
	Informed map[string]string
	// OnlyDaemon says that no other daemon is known.
	OnlyDaemon bool
	// MinoritySide says that most routing daemons may be on the other side of a network partition.
	MinoritySide bool
}

// OnlyLocal returns the owners where this daemon alone can know of an attempt.
func OnlyLocal(self string) AttemptOwners {
	return AttemptOwners{Query: []string{self}, Informed: map[string]string{self: ""}, OnlyDaemon: true}
}

// AttemptKey is the key that an attempt is hashed by.
func AttemptKey(attempt string) string { return "attempt " + attempt }

// OfAttempt selects the owners of an attempt: those that it has among the daemons in contact, and those that it had
// among all that were in contact before the last of them became unreachable. self is this daemon's address.
func OfAttempt(attempt string, view *membership.View, now clock.Mark, self string) AttemptOwners {
	peers := sortPeers(view, now)
	if len(peers.before) == 0 {
		// Where all daemons drain together, they own each other's attempts to the last.
		peers.before, peers.draining = peers.draining, nil
	}
	owners := AttemptOwners{
		Informed:     map[string]string{},
		OnlyDaemon:   len(peers.before) <= 1 && len(peers.draining) == 0,
		MinoritySide: peers.minority(),
	}
	key := AttemptKey(attempt)
	owners.add(key, peers.before, true)
	owners.add(key, peers.current, false)
	owners.add(key, slices.Concat(peers.before, peers.draining), false)
	if !slices.Contains(owners.Query, self) {
		// A query of this daemon's own memory costs nothing.
		owners.Query = append(owners.Query, self)
	}
	return owners
}

// add adds the two owners that a key has among some daemons.
func (o *AttemptOwners) add(key string, among []string, informed bool) {
	slices.Sort(among)
	first, second := affinity.Owners(key, among)
	for owner, other := range map[string]string{first: second, second: first} {
		if owner == "" {
			continue
		}
		if !slices.Contains(o.Query, owner) {
			o.Query = append(o.Query, owner)
		}
		if informed {
			o.Informed[owner] = other
		}
	}
}

// sortedPeers are the addresses of the daemons by how recent their last contact is.
type sortedPeers struct {
	// current are in contact; before were so until lately; draining are in contact, and about to stop.
	current, before, draining []string
	// leaderSeen says that the leader is in contact. routersSeen of the routersKnown routing daemons are.
	leaderSeen                bool
	routersSeen, routersKnown int
}

func sortPeers(view *membership.View, now clock.Mark) sortedPeers {
	peers := sortedPeers{leaderSeen: view.LastLeaderContact > 0 && now.Since(view.LastLeaderContact) <= ContactWindow}
	for _, peer := range view.Members {
		sinceContact := now.Since(peer.LastContact)
		reachable, recent := sinceContact <= ContactWindow, sinceContact <= ContactWindow+UncertainWindow
		if !peer.Ready {
			// A draining daemon transfers its memory to others, and is queried for as long as it is there.
			if reachable {
				peers.draining = append(peers.draining, peer.Address)
			}
			continue
		}
		if reachable {
			peers.current = append(peers.current, peer.Address)
		}
		if recent {
			peers.before = append(peers.before, peer.Address)
		}
		if peer.Serves(string(daemonconfig.Route)) && (recent || !peers.leaderSeen) {
			peers.routersKnown++
			if reachable {
				peers.routersSeen++
			}
		}
	}
	return peers
}

// minority says whether this may be the smaller side of a partition. Where both sides have equally many routing
// daemons, the side that sees the leader goes on.
func (p *sortedPeers) minority() bool {
	return 2*p.routersSeen < p.routersKnown || 2*p.routersSeen == p.routersKnown && !p.leaderSeen
}

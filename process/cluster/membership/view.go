package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	// ContactWindow is how long a member counts as in contact after its last contact.
	ContactWindow = 1500 * time.Millisecond
	// isolatedAfter is how long a daemon stays ready without a reply from any peer.
	isolatedAfter = 2500 * time.Millisecond
)

// View is an immutable snapshot of what this daemon knows of the fleet.
type View struct {
	// Members are all current incarnations, this daemon's included.
	Members map[ident.NodeID]Member
	// LeaderAddress is the last known address of the group's leader; empty if unknown.
	LeaderAddress string
	// RelayAddress is the control daemon from which a routing daemon pulls all updates; see MemberList.Relay.
	RelayAddress string
	// LeaderTerm is the newest known term of a leader.
	LeaderTerm uint64
	// UnreachableTerm is the term of a leader that could not be reached. Indirect reports of that leader are ignored,
	// or outdated ones would circulate among daemons.
	UnreachableTerm uint64
	Group           ident.GroupID
	// LastLeaderContact and LastContact are when the last answered pull to the leader, or to any peer, was sent.
	LastLeaderContact, LastContact clock.Mark
	// NewestConfiguration and NewestClosure are the highest versions that any peer announced.
	NewestConfiguration, NewestClosure ident.Version
	// CaughtUp says that what is in force here was once known to be up to date; see Tracker.isCaughtUp. It stays true.
	CaughtUp bool
	// PredatesFirstRollout says that this incarnation started before any bundle was in force, so that no request can
	// have run before it.
	PredatesFirstRollout bool
	Started              clock.Mark
	// PlannerAddress is the last known address of the planner; empty if unknown.
	PlannerAddress string
	// ConfirmedAt is the time up to which a majority has confirmed that what is in force here includes everything that
	// was acknowledged; zero: never.
	ConfirmedAt clock.Mark
}

// InContact returns the members with a contact within the window, sorted by node id.
func (v *View) InContact(now clock.Mark, window time.Duration) []Member {
	var members []Member
	for _, member := range v.Members {
		if now.Since(member.LastContact) <= window {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.NodeID, b.NodeID) })
	return members
}

// NotReadyReason says why this daemon may not accept new requests, by what it knows of the group; empty if it may.
func (v *View) NotReadyReason(now clock.Mark, inForce InForce) string {
	switch {
	case inForce.Configuration == 0:
		return "no configuration is in force here yet"
	case !v.CaughtUp:
		return "it is not yet confirmed that the configuration here is the newest"
	case !inForce.covers(v.NewestConfiguration, v.NewestClosure):
		return "a newer configuration or closure is known and not yet in force here"
	case now.Since(v.LastContact) > isolatedAfter:
		return "neither the leader nor any other peer has replied lately"
	}
	return ""
}

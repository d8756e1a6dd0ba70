package membership

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	// ContactWindow is how long a daemon counts as in contact after it was heard.
	ContactWindow = 1500 * time.Millisecond
	// isolatedAfter is how long a daemon that hears nobody goes on calling itself ready.
	isolatedAfter = 2500 * time.Millisecond
)

// View is what is known of the fleet of daemons at one moment; it is never changed.
type View struct {
	Members map[ident.NodeID]Member
	// LeaderAddress is where the group's leader was last known to be.
	LeaderAddress string
	// RelayAddress is whom a daemon that only routes asks for all that is new.
	RelayAddress string
	// LeaderTerm is the newest term in which a leader was heard of. Unreached is the term of one that could
	// not be reached: hearsay of it counts for nothing, or stale words of it would go round among daemons.
	LeaderTerm, UnreachableTerm uint64
	Group                       ident.GroupID
	// LastLeaderContact and HeardAny are when a pull was last answered.
	LastLeaderContact, LastContact clock.Mark
	// NewestConfiguration and NewestClosure are the highest epochs anyone told of.
	NewestConfiguration, NewestClosure ident.Version
	// CaughtUp says that this daemon has made sure that what it has is not old.
	CaughtUp bool
	// PredatesFirstRollout says that this life began before any bundle was in force, so nothing can have run before it.
	PredatesFirstRollout bool
	Started              clock.Mark
	// PlannerAddress is where whoever plans is, as far as is known.
	PlannerAddress string
	// ConfirmedAt is up to when a majority has confirmed that what is in force here is all that was acknowledged; zero
	// is never.
	ConfirmedAt clock.Mark
}

// InContact lists the fellows heard within the window.
func (v *View) InContact(now clock.Mark, window time.Duration) []Member {
	var members []Member
	for _, member := range v.Members {
		if now.Since(member.LastContact) <= window {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		switch {
		case a.NodeID < b.NodeID:
			return -1
		case a.NodeID > b.NodeID:
			return 1
		}
		return 0
	})
	return members
}

// NotReadyReason says why a daemon may not take new work by what is known of the group; empty where it may.
func (v *View) NotReadyReason(now clock.Mark, inForce InForce) string {
	switch {
	case inForce.Configuration == 0:
		return "no spec is in force here yet"
	case !v.CaughtUp:
		return "it is not yet sure that the spec here is the newest"
	case !inForce.covers(v.NewestConfiguration, v.NewestClosure):
		return "a newer spec or closure is known and not yet in force here"
	case now.Since(v.LastContact) > isolatedAfter:
		return "neither the leader nor any fellow has been heard lately"
	}
	return ""
}

package membership

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// controlRole is the role of the group's members.
const controlRole = "control"

// Member is another daemon, or this one, as last heard.
type Member struct {
	NodeID      ident.NodeID
	Address     string
	Zone        ident.ZoneID
	Roles       []string
	LastContact clock.Mark
	// FirstContact is when this life was first heard of here, if that was after the view's own beginning.
	FirstContact         clock.Mark
	ConfigurationVersion ident.Version
	ClosureVersion       ident.Version
	Ready                bool
	Steps                []*peerapi.RolloutStep
}

// Serves says whether the fellow has a role.
func (m Member) Serves(role string) bool { return slices.Contains(m.Roles, role) }

// MemberRecord is what a daemon says of itself, or another of it.
type MemberRecord struct {
	Member
	// Version numbers what it says of itself; of two the higher counts. Whole says that zone, serve and steps are in here.
	Version       uint64
	HasAttributes bool
}

// MemberUpdate is a row as one daemon tells it to another.
type MemberUpdate struct {
	MemberRecord
	// Age is how long ago it was heard here.
	Age time.Duration
	// Overdue says that it has not asked when it should have; Direct, that this is known at first hand; Ended, that
	// another life of it was heard of.
	Overdue, FirstHand, Ended bool
}

// Cursor is how much of a peer's list has been seen.
type Cursor struct {
	Incarnation string
	Seen        uint64
}

func sameDaemon(a, b Member) bool {
	return a.Address == b.Address || a.NodeID.Name() == b.NodeID.Name()
}

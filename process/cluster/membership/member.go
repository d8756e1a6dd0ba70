package membership

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// controlRole is the role of the daemons that replicate the configuration: the members of the consensus group.
const controlRole = "control"

// Member is one incarnation of a daemon, another one or this one, by its last report.
type Member struct {
	NodeID ident.NodeID
	// Address is where its peer API listens.
	Address string
	Zone    ident.ZoneID
	Roles   []string
	// LastContact is the latest local time at which it is known to have run.
	LastContact clock.Mark
	// FirstContact is when this incarnation replaced another one of the same daemon; zero if none was known.
	FirstContact clock.Mark
	// ConfigurationVersion and ClosureVersion are what it has in force. They never decrease.
	ConfigurationVersion ident.Version
	ClosureVersion       ident.Version
	// Ready says that it accepts new requests.
	Ready bool
	// Steps are its progress with recent changes, known only of members that pull here themselves.
	Steps []*peerapi.RolloutStep
}

// Serves reports whether the member has a role.
func (m Member) Serves(role string) bool { return slices.Contains(m.Roles, role) }

// MemberRecord is a report of a member, by itself or by another daemon.
type MemberRecord struct {
	Member
	// Version is set by the member and rises with each change of its attributes or readiness; the higher one wins.
	Version uint64
	// HasAttributes says that address, zone, roles and steps are in here; without it only versions and readiness are.
	HasAttributes bool
}

// MemberUpdate is a record as one daemon forwards it to another.
type MemberUpdate struct {
	MemberRecord
	// Age is the time since the sender's last contact with the member.
	Age time.Duration
	// Overdue says that the member did not pull in time.
	Overdue bool
	// FirstHand says that the sender knows this from the member itself, and not only through other control daemons.
	FirstHand bool
	// Ended says that another incarnation replaced it.
	Ended bool
}

// Cursor is a position in a peer's list of changes.
type Cursor struct {
	// Incarnation is the peer's node id: a restarted peer counts its changes anew.
	Incarnation string
	// Seen is the change index up to which the list has been received.
	Seen uint64
}

// sameDaemon reports whether two records are of incarnations of one daemon: they share its address or its name.
func sameDaemon(a, b Member) bool {
	return a.Address == b.Address || a.NodeID.Name() == b.NodeID.Name()
}

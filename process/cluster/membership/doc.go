// Package membership is how daemons find each other, detect failures and receive updates.
//
// # Algorithm
//
// Every daemon keeps long polls ("links") to a few peers. A pull reports the caller's own record (address, zone, roles,
// readiness and the versions it has in force); the reply brings changes of the member list, newer configuration and the
// state of engines, and is delayed while nothing is new. Control daemons, the members of the consensus group, link to each
// other. Routing daemons link to the leader, the planner and a second control daemon (links.go).
//
// Failure detection (failuredetection.go): a pull names the interval within which its caller pulls again. A member that
// does not is overdue. Only that change is disseminated, and not each contact: a peer whose list is received up to date
// vouches for all of its members that are not overdue, up to the time of its reply. A member's last contact is thus the
// latest of the contacts known directly and of the times up to which sources vouch for it.
//
// Dissemination (dissemination.go): each list numbers its changes, and a puller names the index up to which it has
// received them (Cursor). Control daemons pass on what they know at second hand to routing daemons only, and not to each
// other. This is where it differs from gossip as in SWIM and memberlist: the control daemons are few and know all
// members, so changes need one hop and no suspicion protocol.
//
// Freshness (freshness.go): a reply carries the time up to which a majority of the group has confirmed what its sender
// announces. A source whose confirmation is older than StaleAfter is dropped, and a starting daemon becomes ready only
// once a confirmation later than its enlisting covers what it has in force (catchup.go).
//
// # Invariants
//
//   - A contact never gets more recent by being passed on: ages are counted from the sending of the request or from the
//     report, whichever is earlier, and control daemons vouch only for members that they know at first hand.
//   - The same holds for confirmations: they are rounded down and counted from the sending of the request.
//   - Of one daemon (by address or name) at most one incarnation is current. Indirect reports of one that was replaced are
//     ignored for endedQuarantine.
//   - The versions that a member has in force never decrease in the list.
//   - A leader that failed to reply is accepted again for the same term only by its own reply (leadership.go).
//   - Without contact to the leader no member is removed, since it may be alive across a partition.
//
// # Ownership and order
//
// MemberList and Tracker are pure: they send nothing, read no clock and belong to the goroutine of Membership, which is
// an actor. View is immutable and is published by Membership.publish only. A pull's reply is applied by Host.ApplyReply in
// the goroutine of the pull before the tracker handles it, since its confirmation counts only if the versions it announces
// are in force. For the same reason the local confirmation is read before the local versions.
//
// The daemon package implements Host and serves the peers' pulls through RecordPull and AddMembers. The simulations in
// testbed/partitionsim drive Tracker directly.
package membership

// Package statemachine is the replicated state of a Raft group: a deterministic machine that committed commands change
// and that every replica holds alike. It knows no clock, no network and no disk.
//
// # What it holds
//
//   - the leases of worker ids (process/workerid; workerlease.go)
//   - proposed configurations and their approvals (proposals.go), and configurations applied in one step by an operator
//     alone (directapply.go, applystatus.go)
//   - the history of configurations put in force (history.go)
//   - closed zones and draining engines (configuration/closure; closures.go, closureretry.go, ranking.go)
//   - the daemons that may be serving, and their incarnations that ended (incarnations.go)
//   - the engines that announced their shutdown (departures.go)
//   - the feature level of the group (featurelevel.go), and the outcomes of operators' calls (calls.go)
//   - the lease of the planner (plannerlease.go) and the orders that planners announced (announcements.go)
//
// # Invariants
//
//   - Apply is the only writer. Its effect depends on the state and the command alone: the time is the one that the
//     leader stamped into the command, nothing is random, and no result depends on the order of a map. The exceptions
//     are Restore and AppendRecovered, which make a state before the group runs.
//   - State.Now never goes back. Versions, revisions and fencing tokens only rise.
//   - A command may arrive more than once, late, and in another order than it was sent. A retry of one that took effect
//     finds its effect; one that can no longer take effect is refused, and stays refused. Where what would prove either
//     is no longer remembered, the outcome is Unproven, and nothing changes.
//   - Everything that is remembered has a bound, named by a constant beginning with max, and is forgotten oldest first.
//   - Slices and maps that readers may hold are replaced and not changed in place.
//   - JSON names are the format on disk, in snapshots and between members. They stay when a Go name changes
//     (TestEncodingsAreStable). Digest sums up the snapshot; members compare digests where DigestSchema is equal.
//
// # Who calls it
//
// process/consensus/replica owns the state, applies committed log entries and serves reads; process/consensus/recovery
// builds one from what the daemons of a lost group still hold. The rules for retries are proved in
// docs/design/control.md. The construction is that of a replicated state machine over Raft (Ongaro and Ousterhout, In
// Search of an Understandable Consensus Algorithm, sections 5 and 7).
package statemachine

// Package raft implements the Raft consensus algorithm as a pure state machine, for the group of control daemons.
// Section numbers in this package are those of Diego Ongaro's thesis "Consensus: Bridging Theory and Practice" (2014).
//
// # Use
//
// A Core is the state of one member. The driver (process/consensus/replica) owns clock, disk and network; it passes
// one Event at a time to Core.Step and carries out the Effects that Step returns:
//
//   - Effects.Immediate are messages that may leave at once.
//   - Effects.Save is written and synced; then Persisted is passed to Step, and Effects.AfterSync may leave. Saves are
//     written in their order, and AfterSync waits for every earlier Save too.
//   - Effects.InstallSnapshot replaces the replicated state before Effects.Committed is applied in order.
//   - Effects.ReadStates answer reads; a read waits until the state is applied up to its index.
//   - Effects.Notices go to the log and the counters.
//
// A member addresses messages to itself too (its own vote): they are in AfterSync, because a vote counts only once it
// is on disk, and come back as Receive. Step must not be called by two goroutines at once. The same events and the same
// random source always give the same effects, which the simulations rely on.
//
// # Algorithm
//
//   - Leader election with randomized time-outs (section 3.4), with a pre-vote round (9.6), and with check-quorum: a
//     leader that a majority no longer answers steps down, and a member that hears a leader ignores candidates (6.2, 4.2.3).
//   - Log replication with a probing phase and pipelined appends (3.5, 10.2.2). A leader writes to its disk while it
//     replicates (10.2.1): its own entry counts for the quorum once it is synced.
//   - Single-server membership changes (4.1 to 4.3): a membership is in force from the moment it stands in the log. A
//     leader proposes one change at a time, and only after it has committed an entry of its own term. Members that are
//     no voters (learners, 4.2.1) receive the log and don't count for quorums.
//   - Leadership transfer (3.10) by MsgTimeoutNow.
//   - Linearizable reads by read index (6.4): numbered rounds of heartbeats confirm that the leader still leads.
//   - Log compaction and snapshots (chapter 5), sent in chunks with a checksum.
//
// # Invariants
//
//   - Election safety: at most one leader in a term. Term and vote are on disk before a message that depends on them leaves.
//   - Log matching, leader completeness and state machine safety, as in section 3.6.
//   - The commit index never falls, and committed entries are never truncated. An entry that was acknowledged is never
//     removed by a snapshot that covers less.
//   - A message that fails Message.Validate, or contradicts what is committed here, changes nothing; it is reported as
//     NoticeMessageRejected.
//   - Broken invariants of the core itself panic with "broken invariant".
//
// # Files
//
// event.go and effects.go are the interface, core.go and tick.go the state and the dispatch of events, receive.go the rules
// that hold for every message, election.go, replication.go (leader) and follower.go the three roles, progress.go and inflight.go
// what a leader knows of each peer, quorumcheck.go whether a majority still answers it, log.go the log in memory,
// membershipchange.go, readindex.go and transfer.go one mechanism each, compaction.go, snapshotsend.go and
// snapshotreceive.go the life of a snapshot, validate.go what is accepted from the network.
//
// # Encodings
//
// Membership has a JSON encoding that stands in the log and in snapshots. Message is encoded by process/cluster/raftcodec,
// and Save is written by process/consensus/store: neither encoding depends on the names of fields here.
package raft

// Package replica joins the Raft core (package raft) to the replicated state machine (package statemachine), as etcd's
// server does around its raft library. It consists of a pure core and an actor around it.
//
// [Core] is deterministic: it takes events and the present moment, and returns [Effects]: what to write to disk, which
// messages to send, which requests to answer. It does no I/O, starts no goroutine and reads no clock, so that the
// simulations of this package and of testbed/partitionsim drive it step by step. [Replica] is the actor that owns a
// core, gives it clock, disk and transport, and carries its effects out.
//
// # The flow of a command
//
//  1. [Replica.Submit] queues the command in the actor's mailbox, with the function that answers the caller.
//  2. [Core.Submit] rejects it with [NotLeader] unless this member leads. It stamps the command with the group's time
//     and the lengths of leases, and proposes it to the Raft core, which appends it to the log. The proposal is
//     remembered by its log index and term.
//  3. The effects are executed: the entry goes to the disk writer, and messages to the followers. Messages that promise
//     durability leave only once the write before them is synced.
//  4. When the Raft core reports the entry as committed, [Core] applies it to the state. If the entry at that index
//     bears the term of the proposal, the caller gets [Applied] and the result of the state machine; an entry of another
//     term took its place, so the command was never committed and the caller gets [NotLeader].
//  5. If this member loses its leadership first, all open proposals get [Unknown]: the next leader may still commit them.
//
// [Replica.Read] is a linearizable read by ReadIndex (Ongaro's thesis, section 6.4): the Raft core confirms by a round
// of heartbeats that this member still leads, and the read waits until the state has applied that index.
//
// # Duties of the leader
//
//   - It stamps the group's time, which advances only by applied entries (group_time.go).
//   - It reclaims the leases of worker ids that expired, no sooner than one full lease after it began to lead
//     (leadership.go).
//   - It changes the membership one voter at a time: learners join, catch up, and take the place of voters that are
//     gone (membership_plan.go).
//   - It compares digests of the members' states, and has a member whose state differs from the majority's resign
//     (digests.go).
//
// # Invariants
//
//   - Everything that depends on time or configuration is stamped into a command when it is proposed; applying an entry
//     depends on the log alone, so all members hold the same state at the same index.
//   - An entry or vote is never acknowledged before it is synced to disk. A member whose disk stalls does not answer; a
//     member whose disk failed stops for good.
//   - A request that is acknowledged as [Applied] is on the disks of a majority. [Unknown] is answered wherever neither
//     outcome can be excluded.
//   - A membership change never leaves fewer live voters than a majority, and one that loses a voter waits for a learner
//     that is ready.
//
// # Ownership
//
// [Core] and the state machine's state belong to the actor's goroutine (Replica.handleEvent and Replica.tick). A second
// goroutine (Replica.runDiskWriter) is the only one that writes to disk. Others read [Replica.Status], a snapshot that
// is published after each step. Package daemon makes the replica and reacts to its callbacks.
package replica

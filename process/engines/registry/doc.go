// Package registry keeps the engines that register themselves with the fleet: their registrations and heartbeats,
// which of them time out or drain, and what the pool planner last published of each.
//
// # What it does
//
// The registry is soft state: nothing of it is on disk, and an engine that sends no heartbeats disappears from it. An
// engine sends its heartbeats to any one control daemon. Every daemon pulls from the control daemons what changed
// there, so that each routing daemon has a complete [View] of its own. Only draining is also a command of the
// consensus group, because its acknowledgement must outlive the daemon that gave it.
//
// The state of one engine is a state-based replicated data type that is spread as deltas (P. S. Almeida, A. Shoker,
// C. Baquero, Delta State Replicated Data Types, J. Parallel Distrib. Comput. 111, 2018). Merging is commutative,
// associative and idempotent, so that deltas may arrive late, twice, in any order and by any route:
//
//   - Of two registrations the one with the higher call-seq wins. Two different ones under one call-seq are an engine's
//     error; the one with the higher digest wins, so that all daemons agree.
//   - A timeout belongs to a call-seq: a heartbeat with a higher one ends it.
//   - Draining and deregistered only ever become true. An id that was deregistered never returns.
//   - Of two plans the one with the higher fencing token wins, then the one with the higher sequence number.
//
// Draining, timed out and deregistered are therefore three flags and not one state: each is merged by a rule of its
// own, and an engine may be draining and timed out at once.
//
// # Change numbers and deltas
//
// Each daemon numbers its changes; the numbers mean something for one incarnation of that daemon only. A peer sends
// its [Cursor] and gets a [Delta] with what changed after it. The engines are in three lists, each ordered by the
// number of an engine's last change of one kind, so that a delta is read off the end of a list:
//
//   - all changes;
//   - all changes and each heartbeat received here, which other control daemons need to detect timeouts;
//   - urgent changes only: engines that came, and engines to which nothing may be sent any more.
//
// Routing daemons pull all changes from one control daemon and only the urgent ones from the others. After a restart of
// the answering daemon, and for urgent changes, records are abbreviated: they hold digests, and the peer asks for the
// full records of those engines that it does not have (see [Core.NextRequest]).
//
// Load figures change with every report, so they are published at intervals, less often to other zones than to the
// engine's own. Control daemons get them from the planner's daemon alone.
//
// # Timeouts and successors
//
// A control daemon times an engine out after 3.5 heartbeat periods without a heartbeat, but only for the time in which
// it was itself receiving, and knew all heartbeats that the other control daemons had received (see [Connectivity]). An
// engine that registers at another's address times that one out. It is not deregistered at once, because a delayed
// heartbeat out of a frozen machine's buffers must not remove the engine that is there now; [Core.Tick] deregisters it
// once it is timed out for missing heartbeats and its successor has sent a later one.
//
// # Why the order of steps matters
//
//   - [Core.ReceiveHeartbeat] asks first whether the id is deregistered, then replaces the registration, which indexes
//     the address, and only then times out the predecessors at that address.
//   - Merging a record replaces the registration before it sets draining, and sets draining before it merges the plan:
//     a deregistered engine has no plan.
//   - [Core.Tick] collects what is due before it changes anything, since each change moves an engine in the lists that
//     Tick reads.
//   - A delta that is cut to the limit holds the oldest changes, so that its cursor says how far it came. Seen moves on
//     with each delta, Complete only when nothing is left out.
//
// # Ownership
//
// [Core] is pure: it reads no clock, starts no goroutine and does no I/O. It belongs to the goroutine of [Registry.Run];
// the methods of [Registry] hand it closures by a mailbox. Readers take the newest [View] from an atomic pointer; a view
// and its engines are never changed. Package daemon feeds the registry (heartbeats, pulls, committed drains),
// poolplacement publishes plans to it, and request/forwarding reads its views.
package registry

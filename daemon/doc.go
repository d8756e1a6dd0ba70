// Package daemon assembles the actors of one cresspondd process, and runs them from start to graceful shutdown.
//
// # Roles
//
// A daemon has one or more roles (daemonconfig.Role), and all daemons of a fleet run this package:
//
//   - control: it is a member of the control group, a raft group that replicates the configuration, closures, leases
//     and departures (member.go, joingroup.go, raftservice.go); it answers operators (commands.go, reads.go,
//     applybundle.go) and takes the registrations of engines (engineregistration.go).
//   - route: it accepts requests of callers and sends them to engines, either as session requests (dispatch.go,
//     sessionaffinity.go, engineslots.go) or forwarded byte for byte (forwarding.go).
//   - placement: it tries to be the planner that decides which engine loads which model, for sessions
//     (sessionplanning.go) and for pools of engines that register themselves (poolplanning.go), and that drains engines
//     which are slower than their peers (noderanking.go, and package noderanking).
//
// Each daemon, whatever its roles, pulls updates from its peers (pull.go, longpoll.go, registryexchange.go), holds the
// lease of a worker id (workerlease.go), and owns a part of the fleet's memory of attempts and of session assignments
// (attemptowners.go, sessionaffinity.go), which it transfers as daemons come and go (ownershiptransfer.go).
//
// # Who owns which state
//
// Each actor owns its state and is called through its methods; the Daemon only connects them:
//
//   - replica.Replica: the replicated state. It exists while this daemon's member runs, one for each memberIncarnation.
//   - rollout: the configuration and the closures in force, as a table that is replaced as a whole.
//   - membership: the rows of all daemons, the leader and the relay to pull from.
//   - registry: the engines that register themselves; discovery: those of the platform's list.
//   - deduplication: the attempts that this daemon owns; affinity: the session assignments.
//   - snowflake.Generator: the lease of the worker id. Nothing is sent to an engine under a lease that has expired.
//   - dispatch, forwarding, admission, sessionplacement, poolplacement: requests, slots and plans.
//
// The rest is in atomics of the Daemon, each with one writer, and in what peers reported last: their demand
// (demand.go), the planner's shortages (shortages.go), and the times of the last registry pulls (controlcontact.go).
//
// # Start and shutdown
//
// Run takes the data folder and the addresses, builds all actors, starts them, then the servers, and joins the control
// group last. A daemon that only forwards lets callers wait unread until it can serve them (admitcallers.go), and the
// readiness page says when it is ready (readiness.go).
//
// On a signal drain makes the readiness page fail, transfers leadership and planning while connections still come in,
// lets all requests finish, transfers what this daemon alone remembers, releases the worker id, and retires the member
// of the control group when the others can do without it (drain.go, handover.go). Goroutines end with the context of
// Run, unless a comment says otherwise.
//
// # Callers
//
// cmd/cresspondd makes a Daemon by New and calls Run. Peers call the methods of the peer protocol (wire/peerapi), on
// goroutines of the server: Raft, Submit, Read, Apply, Join, Identify, Recall, Pull, Attempt, Remember, Seat and Permit.
package daemon

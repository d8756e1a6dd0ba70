// Package dispatch takes the requests of sessions through a routing daemon.
//
// [Core] is pure: it keeps one [Record] for each request and steps on events. After each event it runs three passes over
// the records: those whose deadline is too near are refused, then those whose model will not be loaded in time, and
// then the rest are sent to engines in the order of their priority while engines have free slots (package priority);
// what is left waits in a bounded queue. A failed attempt is retried only if it provably never ran or the request is
// idempotent, and within a budget (package budget). Sessions stay at the engine that they are assigned to (package affinity).
//
// Invariants: a record changes its state only by [Record.move], and once ended it is never sent; a refusal is given only
// where no attempt can have run; no effect follows the order of a map, so that a seed replays.
//
// [Actor] owns the core, runs it on one goroutine and carries out its effects.
package dispatch

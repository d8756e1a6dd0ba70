// Package dispatch takes requests through a routing daemon.
//
// [Core] is pure: it keeps one [Record] for each request and steps on events. After each event it runs three passes over
// the records: those whose deadline is too near are refused, then those whose model will not be loaded in time, and
// then the rest are sent to engines in the order of their bids while engines have room (package bid); what is left
// waits in a bounded queue. A failed attempt is retried only if it provably never ran or the caller allows it, and
// within a budget (package budget). Sessions stay at the engine that they are assigned to (package affinity).
//
// [Actor] runs the core on one goroutine and carries out its effects.
package dispatch

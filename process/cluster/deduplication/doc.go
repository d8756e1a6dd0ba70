// Package deduplication keeps callers' attempts idempotent across the fleet. Each attempt has two owners among the
// daemons (package daemon picks them by rendezvous hashing). A daemon that is about to send an attempt to an engine
// claims it at its owners first, and one that is about to promise the caller that an attempt never runs sets a rejection
// there. So an attempt that is retried through another daemon is recognized, and neither runs twice nor runs after it
// was rejected.
//
// [Memory] is the pure state of one owner. [Actor] owns a memory and runs what others do with it on one goroutine.
// [Decide] combines the owners' responses.
//
// Invariants: at most one record holds the claim of an attempt; a claim is never replaced by a rejection of another
// record; a record that arrived before an attempt was rejected can't claim it. Entries expire after [Retention].
package deduplication

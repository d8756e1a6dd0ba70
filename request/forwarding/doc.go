// Package forwarding decides what becomes of the opaque requests that a routing daemon receives: which engine serves a
// request, which requests are queued, what may be retried, what is rejected to shed load, and what final answer a caller
// gets if no engine's response can be passed on.
//
// # Life of a request
//
// Core.Admit resolves the path's pool and calls Core.dispatch, which ends the request, queues it, or starts an attempt at
// the engine that Core.chooseEngine prefers. The connection's goroutine (the sender, package gateway) carries out each
// Step, and reports back with Core.ResponseBegun and Core.AttemptEnded. An attempt that did not run, or whose request may
// run twice, leads to the next dispatch. Stage and its allowedTransitions are the state machine of one request.
//
// # Choice of an engine
//
// Engines are filtered (choose.go), then compared by expected cost (cost.go): in pools of batching engines by the prompt
// tokens to be read before this request's first byte, in other pools by the share of slots in use. Batching engines are
// first cut down to a short list (shortlist.go): the prompt prefix's engines by rendezvous hashing, the one whose prefix
// cache is known to hold most of the prompt, one with an idle connection, and one at random. Few choices keep prefixes
// together and keep routers that see the same old report from all choosing the same engine.
//
// # Invariants
//
//   - A request that may have run is repeated only if its path allows it (Request.mayRepeat), and is never answered with
//     a status that says it has not run (finalAnswer).
//   - Queued and retried requests hold ids minted under a worker id; without one they are neither queued nor sent again.
//   - All routers together retry at most Settings.RetryRatio of first sends in a window (retrybudget.go).
//   - A request is queued for less than half of the time until its response deadline (maxQueueTime), unless it is known
//     when its model will be loaded (giveup.go).
//   - An engine that the fleet ejects as an outlier still gets its trial share, and serves as the last resort.
//
// # Ownership
//
// Core is pure: it does no I/O, reads no clock, and gets all it may look at in an Environment with each event. One Actor
// owns a Core and runs its events one after the other. Package daemon makes the Actor; package gateway calls it.
package forwarding

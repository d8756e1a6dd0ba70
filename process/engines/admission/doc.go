// Package admission shares out the slots of engines over the fleet. Each engine has one owner among the routing daemons;
// the other daemons ask it for a slot before they send an attempt, so that the requests of the whole fleet are compared by
// priority, and an engine is not sent more than it can run.
//
// [Core] is the owner's state and is pure. For each engine it holds the slots that are granted and the requests that wait.
// Free slots go to the waiting requests in the order of package priority, and a request that waits past its deadline is
// denied.
//
// The core holds:
//
//   - No more slots are granted than the engine's capacity. A new owner, which doesn't know what was granted before it,
//     goes by the engine's own report as well for 2 s.
//   - After an engine refused an attempt that had a slot, it gets nothing until a report that was requested later.
//   - A slot comes back when it is released, when its daemon is gone, or after 90 s. Each request gets one decision.
//
// [Controller] is the actor around the core. Package daemon runs it and serves it to peers.
package admission

// Package sessionplacement decides which engine loads which model and adapter for the requests of sessions, and orders it.
//
// [Planner] is a pure step over the configuration, the demand, the sessions' assignments and the engines' reports
// ([Input]). A step, in this order:
//
//  1. resolves the pending orders that reports reflect (resolve.go);
//  2. updates what it remembers of models, requests and assignments (history.go);
//  3. lists what has too few replicas, the highest value first (demand.go);
//  4. gives at most one order for each: a load where there is capacity (load.go, adapter.go), else an unload of what has
//     less value (evict.go); for what gets none and has no replica, it estimates the wait (unplaced.go).
//
// Invariants: an engine has at most one pending order; its capacity is never exceeded, counting all that is loaded,
// loading, or not surely gone; nothing is unloaded that a session is assigned to; loads keep to the store's rate limit
// over the whole fleet; only a report whose call-seq can reflect an order resolves it.
//
// [Actor] owns the Planner. It holds the planner's lease, stamps the orders with minted ids and sends them. The group is told of an
// order before it is sent, so that a successor does not repeat it.
package sessionplacement

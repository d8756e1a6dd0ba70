// Package connectionpool makes attempts at engines over connections that it owns, as HTTP/1.1 requests.
//
// Pools.Send takes an idle connection or dials one, writes the request, and reads responses until one bears the attempt's
// id. The Result says what is known of the attempt; its body is read by the caller, and Result.Close returns the
// connection to the pool or closes it.
//
// Invariants:
//   - A request is never sent twice. Whether to retry is the caller's decision, by Outcome.
//   - OutcomeUnreachable and OutcomeWithheld mean that no byte of the request was sent; OutcomeRejected and
//     OutcomeMisdirected that the engine guarantees not to have run it. After any other outcome it may have run.
//   - No byte of another request's response is passed on: a response must bear the attempt's id, or MissingIDPolicy must
//     allow that it bears none.
//   - No id is sent twice on one connection. A response there can then belong to one attempt only, also where a request is
//     sent again after a rejection.
//   - A connection is reused only if the last request was written and its response read completely, and nothing more came.
//
// Pools owns all state under its mutex; a connection taken from it belongs to one Result until that is closed. Packages
// gateway, discovery and platform call it.
package connectionpool

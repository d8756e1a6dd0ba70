// Package noderanking ranks registered engines by the health of the nodes that they run on, and drains the slow ones.
//
// It connects the pure ranking of process/engines/nodehealth to a daemon. A daemon that forwards requests measures
// engines by a Recorder and sends digests to the planner with its pulls (digests.go). The daemon that holds the lease
// of the planner of pools feeds all digests to a Ranker about once a second, and has the control group drain or reopen
// engines by its decisions, one action at a time (ranking.go). Operators read the ranking on a page (page.go).
//
// An action bears the fencing token of the planner's lease, so that one by a planner whose lease was lost is rejected.
// A new lease begins with a new Ranker, since the rest of the state can be measured again.
//
// The Ranker and what belongs to it are owned by one goroutine, which runs the mailbox; other goroutines see the
// published state and the counters. The daemon package is the only caller.
package noderanking

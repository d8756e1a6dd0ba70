// Package recovery bootstraps the next generation of a Raft group that lost its majority for good, on an operator's
// order (cresspondd --recover-from).
//
// The majority may have acknowledged what no survivor holds, so recovery is unsafe by nature and takes what is left: the
// newest configuration and closures that any reachable daemon or a survivor's data folder holds. It moves on all that
// protects against the lost generation: the group gets a new identifier, so that its old members are rejected; the
// group's time lies beyond every lease that was granted, and below it no worker id may generate ids; the planner's
// fencing token is far above the highest known one.
//
// The steps are [QueryDaemon] for each daemon that is alive, [ReadSurvivor] if there is a data folder, [NewPlan], and
// [WriteGroup] into an empty data folder. The other control machines join that one-member group with empty folders.
package recovery

// Package ident holds the identifier types shared by all packages: what daemons, engines, zones and Raft groups are
// called, the numbers that order configurations and leases, and the moments of the Raft group's clock. Each is a type
// of its own, so that the compiler refuses one in the place of another.
package ident

import (
	"strconv"
	"strings"
	"time"
)

// NodeID identifies one incarnation of a daemon: its configured name, a '#', and a random suffix drawn at start. A
// restarted daemon has another NodeID.
type NodeID string

// Name returns the daemon's configured name, which all its incarnations share.
func (n NodeID) Name() string {
	name, _, _ := strings.Cut(string(n), "#")
	return name
}

// WorkerID is the small number, leased from the Raft group, under which a daemon generates snowflake ids.
type WorkerID int64

// Version numbers the configurations put in force, or the sets of zone closures. It is assigned by the Raft group and
// only rises.
type Version uint64

// Revision is the operators' own number of a configuration bundle. It only rises, in steps of any size.
type Revision uint64

// EngineID identifies an engine as the platform lists it.
type EngineID string

// ZoneID identifies a zone.
type ZoneID string

// GroupID identifies one Raft group and is made at its bootstrap. A group that an operator recovered after it lost its
// majority keeps the identifier, followed by a dot and a generation.
type GroupID string

// split separates the identifier from the generation; a group that was never recovered has generation 0.
func (g GroupID) split() (root string, generation uint64) {
	root, suffix, found := strings.Cut(string(g), ".")
	if !found {
		return root, 0
	}
	generation, err := strconv.ParseUint(suffix, 10, 32)
	if err != nil {
		return string(g), 0
	}
	return root, generation
}

// Succeeds reports whether g is a later generation of the same group as predecessor.
func (g GroupID) Succeeds(predecessor GroupID) bool {
	root, generation := g.split()
	predecessorRoot, predecessorGeneration := predecessor.split()
	return predecessor != "" && root == predecessorRoot && generation > predecessorGeneration
}

// Recovered reports whether the group was recovered by an operator at least once.
func (g GroupID) Recovered() bool {
	_, generation := g.split()
	return generation > 0
}

// Next returns the identifier of the generation after this one.
func (g GroupID) Next() GroupID {
	root, generation := g.split()
	return GroupID(root + "." + strconv.FormatUint(generation+1, 10))
}

// FencingToken numbers the planner's leases. It only rises, so a plan that carries an older token than one already
// seen comes from a planner that lost its lease, and is rejected.
type FencingToken uint64

// GroupTime is the Raft group's clock, stamped by its leader into the log, in milliseconds since the Unix epoch.
type GroupTime int64

// Add returns the moment d later.
func (t GroupTime) Add(d time.Duration) GroupTime { return t + GroupTime(d.Milliseconds()) }

// SnowflakeID is a time-ordered unique id generated under a WorkerID.
type SnowflakeID int64

// Package ident holds the small types by which processes, engines and moments are told apart.
package ident

import (
	"strconv"
	"strings"
	"time"
)

// NodeID names one life of a daemon: its configured name, a '#', and a random mark made at start.
type NodeID string

// Name is the daemon's configured name.
func (n NodeID) Name() string {
	name, _, _ := strings.Cut(string(n), "#")
	return name
}

// WorkerID is the small number the group grants for minting ids.
type WorkerID int64

// Epoch numbers the specs in force, or the sets of zone closures; it only rises.
type Epoch uint64

// Revision is the operators' own number of a bundle; it only rises, in steps of any size.
type Revision uint64

// EngineID names an engine as the platform lists it.
type EngineID string

// ZoneID names a zone.
type ZoneID string

// GroupID names one Raft group, made at its formation. A group that was recovered after its majority
// was lost keeps the name, with a dot and a generation behind it.
type GroupID string

func (g GroupID) parts() (root string, generation uint64) {
	root, after, found := strings.Cut(string(g), ".")
	if !found {
		return root, 0
	}
	generation, err := strconv.ParseUint(after, 10, 32)
	if err != nil {
		return string(g), 0
	}
	return root, generation
}

// Succeeds says whether g is a later generation of the group named before.
func (g GroupID) Succeeds(before GroupID) bool {
	root, generation := g.parts()
	beforeRoot, beforeGeneration := before.parts()
	return before != "" && root == beforeRoot && generation > beforeGeneration
}

// Recovered says whether this is a later generation than the first.
func (g GroupID) Recovered() bool {
	_, generation := g.parts()
	return generation > 0
}

// Next names the generation after this one.
func (g GroupID) Next() GroupID {
	root, generation := g.parts()
	return GroupID(root + "." + strconv.FormatUint(generation+1, 10))
}

// ClaimNumber numbers the planner's claims; it only rises.
type ClaimNumber uint64

// GroupTime is the time kept in the group's log, in milliseconds since the Unix epoch.
type GroupTime int64

// Add gives the moment d later.
func (t GroupTime) Add(d time.Duration) GroupTime { return t + GroupTime(d.Milliseconds()) }

// MintedID is an id minted under a worker id.
type MintedID int64

// Package ident holds the small types by which processes, engines and moments are told apart.
package ident

import "time"

// NodeID names one life of a daemon: its configured name, a '#', and a random mark made at start.
type NodeID string

// WorkerID is the small number the group grants for minting ids.
type WorkerID int64

// Epoch numbers the specs in force, or the sets of zone closures; it only rises.
type Epoch uint64

// EngineID names an engine as the platform lists it.
type EngineID string

// ZoneID names a zone.
type ZoneID string

// GroupID names one Raft group, made at its formation.
type GroupID string

// ClaimNumber numbers the planner's claims; it only rises.
type ClaimNumber uint64

// GroupTime is the time kept in the group's log, in milliseconds since the Unix epoch.
type GroupTime int64

// Add gives the moment d later.
func (t GroupTime) Add(d time.Duration) GroupTime { return t + GroupTime(d.Milliseconds()) }

// MintedID is an id minted under a worker id.
type MintedID int64

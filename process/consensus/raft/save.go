package raft

import (
	"slices"
)

// Save is one write to disk. Entries replace all from their first index on.
type Save struct {
	HardState HardState
	Entries   []Entry
	// TruncateFrom, when not zero, removes all entries from there on, before Entries are written.
	TruncateFrom Index
	Snapshot     *Snapshot
	// CompactTo, when not zero, removes entries up to and with it.
	CompactTo Index
}

// Merge adds a later write, so that writing the sum leaves the same on disk as writing one after the other.
func (s *Save) Merge(later Save) {
	s.HardState = later.HardState
	s.Entries = slices.DeleteFunc(s.Entries, func(entry Entry) bool {
		return entry.Index <= later.CompactTo || later.TruncateFrom > 0 && entry.Index >= later.TruncateFrom
	})
	s.Entries = append(s.Entries, later.Entries...)
	if later.TruncateFrom > 0 && (s.TruncateFrom == 0 || later.TruncateFrom < s.TruncateFrom) {
		s.TruncateFrom = later.TruncateFrom
	}
	s.CompactTo = max(s.CompactTo, later.CompactTo)
	if later.Snapshot != nil {
		s.Snapshot = later.Snapshot
	}
}

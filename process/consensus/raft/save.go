package raft

import "slices"

// Save is one atomic write to disk. It is applied in this order: Snapshot replaces the stored one, CompactTo and
// TruncateFrom remove entries, Entries are added.
type Save struct {
	HardState HardState
	// Entries follow on what is left of the log.
	Entries []Entry
	// TruncateFrom, when not zero, removes the entry at this index and all after it, before Entries are written.
	TruncateFrom Index
	// Snapshot is nil where the stored one stays.
	Snapshot *Snapshot
	// CompactTo, when not zero, removes all entries up to and including this index.
	CompactTo Index
}

// Merge adds a later save: writing the merged one leaves the same on disk as writing both, one after the other.
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

package raft

import "slices"

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

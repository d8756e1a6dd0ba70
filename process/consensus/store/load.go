package store

import (
	"database/sql"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Load reads the persistent state of the member; it is empty in a new folder. An error that IsDamaged recognizes says
// that a row does not match its checksum, or that log and snapshot are not one history.
func (s *Store) Load() (raft.PersistentState, error) {
	hardState, err := s.loadHardState()
	if err != nil {
		return raft.PersistentState{}, err
	}
	snapshot, err := s.loadSnapshot()
	if err != nil {
		return raft.PersistentState{}, err
	}
	entries, err := s.loadEntries()
	if err != nil {
		return raft.PersistentState{}, err
	}
	state := raft.PersistentState{HardState: hardState, Snapshot: snapshot, Entries: entries}
	return state, checkHistory(state)
}

// loadHardState reads term and vote.
func (s *Store) loadHardState() (raft.HardState, error) {
	term, _, err := s.metaNumber(keyTerm)
	if err != nil {
		return raft.HardState{}, err
	}
	vote, _, err := s.metaNumber(keyVote)
	if err != nil {
		return raft.HardState{}, err
	}
	return raft.HardState{Term: raft.Term(term), Vote: raft.MemberID(vote)}, nil
}

// loadSnapshot reads the snapshot; it is empty where there is none.
func (s *Store) loadSnapshot() (raft.Snapshot, error) {
	var index, term uint64
	var membership, data []byte
	var sum sql.NullInt64
	err := s.db.QueryRow("SELECT idx, term, membership, data, sum FROM snapshot").Scan(&index, &term, &membership, &data, &sum)
	if err == sql.ErrNoRows {
		return raft.Snapshot{}, nil
	}
	if err != nil {
		return raft.Snapshot{}, eris.Wrap(err, "the snapshot cannot be read")
	}
	if !s.checksumMatches(sum, index, term, membership, data) {
		return raft.Snapshot{}, damagef("the snapshot is damaged")
	}
	decoded, err := raft.DecodeMembership(membership)
	if err != nil {
		return raft.Snapshot{}, damagef("the membership cannot be read: %v", err)
	}
	return raft.Snapshot{Index: raft.Index(index), Term: raft.Term(term), Membership: decoded, Data: data}, nil
}

// loadEntries reads the log, which has no gaps.
func (s *Store) loadEntries() ([]raft.Entry, error) {
	rows, err := s.db.Query("SELECT idx, term, kind, data, sum FROM log ORDER BY idx")
	if err != nil {
		return nil, eris.Wrap(err, "the log cannot be read")
	}
	defer rows.Close()
	var entries []raft.Entry
	for rows.Next() {
		var index, term uint64
		var kind uint8
		var data []byte
		var sum sql.NullInt64
		if err := rows.Scan(&index, &term, &kind, &data, &sum); err != nil {
			return nil, eris.Wrap(err, "the log cannot be read")
		}
		if !s.checksumMatches(sum, index, term, kind, data) {
			return nil, damagef("the log is damaged at %d", index)
		}
		if count := len(entries); count > 0 && uint64(entries[count-1].Index)+1 != index {
			return nil, damagef("the log has a gap before %d", index)
		}
		entries = append(entries, raft.Entry{Term: raft.Term(term), Index: raft.Index(index), Kind: raft.EntryKind(kind), Data: data})
	}
	if err := rows.Err(); err != nil {
		return nil, eris.Wrap(err, "the log cannot be read")
	}
	return entries, nil
}

// checkHistory checks that hard state, snapshot and entries are one history: the member was in the term of everything that
// it holds, the log goes on where the snapshot ends, and its memberships are valid.
func checkHistory(state raft.PersistentState) error {
	if state.HardState.Term < state.Snapshot.Term {
		return damagef("the term %d is before that of the snapshot, %d", state.HardState.Term, state.Snapshot.Term)
	}
	if len(state.Entries) == 0 {
		return nil
	}
	first, last := state.Entries[0], state.Entries[len(state.Entries)-1]
	if state.HardState.Term < last.Term {
		// An older page of the file: a member that forgot its vote could vote twice in a term.
		return damagef("the term %d is before that of entry %d, %d", state.HardState.Term, last.Index, last.Term)
	}
	if first.Index > state.Snapshot.Index+1 {
		return damagef("the log has a gap between the snapshot at %d and entry %d", state.Snapshot.Index, first.Index)
	}
	if last.Index < state.Snapshot.Index {
		return damagef("the log ends at %d, before the snapshot at %d", last.Index, state.Snapshot.Index)
	}
	for _, entry := range state.Entries {
		if entry.Kind != raft.EntryMembership {
			continue
		}
		membership, err := raft.DecodeMembership(entry.Data)
		if err == nil {
			err = membership.Validate()
		}
		if err != nil {
			return damagef("the membership at %d cannot be read: %v", entry.Index, err)
		}
	}
	return nil
}

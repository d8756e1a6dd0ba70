package store

import (
	"database/sql"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Load reads all that a member needs to go on.
func (s *Store) Load() (raft.PersistentState, error) {
	var state raft.PersistentState
	term, _, err := s.metaNumber("term")
	if err != nil {
		return state, err
	}
	vote, _, err := s.metaNumber("vote")
	if err != nil {
		return state, err
	}
	state.HardState = raft.HardState{Term: raft.Term(term), Vote: raft.MemberID(vote)}
	var index, snapshotTerm uint64
	var membership, data []byte
	var sum sql.NullInt64
	err = s.db.QueryRow("SELECT idx, term, membership, data, sum FROM snapshot").Scan(&index, &snapshotTerm, &membership, &data, &sum)
	if err != nil && err != sql.ErrNoRows {
		return state, eris.Wrap(err, "the snapshot cannot be read")
	}
	if err == nil {
		if !s.checksumMatches(sum, index, snapshotTerm, membership, data) {
			return state, damagef("the snapshot is damaged")
		}
		decoded, err := raft.DecodeMembership(membership)
		if err != nil {
			return state, damagef("the membership cannot be read: %v", err)
		}
		state.Snapshot = raft.Snapshot{Index: raft.Index(index), Term: raft.Term(snapshotTerm), Membership: decoded, Data: data}
	}
	rows, err := s.db.Query("SELECT idx, term, kind, data, sum FROM log ORDER BY idx")
	if err != nil {
		return state, eris.Wrap(err, "the log cannot be read")
	}
	defer rows.Close()
	for rows.Next() {
		var entryIndex, entryTerm uint64
		var kind uint8
		var entryData []byte
		if err := rows.Scan(&entryIndex, &entryTerm, &kind, &entryData, &sum); err != nil {
			return state, eris.Wrap(err, "the log cannot be read")
		}
		if !s.checksumMatches(sum, entryIndex, entryTerm, kind, entryData) {
			return state, damagef("the log is damaged at %d", entryIndex)
		}
		if n := len(state.Entries); n > 0 && uint64(state.Entries[n-1].Index)+1 != entryIndex {
			return state, damagef("the log has a hole before %d", entryIndex)
		}
		state.Entries = append(state.Entries, raft.Entry{Term: raft.Term(entryTerm), Index: raft.Index(entryIndex), Kind: raft.EntryKind(kind), Data: entryData})
	}
	if err := rows.Err(); err != nil {
		return state, eris.Wrap(err, "the log cannot be read")
	}
	return state, checkHistory(state)
}

// checkHistory makes sure that snapshot and entries are one history: the log goes on where the snapshot ends, and holds
// nothing that a member can't read.
func checkHistory(state raft.PersistentState) error {
	if len(state.Entries) == 0 {
		return nil
	}
	first, last := state.Entries[0], state.Entries[len(state.Entries)-1]
	if first.Index > state.Snapshot.Index+1 {
		return damagef("the log has a hole between the snapshot at %d and entry %d", state.Snapshot.Index, first.Index)
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

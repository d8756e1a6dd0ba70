package store

import (
	"database/sql"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Write puts one save on disk, whole or not at all, and returns when it is synced.
func (s *Store) Write(group ident.GroupID, save raft.Save) error {
	tx, err := s.db.Begin()
	if err != nil {
		return eris.Wrap(err, "a write cannot begin")
	}
	defer tx.Rollback()
	for _, execute := range statementsOf(group, save) {
		if err := execute(tx); err != nil {
			return err
		}
	}
	return eris.Wrap(tx.Commit(), "a write cannot be synced")
}

// statement is one statement of a write. All of a write are one transaction: a power loss between two leaves what was
// before the first.
type statement func(tx *sql.Tx) error

// statementsOf lists the statements of a write in their order.
func statementsOf(group ident.GroupID, save raft.Save) []statement {
	statements := []statement{
		func(tx *sql.Tx) error { return putMeta(tx, "group", []byte(group)) },
		func(tx *sql.Tx) error { return putMetaNumber(tx, "term", uint64(save.HardState.Term)) },
		func(tx *sql.Tx) error { return putMetaNumber(tx, "vote", uint64(save.HardState.Vote)) },
	}
	if save.Snapshot != nil {
		statements = append(statements, func(tx *sql.Tx) error { return putSnapshot(tx, *save.Snapshot) })
	}
	if save.CompactTo > 0 {
		statements = append(statements, func(tx *sql.Tx) error {
			_, err := tx.Exec("DELETE FROM log WHERE idx <= ?", uint64(save.CompactTo))
			return eris.Wrap(err, "the log cannot be shortened")
		})
	}
	if save.TruncateFrom > 0 {
		statements = append(statements, func(tx *sql.Tx) error {
			_, err := tx.Exec("DELETE FROM log WHERE idx >= ?", uint64(save.TruncateFrom))
			return eris.Wrap(err, "the log cannot be cut")
		})
	}
	for _, entry := range save.Entries {
		statements = append(statements, func(tx *sql.Tx) error { return putEntry(tx, entry) })
	}
	return statements
}

func putSnapshot(tx *sql.Tx, snapshot raft.Snapshot) error {
	index, term, membership := uint64(snapshot.Index), uint64(snapshot.Term), snapshot.Membership.Encode()
	_, err := tx.Exec("INSERT OR REPLACE INTO snapshot (one, idx, term, membership, data, sum) VALUES (1, ?, ?, ?, ?, ?)",
		index, term, membership, snapshot.Data, checksum(index, term, membership, snapshot.Data))
	return eris.Wrap(err, "the snapshot cannot be written")
}

func putEntry(tx *sql.Tx, entry raft.Entry) error {
	index, term, kind := uint64(entry.Index), uint64(entry.Term), uint8(entry.Kind)
	_, err := tx.Exec("INSERT INTO log (idx, term, kind, data, sum) VALUES (?, ?, ?, ?, ?)", index, term, kind, entry.Data, checksum(index, term, kind, entry.Data))
	return eris.Wrap(err, "the log cannot be written")
}

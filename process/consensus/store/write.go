package store

import (
	"database/sql"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Write writes a save in one transaction, and returns when it is synced. After an error the old state is on disk.
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

// statement is one statement of the transaction of a write.
type statement func(tx *sql.Tx) error

// statementsOf lists the statements of a write, in the order that raft.Save documents.
func statementsOf(group ident.GroupID, save raft.Save) []statement {
	statements := []statement{
		func(tx *sql.Tx) error { return putMeta(tx, keyGroup, []byte(group)) },
		func(tx *sql.Tx) error { return putMetaNumber(tx, keyTerm, uint64(save.HardState.Term)) },
		func(tx *sql.Tx) error { return putMetaNumber(tx, keyVote, uint64(save.HardState.Vote)) },
	}
	if save.Snapshot != nil {
		statements = append(statements, func(tx *sql.Tx) error { return putSnapshot(tx, *save.Snapshot) })
	}
	if save.CompactTo > 0 {
		statements = append(statements, func(tx *sql.Tx) error {
			_, err := tx.Exec("DELETE FROM log WHERE idx <= ?", uint64(save.CompactTo))
			return eris.Wrap(err, "the log cannot be compacted")
		})
	}
	if save.TruncateFrom > 0 {
		statements = append(statements, func(tx *sql.Tx) error {
			_, err := tx.Exec("DELETE FROM log WHERE idx >= ?", uint64(save.TruncateFrom))
			return eris.Wrap(err, "the log cannot be truncated")
		})
	}
	for _, entry := range save.Entries {
		statements = append(statements, func(tx *sql.Tx) error { return putEntry(tx, entry) })
	}
	return statements
}

// putSnapshot replaces the stored snapshot.
func putSnapshot(tx *sql.Tx, snapshot raft.Snapshot) error {
	index, term, membership := uint64(snapshot.Index), uint64(snapshot.Term), snapshot.Membership.Encode()
	_, err := tx.Exec("INSERT OR REPLACE INTO snapshot (one, idx, term, membership, data, sum) VALUES (1, ?, ?, ?, ?, ?)",
		index, term, membership, snapshot.Data, checksum(index, term, membership, snapshot.Data))
	return eris.Wrap(err, "the snapshot cannot be written")
}

// putEntry adds an entry to the log.
func putEntry(tx *sql.Tx, entry raft.Entry) error {
	index, term, kind := uint64(entry.Index), uint64(entry.Term), uint8(entry.Kind)
	_, err := tx.Exec("INSERT INTO log (idx, term, kind, data, sum) VALUES (?, ?, ?, ?, ?)",
		index, term, kind, entry.Data, checksum(index, term, kind, entry.Data))
	return eris.Wrap(err, "the log cannot be written")
}

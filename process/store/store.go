// Package store keeps a member's log, vote and snapshot in SQLite. Nothing it has written counts
// until the write is synced; it uses the rollback journal, since the write-ahead log needs shared memory.
package store

import (
	"database/sql"
	"encoding/binary"
	"os"
	"path/filepath"

	_ "github.com/mattn/go-sqlite3" // the SQLite driver
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/raft"
)

// FormVersion is the version of the tables; a folder of a later one is refused.
const FormVersion = 1

// Store is one open data folder.
type Store struct {
	db   *sql.DB
	lock *os.File
	// Member is the identity made with the folder.
	Member raft.MemberID
}

const tables = `
CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL, data BLOB);
CREATE TABLE IF NOT EXISTS snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), idx INTEGER NOT NULL, term INTEGER NOT NULL, membership BLOB NOT NULL, data BLOB);
`

// Open locks and opens the data folder, and makes its identity if it is new.
func Open(folder string, newMember func() raft.MemberID) (*Store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, eris.Wrapf(err, "the data folder %s cannot be made", folder)
	}
	lock, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "the data folder %s cannot be written", folder)
	}
	// Two processes on one folder would be two members with one identity.
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, eris.Errorf("the data folder %s is in use by another process", folder)
	}
	s := &Store{lock: lock}
	if err := s.open(folder, newMember); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) open(folder string, newMember func() raft.MemberID) error {
	path := filepath.Join(folder, "member.sqlite")
	db, err := sql.Open("sqlite3", "file:"+path+"?_journal_mode=DELETE&_synchronous=EXTRA&_locking_mode=EXCLUSIVE&_busy_timeout=0")
	if err != nil {
		return eris.Wrapf(err, "%s cannot be opened", path)
	}
	db.SetMaxOpenConns(1)
	s.db = db
	var sound string
	if err := db.QueryRow("PRAGMA quick_check").Scan(&sound); err != nil || sound != "ok" {
		return eris.Errorf("%s is damaged (%s %v); move the folder away, and the machine joins again as a new member", path, sound, err)
	}
	if _, err := db.Exec(tables); err != nil {
		return eris.Wrapf(err, "%s cannot be written", path)
	}
	version, found, err := s.number("form")
	if err != nil {
		return err
	}
	if found && version != FormVersion {
		return eris.Errorf("%s has form %d, and this program reads form %d", path, version, FormVersion)
	}
	member, found, err := s.number("member")
	if err != nil {
		return err
	}
	if !found {
		member = uint64(newMember())
		tx, err := db.Begin()
		if err != nil {
			return eris.Wrap(err, "the identity cannot be written")
		}
		defer tx.Rollback()
		if err := putNumber(tx, "member", member); err != nil {
			return err
		}
		if err := putNumber(tx, "form", FormVersion); err != nil {
			return err
		}
		if err := tx.Commit(); err != nil {
			return eris.Wrap(err, "the identity cannot be written")
		}
		if err := syncFolder(folder); err != nil {
			return err
		}
	}
	s.Member = raft.MemberID(member)
	return nil
}

// syncFolder makes the new file's name last too.
func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "the data folder cannot be read")
	}
	defer handle.Close()
	return eris.Wrap(handle.Sync(), "the data folder cannot be synced")
}

// Close lets go of the folder.
func (s *Store) Close() error {
	var err error
	if s.db != nil {
		err = s.db.Close()
	}
	s.lock.Close()
	return err
}

func (s *Store) blob(key string) ([]byte, bool, error) {
	var value []byte
	err := s.db.QueryRow("SELECT value FROM meta WHERE key = ?", key).Scan(&value)
	if err == sql.ErrNoRows {
		return nil, false, nil
	}
	return value, err == nil, eris.Wrapf(err, "%s cannot be read", key)
}

func (s *Store) number(key string) (uint64, bool, error) {
	value, found, err := s.blob(key)
	if err != nil || !found {
		return 0, false, err
	}
	if len(value) != 8 {
		return 0, false, eris.Errorf("%s is damaged", key)
	}
	return binary.BigEndian.Uint64(value), true, nil
}

func putNumber(tx *sql.Tx, key string, value uint64) error {
	return put(tx, key, binary.BigEndian.AppendUint64(nil, value))
}

func put(tx *sql.Tx, key string, value []byte) error {
	_, err := tx.Exec("INSERT INTO meta (key, value) VALUES (?, ?) ON CONFLICT (key) DO UPDATE SET value = excluded.value", key, value)
	return eris.Wrapf(err, "%s cannot be written", key)
}

// Group gives the group this folder belongs to; empty before it belongs to one.
func (s *Store) Group() (ident.GroupID, error) {
	value, _, err := s.blob("group")
	return ident.GroupID(value), err
}

// Load reads all that a member needs to go on.
func (s *Store) Load() (raft.Restored, error) {
	var out raft.Restored
	term, _, err := s.number("term")
	if err != nil {
		return out, err
	}
	vote, _, err := s.number("vote")
	if err != nil {
		return out, err
	}
	out.HardState = raft.HardState{Term: raft.Term(term), Vote: raft.MemberID(vote)}
	var index, snapshotTerm uint64
	var membership, data []byte
	err = s.db.QueryRow("SELECT idx, term, membership, data FROM snapshot").Scan(&index, &snapshotTerm, &membership, &data)
	if err != nil && err != sql.ErrNoRows {
		return out, eris.Wrap(err, "the snapshot cannot be read")
	}
	if err == nil {
		decoded, err := raft.DecodeMembership(membership)
		if err != nil {
			return out, eris.Wrap(err, "the membership cannot be read")
		}
		out.Snapshot = raft.Snapshot{Index: raft.Index(index), Term: raft.Term(snapshotTerm), Membership: decoded, Data: data}
	}
	rows, err := s.db.Query("SELECT idx, term, kind, data FROM log ORDER BY idx")
	if err != nil {
		return out, eris.Wrap(err, "the log cannot be read")
	}
	defer rows.Close()
	for rows.Next() {
		var entryIndex, entryTerm uint64
		var kind uint8
		var entryData []byte
		if err := rows.Scan(&entryIndex, &entryTerm, &kind, &entryData); err != nil {
			return out, eris.Wrap(err, "the log cannot be read")
		}
		if n := len(out.Entries); n > 0 && uint64(out.Entries[n-1].Index)+1 != entryIndex {
			return out, eris.Errorf("the log has a hole before %d", entryIndex)
		}
		out.Entries = append(out.Entries, raft.Entry{Term: raft.Term(entryTerm), Index: raft.Index(entryIndex), Kind: raft.EntryKind(kind), Data: entryData})
	}
	return out, eris.Wrap(rows.Err(), "the log cannot be read")
}

// Write puts one save on disk, whole or not at all, and returns when it is synced.
func (s *Store) Write(group ident.GroupID, save raft.Save) error {
	tx, err := s.db.Begin()
	if err != nil {
		return eris.Wrap(err, "a write cannot begin")
	}
	defer tx.Rollback()
	if err := put(tx, "group", []byte(group)); err != nil {
		return err
	}
	if err := putNumber(tx, "term", uint64(save.HardState.Term)); err != nil {
		return err
	}
	if err := putNumber(tx, "vote", uint64(save.HardState.Vote)); err != nil {
		return err
	}
	if save.Snapshot != nil {
		_, err := tx.Exec("INSERT OR REPLACE INTO snapshot (one, idx, term, membership, data) VALUES (1, ?, ?, ?, ?)",
			uint64(save.Snapshot.Index), uint64(save.Snapshot.Term), save.Snapshot.Membership.Encode(), save.Snapshot.Data)
		if err != nil {
			return eris.Wrap(err, "the snapshot cannot be written")
		}
	}
	if save.CompactTo > 0 {
		if _, err := tx.Exec("DELETE FROM log WHERE idx <= ?", uint64(save.CompactTo)); err != nil {
			return eris.Wrap(err, "the log cannot be shortened")
		}
	}
	if save.TruncateFrom > 0 {
		if _, err := tx.Exec("DELETE FROM log WHERE idx >= ?", uint64(save.TruncateFrom)); err != nil {
			return eris.Wrap(err, "the log cannot be cut")
		}
	}
	for _, entry := range save.Entries {
		if _, err := tx.Exec("INSERT INTO log (idx, term, kind, data) VALUES (?, ?, ?, ?)",
			uint64(entry.Index), uint64(entry.Term), uint8(entry.Kind), entry.Data); err != nil {
			return eris.Wrap(err, "the log cannot be written")
		}
	}
	return eris.Wrap(tx.Commit(), "a write cannot be synced")
}

// Package store keeps a member's log, vote and snapshot in SQLite. Nothing it has written counts
// until the write is synced; it uses the rollback journal, since the index of its write-ahead log lies in memory that processes map together.
package store

import (
	"database/sql"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"

	"github.com/mattn/go-sqlite3" // the SQLite driver, which its import registers
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// FormVersion is the version of the tables; a folder of a later one is refused.
const FormVersion = 1

// Store is one open data folder.
type Store struct {
	db     *sql.DB
	lock   *os.File
	folder string
	// Member is the identity made with the folder.
	Member raft.MemberID
	// strict says that every row must have its sum.
	strict bool
}

const tables = `
CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL, data BLOB);
CREATE TABLE IF NOT EXISTS snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), idx INTEGER NOT NULL, term INTEGER NOT NULL, membership BLOB NOT NULL, data BLOB);
`

// Each row carries a sum, since SQLite believes a turned bit in what it holds for us. Rows of builds that
// knew of no sums have none: the triggers take the sum off a row that such a build changes, and with the
// first row without one the word that all have one goes.
const untouched = `
CREATE TRIGGER IF NOT EXISTS meta_unsummed AFTER UPDATE OF value ON meta WHEN NEW.value IS NOT OLD.value AND NEW.sum IS OLD.sum
BEGIN UPDATE meta SET sum = NULL WHERE key = NEW.key; DELETE FROM meta WHERE key = 'all-summed'; END;
CREATE TRIGGER IF NOT EXISTS meta_added AFTER INSERT ON meta WHEN NEW.sum IS NULL BEGIN DELETE FROM meta WHERE key = 'all-summed'; END;
CREATE TRIGGER IF NOT EXISTS log_added AFTER INSERT ON log WHEN NEW.sum IS NULL BEGIN DELETE FROM meta WHERE key = 'all-summed'; END;
CREATE TRIGGER IF NOT EXISTS snapshot_added AFTER INSERT ON snapshot WHEN NEW.sum IS NULL BEGIN DELETE FROM meta WHERE key = 'all-summed'; END;
`

// summed lists the tables whose rows carry sums.
var summed = []string{"meta", "log", "snapshot"}

// keys are all that a group's folder must hold in meta; allSummed may stand beside them.
var keys = []string{"form", "member", "group", "term", "vote"}

// damage is what is wrong with a folder that can never be used again as it is; any other error may pass.
type damage struct{ error }

// Unwrap gives what was wrong.
func (d damage) Unwrap() error { return d.error }

// IsDamage says whether an error means that a folder can never be used again as it is.
func IsDamage(err error) bool {
	var found damage
	if errors.As(err, &found) {
		return true
	}
	var said sqlite3.Error
	return errors.As(err, &said) && (said.Code == sqlite3.ErrCorrupt || said.Code == sqlite3.ErrNotADB)
}

// damaged says that a folder can never be used again as it is.
func damaged(format string, args ...any) error { return damage{eris.Errorf(format, args...)} }

// sqliteHeader is how long the head of a SQLite file is.
const sqliteHeader = 100

// allSummed says that every row has its sum, so that one without is damaged.
const allSummed = "all-summed"

// sumOf is a row's sum.
func sumOf(parts ...any) int64 {
	sum := crc32.New(crc32.MakeTable(crc32.Castagnoli))
	for _, part := range parts {
		if raw, isRaw := part.([]byte); isRaw {
			_ = binary.Write(sum, binary.BigEndian, uint64(len(raw)))
			_, _ = sum.Write(raw)
			continue
		}
		_, _ = fmt.Fprint(sum, part, ";")
	}
	return int64(sum.Sum32())
}

// holds says whether a row is what was written. One without a sum can't be told, where there may be such.
func (s *Store) holds(sum sql.NullInt64, parts ...any) bool {
	if !sum.Valid {
		return !s.strict
	}
	return sum.Int64 == sumOf(parts...)
}

// addSums gives the tables of an earlier build their sums.
func (s *Store) addSums() error {
	for _, name := range summed {
		var has int
		if err := s.db.QueryRow("SELECT count(*) FROM pragma_table_info(?) WHERE name = 'sum'", name).Scan(&has); err != nil {
			return eris.Wrapf(err, "table %s cannot be read", name)
		}
		if has > 0 {
			continue
		}
		if _, err := s.db.Exec("ALTER TABLE " + name + " ADD COLUMN sum INTEGER"); err != nil {
			return eris.Wrapf(err, "table %s cannot be given sums", name)
		}
	}
	_, err := s.db.Exec(untouched)
	return eris.Wrap(err, "the tables cannot be guarded")
}

// checkKeys makes sure that a folder which belongs to a group still says all that it must, so that a
// damaged one is not taken for a new one.
func (s *Store) checkKeys() error {
	rows, err := s.db.Query("SELECT key FROM meta")
	if err != nil {
		return eris.Wrap(err, "the folder's keys cannot be read")
	}
	defer rows.Close()
	found := map[string]bool{}
	for rows.Next() {
		var key string
		if err := rows.Scan(&key); err != nil {
			return eris.Wrap(err, "the folder's keys cannot be read")
		}
		if key != allSummed && !slices.Contains(keys, key) {
			return damaged("the folder is damaged (it has the unknown key %q)", key)
		}
		found[key] = true
	}
	if err := rows.Err(); err != nil {
		return eris.Wrap(err, "the folder's keys cannot be read")
	}
	var written int
	if err := s.db.QueryRow("SELECT (SELECT count(*) FROM log) + (SELECT count(*) FROM snapshot)").Scan(&written); err != nil {
		return eris.Wrap(err, "the folder's tables cannot be read")
	}
	s.strict = found[allSummed]
	needed := keys[:0:0]
	if len(found) > 0 || written > 0 {
		needed = []string{"form", "member"}
	}
	if written > 0 || found["group"] || found["term"] || found["vote"] {
		needed = keys
	}
	for _, key := range needed {
		if !found[key] {
			return damaged("the folder is damaged (it lacks the key %q)", key)
		}
	}
	return nil
}

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
	s := &Store{lock: lock, folder: folder}
	// Whoever began to set the files aside and ended meanwhile is followed up first.
	if err := finishSetAside(folder); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.open(folder, newMember); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) open(folder string, newMember func() raft.MemberID) error {
	path := filepath.Join(folder, "member.sqlite")
	// SQLite takes a file that is too short for a header for a new one.
	if info, err := os.Stat(path); err == nil && info.Size() > 0 && info.Size() < sqliteHeader {
		return damaged("%s is damaged (%d bytes long); move the folder away, and the machine joins again as a new member", path, info.Size())
	}
	db, err := sql.Open("sqlite3", "file:"+path+"?_journal_mode=DELETE&_synchronous=EXTRA&_locking_mode=EXCLUSIVE&_busy_timeout=0")
	if err != nil {
		return eris.Wrapf(err, "%s cannot be opened", path)
	}
	db.SetMaxOpenConns(1)
	s.db = db
	var sound string
	if err := db.QueryRow("PRAGMA quick_check").Scan(&sound); err != nil && !IsDamage(err) {
		// A disk in trouble says nothing about what is on it.
		return eris.Wrapf(err, "%s cannot be read", path)
	} else if err != nil || sound != "ok" {
		return damaged("%s is damaged (%s %v); move the folder away, and the machine joins again as a new member", path, sound, err)
	}
	if _, err := db.Exec(tables); err != nil {
		return eris.Wrapf(err, "%s cannot be written", path)
	}
	if err := s.addSums(); err != nil {
		return err
	}
	if err := s.checkKeys(); err != nil {
		return eris.Wrapf(err, "%s cannot be trusted; move the folder away, and the machine joins again as a new member", path)
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
		if err := putNumber(tx, allSummed, 1); err != nil {
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
	var sum sql.NullInt64
	err := s.db.QueryRow("SELECT value, sum FROM meta WHERE key = ?", key).Scan(&value, &sum)
	if err == sql.ErrNoRows {
		return nil, false, nil
	}
	if err == nil && !s.holds(sum, key, value) {
		return nil, false, damaged("%s is damaged", key)
	}
	return value, err == nil, eris.Wrapf(err, "%s cannot be read", key)
}

func (s *Store) number(key string) (uint64, bool, error) {
	value, found, err := s.blob(key)
	if err != nil || !found {
		return 0, false, err
	}
	if len(value) != 8 {
		return 0, false, damaged("%s is damaged", key)
	}
	return binary.BigEndian.Uint64(value), true, nil
}

func putNumber(tx *sql.Tx, key string, value uint64) error {
	return put(tx, key, binary.BigEndian.AppendUint64(nil, value))
}

func put(tx *sql.Tx, key string, value []byte) error {
	_, err := tx.Exec("INSERT INTO meta (key, value, sum) VALUES (?, ?, ?) ON CONFLICT (key) DO UPDATE SET value = excluded.value, sum = excluded.sum", key, value, sumOf(key, value))
	return eris.Wrapf(err, "%s cannot be written", key)
}

// Group gives the group this folder belongs to; empty before it belongs to one.
func (s *Store) Group() (ident.GroupID, error) {
	value, _, err := s.blob("group")
	return ident.GroupID(value), err
}

// Load reads all that a member needs to go on.
func (s *Store) Load() (raft.PersistentState, error) {
	var out raft.PersistentState
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
	var sum sql.NullInt64
	err = s.db.QueryRow("SELECT idx, term, membership, data, sum FROM snapshot").Scan(&index, &snapshotTerm, &membership, &data, &sum)
	if err != nil && err != sql.ErrNoRows {
		return out, eris.Wrap(err, "the snapshot cannot be read")
	}
	if err == nil {
		if !s.holds(sum, index, snapshotTerm, membership, data) {
			return out, damaged("the snapshot is damaged")
		}
		decoded, err := raft.DecodeMembership(membership)
		if err != nil {
			return out, damaged("the membership cannot be read: %v", err)
		}
		out.Snapshot = raft.Snapshot{Index: raft.Index(index), Term: raft.Term(snapshotTerm), Membership: decoded, Data: data}
	}
	rows, err := s.db.Query("SELECT idx, term, kind, data, sum FROM log ORDER BY idx")
	if err != nil {
		return out, eris.Wrap(err, "the log cannot be read")
	}
	defer rows.Close()
	for rows.Next() {
		var entryIndex, entryTerm uint64
		var kind uint8
		var entryData []byte
		if err := rows.Scan(&entryIndex, &entryTerm, &kind, &entryData, &sum); err != nil {
			return out, eris.Wrap(err, "the log cannot be read")
		}
		if !s.holds(sum, entryIndex, entryTerm, kind, entryData) {
			return out, damaged("the log is damaged at %d", entryIndex)
		}
		if n := len(out.Entries); n > 0 && uint64(out.Entries[n-1].Index)+1 != entryIndex {
			return out, damaged("the log has a hole before %d", entryIndex)
		}
		out.Entries = append(out.Entries, raft.Entry{Term: raft.Term(entryTerm), Index: raft.Index(entryIndex), Kind: raft.EntryKind(kind), Data: entryData})
	}
	if err := rows.Err(); err != nil {
		return out, eris.Wrap(err, "the log cannot be read")
	}
	return out, checkLog(out)
}

// checkLog makes sure that snapshot and entries are one history: the log goes on where the snapshot ends, and holds
// nothing that a member can't read.
func checkLog(found raft.PersistentState) error {
	if len(found.Entries) == 0 {
		return nil
	}
	first, last := found.Entries[0], found.Entries[len(found.Entries)-1]
	if first.Index > found.Snapshot.Index+1 {
		return damaged("the log has a hole between the snapshot at %d and entry %d", found.Snapshot.Index, first.Index)
	}
	if last.Index < found.Snapshot.Index {
		return damaged("the log ends at %d, before the snapshot at %d", last.Index, found.Snapshot.Index)
	}
	for _, entry := range found.Entries {
		if entry.Kind != raft.EntryMembership {
			continue
		}
		membership, err := raft.DecodeMembership(entry.Data)
		if err == nil {
			err = membership.Validate()
		}
		if err != nil {
			return damaged("the membership at %d cannot be read: %v", entry.Index, err)
		}
	}
	return nil
}

// Write puts one save on disk, whole or not at all, and returns when it is synced.
func (s *Store) Write(group ident.GroupID, save raft.Save) error {
	tx, err := s.db.Begin()
	if err != nil {
		return eris.Wrap(err, "a write cannot begin")
	}
	defer tx.Rollback()
	for _, step := range stepsOf(group, save) {
		if err := step(tx); err != nil {
			return err
		}
	}
	return eris.Wrap(tx.Commit(), "a write cannot be synced")
}

// writeStep is one statement of a write. All of a write are one transaction: a power loss between two leaves what was
// before the first.
type writeStep func(tx *sql.Tx) error

// stepsOf lists the statements of a write in their order.
func stepsOf(group ident.GroupID, save raft.Save) []writeStep {
	steps := []writeStep{
		func(tx *sql.Tx) error { return put(tx, "group", []byte(group)) },
		func(tx *sql.Tx) error { return putNumber(tx, "term", uint64(save.HardState.Term)) },
		func(tx *sql.Tx) error { return putNumber(tx, "vote", uint64(save.HardState.Vote)) },
	}
	if save.Snapshot != nil {
		steps = append(steps, func(tx *sql.Tx) error { return putSnapshot(tx, *save.Snapshot) })
	}
	if save.CompactTo > 0 {
		steps = append(steps, func(tx *sql.Tx) error {
			_, err := tx.Exec("DELETE FROM log WHERE idx <= ?", uint64(save.CompactTo))
			return eris.Wrap(err, "the log cannot be shortened")
		})
	}
	if save.TruncateFrom > 0 {
		steps = append(steps, func(tx *sql.Tx) error {
			_, err := tx.Exec("DELETE FROM log WHERE idx >= ?", uint64(save.TruncateFrom))
			return eris.Wrap(err, "the log cannot be cut")
		})
	}
	for _, entry := range save.Entries {
		steps = append(steps, func(tx *sql.Tx) error { return putEntry(tx, entry) })
	}
	return steps
}

func putSnapshot(tx *sql.Tx, snapshot raft.Snapshot) error {
	index, term, membership := uint64(snapshot.Index), uint64(snapshot.Term), snapshot.Membership.Encode()
	_, err := tx.Exec("INSERT OR REPLACE INTO snapshot (one, idx, term, membership, data, sum) VALUES (1, ?, ?, ?, ?, ?)",
		index, term, membership, snapshot.Data, sumOf(index, term, membership, snapshot.Data))
	return eris.Wrap(err, "the snapshot cannot be written")
}

func putEntry(tx *sql.Tx, entry raft.Entry) error {
	index, term, kind := uint64(entry.Index), uint64(entry.Term), uint8(entry.Kind)
	_, err := tx.Exec("INSERT INTO log (idx, term, kind, data, sum) VALUES (?, ?, ?, ?, ?)", index, term, kind, entry.Data, sumOf(index, term, kind, entry.Data))
	return eris.Wrap(err, "the log cannot be written")
}

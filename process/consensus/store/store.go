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
const SchemaVersion = 1

// Store is one open data folder.
type Store struct {
	db     *sql.DB
	lock   *os.File
	folder string
	// MemberID is the identity made with the folder.
	MemberID raft.MemberID
	// checksumsRequired says that every row must have its sum.
	checksumsRequired bool
}

const schema = `
CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL, data BLOB);
CREATE TABLE IF NOT EXISTS snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), idx INTEGER NOT NULL, term INTEGER NOT NULL, membership BLOB NOT NULL, data BLOB);
`

// Each row carries a sum, since SQLite believes a turned bit in what it holds for us. Rows of builds that
// knew of no sums have none: the triggers take the sum off a row that such a build changes, and with the
// first row without one the word that all have one goes.
const checksumTriggers = `
CREATE TRIGGER IF NOT EXISTS meta_unsummed AFTER UPDATE OF value ON meta WHEN NEW.value IS NOT OLD.value AND NEW.sum IS OLD.sum
BEGIN UPDATE meta SET sum = NULL WHERE key = NEW.key; DELETE FROM meta WHERE key = 'all-summed'; END;
CREATE TRIGGER IF NOT EXISTS meta_added AFTER INSERT ON meta WHEN NEW.sum IS NULL BEGIN DELETE FROM meta WHERE key = 'all-summed'; END;
CREATE TRIGGER IF NOT EXISTS log_added AFTER INSERT ON log WHEN NEW.sum IS NULL BEGIN DELETE FROM meta WHERE key = 'all-summed'; END;
CREATE TRIGGER IF NOT EXISTS snapshot_added AFTER INSERT ON snapshot WHEN NEW.sum IS NULL BEGIN DELETE FROM meta WHERE key = 'all-summed'; END;
`

// summed lists the tables whose rows carry sums.
var checksummedTables = []string{"meta", "log", "snapshot"}

// keys are all that a group's folder must hold in meta; allSummed may stand beside them.
var metaKeys = []string{"form", "member", "group", "term", "vote"}

// DamageError is what is wrong with a folder that can never be used again as it is; any other error may pass.
type DamageError struct{ error }

// Unwrap gives what was wrong.
func (d DamageError) Unwrap() error { return d.error }

// IsDamaged says whether an error means that a folder can never be used again as it is.
func IsDamaged(err error) bool {
	var damage DamageError
	if errors.As(err, &damage) {
		return true
	}
	var sqliteError sqlite3.Error
	return errors.As(err, &sqliteError) && (sqliteError.Code == sqlite3.ErrCorrupt || sqliteError.Code == sqlite3.ErrNotADB)
}

// damagef says that a folder can never be used again as it is.
func damagef(format string, args ...any) error { return DamageError{eris.Errorf(format, args...)} }

// sqliteHeader is how long the head of a SQLite file is.
const sqliteHeaderBytes = 100

// allSummed says that every row has its sum, so that one without is damaged.
const keyAllChecksummed = "all-summed"

// checksum is a row's sum.
func checksum(columns ...any) int64 {
	hash := crc32.New(crc32.MakeTable(crc32.Castagnoli))
	for _, column := range columns {
		if blob, isBlob := column.([]byte); isBlob {
			_ = binary.Write(hash, binary.BigEndian, uint64(len(blob)))
			_, _ = hash.Write(blob)
			continue
		}
		_, _ = fmt.Fprint(hash, column, ";")
	}
	return int64(hash.Sum32())
}

// checksumMatches says whether a row is what was written. One without a sum can't be told, where there may be such.
func (s *Store) checksumMatches(stored sql.NullInt64, columns ...any) bool {
	if !stored.Valid {
		return !s.checksumsRequired
	}
	return stored.Int64 == checksum(columns...)
}

// addChecksums gives the tables of an earlier build their sums.
func (s *Store) addChecksums() error {
	for _, name := range checksummedTables {
		var columns int
		if err := s.db.QueryRow("SELECT count(*) FROM pragma_table_info(?) WHERE name = 'sum'", name).Scan(&columns); err != nil {
			return eris.Wrapf(err, "table %s cannot be read", name)
		}
		if columns > 0 {
			continue
		}
		if _, err := s.db.Exec("ALTER TABLE " + name + " ADD COLUMN sum INTEGER"); err != nil {
			return eris.Wrapf(err, "table %s cannot be given sums", name)
		}
	}
	_, err := s.db.Exec(checksumTriggers)
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
		if key != keyAllChecksummed && !slices.Contains(metaKeys, key) {
			return damagef("the folder is damaged (it has the unknown key %q)", key)
		}
		found[key] = true
	}
	if err := rows.Err(); err != nil {
		return eris.Wrap(err, "the folder's keys cannot be read")
	}
	var rowCount int
	if err := s.db.QueryRow("SELECT (SELECT count(*) FROM log) + (SELECT count(*) FROM snapshot)").Scan(&rowCount); err != nil {
		return eris.Wrap(err, "the folder's tables cannot be read")
	}
	s.checksumsRequired = found[keyAllChecksummed]
	required := metaKeys[:0:0]
	if len(found) > 0 || rowCount > 0 {
		required = []string{"form", "member"}
	}
	if rowCount > 0 || found["group"] || found["term"] || found["vote"] {
		required = metaKeys
	}
	for _, key := range required {
		if !found[key] {
			return damagef("the folder is damaged (it lacks the key %q)", key)
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
	if err := finishQuarantine(folder); err != nil {
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
	if info, err := os.Stat(path); err == nil && info.Size() > 0 && info.Size() < sqliteHeaderBytes {
		return damagef("%s is damaged (%d bytes long); move the folder away, and the machine joins again as a new member", path, info.Size())
	}
	db, err := sql.Open("sqlite3", "file:"+path+"?_journal_mode=DELETE&_synchronous=EXTRA&_locking_mode=EXCLUSIVE&_busy_timeout=0")
	if err != nil {
		return eris.Wrapf(err, "%s cannot be opened", path)
	}
	db.SetMaxOpenConns(1)
	s.db = db
	var checkResult string
	if err := db.QueryRow("PRAGMA quick_check").Scan(&checkResult); err != nil && !IsDamaged(err) {
		// A disk in trouble says nothing about what is on it.
		return eris.Wrapf(err, "%s cannot be read", path)
	} else if err != nil || checkResult != "ok" {
		return damagef("%s is damaged (%s %v); move the folder away, and the machine joins again as a new member", path, checkResult, err)
	}
	if _, err := db.Exec(schema); err != nil {
		return eris.Wrapf(err, "%s cannot be written", path)
	}
	if err := s.addChecksums(); err != nil {
		return err
	}
	if err := s.checkKeys(); err != nil {
		return eris.Wrapf(err, "%s cannot be trusted; move the folder away, and the machine joins again as a new member", path)
	}
	version, found, err := s.metaNumber("form")
	if err != nil {
		return err
	}
	if found && version != SchemaVersion {
		return eris.Errorf("%s has form %d, and this program reads form %d", path, version, SchemaVersion)
	}
	member, found, err := s.metaNumber("member")
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
		if err := putMetaNumber(tx, "member", member); err != nil {
			return err
		}
		if err := putMetaNumber(tx, "form", SchemaVersion); err != nil {
			return err
		}
		if err := putMetaNumber(tx, keyAllChecksummed, 1); err != nil {
			return err
		}
		if err := tx.Commit(); err != nil {
			return eris.Wrap(err, "the identity cannot be written")
		}
		if err := syncFolder(folder); err != nil {
			return err
		}
	}
	s.MemberID = raft.MemberID(member)
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

func (s *Store) metaValue(key string) ([]byte, bool, error) {
	var value []byte
	var sum sql.NullInt64
	err := s.db.QueryRow("SELECT value, sum FROM meta WHERE key = ?", key).Scan(&value, &sum)
	if err == sql.ErrNoRows {
		return nil, false, nil
	}
	if err == nil && !s.checksumMatches(sum, key, value) {
		return nil, false, damagef("%s is damaged", key)
	}
	return value, err == nil, eris.Wrapf(err, "%s cannot be read", key)
}

func (s *Store) metaNumber(key string) (uint64, bool, error) {
	value, found, err := s.metaValue(key)
	if err != nil || !found {
		return 0, false, err
	}
	if len(value) != 8 {
		return 0, false, damagef("%s is damaged", key)
	}
	return binary.BigEndian.Uint64(value), true, nil
}

func putMetaNumber(tx *sql.Tx, key string, value uint64) error {
	return putMeta(tx, key, binary.BigEndian.AppendUint64(nil, value))
}

func putMeta(tx *sql.Tx, key string, value []byte) error {
	_, err := tx.Exec("INSERT INTO meta (key, value, sum) VALUES (?, ?, ?) ON CONFLICT (key) DO UPDATE SET value = excluded.value, sum = excluded.sum", key, value, checksum(key, value))
	return eris.Wrapf(err, "%s cannot be written", key)
}

// Group gives the group this folder belongs to; empty before it belongs to one.
func (s *Store) Group() (ident.GroupID, error) {
	value, _, err := s.metaValue("group")
	return ident.GroupID(value), err
}

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

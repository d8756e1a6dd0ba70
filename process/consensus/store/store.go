package store

import (
	"database/sql"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

const (
	databaseName = "member.sqlite"
	lockName     = "lock"
	// databaseOptions: every transaction is synced, the file of the rollback journal included; the database is locked for
	// this process alone.
	databaseOptions = "?_journal_mode=DELETE&_synchronous=EXTRA&_locking_mode=EXCLUSIVE&_busy_timeout=0"
	// sqliteHeaderBytes is the length of the header of a SQLite file.
	sqliteHeaderBytes = 100
	// rejoinAdvice ends the message about a folder that an operator has to move away.
	rejoinAdvice = "move the folder away, and the machine joins again as a new member"
)

// Store is one open data folder. It is not safe for concurrent use.
type Store struct {
	db     *sql.DB
	lock   *os.File
	folder string
	// MemberID is the identity that was created with the folder.
	MemberID raft.MemberID
	// checksumsRequired says that no build without checksums has written to the folder: a row without one is damaged.
	checksumsRequired bool
}

// Open locks and opens a data folder. A new one is created with the identity that newMember returns. Its errors are
// ErrInUse, SchemaVersionError, those that IsDamaged recognizes, and those of the disk.
func Open(folder string, newMember func() raft.MemberID) (*Store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, eris.Wrapf(err, "the data folder %s cannot be created", folder)
	}
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "the data folder %s cannot be written", folder)
	}
	// Two processes on one folder would be two members with one identity.
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, eris.Wrapf(ErrInUse, "the data folder %s cannot be opened", folder)
	}
	s := &Store{lock: lock, folder: folder}
	if err := s.open(newMember); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// open opens the database of a locked folder.
func (s *Store) open(newMember func() raft.MemberID) error {
	// A process may have ended in the middle of a quarantine.
	if err := finishQuarantine(s.folder); err != nil {
		return err
	}
	path := filepath.Join(s.folder, databaseName)
	if err := s.openDatabase(path); err != nil {
		return err
	}
	if err := s.prepareTables(path); err != nil {
		return err
	}
	member, found, err := s.metaNumber(keyMember)
	if err != nil {
		return err
	}
	if !found {
		member = uint64(newMember())
		if err := s.createIdentity(member); err != nil {
			return err
		}
	}
	s.MemberID = raft.MemberID(member)
	return nil
}

// openDatabase opens the SQLite file and lets SQLite check its structure.
func (s *Store) openDatabase(path string) error {
	// SQLite treats a file that is shorter than a header as a new one.
	if info, err := os.Stat(path); err == nil && info.Size() > 0 && info.Size() < sqliteHeaderBytes {
		return damagef("%s is damaged (%d bytes long); %s", path, info.Size(), rejoinAdvice)
	}
	db, err := sql.Open("sqlite3", "file:"+path+databaseOptions)
	if err != nil {
		return eris.Wrapf(err, "%s cannot be opened", path)
	}
	db.SetMaxOpenConns(1)
	s.db = db
	var checkResult string
	err = db.QueryRow("PRAGMA quick_check").Scan(&checkResult)
	if err != nil && !IsDamaged(err) {
		// A failing disk says nothing about what is on it.
		return eris.Wrapf(err, "%s cannot be read", path)
	}
	if err != nil || checkResult != "ok" {
		return damagef("%s is damaged (%s %v); %s", path, checkResult, err, rejoinAdvice)
	}
	return nil
}

// prepareTables creates what a new folder lacks, and checks schema version and keys of an old one.
func (s *Store) prepareTables(path string) error {
	if _, err := s.db.Exec(schema); err != nil {
		return eris.Wrapf(err, "%s cannot be written", path)
	}
	if err := s.addChecksums(); err != nil {
		return err
	}
	if err := s.checkKeys(); err != nil {
		return eris.Wrapf(err, "%s cannot be trusted; %s", path, rejoinAdvice)
	}
	version, found, err := s.metaNumber(keySchemaVersion)
	if err != nil {
		return err
	}
	if found && version != SchemaVersion {
		return eris.Wrap(SchemaVersionError{Path: path, Found: version}, "the data folder cannot be used")
	}
	return nil
}

// createIdentity writes the identity of a new folder.
func (s *Store) createIdentity(member uint64) error {
	tx, err := s.db.Begin()
	if err != nil {
		return eris.Wrap(err, "the identity cannot be written")
	}
	defer tx.Rollback()
	if err := putMetaNumber(tx, keyMember, member); err != nil {
		return err
	}
	if err := putMetaNumber(tx, keySchemaVersion, SchemaVersion); err != nil {
		return err
	}
	if err := putMetaNumber(tx, keyAllChecksummed, 1); err != nil {
		return err
	}
	if err := tx.Commit(); err != nil {
		return eris.Wrap(err, "the identity cannot be written")
	}
	return syncFolder(s.folder)
}

// syncFolder makes the names of new and renamed files durable.
func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "the data folder cannot be read")
	}
	defer handle.Close()
	return eris.Wrap(handle.Sync(), "the data folder cannot be synced")
}

// Close closes the database and unlocks the folder.
func (s *Store) Close() error {
	var err error
	if s.db != nil {
		err = s.db.Close()
	}
	s.lock.Close()
	return err
}

package store

import (
	"database/sql"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// sqliteHeader is how long the head of a SQLite file is.
const sqliteHeaderBytes = 100

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

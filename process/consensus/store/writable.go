package store

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// CheckWritable makes sure that the disk takes writes again, and some more bytes than before.
func (s *Store) CheckWritable() error {
	name := filepath.Join(s.folder, writeTestName)
	defer os.Remove(name)
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "a write cannot begin")
	}
	defer file.Close()
	if _, err := file.Write(make([]byte, writeTestBytes)); err != nil {
		return eris.Wrap(err, "the disk takes no more bytes")
	}
	if err := file.Sync(); err != nil {
		return eris.Wrap(err, "a write cannot be synced")
	}
	tx, err := s.db.Begin()
	if err != nil {
		return eris.Wrap(err, "a write cannot begin")
	}
	defer tx.Rollback()
	if err := putMetaNumber(tx, "form", SchemaVersion); err != nil {
		return err
	}
	return eris.Wrap(tx.Commit(), "a write cannot be synced")
}

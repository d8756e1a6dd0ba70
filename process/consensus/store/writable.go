package store

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

const (
	// writeTestName is a file that exists while CheckWritable runs; writeTestBytes is its size.
	writeTestName  = "probe"
	writeTestBytes = 64 << 10
)

// CheckWritable checks that the disk accepts new bytes and that the database accepts a transaction. A member whose disk
// failed calls it before it joins its group again.
func (s *Store) CheckWritable() error {
	name := filepath.Join(s.folder, writeTestName)
	defer os.Remove(name)
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "a write cannot begin")
	}
	defer file.Close()
	if _, err := file.Write(make([]byte, writeTestBytes)); err != nil {
		return eris.Wrap(err, "the disk accepts no more bytes")
	}
	if err := file.Sync(); err != nil {
		return eris.Wrap(err, "a write cannot be synced")
	}
	tx, err := s.db.Begin()
	if err != nil {
		return eris.Wrap(err, "a write cannot begin")
	}
	defer tx.Rollback()
	if err := putMetaNumber(tx, keySchemaVersion, SchemaVersion); err != nil {
		return err
	}
	return eris.Wrap(tx.Commit(), "a write cannot be synced")
}

package store

import (
	"errors"
	"fmt"

	"github.com/mattn/go-sqlite3" // also registers the driver "sqlite3"
	"github.com/rotisserie/eris"
)

// ErrInUse says that another process has the data folder open.
var ErrInUse = errors.New("the folder is in use by another process")

// SchemaVersionError says that a folder was written by a build with another schema.
type SchemaVersionError struct {
	Path  string
	Found uint64
}

// Error names both versions.
func (e SchemaVersionError) Error() string {
	return fmt.Sprintf("%s has schema version %d, and this program reads version %d", e.Path, e.Found, SchemaVersion)
}

// DamageError says that a folder can never be used again as it is. SQLite reports some damage by codes of its own: use
// IsDamaged to recognize both.
type DamageError struct{ error }

// Unwrap returns the cause.
func (d DamageError) Unwrap() error { return d.error }

// IsDamaged says whether an error means that a folder can never be used again as it is. Any other error may pass: a full
// disk, a disk that fails, missing permissions.
func IsDamaged(err error) bool {
	var damage DamageError
	if errors.As(err, &damage) {
		return true
	}
	var sqliteError sqlite3.Error
	return errors.As(err, &sqliteError) && (sqliteError.Code == sqlite3.ErrCorrupt || sqliteError.Code == sqlite3.ErrNotADB)
}

// damagef makes a DamageError.
func damagef(format string, args ...any) error { return DamageError{eris.Errorf(format, args...)} }

package store

import (
	"errors"

	"github.com/mattn/go-sqlite3" // the SQLite driver, which its import registers
	"github.com/rotisserie/eris"
)

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

package store

import (
	"database/sql"
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
)

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

package store

import (
	"database/sql"
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
)

// metaValue reads a value of the table meta, and whether it is there.
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

// metaNumber reads a value that putMetaNumber wrote.
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

// putMetaNumber writes a number as eight bytes, big endian.
func putMetaNumber(tx *sql.Tx, key string, value uint64) error {
	return putMeta(tx, key, binary.BigEndian.AppendUint64(nil, value))
}

// putMeta inserts or replaces a value of the table meta.
func putMeta(tx *sql.Tx, key string, value []byte) error {
	const upsert = `INSERT INTO meta (key, value, sum) VALUES (?, ?, ?)
		ON CONFLICT (key) DO UPDATE SET value = excluded.value, sum = excluded.sum`
	_, err := tx.Exec(upsert, key, value, checksum(key, value))
	return eris.Wrapf(err, "%s cannot be written", key)
}

// Group returns the group that the member belongs to; empty before it has joined one.
func (s *Store) Group() (ident.GroupID, error) {
	value, _, err := s.metaValue(keyGroup)
	return ident.GroupID(value), err
}

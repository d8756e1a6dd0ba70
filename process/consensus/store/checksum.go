package store

import (
	"database/sql"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// allSummed says that every row has its sum, so that one without is damaged.
const keyAllChecksummed = "all-summed"

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

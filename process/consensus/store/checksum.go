package store

import (
	"database/sql"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// checksumTriggers keep the checksums right while an earlier build, which knows of none, writes to the folder: a row that
// it changes loses its checksum, and with the first row without one the key all-summed is deleted.
const checksumTriggers = `
CREATE TRIGGER IF NOT EXISTS meta_unsummed AFTER UPDATE OF value ON meta WHEN NEW.value IS NOT OLD.value AND NEW.sum IS OLD.sum
BEGIN UPDATE meta SET sum = NULL WHERE key = NEW.key; DELETE FROM meta WHERE key = 'all-summed'; END;
CREATE TRIGGER IF NOT EXISTS meta_added AFTER INSERT ON meta WHEN NEW.sum IS NULL BEGIN DELETE FROM meta WHERE key = 'all-summed'; END;
CREATE TRIGGER IF NOT EXISTS log_added AFTER INSERT ON log WHEN NEW.sum IS NULL BEGIN DELETE FROM meta WHERE key = 'all-summed'; END;
CREATE TRIGGER IF NOT EXISTS snapshot_added AFTER INSERT ON snapshot WHEN NEW.sum IS NULL BEGIN DELETE FROM meta WHERE key = 'all-summed'; END;
`

// checksummedTables lists the tables whose rows carry checksums.
var checksummedTables = []string{"meta", "log", "snapshot"}

// checksum is the CRC-32C of a row, with unambiguous column boundaries. It is stored on disk.
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

// checksumMatches says whether a row is as it was written. One without a checksum is accepted only in a folder that
// an earlier build has written to.
func (s *Store) checksumMatches(stored sql.NullInt64, columns ...any) bool {
	if !stored.Valid {
		return !s.checksumsRequired
	}
	return stored.Int64 == checksum(columns...)
}

// addChecksums adds the checksum column to tables of an earlier build, and the triggers.
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
			return eris.Wrapf(err, "table %s cannot be given checksums", name)
		}
	}
	_, err := s.db.Exec(checksumTriggers)
	return eris.Wrap(err, "the checksum triggers cannot be created")
}

package store

import (
	"slices"

	"github.com/rotisserie/eris"
)

// FormVersion is the version of the tables; a folder of a later one is refused.
const SchemaVersion = 1

const schema = `
CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL, data BLOB);
CREATE TABLE IF NOT EXISTS snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), idx INTEGER NOT NULL, term INTEGER NOT NULL, membership BLOB NOT NULL, data BLOB);
`

// keys are all that a group's folder must hold in meta; allSummed may stand beside them.
var metaKeys = []string{"form", "member", "group", "term", "vote"}

// checkKeys makes sure that a folder which belongs to a group still says all that it must, so that a
// damaged one is not taken for a new one.
func (s *Store) checkKeys() error {
	rows, err := s.db.Query("SELECT key FROM meta")
	if err != nil {
		return eris.Wrap(err, "the folder's keys cannot be read")
	}
	defer rows.Close()
	found := map[string]bool{}
	for rows.Next() {
		var key string
		if err := rows.Scan(&key); err != nil {
			return eris.Wrap(err, "the folder's keys cannot be read")
		}
		if key != keyAllChecksummed && !slices.Contains(metaKeys, key) {
			return damagef("the folder is damaged (it has the unknown key %q)", key)
		}
		found[key] = true
	}
	if err := rows.Err(); err != nil {
		return eris.Wrap(err, "the folder's keys cannot be read")
	}
	var rowCount int
	if err := s.db.QueryRow("SELECT (SELECT count(*) FROM log) + (SELECT count(*) FROM snapshot)").Scan(&rowCount); err != nil {
		return eris.Wrap(err, "the folder's tables cannot be read")
	}
	s.checksumsRequired = found[keyAllChecksummed]
	required := metaKeys[:0:0]
	if len(found) > 0 || rowCount > 0 {
		required = []string{"form", "member"}
	}
	if rowCount > 0 || found["group"] || found["term"] || found["vote"] {
		required = metaKeys
	}
	for _, key := range required {
		if !found[key] {
			return damagef("the folder is damaged (it lacks the key %q)", key)
		}
	}
	return nil
}

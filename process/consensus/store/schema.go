package store

import (
	"slices"

	"github.com/rotisserie/eris"
)

// SchemaVersion is the version of the tables. A folder with another one is rejected with a SchemaVersionError.
const SchemaVersion = 1

// schema creates the tables of a new folder. The checksum columns are added by addChecksums.
const schema = `
CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL, data BLOB);
CREATE TABLE IF NOT EXISTS snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), idx INTEGER NOT NULL, term INTEGER NOT NULL, membership BLOB NOT NULL, data BLOB);
`

// Keys of the table meta. They are stored on disk.
const (
	keySchemaVersion = "form"
	keyMember        = "member"
	keyGroup         = "group"
	keyTerm          = "term"
	keyVote          = "vote"
	// keyAllChecksummed says that every row has a checksum, so that one without is damaged.
	keyAllChecksummed = "all-summed"
)

// metaKeys are required in the folder of a member that belongs to a group.
var metaKeys = []string{keySchemaVersion, keyMember, keyGroup, keyTerm, keyVote}

// checkKeys checks that a used folder has all its keys: a damaged one must not be mistaken for a new one, since a member
// that forgot its vote could vote twice in a term.
func (s *Store) checkKeys() error {
	found, err := s.storedKeys()
	if err != nil {
		return err
	}
	s.checksumsRequired = found[keyAllChecksummed]
	var rowCount int
	if err := s.db.QueryRow("SELECT (SELECT count(*) FROM log) + (SELECT count(*) FROM snapshot)").Scan(&rowCount); err != nil {
		return eris.Wrap(err, "the folder's tables cannot be read")
	}
	var required []string
	if len(found) > 0 || rowCount > 0 {
		required = []string{keySchemaVersion, keyMember}
	}
	if rowCount > 0 || found[keyGroup] || found[keyTerm] || found[keyVote] {
		required = metaKeys
	}
	for _, key := range required {
		if !found[key] {
			return damagef("the folder is damaged (the key %q is missing)", key)
		}
	}
	return nil
}

// storedKeys reads the keys of the table meta; an unknown one is damage.
func (s *Store) storedKeys() (map[string]bool, error) {
	rows, err := s.db.Query("SELECT key FROM meta")
	if err != nil {
		return nil, eris.Wrap(err, "the folder's keys cannot be read")
	}
	defer rows.Close()
	found := map[string]bool{}
	for rows.Next() {
		var key string
		if err := rows.Scan(&key); err != nil {
			return nil, eris.Wrap(err, "the folder's keys cannot be read")
		}
		if key != keyAllChecksummed && !slices.Contains(metaKeys, key) {
			return nil, damagef("the folder is damaged (it has the unknown key %q)", key)
		}
		found[key] = true
	}
	if err := rows.Err(); err != nil {
		return nil, eris.Wrap(err, "the folder's keys cannot be read")
	}
	return found, nil
}

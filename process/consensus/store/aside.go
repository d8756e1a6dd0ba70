package store

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// quarantineMarker stands in a folder while its files are set aside, so that one half done is never opened.
	quarantineMarker = "setting-aside"
	// writeTestName is a file that comes and goes while a disk is looked at, probeBytes how large it is.
	writeTestName  = "probe"
	writeTestBytes = 64 << 10
	// quarantinePrefix begins the names of files that were set aside; mostAside is how many sets are kept.
	quarantinePrefix = "aside-"
	maxQuarantined   = 2
)

// memberFiles are all files of a member.
var databaseFiles = []string{"member.sqlite", "member.sqlite-journal"}

// Quarantine renames a damaged folder's files, so that the next Open makes a new member. The store must be closed.
func Quarantine(folder string) error {
	marker, err := os.OpenFile(filepath.Join(folder, quarantineMarker), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "the damaged files cannot be set aside")
	}
	err = marker.Sync()
	if closing := marker.Close(); err == nil {
		err = closing
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		return eris.Wrap(err, "the damaged files cannot be set aside")
	}
	return finishQuarantine(folder)
}

// finishQuarantine does what is left to do where files are being set aside.
func finishQuarantine(folder string) error {
	marker := filepath.Join(folder, quarantineMarker)
	if _, err := os.Stat(marker); errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return eris.Wrap(err, "the data folder cannot be read")
	}
	sets, err := quarantinedSets(folder)
	if err != nil {
		return err
	}
	next := 1
	if len(sets) > 0 {
		next = sets[len(sets)-1] + 1
	}
	for _, name := range databaseFiles {
		err := os.Rename(filepath.Join(folder, name), filepath.Join(folder, fmt.Sprintf("%s%d.%s", quarantinePrefix, next, name)))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrap(err, "the damaged files cannot be set aside")
		}
	}
	// The disk is small: only the newest are kept for a look.
	for len(sets) >= maxQuarantined {
		for _, name := range databaseFiles {
			_ = os.Remove(filepath.Join(folder, fmt.Sprintf("%s%d.%s", quarantinePrefix, sets[0], name)))
		}
		sets = sets[1:]
	}
	if err := syncFolder(folder); err != nil {
		return err
	}
	if err := os.Remove(marker); err != nil {
		return eris.Wrap(err, "the damaged files cannot be set aside")
	}
	return syncFolder(folder)
}

// quarantinedSets lists the numbers of the sets of files that were set aside, in order.
func quarantinedSets(folder string) ([]int, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, eris.Wrap(err, "the data folder cannot be read")
	}
	var sets []int
	for _, entry := range entries {
		number := 0
		if _, err := fmt.Sscanf(entry.Name(), quarantinePrefix+"%d.", &number); err != nil || !strings.HasPrefix(entry.Name(), quarantinePrefix) {
			continue
		}
		if !slices.Contains(sets, number) {
			sets = append(sets, number)
		}
	}
	slices.SortFunc(sets, cmp.Compare[int])
	return sets, nil
}

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

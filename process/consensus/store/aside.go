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
	// markName stands in a folder while its files are set aside, so that one half done is never opened.
	markName = "setting-aside"
	// probeName is a file that comes and goes while a disk is looked at, probeBytes how large it is.
	probeName  = "probe"
	probeBytes = 64 << 10
	// asidePrefix begins the names of files that were set aside; mostAside is how many sets are kept.
	asidePrefix = "aside-"
	mostAside   = 2
)

// memberFiles are all files of a member.
var memberFiles = []string{"member.sqlite", "member.sqlite-journal"}

// SetAside renames a damaged folder's files, so that the next Open makes a new member. The store must be closed.
func SetAside(folder string) error {
	mark, err := os.OpenFile(filepath.Join(folder, markName), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "the damaged files cannot be set aside")
	}
	err = mark.Sync()
	if closing := mark.Close(); err == nil {
		err = closing
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		return eris.Wrap(err, "the damaged files cannot be set aside")
	}
	return finishSetAside(folder)
}

// finishSetAside does what is left to do where files are being set aside.
func finishSetAside(folder string) error {
	mark := filepath.Join(folder, markName)
	if _, err := os.Stat(mark); errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return eris.Wrap(err, "the data folder cannot be read")
	}
	sets, err := asideSets(folder)
	if err != nil {
		return err
	}
	next := 1
	if len(sets) > 0 {
		next = sets[len(sets)-1] + 1
	}
	for _, name := range memberFiles {
		err := os.Rename(filepath.Join(folder, name), filepath.Join(folder, fmt.Sprintf("%s%d.%s", asidePrefix, next, name)))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrap(err, "the damaged files cannot be set aside")
		}
	}
	// The disk is small: only the newest are kept for a look.
	for len(sets) >= mostAside {
		for _, name := range memberFiles {
			_ = os.Remove(filepath.Join(folder, fmt.Sprintf("%s%d.%s", asidePrefix, sets[0], name)))
		}
		sets = sets[1:]
	}
	if err := syncFolder(folder); err != nil {
		return err
	}
	if err := os.Remove(mark); err != nil {
		return eris.Wrap(err, "the damaged files cannot be set aside")
	}
	return syncFolder(folder)
}

// asideSets lists the numbers of the sets of files that were set aside, in order.
func asideSets(folder string) ([]int, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, eris.Wrap(err, "the data folder cannot be read")
	}
	var sets []int
	for _, entry := range entries {
		number := 0
		if _, err := fmt.Sscanf(entry.Name(), asidePrefix+"%d.", &number); err != nil || !strings.HasPrefix(entry.Name(), asidePrefix) {
			continue
		}
		if !slices.Contains(sets, number) {
			sets = append(sets, number)
		}
	}
	slices.SortFunc(sets, cmp.Compare[int])
	return sets, nil
}

// Probe makes sure that the disk takes writes again, and some more bytes than before.
func (s *Store) Probe() error {
	name := filepath.Join(s.folder, probeName)
	defer os.Remove(name)
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "a write cannot begin")
	}
	defer file.Close()
	if _, err := file.Write(make([]byte, probeBytes)); err != nil {
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
	if err := putNumber(tx, "form", FormVersion); err != nil {
		return err
	}
	return eris.Wrap(tx.Commit(), "a write cannot be synced")
}

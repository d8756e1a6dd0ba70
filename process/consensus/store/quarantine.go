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
	// quarantineMarker is a file that exists while a quarantine is in progress, so that it is finished before the folder
	// is opened.
	quarantineMarker = "setting-aside"
	// quarantinePrefix begins the names of quarantined files; maxQuarantined is how many sets of them are retained.
	quarantinePrefix = "aside-"
	maxQuarantined   = 2
)

// databaseFiles are the files that hold the state of a member.
var databaseFiles = []string{databaseName, databaseName + "-journal"}

// Quarantine renames the database of a damaged folder, so that the next Open creates a new member in it. The store must be
// closed. After an interruption the next Open finishes the quarantine.
func Quarantine(folder string) error {
	marker, err := os.OpenFile(filepath.Join(folder, quarantineMarker), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "the damaged files cannot be quarantined")
	}
	err = marker.Sync()
	if closing := marker.Close(); err == nil {
		err = closing
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		return eris.Wrap(err, "the damaged files cannot be quarantined")
	}
	return finishQuarantine(folder)
}

// finishQuarantine does what is left of a quarantine in progress; without one it does nothing.
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
		err := os.Rename(filepath.Join(folder, name), filepath.Join(folder, quarantinedName(next, name)))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrap(err, "the damaged files cannot be quarantined")
		}
	}
	// Only the newest are retained for an investigation, since disks are small.
	for len(sets) >= maxQuarantined {
		for _, name := range databaseFiles {
			_ = os.Remove(filepath.Join(folder, quarantinedName(sets[0], name)))
		}
		sets = sets[1:]
	}
	if err := syncFolder(folder); err != nil {
		return err
	}
	if err := os.Remove(marker); err != nil {
		return eris.Wrap(err, "the damaged files cannot be quarantined")
	}
	return syncFolder(folder)
}

// quarantinedName is the name of a database file in a quarantined set.
func quarantinedName(set int, name string) string {
	return fmt.Sprintf("%s%d.%s", quarantinePrefix, set, name)
}

// quarantinedSets lists the numbers of the quarantined sets of files, in order.
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

package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/mattn/go-sqlite3"
	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// newFolder makes a folder with one save, and returns the identity in it.
func newFolder(t *testing.T) (string, raft.MemberID) {
	t.Helper()
	folder := t.TempDir()
	opened, err := Open(folder, newMember)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	if err := opened.Write("g", testSave(1)); err != nil {
		t.Fatal(err)
	}
	return folder, opened.MemberID
}

func TestIsDamagedOnlyForPermanentErrors(t *testing.T) {
	folder, _ := newFolder(t)
	path := filepath.Join(folder, "member.sqlite")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 200; i < len(data); i++ {
		data[i] ^= 0x5a
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(folder, newMember); !IsDamaged(err) {
		t.Errorf("an overwritten file is not recognized as damaged: %v", err)
	}
	if err := os.WriteFile(path, data[:50], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(folder, newMember); !IsDamaged(err) {
		t.Errorf("a file that is shorter than its header is not recognized as damaged: %v", err)
	}
	for _, code := range []sqlite3.ErrNo{sqlite3.ErrFull, sqlite3.ErrIoErr, sqlite3.ErrCantOpen, sqlite3.ErrBusy, sqlite3.ErrReadonly, sqlite3.ErrPerm} {
		if IsDamaged(eris.Wrap(sqlite3.Error{Code: code}, "x")) {
			t.Errorf("code %d may pass, and is called damage", code)
		}
	}
	if !IsDamaged(eris.Wrap(sqlite3.Error{Code: sqlite3.ErrCorrupt}, "x")) || IsDamaged(errors.New("x")) || IsDamaged(nil) {
		t.Error("damage is not told from other errors")
	}
}

// TestInterruptedQuarantineIsFinishedByOpen: wherever the process ended in a quarantine, the next Open creates a new
// member, and no old journal is applied to its database.
func TestInterruptedQuarantineIsFinishedByOpen(t *testing.T) {
	for done := range 4 {
		t.Run(fmt.Sprint(done), func(t *testing.T) {
			folder, before := newFolder(t)
			journal := filepath.Join(folder, "member.sqlite-journal")
			if err := os.WriteFile(journal, []byte("left behind"), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(folder, quarantineMarker), nil, 0o600); err != nil {
				t.Fatal(err)
			}
			for i, name := range databaseFiles {
				if done > i {
					if err := os.Rename(filepath.Join(folder, name), filepath.Join(folder, quarantinePrefix+"1."+name)); err != nil {
						t.Fatal(err)
					}
				}
			}
			if done == 3 {
				if err := os.Remove(filepath.Join(folder, quarantineMarker)); err != nil {
					t.Fatal(err)
				}
			}
			opened, err := Open(folder, func() raft.MemberID { return before + 1 })
			if err != nil {
				t.Fatal(err)
			}
			defer opened.Close()
			if opened.MemberID == before {
				t.Error("the old identity is still in use")
			}
			if group, err := opened.Group(); err != nil || group != "" {
				t.Errorf("the new member belongs to group %q: %v", group, err)
			}
			if _, err := os.Stat(filepath.Join(folder, quarantineMarker)); err == nil {
				t.Error("the marker is still there")
			}
			if err := opened.CheckWritable(); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestQuarantineRetainsNewestFiles(t *testing.T) {
	folder := t.TempDir()
	for i := range 5 {
		opened, err := Open(folder, func() raft.MemberID { return raft.MemberID(i + 1) })
		if err != nil {
			t.Fatal(err)
		}
		if opened.MemberID != raft.MemberID(i+1) {
			t.Errorf("round %d: member %d", i, opened.MemberID)
		}
		opened.Close()
		if err := Quarantine(folder); err != nil {
			t.Fatal(err)
		}
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	var remaining []string
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), quarantinePrefix) {
			remaining = append(remaining, entry.Name())
		}
	}
	if len(remaining) != maxQuarantined || remaining[0] != "aside-4.member.sqlite" {
		t.Error(remaining)
	}
}

package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// copyFolder copies what is on the disk at this moment: the database, and the journal of an open transaction.
func copyFolder(t *testing.T, folder string) string {
	t.Helper()
	copied := t.TempDir()
	for _, name := range databaseFiles {
		data, err := os.ReadFile(filepath.Join(folder, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(copied, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return copied
}

// loadFolder is what a member loads after a power loss.
func loadFolder(t *testing.T, folder string) raft.PersistentState {
	t.Helper()
	opened := openStore(t, folder)
	defer opened.Close()
	found, err := opened.Load()
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func testMembership() raft.Membership {
	return raft.Membership{Members: []raft.Member{{ID: 7, Name: "a", Address: "x", Voter: true}}}
}

func testEntries(term raft.Term, from, to raft.Index) []raft.Entry {
	var entries []raft.Entry
	for index := from; index <= to; index++ {
		entries = append(entries, raft.Entry{Term: term, Index: index, Data: bytes.Repeat([]byte{byte(index)}, 3000)})
	}
	return entries
}

// powerLossSaves are saves that replace, compact or truncate what is there.
func powerLossSaves() map[string]raft.Save {
	return map[string]raft.Save{
		"install": {HardState: raft.HardState{Term: 5, Vote: 3}, TruncateFrom: 1, CompactTo: 60,
			Snapshot: &raft.Snapshot{Index: 60, Term: 5, Membership: testMembership(), Data: bytes.Repeat([]byte("new"), 100000)}},
		"compaction": {HardState: raft.HardState{Term: 4, Vote: 7}, CompactTo: 37,
			Snapshot: &raft.Snapshot{Index: 40, Term: 4, Membership: testMembership(), Data: bytes.Repeat([]byte("cut"), 100000)}},
		"another leader's entries": {HardState: raft.HardState{Term: 6}, TruncateFrom: 30, Entries: testEntries(6, 30, 44)},
	}
}

// newPowerLossStore fills a folder with a snapshot and a log.
func newPowerLossStore(t *testing.T, folder string) *Store {
	t.Helper()
	opened := openStore(t, folder)
	// With hardly any cache SQLite writes changed pages into the file before the transaction is committed.
	if _, err := opened.db.Exec("PRAGMA cache_size = 1"); err != nil {
		t.Fatal(err)
	}
	first := raft.Save{HardState: raft.HardState{Term: 4, Vote: 7}, Entries: testEntries(4, 11, 40),
		Snapshot: &raft.Snapshot{Index: 10, Term: 3, Membership: testMembership(), Data: bytes.Repeat([]byte("old"), 100000)}}
	if err := opened.Write("group", first); err != nil {
		t.Fatal(err)
	}
	return opened
}

// After a power loss at any statement of a write the folder has the state before it; after its end, all of it.
func TestPowerLossAtEachStatementLeavesOldOrNewState(t *testing.T) {
	for name, save := range powerLossSaves() {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			opened := newPowerLossStore(t, folder)
			defer opened.Close()
			old := loadFolder(t, copyFolder(t, folder))
			statements, withJournal := statementsOf("group", save), 0
			for count := 1; count <= len(statements); count++ {
				tx, err := opened.db.Begin()
				if err != nil {
					t.Fatal(err)
				}
				for _, execute := range statements[:count] {
					if err := execute(tx); err != nil {
						t.Fatal(err)
					}
				}
				copied := copyFolder(t, folder)
				if _, err := os.Stat(filepath.Join(copied, databaseFiles[1])); err == nil {
					withJournal++
				}
				if got := loadFolder(t, copied); !reflect.DeepEqual(got, old) {
					t.Fatalf("after %d of %d statements the folder does not have the state before: %s", count, len(statements), summary(got))
				}
				if err := tx.Rollback(); err != nil {
					t.Fatal(err)
				}
			}
			if withJournal == 0 {
				t.Error("no transaction had written to the database")
			}
			if err := opened.Write("group", save); err != nil {
				t.Fatal(err)
			}
			if got := loadFolder(t, copyFolder(t, folder)); reflect.DeepEqual(got, old) || got.HardState != save.HardState {
				t.Errorf("after the write the folder has %s", summary(got))
			}
		})
	}
}

// The broken variant: with a transaction for each statement, some power loss leaves a mixed state.
func TestSeparateTransactionsLeaveMixedState(t *testing.T) {
	save := powerLossSaves()["install"]
	folder := t.TempDir()
	opened := newPowerLossStore(t, folder)
	defer opened.Close()
	old, mixtures := loadFolder(t, copyFolder(t, folder)), 0
	statements := statementsOf("group", save)
	for position, execute := range statements {
		tx, err := opened.db.Begin()
		if err != nil {
			t.Fatal(err)
		}
		if err := execute(tx); err != nil {
			t.Fatal(err)
		}
		if err := tx.Commit(); err != nil {
			t.Fatal(err)
		}
		reopened := openStore(t, copyFolder(t, folder))
		found, err := reopened.Load()
		reopened.Close()
		if position+1 < len(statements) && (err != nil || !reflect.DeepEqual(found, old)) {
			mixtures++
		}
	}
	if mixtures == 0 {
		t.Error("the check does not see a mixed state")
	}
}

func summary(found raft.PersistentState) string {
	return fmt.Sprintf("%+v, snapshot at %d, %d entries", found.HardState, found.Snapshot.Index, len(found.Entries))
}

// A log that does not go on where the snapshot ends, or has an unreadable membership, is damaged.
func TestLogInconsistentWithSnapshotIsDamaged(t *testing.T) {
	unreadable := testEntries(4, 11, 12)
	unreadable[1].Kind = raft.EntryMembership
	for name, entries := range map[string][]raft.Entry{
		"a gap after the snapshot": testEntries(4, 12, 14), "an end before the snapshot": testEntries(4, 5, 9), "a membership": unreadable,
	} {
		opened := openStore(t, t.TempDir())
		save := raft.Save{HardState: raft.HardState{Term: 4}, Entries: entries, Snapshot: &raft.Snapshot{Index: 10, Term: 3, Membership: testMembership(), Data: []byte("x")}}
		if err := opened.Write("group", save); err != nil {
			t.Fatal(err)
		}
		if _, err := opened.Load(); !IsDamaged(err) {
			t.Errorf("%s: %v", name, err)
		}
		opened.Close()
	}
}

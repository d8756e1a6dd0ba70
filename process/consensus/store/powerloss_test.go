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

// copyOf is what is on the disk at this moment: the file, and the journal of a transaction under way.
func copyOf(t *testing.T, folder string) string {
	t.Helper()
	copied := t.TempDir()
	for _, name := range memberFiles {
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

// loaded is what a member finds in a folder after its power came back.
func loaded(t *testing.T, folder string) raft.PersistentState {
	t.Helper()
	s := open(t, folder)
	defer s.Close()
	found, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func voters() raft.Membership {
	return raft.Membership{Members: []raft.Member{{ID: 7, Name: "a", Address: "x", Voter: true}}}
}

func logOf(term raft.Term, from, to raft.Index) []raft.Entry {
	var out []raft.Entry
	for index := from; index <= to; index++ {
		out = append(out, raft.Entry{Term: term, Index: index, Data: bytes.Repeat([]byte{byte(index)}, 3000)})
	}
	return out
}

// writes are those that replace or cut what is there.
func writes() map[string]raft.Save {
	return map[string]raft.Save{
		"install": {HardState: raft.HardState{Term: 5, Vote: 3}, TruncateFrom: 1, CompactTo: 60,
			Snapshot: &raft.Snapshot{Index: 60, Term: 5, Membership: voters(), Data: bytes.Repeat([]byte("new"), 100000)}},
		"compaction": {HardState: raft.HardState{Term: 4, Vote: 7}, CompactTo: 37,
			Snapshot: &raft.Snapshot{Index: 40, Term: 4, Membership: voters(), Data: bytes.Repeat([]byte("cut"), 100000)}},
		"another leader's entries": {HardState: raft.HardState{Term: 6}, TruncateFrom: 30, Entries: logOf(6, 30, 44)},
	}
}

// before fills a folder with a snapshot and a log.
func before(t *testing.T, folder string) *Store {
	t.Helper()
	s := open(t, folder)
	// With next to no cache SQLite writes changed pages into the file while the transaction is under way.
	if _, err := s.db.Exec("PRAGMA cache_size = 1"); err != nil {
		t.Fatal(err)
	}
	first := raft.Save{HardState: raft.HardState{Term: 4, Vote: 7}, Entries: logOf(4, 11, 40),
		Snapshot: &raft.Snapshot{Index: 10, Term: 3, Membership: voters(), Data: bytes.Repeat([]byte("old"), 100000)}}
	if err := s.Write("group", first); err != nil {
		t.Fatal(err)
	}
	return s
}

// When the power goes at any step of a write the folder holds what was before it; after its end, all of it.
func TestPowerLossAtEachStepLeavesTheOldOrTheNew(t *testing.T) {
	for name, save := range writes() {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s := before(t, folder)
			defer s.Close()
			old := loaded(t, copyOf(t, folder))
			steps, torn := stepsOf("group", save), 0
			for count := 1; count <= len(steps); count++ {
				tx, err := s.db.Begin()
				if err != nil {
					t.Fatal(err)
				}
				for _, step := range steps[:count] {
					if err := step(tx); err != nil {
						t.Fatal(err)
					}
				}
				lost := copyOf(t, folder)
				if _, err := os.Stat(filepath.Join(lost, memberFiles[1])); err == nil {
					torn++
				}
				if got := loaded(t, lost); !reflect.DeepEqual(got, old) {
					t.Fatalf("after %d of %d steps the folder holds neither what was before: %s", count, len(steps), brief(got))
				}
				if err := tx.Rollback(); err != nil {
					t.Fatal(err)
				}
			}
			if torn == 0 {
				t.Error("no transaction had touched the file")
			}
			if err := s.Write("group", save); err != nil {
				t.Fatal(err)
			}
			if got := loaded(t, copyOf(t, folder)); reflect.DeepEqual(got, old) || got.HardState != save.HardState {
				t.Errorf("after the write the folder holds %s", brief(got))
			}
		})
	}
}

// The broken variant: with each step a transaction of its own, some power loss leaves a mixture.
func TestStepsOnTheirOwnLeaveAMixture(t *testing.T) {
	save := writes()["install"]
	folder := t.TempDir()
	s := before(t, folder)
	defer s.Close()
	old, mixtures := loaded(t, copyOf(t, folder)), 0
	steps := stepsOf("group", save)
	for place, step := range steps {
		tx, err := s.db.Begin()
		if err != nil {
			t.Fatal(err)
		}
		if err := step(tx); err != nil {
			t.Fatal(err)
		}
		if err := tx.Commit(); err != nil {
			t.Fatal(err)
		}
		lost := open(t, copyOf(t, folder))
		found, err := lost.Load()
		lost.Close()
		if place+1 < len(steps) && (err != nil || !reflect.DeepEqual(found, old)) {
			mixtures++
		}
	}
	if mixtures == 0 {
		t.Error("the check does not see a mixture")
	}
}

func brief(found raft.PersistentState) string {
	return fmt.Sprintf("%+v, snapshot at %d, %d entries", found.HardState, found.Snapshot.Index, len(found.Entries))
}

// A log that does not go on where the snapshot ends, or holds a membership that can't be read, is damaged.
func TestLogThatDoesNotFitTheSnapshotIsDamaged(t *testing.T) {
	unreadable := logOf(4, 11, 12)
	unreadable[1].Kind = raft.EntryMembership
	for name, entries := range map[string][]raft.Entry{
		"a hole behind the snapshot": logOf(4, 12, 14), "an end before the snapshot": logOf(4, 5, 9), "a membership": unreadable,
	} {
		s := open(t, t.TempDir())
		save := raft.Save{HardState: raft.HardState{Term: 4}, Entries: entries, Snapshot: &raft.Snapshot{Index: 10, Term: 3, Membership: voters(), Data: []byte("x")}}
		if err := s.Write("group", save); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Load(); !IsDamage(err) {
			t.Errorf("%s: %v", name, err)
		}
		s.Close()
	}
}

package store

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

func newMember() raft.MemberID { return 7 }

func openStore(t *testing.T, folder string) *Store {
	t.Helper()
	opened, err := Open(folder, newMember)
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

func TestWrittenStateIsLoadedAfterReopening(t *testing.T) {
	folder := t.TempDir()
	opened := openStore(t, folder)
	members := raft.Membership{Members: []raft.Member{{ID: 7, Name: "a", Address: "x", Voter: true}}}
	saves := []raft.Save{
		{HardState: raft.HardState{Term: 1}, Snapshot: &raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: []byte("first")}},
		{HardState: raft.HardState{Term: 2, Vote: 7}, Entries: []raft.Entry{{Term: 2, Index: 2, Data: []byte("a")}, {Term: 2, Index: 3, Kind: raft.EntryEmpty}, {Term: 2, Index: 4, Data: []byte("c")}}},
		{HardState: raft.HardState{Term: 3}, TruncateFrom: 4, Entries: []raft.Entry{{Term: 3, Index: 4, Data: []byte("d")}, {Term: 3, Index: 5, Data: []byte("e")}}},
		{HardState: raft.HardState{Term: 3, Vote: 9}, Snapshot: &raft.Snapshot{Index: 4, Term: 3, Membership: members, Data: []byte("second")}, CompactTo: 2},
	}
	for _, save := range saves {
		if err := opened.Write("group", save); err != nil {
			t.Fatal(err)
		}
	}
	opened.Close()
	again := openStore(t, folder)
	defer again.Close()
	if group, err := again.Group(); err != nil || group != "group" || again.MemberID != 7 {
		t.Fatal(group, err, again.MemberID)
	}
	got, err := again.Load()
	if err != nil {
		t.Fatal(err)
	}
	if got.HardState != (raft.HardState{Term: 3, Vote: 9}) || string(got.Snapshot.Data) != "second" || got.Snapshot.Index != 4 || !reflect.DeepEqual(got.Snapshot.Membership, members) {
		t.Fatalf("%+v", got)
	}
	var seen []string
	for _, entry := range got.Entries {
		seen = append(seen, string(entry.Data))
	}
	if strings.Join(seen, ",") != ",d,e" || got.Entries[0].Index != 3 {
		t.Fatalf("%+v", got.Entries)
	}
}

func TestUnusableFolderIsRejectedWithClearError(t *testing.T) {
	folder := t.TempDir()
	opened := openStore(t, folder)
	if _, err := Open(folder, newMember); !errors.Is(err, ErrInUse) || IsDamaged(err) || !strings.Contains(err.Error(), "in use") {
		t.Errorf("a folder in use was opened: %v", err)
	}
	if err := opened.Write("g", raft.Save{HardState: raft.HardState{Term: 1}}); err != nil {
		t.Fatal(err)
	}
	opened.Close()
	path := filepath.Join(folder, "member.sqlite")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(data); i++ {
		data[i] ^= 0x5a
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(folder, newMember); err == nil || !strings.Contains(err.Error(), "damaged") {
		t.Errorf("a damaged file was opened: %v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(file, newMember); err == nil {
		t.Error("a file was opened as a folder")
	}
}

func TestOtherSchemaVersionIsRejectedAndNotDamage(t *testing.T) {
	folder := t.TempDir()
	opened := openStore(t, folder)
	later := SchemaVersion + 1
	tx, err := opened.db.Begin()
	if err != nil {
		t.Fatal(err)
	}
	if err := putMetaNumber(tx, keySchemaVersion, uint64(later)); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(); err != nil {
		t.Fatal(err)
	}
	opened.Close()
	_, err = Open(folder, newMember)
	var found SchemaVersionError
	if !errors.As(err, &found) || found.Found != uint64(later) || IsDamaged(err) {
		t.Errorf("opened with %v", err)
	}
}

func TestFullDiskFailsWriteAndPreservesOldState(t *testing.T) {
	opened := openStore(t, t.TempDir())
	defer opened.Close()
	if err := opened.Write("g", raft.Save{HardState: raft.HardState{Term: 1}, Entries: []raft.Entry{{Term: 1, Index: 1, Data: []byte("kept")}}}); err != nil {
		t.Fatal(err)
	}
	// SQLite's own bound on the size of the file simulates a full disk.
	if _, err := opened.db.Exec("PRAGMA max_page_count = 12"); err != nil {
		t.Fatal(err)
	}
	if err := opened.Write("g", raft.Save{HardState: raft.HardState{Term: 9}, Entries: []raft.Entry{{Term: 9, Index: 2, Data: make([]byte, 1<<20)}}}); err == nil {
		t.Fatal("a write to a full disk was reported as synced")
	}
	got, err := opened.Load()
	if err != nil || got.HardState.Term != 1 || len(got.Entries) != 1 || string(got.Entries[0].Data) != "kept" {
		t.Fatalf("%+v %v", got, err)
	}
}

func TestAnySequenceOfAppendsAndTruncationsReadsBack(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 25
	properties := gopter.NewProperties(parameters)
	properties.Property("the log on disk is the log in memory", prop.ForAll(func(steps []uint8) bool {
		opened := openStore(t, t.TempDir())
		defer opened.Close()
		var model []raft.Entry
		for i, step := range steps {
			save := raft.Save{HardState: raft.HardState{Term: raft.Term(i + 1)}}
			if step%3 == 0 && len(model) > 0 {
				from := int(step) % len(model)
				save.TruncateFrom = raft.Index(from + 1)
				model = model[:from]
			}
			for range step % 4 {
				entry := raft.Entry{Term: raft.Term(i + 1), Index: raft.Index(len(model) + 1), Data: []byte{step}}
				model = append(model, entry)
				save.Entries = append(save.Entries, entry)
			}
			if opened.Write("g", save) != nil {
				return false
			}
		}
		got, err := opened.Load()
		return err == nil && len(got.Entries) == len(model) && (len(model) == 0 || reflect.DeepEqual(got.Entries, model))
	}, gen.SliceOfN(12, gen.UInt8())))
	properties.TestingRun(t)
}

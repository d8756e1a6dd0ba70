package compatibility

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/recovery"
	"github.com/cresspond/cresspond/process/consensus/store"
)

// entryShape is what expected.json says of one log entry: index, term, kind and length.
type entryShape [4]uint64

// storedMember is what a data folder holds, in the form of expected.json. The names are those of the encodings on
// disk, so that renamed fields in the code change nothing here.
type storedMember struct {
	Group         string          `json:"group"`
	Member        uint64          `json:"member"`
	Term          uint64          `json:"term"`
	Vote          uint64          `json:"vote"`
	SnapshotIndex uint64          `json:"snapshotIndex"`
	SnapshotTerm  uint64          `json:"snapshotTerm"`
	SnapshotBytes int             `json:"snapshotBytes"`
	Membership    json.RawMessage `json:"membership"`
	Entries       []entryShape    `json:"entries"`
	Version       uint64          `json:"epoch"`
	State         json.RawMessage `json:"state"`
}

// copyFolder copies a data folder, since opening one writes to it.
func copyFolder(t *testing.T, from string) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(folder, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return folder
}

// expectedMember reads what the build that wrote the folder read from it.
func expectedMember(t *testing.T, folder string) storedMember {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(folder, "expected.json"))
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var expected storedMember
	if err := decoder.Decode(&expected); err != nil {
		t.Fatal(err)
	}
	return expected
}

// readMember opens a folder with the present code and restores the replicated state from its snapshot and log.
func readMember(t *testing.T, folder string) storedMember {
	t.Helper()
	opened, err := store.Open(folder, func() raft.MemberID {
		t.Error("the folder was taken for a new one")
		return 1
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { opened.Close() })
	restored, err := opened.Load()
	if err != nil {
		t.Fatal(err)
	}
	group, state, err := recovery.ReadSurvivor(opened)
	if err != nil {
		t.Fatal(err)
	}
	member := storedMember{
		Group: string(group), Member: uint64(opened.MemberID),
		Term: uint64(restored.HardState.Term), Vote: uint64(restored.HardState.Vote),
		SnapshotIndex: uint64(restored.Snapshot.Index), SnapshotTerm: uint64(restored.Snapshot.Term),
		SnapshotBytes: len(restored.Snapshot.Data), Membership: restored.Snapshot.Membership.Encode(),
		Version: uint64(state.Version()), State: state.Snapshot(),
	}
	for _, entry := range restored.Entries {
		member.Entries = append(member.Entries, entryShape{uint64(entry.Index), uint64(entry.Term), uint64(entry.Kind), uint64(len(entry.Data))})
	}
	return member
}

// decodedFields decodes an object with its numbers as they are written, so that large ones are compared exactly.
func decodedFields(t *testing.T, data []byte) map[string]any {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		t.Fatal(err)
	}
	return fields
}

// compareFields compares two encoded objects field by field, whatever the order of their keys.
func compareFields(t *testing.T, what string, got, want []byte) {
	t.Helper()
	gotFields, wantFields := decodedFields(t, got), decodedFields(t, want)
	for field, value := range wantFields {
		if !reflect.DeepEqual(gotFields[field], value) {
			t.Errorf("%s: %s is %v, and was %v", what, field, gotFields[field], value)
		}
	}
	for field, value := range gotFields {
		if _, known := wantFields[field]; !known {
			t.Errorf("%s: %s is new, with %v", what, field, value)
		}
	}
}

// storedFolders lists the data folders in testdata.
var storedFolders = []string{"log-since-formation", "snapshot-and-log", "applied-bundles", "clients-in-note", "tenants-and-quotas"}

func TestFolderOfEarlierBuildIsReadCompletely(t *testing.T) {
	for _, name := range storedFolders {
		t.Run(name, func(t *testing.T) {
			source := filepath.Join("testdata", name)
			want, got := expectedMember(t, source), readMember(t, copyFolder(t, source))
			compareFields(t, "state", got.State, want.State)
			compareFields(t, "membership", got.Membership, want.Membership)
			got.State, want.State, got.Membership, want.Membership = nil, nil, nil, nil
			if !reflect.DeepEqual(got, want) {
				t.Errorf("the folder holds\n%+v, and the build that wrote it read\n%+v", got, want)
			}
		})
	}
}

// storedContent is what a stored folder has to contain, so that the comparison above proves something.
type storedContent struct {
	version, closuresVersion uint64
	closedZones              int
	compacted                bool
}

func TestStoredFoldersContainRealState(t *testing.T) {
	for name, want := range map[string]storedContent{
		"log-since-formation": {version: 2, closuresVersion: 1, closedZones: 1},
		"snapshot-and-log":    {version: 2, closuresVersion: 1, closedZones: 1, compacted: true},
		"applied-bundles":     {version: 3},
		"tenants-and-quotas":  {version: 9},
	} {
		t.Run(name, func(t *testing.T) {
			stored := expectedMember(t, filepath.Join("testdata", name))
			var state struct {
				History  []string `json:"history"`
				Closures struct {
					Version uint64                     `json:"epoch"`
					Zones   map[string]json.RawMessage `json:"zones"`
				} `json:"closures"`
				Workers struct {
					Leases map[string]json.RawMessage `json:"tenures"`
				} `json:"workers"`
				Claim struct {
					Number uint64 `json:"number"`
				} `json:"claim"`
			}
			if err := json.Unmarshal(stored.State, &state); err != nil {
				t.Fatal(err)
			}
			got := storedContent{version: stored.Version, closuresVersion: state.Closures.Version, closedZones: len(state.Closures.Zones), compacted: stored.SnapshotIndex > 1}
			if got != want || len(state.History) != int(want.version) {
				t.Errorf("%+v with history %v, want %+v", got, state.History, want)
			}
			if len(state.Workers.Leases) < 4 || state.Claim.Number == 0 || len(stored.Entries) == 0 {
				t.Errorf("%d worker-id leases, claim %d, %d log entries", len(state.Workers.Leases), state.Claim.Number, len(stored.Entries))
			}
		})
	}
}

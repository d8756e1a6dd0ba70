package raft_test

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// diskAfter is the content of a disk after a save.
func diskAfter(disk raft.PersistentState, save raft.Save) raft.PersistentState {
	m := modelMember{disk: disk}
	m.write(save)
	return m.disk
}

// randomSave makes a save as a core does: entries are consecutive, and compaction comes with a snapshot.
func randomSave(random *rand.Rand, disk raft.PersistentState) raft.Save {
	last := disk.Snapshot.Index
	if n := len(disk.Entries); n > 0 {
		last = max(last, disk.Entries[n-1].Index)
	}
	save := raft.Save{HardState: raft.HardState{Term: raft.Term(random.IntN(9))}}
	first := last + 1
	switch random.IntN(4) {
	case 0:
		save.Snapshot = &raft.Snapshot{Index: last + 5, Term: 9}
		save.TruncateFrom, save.CompactTo = 1, last+5
		first = last + 6
	case 1:
		if last > disk.Snapshot.Index {
			first = disk.Snapshot.Index + 1 + raft.Index(random.IntN(int(last-disk.Snapshot.Index)))
			save.TruncateFrom = first
		}
	case 2:
		save.Snapshot = &raft.Snapshot{Index: last, Term: 8}
		save.CompactTo = last - min(last, raft.Index(random.IntN(4)))
	}
	save.Entries = entries(raft.Term(1+random.IntN(9)), first, first+raft.Index(random.IntN(6))-1)
	return save
}

// A merged save leaves on disk what both leave, whatever truncations, entries and snapshots they contain.
func TestMergedSaveEqualsBothSaves(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	caught := 0
	for range 20000 {
		disk := raft.PersistentState{Snapshot: raft.Snapshot{Index: 10}, Entries: entries(1, 8, 15)}
		first := randomSave(random, disk)
		after := diskAfter(disk, first)
		second := randomSave(random, after)
		want := diskAfter(after, second)
		naive := first
		naive.Entries = append(slices.Clone(first.Entries), second.Entries...)
		naive.HardState = second.HardState
		if second.Snapshot != nil {
			naive.Snapshot, naive.CompactTo = second.Snapshot, second.CompactTo
		}
		merged := first
		merged.Entries = slices.Clone(first.Entries)
		merged.Merge(second)
		if got := diskAfter(disk, merged); !sameDisk(got, want) {
			t.Fatalf("%+v and %+v make %+v: %+v on disk instead of %+v", first, second, merged, got, want)
		}
		if got := diskAfter(disk, naive); !sameDisk(got, want) {
			caught++
		}
	}
	// The broken variant is a former fault: it dropped the truncation and compaction of the later save.
	if caught == 0 {
		t.Error("the broken merge was not caught")
	}
}

func sameDisk(a, b raft.PersistentState) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

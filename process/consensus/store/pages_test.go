package store

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

const (
	// pageBytes is the size of a page of the file.
	pageBytes = 4096
	// olderSaves and newerSaves are how many saves the two images of the file hold.
	olderSaves, newerSaves = 130, 170
)

// pageDamage is what is done to one page of the file.
type pageDamage byte

const (
	flipByte pageDamage = iota
	zeroPage
	swapPages
	olderPage
	truncateAtPage
	repeatPage
	pageDamages
)

// writeImage writes saves to a new folder and returns its file.
func writeImage(t testing.TB, saves int) []byte {
	t.Helper()
	folder := t.TempDir()
	opened, err := Open(folder, newMember)
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= saves; i++ {
		if err := opened.Write("g", testSave(i)); err != nil {
			t.Fatal(err)
		}
	}
	opened.Close()
	image, err := os.ReadFile(filepath.Join(folder, "member.sqlite"))
	if err != nil {
		t.Fatal(err)
	}
	return image
}

// page returns one page of an image; numbers wrap round.
func page(image []byte, number byte) []byte {
	count := len(image) / pageBytes
	at := int(number) % count * pageBytes
	return image[at : at+pageBytes]
}

// damage applies instructions of four bytes each: what, to which page, with which other page or at which offset, by what.
func damage(newer, older, instructions []byte) []byte {
	image := bytes.Clone(newer)
	for ; len(instructions) >= 4 && len(image) >= pageBytes; instructions = instructions[4:] {
		target, other := page(image, instructions[1]), instructions[2]
		switch pageDamage(instructions[0]) % pageDamages {
		case flipByte:
			target[int(other)<<4|int(instructions[3]&15)] ^= instructions[3] | 1
		case zeroPage:
			clear(target)
		case swapPages:
			source := page(image, other)
			kept := bytes.Clone(source)
			copy(source, target)
			copy(target, kept)
		case olderPage:
			copy(target, page(older, instructions[1]))
		case truncateAtPage:
			image = image[:int(instructions[1])%(len(image)/pageBytes)*pageBytes+int(other)]
		case repeatPage:
			copy(target, page(image, other))
		}
	}
	return image
}

// authentic says whether a state that was loaded holds nothing that was never written: each row as it was, one history,
// and no term before that of what it holds.
func authentic(state raft.PersistentState) bool {
	if snapshot := state.Snapshot; snapshot.Index > 0 && !bytes.Equal(snapshot.Data, testData(int(snapshot.Index))) {
		return false
	}
	for place, entry := range state.Entries {
		if !bytes.Equal(entry.Data, testData(int(entry.Index))) || entry.Term != raft.Term(entry.Index) || entry.Term > state.HardState.Term {
			return false
		}
		if place > 0 && state.Entries[place-1].Index+1 != entry.Index {
			return false
		}
	}
	return state.Snapshot.Term <= state.HardState.Term
}

// FuzzDamagedPages: pages of the file are damaged, emptied, cut off, swapped, repeated, or given back as they were before.
// The folder is then refused with an error, or what it holds was written so. What can't be told is a page that was
// given back whole and fits: a log that ends earlier.
func FuzzDamagedPages(f *testing.F) {
	older, newer := writeImage(f, olderSaves), writeImage(f, newerSaves)
	for kind := range byte(pageDamages) {
		for number := range byte(len(newer) / pageBytes) {
			f.Add([]byte{kind, number, number/2 + 1, 7})
		}
	}
	f.Add([]byte{byte(olderPage), 0, 0, 0, byte(olderPage), 1, 0, 0, byte(olderPage), 2, 0, 0})
	f.Fuzz(func(t *testing.T, instructions []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "member.sqlite"), damage(newer, older, instructions), 0o600); err != nil {
			t.Fatal(err)
		}
		opened, err := Open(folder, newMember)
		if err != nil {
			return
		}
		defer opened.Close()
		state, err := opened.Load()
		if err == nil && !authentic(state) {
			t.Errorf("term %d, snapshot at %d, %d entries: not as they were written", state.HardState.Term, state.Snapshot.Index, len(state.Entries))
		}
	})
}

// The broken variant: without the check of one history an older page with the term would be served.
func TestOlderTermThanTheLogIsDamage(t *testing.T) {
	for name, state := range map[string]raft.PersistentState{
		"entries":  {HardState: raft.HardState{Term: 4}, Snapshot: raft.Snapshot{Index: 1, Term: 1}, Entries: []raft.Entry{{Index: 2, Term: 5}}},
		"snapshot": {HardState: raft.HardState{Term: 4}, Snapshot: raft.Snapshot{Index: 9, Term: 5}},
	} {
		if err := checkHistory(state); !IsDamaged(err) {
			t.Errorf("%s of a later term: %v", name, err)
		}
	}
	sound := raft.PersistentState{HardState: raft.HardState{Term: 5}, Snapshot: raft.Snapshot{Index: 1, Term: 1}, Entries: []raft.Entry{{Index: 2, Term: 5}}}
	if err := checkHistory(sound); err != nil {
		t.Errorf("a sound folder: %v", err)
	}
}

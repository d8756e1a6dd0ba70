package registry

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// tidy puts a word's lists in order, so that the same content always looks the same.
func tidy(word Word) Word {
	byModel := func(a, b Held) int { return cmp.Compare(a.Model, b.Model) }
	inOrder := slices.IsSortedFunc(word.Models, byModel)
	for _, held := range word.Models {
		inOrder = inOrder && slices.IsSorted(held.Adapters)
	}
	if inOrder {
		return word
	}
	word.Models = slices.Clone(word.Models)
	slices.SortStableFunc(word.Models, byModel)
	for i := range word.Models {
		word.Models[i].Adapters = slices.Clone(word.Models[i].Adapters)
		slices.Sort(word.Models[i].Adapters)
	}
	return word
}

// digestOf stands for all of a word that is worth telling: not its number, nor the count-down of its slow start.
func digestOf(word Word) uint64 {
	sum := fnv.New64a()
	var number [8]byte
	count := func(n uint64) {
		binary.LittleEndian.PutUint64(number[:], n)
		sum.Write(number[:])
	}
	text := func(s string) {
		count(uint64(len(s)))
		sum.Write([]byte(s))
	}
	for _, s := range []string{string(word.ID), word.Pool, word.Address, string(word.Zone), word.Software, word.Phase} {
		text(s)
	}
	count(uint64(word.Slots))
	leaving := uint64(0)
	if word.Leaving {
		leaving = 1
	}
	if word.LeaveMs > 0 {
		// The time left runs down with each beat; that there is so little is what counts.
		leaving = 2
	}
	count(leaving)
	count(uint64(len(word.Models)))
	for _, held := range word.Models {
		text(held.Model)
		count(held.Generation)
		count(uint64(len(held.Adapters)))
		for _, adapter := range held.Adapters {
			text(adapter)
		}
	}
	return sum.Sum64()
}

// sameButModels says whether two words differ at most in what is held, and in the count-down of a slow start.
func sameButModels(a, b Word) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Software == b.Software && a.Slots == b.Slots &&
		a.Leaving == b.Leaving && a.LeaveMs > 0 == (b.LeaveMs > 0) && a.Phase == b.Phase
}

package registry

import (
	"cmp"
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
	"slices"
)

// tidy puts a word's lists in order, so that the same content always looks the same.
func tidy(word Registration) Registration {
	byModel := func(a, b LoadedModel) int { return cmp.Compare(a.Model, b.Model) }
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

// digest sums up what is put into it.
type digest struct{ hash.Hash64 }

func newDigest() digest { return digest{fnv.New64a()} }

func (d digest) count(n uint64) {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], n)
	d.Write(number[:])
}

func (d digest) text(s string) {
	d.count(uint64(len(s)))
	d.Write([]byte(s))
}

func (d digest) held(models []LoadedModel) {
	d.count(uint64(len(models)))
	for _, held := range models {
		d.text(held.Model)
		d.count(held.Generation)
		d.count(uint64(len(held.Adapters)))
		for _, adapter := range held.Adapters {
			d.text(adapter)
		}
	}
}

// digestOf stands for all of a word that is worth telling: not its number, nor the count-down of its slow start.
func digestOf(word Registration) uint64 {
	d := newDigest()
	for _, s := range []string{string(word.ID), word.Pool, word.Address, string(word.Zone), word.Software, word.Phase} {
		d.text(s)
	}
	d.count(uint64(word.Slots))
	leaving := uint64(0)
	if word.Draining {
		leaving = 1
	}
	if word.TerminatesInMs > 0 {
		// The time left runs down with each beat; that there is so little is what counts.
		leaving = 2
	}
	d.count(leaving)
	d.held(word.Models)
	return d.Sum64()
}

// percent is a share as it travels.
func percent(share float64) uint64 { return uint64(math.Round(100 * share)) }

// digestOfPlan stands for what a plan says that an engine holds, what comes and goes, and what it is to get.
func digestOfPlan(plan *Plan) uint64 {
	d := newDigest()
	known := uint64(0)
	if plan.Models != nil {
		known = 1
	}
	d.count(known)
	d.held(plan.Models)
	d.count(uint64(len(plan.Retiring)))
	for _, target := range plan.Retiring {
		d.text(target.Model)
		d.text(target.Adapter)
	}
	for _, coming := range plan.PendingLoads {
		d.text(coming.Model)
		d.text(coming.Adapter)
	}
	for _, weight := range plan.Weights {
		d.text(string(weight.Zone))
		d.count(percent(weight.Share))
	}
	return d.Sum64()
}

// sameButModels says whether two words differ at most in what is held, and in the count-down of a slow start.
func sameButModels(a, b Registration) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Software == b.Software && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.TerminatesInMs > 0 == (b.TerminatesInMs > 0) && a.Phase == b.Phase
}

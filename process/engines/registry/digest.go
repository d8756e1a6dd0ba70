package registry

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
)

// digest sums up what is put into it.
type digestWriter struct{ hash.Hash64 }

func newDigestWriter() digestWriter { return digestWriter{fnv.New64a()} }

func (d digestWriter) writeNumber(n uint64) {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], n)
	d.Write(number[:])
}

func (d digestWriter) writeText(s string) {
	d.writeNumber(uint64(len(s)))
	d.Write([]byte(s))
}

func (d digestWriter) writeModels(models []LoadedModel) {
	d.writeNumber(uint64(len(models)))
	for _, loaded := range models {
		d.writeText(loaded.Model)
		d.writeNumber(loaded.Generation)
		d.writeNumber(uint64(len(loaded.Adapters)))
		for _, adapter := range loaded.Adapters {
			d.writeText(adapter)
		}
	}
}

// digestOf stands for all of a word that is worth telling: not its number, nor the count-down of its slow start.
func digestOfRegistration(registration Registration) uint64 {
	d := newDigestWriter()
	for _, s := range []string{string(registration.ID), registration.Pool, registration.Address, string(registration.Zone), registration.Software, registration.Phase} {
		d.writeText(s)
	}
	d.writeNumber(uint64(registration.Slots))
	leaving := uint64(0)
	if registration.Draining {
		leaving = 1
	}
	if registration.TerminatesInMs > 0 {
		// The time left runs down with each beat; that there is so little is what counts.
		leaving = 2
	}
	d.writeNumber(leaving)
	d.writeModels(registration.Models)
	return d.Sum64()
}

// percent is a share as it travels.
func percent(share float64) uint64 { return uint64(math.Round(100 * share)) }

// digestOfPlan stands for what a plan says that an engine holds, what comes and goes, and what it is to get.
func digestOfPlan(plan *Plan) uint64 {
	d := newDigestWriter()
	known := uint64(0)
	if plan.Models != nil {
		known = 1
	}
	d.writeNumber(known)
	d.writeModels(plan.Models)
	d.writeNumber(uint64(len(plan.Retiring)))
	for _, target := range plan.Retiring {
		d.writeText(target.Model)
		d.writeText(target.Adapter)
	}
	for _, coming := range plan.PendingLoads {
		d.writeText(coming.Model)
		d.writeText(coming.Adapter)
	}
	for _, weight := range plan.Weights {
		d.writeText(string(weight.Zone))
		d.writeNumber(percent(weight.Fraction))
	}
	return d.Sum64()
}

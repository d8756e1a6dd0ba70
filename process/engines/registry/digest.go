package registry

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
)

// digestWriter hashes values into a 64-bit FNV-1a digest. Texts and lists are written with their length first, so that
// two different sequences of values are not hashed alike.
type digestWriter struct{ hash.Hash64 }

func newDigestWriter() digestWriter { return digestWriter{fnv.New64a()} }

func (d digestWriter) writeNumber(n uint64) {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], n)
	d.Write(number[:])
}

func (d digestWriter) writeText(text string) {
	d.writeNumber(uint64(len(text)))
	d.Write([]byte(text))
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

// digestOfRegistration covers everything in a registration that peers must learn of: neither its call-seq nor the
// countdown of its slow start.
func digestOfRegistration(registration Registration) uint64 {
	digest := newDigestWriter()
	for _, text := range []string{string(registration.ID), registration.Pool, registration.Address, string(registration.Zone), registration.Software, registration.Phase} {
		digest.writeText(text)
	}
	digest.writeNumber(uint64(registration.Slots))
	draining := uint64(0)
	if registration.Draining {
		draining = 1
	}
	if registration.TerminatesInMs > 0 {
		// The time left goes down with each heartbeat; what counts is that there is a limit.
		draining = 2
	}
	digest.writeNumber(draining)
	digest.writeModels(registration.Models)
	return digest.Sum64()
}

// percent is a fraction as it is sent to peers.
func percent(fraction float64) uint64 { return uint64(math.Round(100 * fraction)) }

// digestOfPlan covers a plan without its load figures: the models, what is loaded and unloaded, and the weights.
func digestOfPlan(plan *Plan) uint64 {
	digest := newDigestWriter()
	known := uint64(0)
	if plan.Models != nil {
		known = 1
	}
	digest.writeNumber(known)
	digest.writeModels(plan.Models)
	digest.writeNumber(uint64(len(plan.Retiring)))
	for _, target := range plan.Retiring {
		digest.writeText(target.Model)
		digest.writeText(target.Adapter)
	}
	for _, pending := range plan.PendingLoads {
		digest.writeText(pending.Model)
		digest.writeText(pending.Adapter)
	}
	for _, weight := range plan.Weights {
		digest.writeText(string(weight.Zone))
		digest.writeNumber(percent(weight.Fraction))
	}
	return digest.Sum64()
}

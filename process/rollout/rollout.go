// Package rollout keeps the spec and the closures that are in force on this daemon. It takes only
// what is newer, builds the table off the request path, and swaps one pointer.
package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/ident"
)

// Step is one thing this daemon did with one change; the tracer shows them.
type Step struct {
	Change string    `json:"change"`
	Step   string    `json:"step"`
	At     time.Time `json:"at"`
}

// The steps of a change.
const (
	Learned = "learned"
	Built   = "built"
	InForce = "in-force"
)

// SpecChange and ClosureChange name changes for the tracer.
func SpecChange(epoch ident.Version) string { return fmt.Sprintf("spec:%d", epoch) }

// ClosureChange names one epoch of the closures.
func ClosureChange(epoch ident.Version) string { return fmt.Sprintf("closure:%d", epoch) }

// mostPastBytes bounds the bundles kept for recall, mostPackedBytes those among them that came packed: they
// are put in force in one step, come often, and the group itself keeps the newest.
const (
	mostPastBytes   = 64 << 20
	mostPackedBytes = 4 << 20
)

// mostSteps is how many steps are remembered.
const mostSteps = 48

// Keeper is the actor that holds what is in force.
type Keeper struct {
	box   *actor.Mailbox[offer]
	wall  func() time.Time
	table atomic.Pointer[routingtable.Table]
	steps atomic.Pointer[[]Step]
	// early holds closures learned before any spec.
	early closure.Set
	// past holds the bundles that were in force here, so that a lost group's can be recalled.
	past                   sync.Map
	pastBytes, packedBytes int
	// dropped is the newest epoch that was dropped for want of room: it and all before are not kept.
	dropped atomic.Uint64
	// Refused counts offers that were garbage or that differ from what has the same epoch.
	Refused atomic.Uint64
	onSwap  func()
}

type offer struct {
	epoch    ident.Version
	bundle   compression.Bundle
	closures *closure.Set
	// past says that it was in force before, and is only to be remembered.
	past bool
	done chan struct{}
}

// New makes a keeper; onSwap is called after each change that is in force.
func New(wall func() time.Time, onSwap func()) *Keeper {
	k := &Keeper{box: actor.NewMailbox[offer](64), wall: wall, onSwap: onSwap}
	k.steps.Store(&[]Step{})
	return k
}

// Run runs the actor.
func (k *Keeper) Run(ctx context.Context) { k.box.Run(ctx, 0, k.take, nil) }

// Table is what is in force, or nil.
func (k *Keeper) Table() *routingtable.Table { return k.table.Load() }

// Recall gives a bundle that was in force here in this life.
func (k *Keeper) Recall(epoch ident.Version) ([]byte, bool) {
	found, known := k.past.Load(epoch)
	if !known {
		return nil, false
	}
	raw, err := found.(compression.Bundle).Raw()
	return raw, err == nil
}

// Steps lists what was done lately.
func (k *Keeper) Steps() []Step { return *k.steps.Load() }

// Offer hands in what was learned; either part may be empty. It returns when the offer is in force or passed by.
func (k *Keeper) Offer(epoch ident.Version, bundle compression.Bundle, closures *closure.Set) {
	k.send(offer{epoch: epoch, bundle: bundle, closures: closures})
}

// Remember hands in a bundle that was in force before this life began.
func (k *Keeper) Remember(epoch ident.Version, raw []byte) {
	k.send(offer{epoch: epoch, bundle: compression.Bundle{Data: raw}, past: true})
}

// Lacks says whether an earlier bundle would be kept if it were handed in.
func (k *Keeper) Lacks(epoch ident.Version) bool { return uint64(epoch) > k.dropped.Load() }

func (k *Keeper) send(o offer) {
	o.done = make(chan struct{})
	if !k.box.Send(o) {
		return
	}
	select {
	case <-o.done:
	case <-k.box.Done():
	}
}

// keep remembers a bundle, and drops the oldest ones where they grow too many.
func (k *Keeper) keep(epoch ident.Version, bundle compression.Bundle) {
	if _, known := k.past.LoadOrStore(epoch, bundle); known {
		return
	}
	k.count(bundle, 1)
	for k.pastBytes > mostPastBytes || k.packedBytes > mostPackedBytes && epoch > k.oldest(epoch) {
		oldest := k.oldest(epoch)
		dropped, _ := k.past.LoadAndDelete(oldest)
		k.count(dropped.(compression.Bundle), -1)
		k.dropped.Store(max(k.dropped.Load(), uint64(oldest)))
	}
}

func (k *Keeper) count(bundle compression.Bundle, sign int) {
	k.pastBytes += sign * len(bundle.Data)
	if bundle.Packed {
		k.packedBytes += sign * len(bundle.Data)
	}
}

func (k *Keeper) oldest(epoch ident.Version) ident.Version {
	k.past.Range(func(key, _ any) bool { epoch = min(epoch, key.(ident.Version)); return true })
	return epoch
}

func (k *Keeper) note(change, step string) {
	old := *k.steps.Load()
	if len(old) >= mostSteps {
		old = old[len(old)-mostSteps+1:]
	}
	next := append(append(make([]Step, 0, len(old)+1), old...), Step{change, step, k.wall()})
	k.steps.Store(&next)
}

func (k *Keeper) take(o offer) {
	defer close(o.done)
	if o.past {
		k.keep(o.epoch, o.bundle)
		return
	}
	held := k.table.Load()
	next := held
	var changes []string
	if o.epoch > 0 && len(o.bundle.Data) > 0 {
		switch {
		case held != nil && o.epoch < held.Epoch:
			// An older spec is never taken, whoever offers it.
		case held != nil && o.epoch == held.Epoch:
			k.compare(held, o.bundle)
		default:
			change := SpecChange(o.epoch)
			raw, parsed, err := read(o.bundle)
			if err != nil {
				k.Refused.Add(1)
				return
			}
			k.note(change, Learned)
			closures := k.early
			if held != nil {
				closures = held.Closures
			}
			next = routingtable.Build(o.epoch, raw, parsed, closures)
			next.Bundle = o.bundle
			k.note(change, Built)
			changes = append(changes, change)
		}
	}
	if o.closures != nil && o.closures.Version > k.closureEpoch() {
		change := ClosureChange(o.closures.Version)
		k.note(change, Learned)
		if next != nil {
			next = next.WithClosures(*o.closures)
			changes = append(changes, change)
		}
		k.early = *o.closures
	}
	if next == held {
		return
	}
	k.table.Store(next)
	if next.Raw != nil && (held == nil || held.Epoch != next.Epoch) {
		k.keep(next.Epoch, next.Bundle)
	}
	for _, change := range changes {
		k.note(change, InForce)
	}
	k.onSwap()
}

// read makes a bundle of what was offered. One that is packed has been checked before it was committed; others
// may be anything.
func read(bundle compression.Bundle) ([]byte, *document.Spec, error) {
	raw, err := bundle.Raw()
	if err != nil {
		return nil, nil, err
	}
	if bundle.Packed {
		parsed, err := document.Read(raw)
		return raw, parsed, err
	}
	parsed, faults := document.Parse(raw)
	if len(faults) > 0 {
		return nil, nil, eris.Errorf("the bundle has faults: %v", faults)
	}
	return raw, parsed, nil
}

// compare counts an offer that differs from what has the same epoch.
func (k *Keeper) compare(held *routingtable.Table, offered compression.Bundle) {
	if held.Bundle.Packed == offered.Packed && bytes.Equal(held.Bundle.Data, offered.Data) {
		return
	}
	if raw, err := offered.Raw(); err != nil || !bytes.Equal(raw, held.Raw) {
		k.Refused.Add(1)
	}
}

func (k *Keeper) closureEpoch() ident.Version {
	if held := k.table.Load(); held != nil {
		return held.Closures.Version
	}
	return k.early.Version
}

// EncodeClosures and DecodeClosures are the form in which closures travel between daemons.
func EncodeClosures(closures closure.Set) []byte {
	data, err := json.Marshal(closures)
	if err != nil {
		panic("broken invariant: closures cannot be encoded: " + err.Error())
	}
	return data
}

// DecodeClosures reads them; it gives nil for garbage.
func DecodeClosures(data []byte) *closure.Set {
	var closures closure.Set
	if len(data) == 0 || json.Unmarshal(data, &closures) != nil {
		return nil
	}
	return &closures
}

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

// ConfigurationChange and ClosureChange name changes for the tracer.
func ConfigurationChange(epoch ident.Version) string { return fmt.Sprintf("spec:%d", epoch) }

// ClosureChange names one epoch of the closures.
func ClosureChange(epoch ident.Version) string { return fmt.Sprintf("closure:%d", epoch) }

// mostPastBytes bounds the bundles kept for recall, mostPackedBytes those among them that came packed: they
// are put in force in one step, come often, and the group itself keeps the newest.
const (
	maxPastBytes           = 64 << 20
	maxCompressedPastBytes = 4 << 20
)

// mostSteps is how many steps are remembered.
const maxSteps = 48

// Manager is the actor that holds what is in force.
type Manager struct {
	mailbox *actor.Mailbox[offer]
	wall    func() time.Time
	table   atomic.Pointer[routingtable.Table]
	steps   atomic.Pointer[[]Step]
	// closuresBeforeTable holds closures learned before any spec.
	closuresBeforeTable closure.Set
	// past holds the bundles that were in force here, so that a lost group's can be recalled.
	past                       sync.Map
	pastBytes, compressedBytes int
	// droppedVersion is the newest epoch that was dropped for want of room: it and all before are not kept.
	droppedVersion atomic.Uint64
	// Rejected counts offers that were garbage or that differ from what has the same epoch.
	Rejected atomic.Uint64
	onSwap   func()
}

type offer struct {
	version  ident.Version
	bundle   compression.Bundle
	closures *closure.Set
	// past says that it was in force before, and is only to be remembered.
	past bool
	done chan struct{}
}

// New makes a keeper; onSwap is called after each change that is in force.
func New(wall func() time.Time, onSwap func()) *Manager {
	k := &Manager{mailbox: actor.NewMailbox[offer](64), wall: wall, onSwap: onSwap}
	k.steps.Store(&[]Step{})
	return k
}

// Run runs the actor.
func (k *Manager) Run(ctx context.Context) { k.mailbox.Run(ctx, 0, k.handle, nil) }

// Table is what is in force, or nil.
func (k *Manager) Table() *routingtable.Table { return k.table.Load() }

// Past gives a bundle that was in force here in this life.
func (k *Manager) Past(epoch ident.Version) ([]byte, bool) {
	found, known := k.past.Load(epoch)
	if !known {
		return nil, false
	}
	raw, err := found.(compression.Bundle).Raw()
	return raw, err == nil
}

// Steps lists what was done lately.
func (k *Manager) Steps() []Step { return *k.steps.Load() }

// Offer hands in what was learned; either part may be empty. It returns when the offer is in force or passed by.
func (k *Manager) Offer(epoch ident.Version, bundle compression.Bundle, closures *closure.Set) {
	k.send(offer{version: epoch, bundle: bundle, closures: closures})
}

// RememberPast hands in a bundle that was in force before this life began.
func (k *Manager) RememberPast(epoch ident.Version, raw []byte) {
	k.send(offer{version: epoch, bundle: compression.Bundle{Data: raw}, past: true})
}

// RetainsPast says whether an earlier bundle would be kept if it were handed in.
func (k *Manager) RetainsPast(epoch ident.Version) bool {
	return uint64(epoch) > k.droppedVersion.Load()
}

func (k *Manager) send(o offer) {
	o.done = make(chan struct{})
	if !k.mailbox.Send(o) {
		return
	}
	select {
	case <-o.done:
	case <-k.mailbox.Done():
	}
}

// retain remembers a bundle, and drops the oldest ones where they grow too many.
func (k *Manager) retain(epoch ident.Version, bundle compression.Bundle) {
	if _, known := k.past.LoadOrStore(epoch, bundle); known {
		return
	}
	k.count(bundle, 1)
	for k.pastBytes > maxPastBytes || k.compressedBytes > maxCompressedPastBytes && epoch > k.oldest(epoch) {
		oldest := k.oldest(epoch)
		dropped, _ := k.past.LoadAndDelete(oldest)
		k.count(dropped.(compression.Bundle), -1)
		k.droppedVersion.Store(max(k.droppedVersion.Load(), uint64(oldest)))
	}
}

func (k *Manager) count(bundle compression.Bundle, sign int) {
	k.pastBytes += sign * len(bundle.Data)
	if bundle.Compressed {
		k.compressedBytes += sign * len(bundle.Data)
	}
}

func (k *Manager) oldest(epoch ident.Version) ident.Version {
	k.past.Range(func(key, _ any) bool { epoch = min(epoch, key.(ident.Version)); return true })
	return epoch
}

func (k *Manager) recordStep(change, step string) {
	old := *k.steps.Load()
	if len(old) >= maxSteps {
		old = old[len(old)-maxSteps+1:]
	}
	next := append(append(make([]Step, 0, len(old)+1), old...), Step{change, step, k.wall()})
	k.steps.Store(&next)
}

func (k *Manager) handle(o offer) {
	defer close(o.done)
	if o.past {
		k.retain(o.version, o.bundle)
		return
	}
	held := k.table.Load()
	next := held
	var changes []string
	if o.version > 0 && len(o.bundle.Data) > 0 {
		switch {
		case held != nil && o.version < held.Version:
			// An older spec is never taken, whoever offers it.
		case held != nil && o.version == held.Version:
			k.checkDuplicate(held, o.bundle)
		default:
			change := ConfigurationChange(o.version)
			raw, parsed, err := parse(o.bundle)
			if err != nil {
				k.Rejected.Add(1)
				return
			}
			k.recordStep(change, Learned)
			closures := k.closuresBeforeTable
			if held != nil {
				closures = held.Closures
			}
			next = routingtable.Build(o.version, raw, parsed, closures)
			next.Bundle = o.bundle
			k.recordStep(change, Built)
			changes = append(changes, change)
		}
	}
	if o.closures != nil && o.closures.Version > k.closureVersion() {
		change := ClosureChange(o.closures.Version)
		k.recordStep(change, Learned)
		if next != nil {
			next = next.WithClosures(*o.closures)
			changes = append(changes, change)
		}
		k.closuresBeforeTable = *o.closures
	}
	if next == held {
		return
	}
	k.table.Store(next)
	if next.Raw != nil && (held == nil || held.Version != next.Version) {
		k.retain(next.Version, next.Bundle)
	}
	for _, change := range changes {
		k.recordStep(change, InForce)
	}
	k.onSwap()
}

// parse makes a bundle of what was offered. One that is packed has been checked before it was committed; others
// may be anything.
func parse(bundle compression.Bundle) ([]byte, *document.Configuration, error) {
	raw, err := bundle.Raw()
	if err != nil {
		return nil, nil, err
	}
	if bundle.Compressed {
		parsed, err := document.ParseCommitted(raw)
		return raw, parsed, err
	}
	parsed, faults := document.Parse(raw)
	if len(faults) > 0 {
		return nil, nil, eris.Errorf("the bundle has faults: %v", faults)
	}
	return raw, parsed, nil
}

// checkDuplicate counts an offer that differs from what has the same epoch.
func (k *Manager) checkDuplicate(held *routingtable.Table, offered compression.Bundle) {
	if held.Bundle.Compressed == offered.Compressed && bytes.Equal(held.Bundle.Data, offered.Data) {
		return
	}
	if raw, err := offered.Raw(); err != nil || !bytes.Equal(raw, held.Raw) {
		k.Rejected.Add(1)
	}
}

func (k *Manager) closureVersion() ident.Version {
	if held := k.table.Load(); held != nil {
		return held.Closures.Version
	}
	return k.closuresBeforeTable.Version
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

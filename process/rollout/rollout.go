// Package rollout owns the configuration and the closures that are in force on this daemon.
//
// Manager is an actor: daemons and the group offer it what they know, in any order and any number of times. It takes only
// what is newer than what is in force, builds the routing table off the request path, and swaps one pointer, which
// requests read. So versions never fall on a daemon, and a request sees one table from beginning to end. What has the
// version in force but other bytes is counted in Rejected: the group never commits two configurations as one version.
//
// Response is how the leader responds to a submitted command once the change is, or is not, in force at all daemons.
package rollout

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
)

// mailboxSize is how many offers may wait for the actor.
const mailboxSize = 64

// Manager is the actor that owns what is in force.
type Manager struct {
	mailbox *actor.Mailbox[offer]
	// wall reads the wall clock, for the steps alone.
	wall  func() time.Time
	table atomic.Pointer[routingtable.Table]
	steps atomic.Pointer[[]Step]
	// newestClosures is the newest set of closures, also where it came before any configuration.
	newestClosures closure.Set
	past           pastBundles
	// Rejected counts offers that could not be read, or differ from what has the same version.
	Rejected atomic.Uint64
	onSwap   func()
	upgrade  upstream.Upgrade
}

// Option configures a Manager.
type Option func(*Manager)

// WithUpgrade has sections that an earlier build stored completed before they are put in force.
func WithUpgrade(upgrade upstream.Upgrade) Option {
	return func(m *Manager) { m.upgrade = upgrade }
}

// offer is a message to the actor.
type offer struct {
	version  ident.Version
	bundle   compression.Bundle
	closures *closure.Set
	// past says that the bundle was in force before, and is only to be retained.
	past bool
	// done is closed when the offer was handled.
	done chan struct{}
}

// New makes a manager; onSwap is called by its goroutine after each change that is in force.
func New(wall func() time.Time, onSwap func(), options ...Option) *Manager {
	m := &Manager{mailbox: actor.NewMailbox[offer](mailboxSize), wall: wall, onSwap: onSwap}
	m.steps.Store(&[]Step{})
	for _, option := range options {
		option(m)
	}
	return m
}

// Run runs the actor until the context ends.
func (m *Manager) Run(ctx context.Context) { m.mailbox.Run(ctx, 0, m.handle, nil) }

// Table is what is in force, or nil before the first configuration.
func (m *Manager) Table() *routingtable.Table { return m.table.Load() }

// Offer offers what was learned; either part may be empty. It returns when the offer is in force or was passed over.
func (m *Manager) Offer(version ident.Version, bundle compression.Bundle, closures *closure.Set) {
	m.send(offer{version: version, bundle: bundle, closures: closures})
}

// Past gives a configuration that was in force here; false where it is not retained.
func (m *Manager) Past(version ident.Version) ([]byte, bool) {
	found, known := m.past.load(version)
	if !known {
		return nil, false
	}
	raw, err := found.Raw()
	return raw, err == nil
}

// RememberPast retains a configuration that was in force before this daemon started.
func (m *Manager) RememberPast(version ident.Version, raw []byte) {
	m.send(offer{version: version, bundle: compression.Bundle{Data: raw}, past: true})
}

// RetainsPast says whether an earlier configuration would be retained if it were passed to RememberPast.
func (m *Manager) RetainsPast(version ident.Version) bool { return m.past.retains(version) }

// send hands an offer to the actor and waits until it was handled or the actor has ended.
func (m *Manager) send(offered offer) {
	offered.done = make(chan struct{})
	if !m.mailbox.Send(offered) {
		return
	}
	select {
	case <-offered.done:
	case <-m.mailbox.Done():
	}
}

// handle is the one function that changes what is in force.
func (m *Manager) handle(offered offer) {
	defer close(offered.done)
	if offered.past {
		m.past.add(offered.version, offered.bundle)
		return
	}
	current := m.table.Load()
	next := current
	var changes []string
	if offered.version > 0 && len(offered.bundle.Data) > 0 {
		switch {
		case current != nil && offered.version < current.Version:
			// An older configuration is never put in force, whoever offers it.
		case current != nil && offered.version == current.Version:
			m.checkDuplicate(current, offered.bundle)
		default:
			built, err := m.build(offered.version, offered.bundle)
			if err != nil {
				m.Rejected.Add(1)
				return
			}
			next = built
			changes = append(changes, ConfigurationChange(offered.version))
		}
	}
	if offered.closures != nil && offered.closures.Version > m.newestClosures.Version {
		change := ClosureChange(offered.closures.Version)
		m.recordStep(change, Learned)
		m.newestClosures = *offered.closures
		if next != nil {
			next = next.WithClosures(m.newestClosures)
			changes = append(changes, change)
		}
	}
	if next != current {
		m.swap(current, next, changes)
	}
}

// swap puts a table in force.
func (m *Manager) swap(current, next *routingtable.Table, changes []string) {
	m.table.Store(next)
	if next.Raw != nil && (current == nil || current.Version != next.Version) {
		m.past.add(next.Version, next.Bundle)
	}
	for _, change := range changes {
		m.recordStep(change, InForce)
	}
	m.onSwap()
}

// build makes the table of an offered configuration, under the newest closures.
func (m *Manager) build(version ident.Version, bundle compression.Bundle) (*routingtable.Table, error) {
	raw, parsed, err := parse(bundle)
	if err != nil {
		return nil, err
	}
	change := ConfigurationChange(version)
	m.recordStep(change, Learned)
	m.upgrade.Apply(parsed.Forward)
	table := routingtable.Build(version, raw, parsed, m.newestClosures)
	table.Bundle = bundle
	m.recordStep(change, Built)
	return table, nil
}

// parse decodes what was offered. A bundle that is compressed was validated before it was committed; others may be
// anything.
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
		return nil, nil, eris.Errorf("the configuration has faults: %v", faults)
	}
	return raw, parsed, nil
}

// checkDuplicate counts an offer that differs from what has the same version.
func (m *Manager) checkDuplicate(current *routingtable.Table, offered compression.Bundle) {
	if current.Bundle.Compressed == offered.Compressed && bytes.Equal(current.Bundle.Data, offered.Data) {
		return
	}
	if raw, err := offered.Raw(); err != nil || !bytes.Equal(raw, current.Raw) {
		m.Rejected.Add(1)
	}
}

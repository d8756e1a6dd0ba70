package rollout

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
)

// bundleOf is the configuration of a version; another variant is other bytes as the same version.
func bundleOf(t testing.TB, version ident.Version, variant string) []byte {
	raw, err := json.Marshal(document.Configuration{Name: variant, Forward: &upstream.Section{Revision: uint64(version), Pools: []upstream.Pool{{Name: "p"}}}})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// observer records the versions that it saw in force, one after the other.
type observer struct{ bundles, closures []ident.Version }

func (s *observer) look(manager *Manager) {
	if current := manager.Table(); current != nil {
		s.bundles, s.closures = append(s.bundles, current.Version), append(s.closures, current.Closures.Version)
	}
}

func rises(versions []ident.Version) bool {
	for index := 1; index < len(versions); index++ {
		if versions[index] < versions[index-1] {
			return false
		}
	}
	return true
}

// run starts a manager that notifies the observer of each change; the function ends it.
func run(observer *observer) (*Manager, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	var manager *Manager
	manager = New(func() time.Time { return time.Time{} }, func() { observer.look(manager) })
	go func() { defer close(ended); manager.Run(ctx) }()
	return manager, func() { cancel(); <-ended }
}

// TestOlderVersionNeverReplacesANewerOne: whatever is offered by how many at once, and in whatever order, what is in
// force only ever rises, ends at the newest of all, and keeps the bytes that came first as a version.
func TestOlderVersionNeverReplacesANewerOne(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("versions never fall", prop.ForAll(func(offers []uint8) bool {
		const offerers = 4
		inForce := &observer{}
		manager, end := run(inForce)
		var newest, newestClosure ident.Version
		var offered sync.WaitGroup
		readers := make([]observer, offerers)
		for offerer := range offerers {
			for index := offerer; index < len(offers); index += offerers {
				version, closureVersion := ident.Version(offers[index]%13), ident.Version(offers[index]/13)
				if offers[index]%7 != 0 {
					newest, newestClosure = max(newest, version), max(newestClosure, closureVersion)
				}
			}
			offered.Add(1)
			go func() {
				defer offered.Done()
				for index := offerer; index < len(offers); index += offerers {
					version, closureVersion := ident.Version(offers[index]%13), ident.Version(offers[index]/13)
					raw := bundleOf(t, version, "same")
					bundle, closures := compression.Bundle{Data: raw}, &closure.Set{Version: closureVersion}
					switch {
					case offers[index]%7 == 0:
						bundle.Data, closures = []byte("garbage"), nil
					case offers[index]%2 == 0:
						bundle = compression.Bundle{Data: compression.Compress(raw), Compressed: true}
					}
					manager.Offer(version, bundle, closures)
					readers[offerer].look(manager)
					if current := manager.Table(); offers[index]%7 != 0 && version > 0 && (current == nil || current.Version < version) {
						t.Errorf("version %d was offered, and an older one is in force", version)
					}
				}
			}()
		}
		offered.Wait()
		end()
		for _, observer := range append(readers, *inForce) {
			if !rises(observer.bundles) || !rises(observer.closures) {
				return false
			}
		}
		current := manager.Table()
		if newest == 0 {
			return current == nil
		}
		return current != nil && current.Version == newest && current.Closures.Version == newestClosure
	}, gen.SliceOfN(40, gen.UInt8())))
	properties.TestingRun(t)
}

// TestDifferentConfigurationUnderOneVersionIsRejected: the first bytes of a version stay, compressed or not, and what
// differs counts.
func TestDifferentConfigurationUnderOneVersionIsRejected(t *testing.T) {
	manager, end := run(&observer{})
	defer end()
	first := bundleOf(t, 5, "first")
	manager.Offer(5, compression.Bundle{Data: first}, nil)
	manager.Offer(5, compression.Bundle{Data: compression.Compress(first), Compressed: true}, nil)
	if refused := manager.Rejected.Load(); refused != 0 {
		t.Errorf("%d rejected of the same bytes", refused)
	}
	manager.Offer(5, compression.Bundle{Data: bundleOf(t, 5, "second")}, nil)
	manager.Offer(4, compression.Bundle{Data: bundleOf(t, 4, "older")}, nil)
	if current := manager.Table(); string(current.Raw) != string(first) || current.Version != 5 || manager.Rejected.Load() != 1 {
		t.Errorf("version %d, %s, %d rejected", current.Version, current.Raw, manager.Rejected.Load())
	}
}

// TestRememberedPastConfigurationIsNotInForce: a configuration of an earlier incarnation can be read back,
// and changes nothing.
func TestRememberedPastConfigurationIsNotInForce(t *testing.T) {
	manager, end := run(&observer{})
	defer end()
	manager.RememberPast(9, bundleOf(t, 9, "earlier"))
	if manager.Table() != nil {
		t.Error("what was only remembered is in force")
	}
	manager.Offer(3, compression.Bundle{Data: bundleOf(t, 3, "now")}, nil)
	manager.RememberPast(10, bundleOf(t, 10, "earlier"))
	if current := manager.Table(); current == nil || current.Version != 3 {
		t.Errorf("%+v", current)
	}
	if raw, known := manager.Past(10); !known || string(raw) != string(bundleOf(t, 10, "earlier")) {
		t.Error("it can't be read back")
	}
}

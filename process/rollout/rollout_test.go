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

// bundleOf is the bundle of an epoch; another variant is other bytes under the same number.
func bundleOf(t testing.TB, epoch ident.Version, variant string) []byte {
	raw, err := json.Marshal(document.Configuration{Name: variant, Forward: &upstream.Section{Revision: uint64(epoch), Pools: []upstream.Pool{{Name: "p"}}}})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// seen is what one observer saw in force, one after the other.
type seen struct{ bundles, closures []ident.Version }

func (s *seen) look(k *Manager) {
	if held := k.Table(); held != nil {
		s.bundles, s.closures = append(s.bundles, held.Version), append(s.closures, held.Closures.Version)
	}
}

func rises(epochs []ident.Version) bool {
	for place := 1; place < len(epochs); place++ {
		if epochs[place] < epochs[place-1] {
			return false
		}
	}
	return true
}

// run starts a keeper that tells the observer of each change, and gives back how to end it.
func run(observer *seen) (*Manager, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	var keeper *Manager
	keeper = New(func() time.Time { return time.Time{} }, func() { observer.look(keeper) })
	go func() { defer close(ended); keeper.Run(ctx) }()
	return keeper, func() { cancel(); <-ended }
}

// TestOlderVersionNeverReplacesANewerOne: whatever is offered by how many at once, and in whatever order, what is in
// force only ever rises, ends at the newest of all, and keeps the bytes that came first under a number.
func TestOlderVersionNeverReplacesANewerOne(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("epochs never fall", prop.ForAll(func(offers []uint8) bool {
		const offerers = 4
		inForce := &seen{}
		keeper, end := run(inForce)
		var newest, newestClosure ident.Version
		var offered sync.WaitGroup
		readers := make([]seen, offerers)
		for offerer := range offerers {
			for place := offerer; place < len(offers); place += offerers {
				epoch, closureEpoch := ident.Version(offers[place]%13), ident.Version(offers[place]/13)
				if offers[place]%7 != 0 {
					newest, newestClosure = max(newest, epoch), max(newestClosure, closureEpoch)
				}
			}
			offered.Add(1)
			go func() {
				defer offered.Done()
				for place := offerer; place < len(offers); place += offerers {
					epoch, closureEpoch := ident.Version(offers[place]%13), ident.Version(offers[place]/13)
					raw := bundleOf(t, epoch, "same")
					bundle, closures := compression.Bundle{Data: raw}, &closure.Set{Version: closureEpoch}
					switch {
					case offers[place]%7 == 0:
						bundle.Data, closures = []byte("garbage"), nil
					case offers[place]%2 == 0:
						bundle = compression.Bundle{Data: compression.Compress(raw), Compressed: true}
					}
					keeper.Offer(epoch, bundle, closures)
					readers[offerer].look(keeper)
					if held := keeper.Table(); offers[place]%7 != 0 && epoch > 0 && (held == nil || held.Version < epoch) {
						t.Errorf("epoch %d was offered, and an older one is in force", epoch)
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
		held := keeper.Table()
		if newest == 0 {
			return held == nil
		}
		return held != nil && held.Version == newest && held.Closures.Version == newestClosure
	}, gen.SliceOfN(40, gen.UInt8())))
	properties.TestingRun(t)
}

// TestDifferentConfigurationUnderOneVersionIsRejected: the first bytes under a number stay, packed or not, and what differs counts.
func TestDifferentConfigurationUnderOneVersionIsRejected(t *testing.T) {
	keeper, end := run(&seen{})
	defer end()
	first := bundleOf(t, 5, "first")
	keeper.Offer(5, compression.Bundle{Data: first}, nil)
	keeper.Offer(5, compression.Bundle{Data: compression.Compress(first), Compressed: true}, nil)
	if refused := keeper.Rejected.Load(); refused != 0 {
		t.Errorf("%d refused of the same bytes", refused)
	}
	keeper.Offer(5, compression.Bundle{Data: bundleOf(t, 5, "second")}, nil)
	keeper.Offer(4, compression.Bundle{Data: bundleOf(t, 4, "older")}, nil)
	if held := keeper.Table(); string(held.Raw) != string(first) || held.Version != 5 || keeper.Rejected.Load() != 1 {
		t.Errorf("epoch %d, %s, %d refused", held.Version, held.Raw, keeper.Rejected.Load())
	}
}

// TestRememberedPastConfigurationIsNotInForce: a bundle of an earlier life can be recalled, and changes nothing.
func TestRememberedPastConfigurationIsNotInForce(t *testing.T) {
	keeper, end := run(&seen{})
	defer end()
	keeper.RememberPast(9, bundleOf(t, 9, "earlier"))
	if keeper.Table() != nil {
		t.Error("what was only remembered is in force")
	}
	keeper.Offer(3, compression.Bundle{Data: bundleOf(t, 3, "now")}, nil)
	keeper.RememberPast(10, bundleOf(t, 10, "earlier"))
	if held := keeper.Table(); held == nil || held.Version != 3 {
		t.Errorf("%+v", held)
	}
	if raw, known := keeper.Past(10); !known || string(raw) != string(bundleOf(t, 10, "earlier")) {
		t.Error("it can't be recalled")
	}
}

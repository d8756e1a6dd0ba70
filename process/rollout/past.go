package rollout

import (
	"sync"
	"sync/atomic"

	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/ident"
)

const (
	// maxPastBytes bounds the past configurations that are retained.
	maxPastBytes = 64 << 20
	// maxCompressedPastBytes bounds those among them that came compressed: they are applied in one step, come often, and
	// the group itself retains the newest.
	maxCompressedPastBytes = 4 << 20
)

// pastBundles holds the configurations that were in force here, by version, so that a group that lost its majority can
// be recovered from them. One goroutine adds to it; any may read.
type pastBundles struct {
	bundles                sync.Map
	bytes, compressedBytes int
	// dropped is the newest version that was dropped to stay within the bounds: it and all before are not retained.
	dropped atomic.Uint64
}

func (p *pastBundles) load(version ident.Version) (compression.Bundle, bool) {
	found, known := p.bundles.Load(version)
	if !known {
		return compression.Bundle{}, false
	}
	return found.(compression.Bundle), true
}

// retains says whether a bundle of this version would be retained.
func (p *pastBundles) retains(version ident.Version) bool { return uint64(version) > p.dropped.Load() }

// add retains a bundle, and drops the oldest ones where they grow beyond the bounds.
func (p *pastBundles) add(version ident.Version, bundle compression.Bundle) {
	if _, known := p.bundles.LoadOrStore(version, bundle); known {
		return
	}
	p.count(bundle, 1)
	for p.bytes > maxPastBytes || p.compressedBytes > maxCompressedPastBytes && version > p.oldest(version) {
		oldest := p.oldest(version)
		dropped, _ := p.bundles.LoadAndDelete(oldest)
		p.count(dropped.(compression.Bundle), -1)
		p.dropped.Store(max(p.dropped.Load(), uint64(oldest)))
	}
}

// count adds a bundle's size to the totals, or with the sign -1 takes it off.
func (p *pastBundles) count(bundle compression.Bundle, sign int) {
	p.bytes += sign * len(bundle.Data)
	if bundle.Compressed {
		p.compressedBytes += sign * len(bundle.Data)
	}
}

// oldest is the oldest version retained, at most the one given.
func (p *pastBundles) oldest(version ident.Version) ident.Version {
	p.bundles.Range(func(key, _ any) bool { version = min(version, key.(ident.Version)); return true })
	return version
}

package membership

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// maxSources bounds the addresses for which it is remembered what was learned there.
const maxSources = 1024

// pullSource is what was learned at one address.
type pullSource struct {
	cursor Cursor
	// vouchedUntil is up to when it vouches for those it does not call late.
	vouchedUntil clock.Mark
	vouchesFor   map[ident.NodeID]bool
	// servesControl says that it serves control, rowKnown which version of this daemon's own row it knows.
	servesControl          bool
	knownAttributesVersion uint64
	failedAt               clock.Mark
	// told says that it tells up to when its news is confirmed, stale that this was too long ago when it last
	// answered, wasConfirmed that it ever was not.
	told, stale, wasConfirmed bool
}

func (l *MemberList) sourceAt(address string) *pullSource {
	source := l.sources[address]
	if source == nil {
		if len(l.sources) >= maxSources {
			clear(l.sources)
		}
		source = &pullSource{vouchesFor: map[ident.NodeID]bool{}}
		l.sources[address] = source
	}
	return source
}

// Failed notes that nobody answered at an address.
func (l *MemberList) RecordFailure(now clock.Mark, address string) {
	l.sourceAt(address).failedAt = now
}

// releaseVouches ends all that a peer vouched for at the moment up to which it did.
func (l *MemberList) releaseVouches(source *pullSource) {
	for id := range source.vouchesFor {
		if entry := l.entries[id]; entry != nil {
			entry.contactFloor = max(entry.contactFloor, source.vouchedUntil)
		}
	}
	clear(source.vouchesFor)
	source.vouchedUntil = 0
}

// LastControlContact is when any control daemon last answered with its list.
func (l *MemberList) LastControlContact() (latest clock.Mark) {
	for _, source := range l.sources {
		if source.servesControl {
			latest = max(latest, source.vouchedUntil)
		}
	}
	return latest
}

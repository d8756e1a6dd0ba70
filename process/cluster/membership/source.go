package membership

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// maxSources bounds the number of sources that are remembered; beyond it all are dropped and learned again.
const maxSources = 1024

// pullSource is the state of pulls from one address.
type pullSource struct {
	// cursor is the position up to which its member list was received.
	cursor Cursor
	// vouchedUntil are the members that it reports as not overdue, and vouchedUntil is the time up to which it does.
	vouchedUntil  clock.Mark
	vouchesFor    map[ident.NodeID]bool
	servesControl bool
	// knownAttributesVersion is the version of this daemon's own attributes that it knows.
	knownAttributesVersion uint64
	// acknowledgedStep is this daemon's newest rollout step that the peer is known to have; nil is none.
	acknowledgedStep *peerapi.RolloutStep
	// failedAt is when the last pull failed; zero if it was answered.
	failedAt clock.Mark
	// freshness is that of its last reply. It is unknown also of builds that do not report confirmations.
	freshness peerapi.SourceFreshness
	// wasConfirmed says that a reply of it once was fresh.
	wasConfirmed bool
}

// sourceAt returns the source at an address, which it adds if needed.
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

// RecordFailure records that a pull from an address failed.
func (l *MemberList) RecordFailure(now clock.Mark, address string) {
	l.sourceAt(address).failedAt = now
}

// releaseVouches ends what a source vouched for, and keeps the contacts that it did vouch for.
func (l *MemberList) releaseVouches(source *pullSource) {
	for id := range source.vouchesFor {
		if entry := l.entries[id]; entry != nil {
			entry.contactFloor = max(entry.contactFloor, source.vouchedUntil)
		}
	}
	clear(source.vouchesFor)
	source.vouchedUntil = 0
}

// dropVouches has no source vouch for a member any more.
func (l *MemberList) dropVouches(id ident.NodeID) {
	for _, source := range l.sources {
		delete(source.vouchesFor, id)
	}
}

// LastControlContact is the time up to which the latest reply of any control daemon vouched.
func (l *MemberList) LastControlContact() (latest clock.Mark) {
	for _, source := range l.sources {
		if source.servesControl {
			latest = max(latest, source.vouchedUntil)
		}
	}
	return latest
}

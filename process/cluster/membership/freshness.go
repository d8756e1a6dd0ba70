package membership

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// StaleAfter is the maximum age of the confirmation of a source. A source with an older one is left for another, and
	// lets no daemon become ready. Without faults a relay's confirmation is at most half a second old: raft's heartbeats
	// go out every 100 ms, and control daemons pull from each other at least every 250 ms.
	StaleAfter = 1200 * time.Millisecond
	// SwitchSourceWithin bounds the time from a source's last confirmation until the daemons that rely on it have left
	// it: a source that becomes stale replies to its pending long polls with its next tick. It is well within the two
	// seconds in which a configuration must be in force after its acknowledgement.
	SwitchSourceWithin = StaleAfter + 2*pullEvery
	// UnconfirmedAfter is how old the confirmation of what is in force here may be before a daemon links to all sources
	// it knows: a relay's confirmation may be StaleAfter old, and its next reply is delayed.
	UnconfirmedAfter = 2 * time.Second
)

// EncodeConfirmation encodes this daemon's own confirmation, zero for none, for the reply to a request.
func EncodeConfirmation(confirmedAt, requestArrivedAt clock.Mark) *peerapi.Confirmation {
	if confirmedAt == 0 {
		return &peerapi.Confirmation{}
	}
	after := confirmedAt.Since(requestArrivedAt)
	// Rounded down, so that it never gets more recent as it is passed on.
	return &peerapi.Confirmation{Known: true, AfterQuestionMs: int64(after.Truncate(time.Millisecond)/time.Millisecond) - 1}
}

// sourceConfirmation is the confirmation in a reply.
type sourceConfirmation struct {
	// known says that the source reports confirmations: builds before them do not.
	known bool
	// confirmedAt is in local time; zero if the source was never confirmed.
	confirmedAt clock.Mark
}

// confirmationIn decodes a reply's confirmation. It is counted from when the request was sent, which is before it
// arrived, so it is never taken for more recent than it is.
func confirmationIn(reply *peerapi.PullReply, sentAt, receivedAt clock.Mark) sourceConfirmation {
	confirmation := reply.Confirmation
	switch {
	case confirmation == nil && reply.IsLeader:
		// A leader of an earlier build: as before, its reply vouches for the time of the request.
		return sourceConfirmation{known: true, confirmedAt: sentAt}
	case confirmation == nil:
		return sourceConfirmation{}
	case !confirmation.Known:
		return sourceConfirmation{known: true}
	}
	confirmedAt := sentAt + clock.Mark(time.Duration(confirmation.AfterQuestionMs)*time.Millisecond)
	return sourceConfirmation{known: true, confirmedAt: max(0, min(confirmedAt, receivedAt))}
}

// freshness is that of a source with this confirmation.
func (c sourceConfirmation) freshness(receivedAt clock.Mark) peerapi.SourceFreshness {
	switch {
	case !c.known:
		return peerapi.SourceFreshness_SOURCE_UNKNOWN
	case c.confirmedAt == 0 || receivedAt.Since(c.confirmedAt) > StaleAfter:
		return peerapi.SourceFreshness_SOURCE_STALE
	}
	return peerapi.SourceFreshness_SOURCE_CONFIRMED
}

// SourceFreshness is that of the last reply from an address.
func (l *MemberList) SourceFreshness(address string) peerapi.SourceFreshness {
	if source := l.sources[address]; source != nil {
		return source.freshness
	}
	return peerapi.SourceFreshness_SOURCE_UNKNOWN
}

// recordSource records the confirmation in a source's reply. A source that is probed, but not linked, is not added.
// stale says that the reply is not to be relied on; changed, that a source that was once fresh became stale, or that a
// stale one recovered.
func (l *MemberList) recordSource(address string, linked bool, confirmation sourceConfirmation, receivedAt clock.Mark) (stale, changed bool) {
	freshness := confirmation.freshness(receivedAt)
	stale = freshness == peerapi.SourceFreshness_SOURCE_STALE
	if l.sources[address] == nil && !linked {
		return stale, false
	}
	source := l.sourceAt(address)
	wasStale := source.freshness == peerapi.SourceFreshness_SOURCE_STALE
	known := source.freshness != peerapi.SourceFreshness_SOURCE_UNKNOWN
	changed = known && wasStale != stale && (source.wasConfirmed || !stale)
	source.freshness = freshness
	source.wasConfirmed = source.wasConfirmed || freshness == peerapi.SourceFreshness_SOURCE_CONFIRMED
	return stale, changed
}

// NeedsMemberAddresses reports whether a reply is to name the addresses of the group's members: if the caller links to
// this daemon and has no confirmation from it. Without faults that is its first pull only.
func NeedsMemberAddresses(request *peerapi.PullRequest) bool {
	switch request.SourceFreshness {
	case peerapi.SourceFreshness_SOURCE_STALE:
		return true
	case peerapi.SourceFreshness_SOURCE_UNKNOWN:
		return request.IntervalMs > 0
	}
	return false
}

// maxMemberAddresses bounds the addresses of members that are accepted from one source.
const maxMemberAddresses = 32

// recordMemberAddresses records the addresses of the group's members in a reply.
func (l *MemberList) recordMemberAddresses(addresses []string) {
	if len(addresses) > 0 {
		l.memberAddresses = addresses[:min(len(addresses), maxMemberAddresses)]
	}
}

// Confirm records that what is in force here was up to date at a time.
func (l *MemberList) Confirm(at clock.Mark) { l.confirmedAt = max(l.confirmedAt, at) }

// ConfirmedAt is the time up to which what is in force here is confirmed to be up to date; zero: never.
func (l *MemberList) ConfirmedAt() clock.Mark { return l.confirmedAt }

// Unconfirmed reports whether this daemon must look for other sources.
func (l *MemberList) Unconfirmed(now clock.Mark) bool {
	return l.confirmedAt == 0 || now.Since(l.confirmedAt) > UnconfirmedAfter
}

// forgetConfirmations drops all confirmations when the group was recovered: those of its previous generation are void.
func (l *MemberList) forgetConfirmations() {
	l.confirmedAt = 0
	for _, source := range l.sources {
		source.freshness, source.wasConfirmed = peerapi.SourceFreshness_SOURCE_UNKNOWN, false
	}
}

package membership

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// StaleAfter is how long ago a majority may have confirmed what a source of news announces. One whose
	// confirmation is older is left for another, and lets no daemon become ready. In calm a relay's is at most half a
	// second old: heartbeats go out every 100 ms, and control daemons ask each other at least every 250 ms.
	StaleAfter = 1200 * time.Millisecond
	// SwitchSourceWithin bounds the time from the last confirmation of a source to the moment at which the daemons that
	// rely on it have left it: a source that turns stale answers the questions it holds back with its next beat. It
	// is well inside the two seconds within which a configuration must be in force after its acknowledgement.
	SwitchSourceWithin = StaleAfter + 2*pullEvery
	// UnconfirmedAfter is how old the confirmation of what is in force here may be before a daemon looks for another
	// source wherever it may: a relay's confirmation may be StaleAfter old, and the next answer is held back.
	UnconfirmedAfter = 2 * time.Second
)

// EncodeConfirmation is what a daemon tells an asker of its own confirmation, which lies at a mark; zero is none.
func EncodeConfirmation(confirmedAt, requestArrivedAt clock.Mark) *peerapi.Confirmation {
	if confirmedAt == 0 {
		return &peerapi.Confirmation{}
	}
	after := confirmedAt.Since(requestArrivedAt)
	// Rounded down, so that it never grows younger as it is passed on.
	return &peerapi.Confirmation{Known: true, AfterQuestionMs: int64(after.Truncate(time.Millisecond)/time.Millisecond) - 1}
}

// sourceConfirmation is what a reply proves of its source's confirmation.
type sourceConfirmation struct {
	// known says that the source knows of confirmations at all; confirmed is its mark, zero where there is none.
	known       bool
	confirmedAt clock.Mark
}

// confirmationIn reads a reply. The mark is counted from the moment of the question, which lies before its arrival.
func confirmationIn(reply *peerapi.PullReply, sentAt, receivedAt clock.Mark) sourceConfirmation {
	confirmation := reply.Confirmation
	switch {
	case confirmation == nil && reply.IsLeader:
		// A leader of an earlier build: as before, its answer vouches for the moment of the question.
		return sourceConfirmation{known: true, confirmedAt: sentAt}
	case confirmation == nil:
		return sourceConfirmation{}
	case !confirmation.Known:
		return sourceConfirmation{known: true}
	}
	confirmedAt := sentAt + clock.Mark(time.Duration(confirmation.AfterQuestionMs)*time.Millisecond)
	return sourceConfirmation{known: true, confirmedAt: max(0, min(confirmedAt, receivedAt))}
}

// stale says whether a source with this word is not to be relied on.
func (w sourceConfirmation) stale(receivedAt clock.Mark) bool {
	return w.known && (w.confirmedAt == 0 || receivedAt.Since(w.confirmedAt) > StaleAfter)
}

// SourceFreshness is how an address's news was confirmed when it was last heard.
func (l *MemberList) SourceFreshness(address string) peerapi.SourceFreshness {
	source := l.sources[address]
	switch {
	case source == nil || !source.told:
		return peerapi.SourceFreshness_SOURCE_UNKNOWN
	case source.stale:
		return peerapi.SourceFreshness_SOURCE_STALE
	}
	return peerapi.SourceFreshness_SOURCE_CONFIRMED
}

// recordSource notes a source's word; of one that is only asked now and then nothing is kept. turned says that it was
// relied on before and is so no more, or the other way.
func (l *MemberList) recordSource(address string, linked bool, confirmation sourceConfirmation, receivedAt clock.Mark) (stale, changed bool) {
	stale = confirmation.stale(receivedAt)
	if l.sources[address] == nil && !linked {
		return stale, false
	}
	source := l.sourceAt(address)
	changed = source.told && source.stale != stale && (source.wasConfirmed || !stale)
	source.told, source.stale = confirmation.known, stale
	source.wasConfirmed = source.wasConfirmed || confirmation.known && !stale
	return stale, changed
}

// NeedsMemberAddresses says whether an asker is to be told where the group's members are: one that asks again and again, and to
// whom the answering daemon's news is not confirmed. In calm that is its first question alone.
func NeedsMemberAddresses(request *peerapi.PullRequest) bool {
	return request.SourceFreshness == peerapi.SourceFreshness_SOURCE_STALE || request.SourceFreshness == peerapi.SourceFreshness_SOURCE_UNKNOWN && request.IntervalMs > 0
}

// maxMemberAddresses bounds the addresses of members that are believed of one source.
const maxMemberAddresses = 32

// recordMemberAddresses notes where a source says that the group's members are.
func (l *MemberList) recordMemberAddresses(addresses []string) {
	if len(addresses) > 0 {
		l.memberAddresses = addresses[:min(len(addresses), maxMemberAddresses)]
	}
}

// Confirm notes up to when what is in force here is confirmed to be all that was acknowledged.
func (l *MemberList) Confirm(at clock.Mark) { l.confirmedAt = max(l.confirmedAt, at) }

// ConfirmedAt is up to when what is in force here is confirmed to be all that was acknowledged; zero is never.
func (l *MemberList) ConfirmedAt() clock.Mark { return l.confirmedAt }

// Unconfirmed says whether this daemon must look for another source.
func (l *MemberList) Unconfirmed(now clock.Mark) bool {
	return l.confirmedAt == 0 || now.Since(l.confirmedAt) > UnconfirmedAfter
}

// forgetConfirmations is for a group that was recovered: what the lost generation confirmed counts no more.
func (l *MemberList) forgetConfirmations() {
	l.confirmedAt = 0
	for _, source := range l.sources {
		source.told, source.stale, source.wasConfirmed = false, false, false
	}
}

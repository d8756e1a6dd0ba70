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
	// LeaveWithin bounds the time from the last confirmation of a source to the moment at which the daemons that
	// rely on it have left it: a source that turns stale answers the questions it holds back with its next beat. It
	// is well inside the two seconds within which a configuration must be in force after its acknowledgement.
	LeaveWithin = StaleAfter + 2*pullEvery
	// UnconfirmedAfter is how old the confirmation of what is in force here may be before a daemon looks for another
	// source wherever it may: a relay's confirmation may be StaleAfter old, and the next answer is held back.
	UnconfirmedAfter = 2 * time.Second
)

// ConfirmationOf is what a daemon tells an asker of its own confirmation, which lies at a mark; zero is none.
func ConfirmationOf(confirmed, arrived clock.Mark) *peerapi.Confirmation {
	if confirmed == 0 {
		return &peerapi.Confirmation{}
	}
	after := confirmed.Since(arrived)
	// Rounded down, so that it never grows younger as it is passed on.
	return &peerapi.Confirmation{Known: true, AfterQuestionMs: int64(after.Truncate(time.Millisecond)/time.Millisecond) - 1}
}

// sourceWord is what a reply proves of its source's confirmation.
type sourceWord struct {
	// told says that the source knows of confirmations at all; confirmed is its mark, zero where there is none.
	told      bool
	confirmed clock.Mark
}

// wordOf reads a reply. The mark is counted from the moment of the question, which lies before its arrival.
func wordOf(reply *peerapi.PullReply, asked, heard clock.Mark) sourceWord {
	word := reply.Confirmation
	switch {
	case word == nil && reply.IsLeader:
		// A leader of an earlier build: as before, its answer vouches for the moment of the question.
		return sourceWord{told: true, confirmed: asked}
	case word == nil:
		return sourceWord{}
	case !word.Known:
		return sourceWord{told: true}
	}
	mark := asked + clock.Mark(time.Duration(word.AfterQuestionMs)*time.Millisecond)
	return sourceWord{told: true, confirmed: max(0, min(mark, heard))}
}

// stale says whether a source with this word is not to be relied on.
func (w sourceWord) stale(heard clock.Mark) bool {
	return w.told && (w.confirmed == 0 || heard.Since(w.confirmed) > StaleAfter)
}

// Source is how an address's news was confirmed when it was last heard.
func (c *Core) Source(address string) peerapi.SourceFreshness {
	p := c.peers[address]
	switch {
	case p == nil || !p.told:
		return peerapi.SourceFreshness_SOURCE_UNKNOWN
	case p.stale:
		return peerapi.SourceFreshness_SOURCE_STALE
	}
	return peerapi.SourceFreshness_SOURCE_CONFIRMED
}

// hearSource notes a source's word; of one that is only asked now and then nothing is kept. turned says that it was
// relied on before and is so no more, or the other way.
func (c *Core) hearSource(address string, linked bool, word sourceWord, heard clock.Mark) (stale, turned bool) {
	stale = word.stale(heard)
	if c.peers[address] == nil && !linked {
		return stale, false
	}
	p := c.peer(address)
	turned = p.told && p.stale != stale && (p.wasConfirmed || !stale)
	p.told, p.stale = word.told, stale
	p.wasConfirmed = p.wasConfirmed || word.told && !stale
	return stale, turned
}

// WantsMembers says whether an asker is to be told where the group's members are: one that asks again and again, and to
// whom the answering daemon's news is not confirmed. In calm that is its first question alone.
func WantsMembers(request *peerapi.PullRequest) bool {
	return request.SourceFreshness == peerapi.SourceFreshness_SOURCE_STALE || request.SourceFreshness == peerapi.SourceFreshness_SOURCE_UNKNOWN && request.IntervalMs > 0
}

// mostMemberAddresses bounds the addresses of members that are believed of one source.
const mostMemberAddresses = 32

// hearMembers notes where a source says that the group's members are.
func (c *Core) hearMembers(addresses []string) {
	if len(addresses) > 0 {
		c.memberAddresses = addresses[:min(len(addresses), mostMemberAddresses)]
	}
}

// Confirm notes up to when what is in force here is confirmed to be all that was acknowledged.
func (c *Core) Confirm(mark clock.Mark) { c.confirmed = max(c.confirmed, mark) }

// Confirmed is up to when what is in force here is confirmed to be all that was acknowledged; zero is never.
func (c *Core) Confirmed() clock.Mark { return c.confirmed }

// Unconfirmed says whether this daemon must look for another source.
func (c *Core) Unconfirmed(now clock.Mark) bool {
	return c.confirmed == 0 || now.Since(c.confirmed) > UnconfirmedAfter
}

// forgetConfirmations is for a group that was recovered: what the lost generation confirmed counts no more.
func (c *Core) forgetConfirmations() {
	c.confirmed = 0
	for _, p := range c.peers {
		p.told, p.stale, p.wasConfirmed = false, false, false
	}
}

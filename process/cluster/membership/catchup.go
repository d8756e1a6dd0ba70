package membership

import "github.com/cresspond/cresspond/clock"

// mayConfirm reports whether a reply may confirm what is in force here. A control daemon accepts confirmations from
// control daemons only: if it is partitioned from them and learns the newest configuration through routing daemons, it
// must not become a source for others, which rely on it for more than the configuration.
func (t *Tracker) mayConfirm(result PullResult) bool {
	if !t.servesControl || result.Reply.IsLeader {
		return true
	}
	source := t.memberList.entryAt(result.Address)
	return source != nil && source.record.Serves(controlRole)
}

// isCaughtUp reports whether what is in force here is up to date: a majority confirmed it lately, and after the group
// committed this incarnation as one that may be serving. Any later change is acknowledged only after it is in force here.
func (t *Tracker) isCaughtUp(now clock.Mark, local LocalState) bool {
	confirmed := t.memberList.ConfirmedAt()
	return local.Configuration > 0 && local.covers(t.view.NewestConfiguration, t.view.NewestClosure) &&
		local.EnlistedAt > 0 && confirmed > local.EnlistedAt && now.Since(confirmed) <= StaleAfter
}

package membership

import "github.com/cresspond/cresspond/clock"

// mayConfirm says whether an answer may confirm what is in force here. Others rely on a control daemon for more than
// the configuration, so it must hear its confirmation within the group: one that is cut off from the other members,
// and hears of the newest configuration through daemons that only route, is no source for all that is new.
func (t *Tracker) mayConfirm(result PullResult) bool {
	if !t.servesControl || result.Reply.IsLeader {
		return true
	}
	source := t.memberList.entryAt(result.Address)
	return source != nil && source.record.Serves(controlRole)
}

// isCaughtUp says whether a fresh daemon has made sure that what is in force here is not old: a majority has confirmed
// it lately, and after the group knew that this life may be serving. What is acknowledged later waits for this life.
func (t *Tracker) isCaughtUp(now clock.Mark, local LocalState) bool {
	confirmed := t.memberList.ConfirmedAt()
	return local.Configuration > 0 && local.covers(t.view.NewestConfiguration, t.view.NewestClosure) &&
		local.EnlistedAt > 0 && confirmed > local.EnlistedAt && now.Since(confirmed) <= StaleAfter
}

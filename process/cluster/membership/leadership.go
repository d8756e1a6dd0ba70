package membership

import (
	"time"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// dropLeader forgets the leader's address. From then on a leader of that term is accepted only by its own reply.
func (t *Tracker) dropLeader() { t.view.LeaderAddress, t.view.UnreachableTerm = "", t.view.LeaderTerm }

// updateLeader takes what a reply says of the leader. A leader's own reply counts if it is fresh and its term not older
// than the newest known one; another daemon's report only if its term is newer, or no leader of that term was
// unreachable from here. Builds before terms were reported send term zero, and are believed.
func (t *Tracker) updateLeader(result PullResult, confirmation sourceConfirmation, stale bool) {
	view, reply := &t.view, result.Reply
	if stale && view.LeaderAddress == result.Address {
		// No majority confirmed it lately, so there may be another leader.
		t.dropLeader()
	}
	switch {
	case reply.IsLeader && (stale || reply.LeaderTerm < view.LeaderTerm):
		// A former leader that has not noticed it yet, or that may be one.
	case reply.IsLeader:
		view.LastLeaderContact = max(view.LastLeaderContact, result.SentAt)
		view.LeaderAddress, view.LeaderTerm = result.Address, reply.LeaderTerm
		firstRolloutAge := time.Duration(reply.FirstRolloutMsAgo) * time.Millisecond
		// That there was no bundle is known only up to the leader's confirmation.
		if firstRolloutAge >= 0 || confirmation.confirmedAt >= view.Started {
			view.PredatesFirstRollout = view.PredatesFirstRollout || predatesFirstRollout(firstRolloutAge, result.SentAt.Since(view.Started))
		}
	case reply.LeaderAddress != "" && t.believesReport(reply.LeaderTerm):
		view.LeaderAddress, view.LeaderTerm = reply.LeaderAddress, max(view.LeaderTerm, reply.LeaderTerm)
	}
}

// believesReport reports whether to accept another daemon's report of a leader of a term.
func (t *Tracker) believesReport(term uint64) bool {
	view := &t.view
	newer := term > max(view.LeaderTerm, view.UnreachableTerm)
	lost := view.LeaderAddress == "" && term == view.LeaderTerm && view.UnreachableTerm < view.LeaderTerm
	return newer || lost || term == 0
}

// updatePlanner takes what a reply says of the planner. The planner's own reply counts; a report by another daemon only
// while no planner is known.
func (t *Tracker) updatePlanner(address string, reply *peerapi.PullReply) {
	switch {
	case reply.IsPlanner:
		t.planner = address
	case t.planner == address:
		t.planner = ""
	case t.planner == "" && reply.PlannerAddress != t.address:
		t.planner = reply.PlannerAddress
	}
}

// predatesFirstRollout reports whether an incarnation of that age started before the first bundle was in force.
func predatesFirstRollout(firstRolloutAge, age time.Duration) bool {
	return firstRolloutAge < 0 || firstRolloutAge > 0 && firstRolloutAge < age
}

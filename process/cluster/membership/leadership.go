package membership

import (
	"time"

	"github.com/cresspond/cresspond/wire/peerapi"
)

// dropLeader forgets where the leader is. From then on only its own word tells of a leader of that term.
func (t *Tracker) dropLeader() { t.view.LeaderAddress, t.view.UnreachableTerm = "", t.view.LeaderTerm }

func (t *Tracker) updateLeader(result PullResult, confirmation sourceConfirmation, stale bool) {
	view, reply := &t.view, result.Reply
	if stale && view.LeaderAddress == result.Address {
		// No majority has followed it lately, so there may be another.
		t.dropLeader()
	}
	switch {
	case reply.IsLeader && (stale || reply.LeaderTerm < view.LeaderTerm):
		// One that was followed by another and has not noticed yet, or that may have been.
	case reply.IsLeader:
		view.LastLeaderContact, view.LeaderAddress, view.LeaderTerm = max(view.LastLeaderContact, result.SentAt), result.Address, reply.LeaderTerm
		firstRolloutAge := time.Duration(reply.FirstRolloutMsAgo) * time.Millisecond
		// That there was no bundle is known only up to when a majority confirmed the leader.
		if firstRolloutAge >= 0 || confirmation.confirmedAt >= view.Started {
			view.PredatesFirstRollout = view.PredatesFirstRollout || predatesFirstRollout(firstRolloutAge, result.SentAt.Since(view.Started))
		}
	case reply.LeaderAddress != "" && (reply.LeaderTerm > max(view.LeaderTerm, view.UnreachableTerm) ||
		view.LeaderAddress == "" && reply.LeaderTerm == view.LeaderTerm && view.UnreachableTerm < view.LeaderTerm || reply.LeaderTerm == 0):
		view.LeaderAddress, view.LeaderTerm = reply.LeaderAddress, max(view.LeaderTerm, reply.LeaderTerm)
	}
}

// updatePlanner takes a word on who plans. Who plans says so; others have it from there.
func (t *Tracker) updatePlanner(address string, reply *peerapi.PullReply) {
	switch {
	case reply.IsPlanner:
		t.planner = address
	case t.planner == address:
		t.planner = ""
	case t.planner == "" && reply.PlannerAddress != t.self:
		t.planner = reply.PlannerAddress
	}
}

// predatesFirstRollout says whether a life that has lasted so long began before the first bundle was in force.
func predatesFirstRollout(firstRolloutAge, age time.Duration) bool {
	return firstRolloutAge < 0 || firstRolloutAge > 0 && firstRolloutAge < age
}

package membership

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Tracker is the pure part of Membership: whom a daemon takes for the leader and for the planner, on whose news it
// relies, and whether it has made sure that what is in force here is not old. It asks nobody and reads no clock.
type Tracker struct {
	self string
	// servesControl says that this daemon serves control.
	servesControl bool
	memberList    *MemberList
	view          View
	planner       string
}

// PullTarget is what was asked of an address.
type PullTarget struct {
	Address string
	// Linked questions follow each other, and their answers are held back while nothing is new.
	Linked bool
	// MaxWait is for how long the answer might be held back.
	MaxWait time.Duration
}

// PullResult is a reply, or the lack of one, to a question. A reply may have waited in a frozen machine's buffers, so it
// vouches for the moment at which it was asked for.
type PullResult struct {
	PullTarget
	SentAt, ReceivedAt clock.Mark
	Reply              *peerapi.PullReply
	Err                error
}

// InForce is what a daemon has in force.
type InForce struct{ Configuration, Closure ident.Version }

// covers says whether what is in force is at least what a source announces.
func (f InForce) covers(spec, closure ident.Version) bool {
	return f.Configuration >= spec && f.Closure >= closure
}

// LocalState is what a daemon knows of itself.
type LocalState struct {
	InForce
	// IsLeader says that it leads the group, Confirmed up to when a majority has confirmed that, for what is in force.
	IsLeader    bool
	ConfirmedAt clock.Mark
	// FirstRolloutAge is, of a leader, how long any bundle has been in force; negative while none was, zero if it can't tell.
	FirstRolloutAge time.Duration
	// EnlistedAt is when the group wrote this life down as one that may be serving; zero before.
	EnlistedAt clock.Mark
	IsPlanner  bool
}

// FreshnessChange says that a source of news came to be stale, or is so no more.
type FreshnessChange struct {
	Address string
	Stale   bool
}

// NewTracker makes what a fresh daemon knows.
func NewTracker(now clock.Mark, self ident.NodeID, address string, control bool) *Tracker {
	return &Tracker{self: address, servesControl: control, memberList: NewMemberList(self, address, control),
		view: View{Members: map[ident.NodeID]Member{}, Started: now}}
}

// MemberList is the list of members.
func (t *Tracker) MemberList() *MemberList { return t.memberList }

// View is what is known now.
func (t *Tracker) View() View { return t.view }

// Links lists the addresses to ask again and again.
func (t *Tracker) Links(now clock.Mark) []string {
	return t.memberList.Links(now, t.view.LeaderAddress, t.planner)
}

// ControlLost says whether no control daemon has answered for so long that anyone must be asked for all members.
func (t *Tracker) ControlLost(now clock.Mark) bool {
	return now.Since(t.memberList.LastControlContact()) > controlLostAfter
}

// FillRequest puts into a question what the asker knows of the group and of the daemon that it asks.
func (t *Tracker) FillRequest(request *peerapi.PullRequest, question PullTarget) {
	request.LeaderAddress, request.LeaderTerm, request.PlannerAddress = t.view.LeaderAddress, t.view.LeaderTerm, t.planner
	request.SourceFreshness = t.memberList.SourceFreshness(question.Address)
	if !question.Linked {
		return
	}
	cursor, tellRow := t.memberList.PullCursor(question.Address)
	request.MembersIncarnation, request.MembersSeen, request.HasAttributes = cursor.Incarnation, cursor.Seen, tellRow
	if !tellRow {
		request.Zone, request.Roles, request.Steps = "", nil, nil
	}
}

// HandleResult takes an answer; force is what is in force here after what it brought was taken over.
func (t *Tracker) HandleResult(now clock.Mark, answer PullResult, force InForce) (turned *FreshnessChange) {
	if answer.Err != nil {
		t.handleFailure(now, answer.PullTarget)
		return nil
	}
	reply := answer.Reply
	t.view.LastContact = max(t.view.LastContact, answer.SentAt)
	t.followGroup(ident.GroupID(reply.Group))
	word := confirmationIn(reply, answer.SentAt, answer.ReceivedAt)
	stale, changed := t.memberList.recordSource(answer.Address, answer.Linked, word, answer.ReceivedAt)
	if changed {
		turned = &FreshnessChange{answer.Address, stale}
	}
	if word.confirmedAt > 0 && t.mayConfirm(answer) && force.covers(ident.Version(reply.ConfigurationVersion), ident.Version(reply.ClosureVersion)) {
		t.memberList.Confirm(word.confirmedAt)
	}
	t.memberList.recordMemberAddresses(reply.MemberAddresses)
	t.updateLeader(answer, word, stale)
	t.updatePlanner(answer.Address, reply)
	t.view.NewestConfiguration = max(t.view.NewestConfiguration, ident.Version(reply.ConfigurationVersion))
	t.view.NewestClosure = max(t.view.NewestClosure, ident.Version(reply.ClosureVersion))
	t.mergeMembers(now, answer)
	return turned
}

// mayConfirm says whether an answer may confirm what is in force here. Others rely on a control daemon for more than
// the configuration, so it must hear its confirmation within the group: one that is cut off from the other members,
// and hears of the newest configuration through daemons that only route, is no source for all that is new.
func (t *Tracker) mayConfirm(answer PullResult) bool {
	if !t.servesControl || answer.Reply.IsLeader {
		return true
	}
	source := t.memberList.entryAt(answer.Address)
	return source != nil && source.record.Serves(controlRole)
}

// handleFailure takes the lack of an answer.
func (t *Tracker) handleFailure(now clock.Mark, question PullTarget) {
	if question.Linked {
		t.memberList.RecordFailure(now, question.Address)
	}
	if t.view.LeaderAddress == question.Address {
		t.dropLeader()
	}
	if t.planner == question.Address {
		t.planner = ""
	}
}

// dropLeader forgets where the leader is. From then on only its own word tells of a leader of that term.
func (t *Tracker) dropLeader() { t.view.LeaderAddress, t.view.UnreachableTerm = "", t.view.LeaderTerm }

// follow takes up the group's name.
func (t *Tracker) followGroup(group ident.GroupID) {
	if group == "" {
		return
	}
	if group != t.view.Group {
		// Another generation counts its terms anew.
		t.view.LeaderTerm, t.view.UnreachableTerm = 0, 0
		if t.view.Group != "" {
			t.memberList.forgetConfirmations()
		}
	}
	t.view.Group = group
}

func (t *Tracker) updateLeader(answer PullResult, word sourceConfirmation, stale bool) {
	view, reply := &t.view, answer.Reply
	if stale && view.LeaderAddress == answer.Address {
		// No majority has followed it lately, so there may be another.
		t.dropLeader()
	}
	switch {
	case reply.IsLeader && (stale || reply.LeaderTerm < view.LeaderTerm):
		// One that was followed by another and has not noticed yet, or that may have been.
	case reply.IsLeader:
		view.LastLeaderContact, view.LeaderAddress, view.LeaderTerm = max(view.LastLeaderContact, answer.SentAt), answer.Address, reply.LeaderTerm
		ago := time.Duration(reply.FirstRolloutMsAgo) * time.Millisecond
		// That there was no bundle is known only up to when a majority confirmed the leader.
		if ago >= 0 || word.confirmedAt >= view.Started {
			view.PredatesFirstRollout = view.PredatesFirstRollout || predatesFirstRollout(ago, answer.SentAt.Since(view.Started))
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

func (t *Tracker) mergeMembers(now clock.Mark, answer PullResult) {
	reply := answer.Reply
	told := decodeUpdates(reply.Members)
	switch {
	case reply.AllMembers:
		t.memberList.MergeAll(now, told)
	case answer.Linked:
		t.memberList.SetKnownAttributes(answer.Address, reply.KnownAttributesVersion)
		// It vouches for the moment of the answer, unless that lay about for long.
		until := min(answer.ReceivedAt, answer.SentAt+clock.Mark(answer.MaxWait+replySlack))
		t.memberList.Merge(now, answer.Address, Cursor{Incarnation: reply.MembersIncarnation, Seen: reply.MembersSeen}, reply.MembersFullResync, told, until)
	}
}

// RecordPull notes a question that was asked here, and gives the version of the asker's row that is known here.
func (t *Tracker) RecordPull(now clock.Mark, request *peerapi.PullRequest) (known uint64) {
	row := recordOf(request)
	row.Version, row.HasAttributes = request.AttributesVersion, request.HasAttributes
	return t.memberList.RecordPull(now, row, time.Duration(request.IntervalMs)*time.Millisecond)
}

// Tell gives what an asker lacks of the list of members.
func (t *Tracker) MembersFor(now clock.Mark, request *peerapi.PullRequest) *peerapi.PullReply {
	reply := &peerapi.PullReply{}
	if request.AllMembers {
		reply.Members, reply.AllMembers = encodeUpdates(t.memberList.AllWithin(now, allMembersWindow)), true
		return reply
	}
	since := t.memberList.ChangesSince
	if request.RegistryUrgentOnly {
		// The asker's relay tells it the rest.
		since = t.memberList.StatusChangesSince
	}
	told, next, afresh := since(now, Cursor{Incarnation: request.MembersIncarnation, Seen: request.MembersSeen})
	reply.Members, reply.MembersIncarnation, reply.MembersSeen, reply.MembersFullResync = encodeUpdates(told), next.Incarnation, next.Seen, afresh
	return reply
}

// Refresh is the one place where the view takes up what this daemon knows of itself; it gives the new view.
func (t *Tracker) Refresh(now clock.Mark, own LocalState) View {
	view := &t.view
	view.Members = t.memberList.CachedMembers(now)
	if own.ConfirmedAt > 0 {
		t.memberList.Confirm(own.ConfirmedAt)
	}
	switch {
	case own.IsLeader:
		view.LeaderAddress, view.LastLeaderContact, view.LastContact = t.self, now, now
		if own.FirstRolloutAge >= 0 || own.ConfirmedAt >= view.Started {
			view.PredatesFirstRollout = view.PredatesFirstRollout || predatesFirstRollout(own.FirstRolloutAge, now.Since(view.Started))
		}
	case view.LeaderAddress == t.self:
		t.dropLeader()
	}
	if own.IsPlanner {
		t.planner = t.self
	} else if t.planner == t.self {
		t.planner = ""
	}
	view.PlannerAddress, view.ConfirmedAt = t.planner, t.memberList.ConfirmedAt()
	if !t.servesControl {
		view.RelayAddress = t.memberList.Relay(now, view.LeaderAddress)
	}
	view.CaughtUp = view.CaughtUp || t.isCaughtUp(now, own)
	return *view
}

// isCaughtUp says whether a fresh daemon has made sure that what is in force here is not old: a majority has confirmed
// it lately, and after the group knew that this life may be serving. What is acknowledged later waits for this life.
func (t *Tracker) isCaughtUp(now clock.Mark, own LocalState) bool {
	confirmed := t.memberList.ConfirmedAt()
	return own.Configuration > 0 && own.covers(t.view.NewestConfiguration, t.view.NewestClosure) &&
		own.EnlistedAt > 0 && confirmed > own.EnlistedAt && now.Since(confirmed) <= StaleAfter
}

// NotReadyReason says why a daemon may not take new work by what is known of the group; empty where it may.
func (v *View) NotReadyReason(now clock.Mark, force InForce) string {
	switch {
	case force.Configuration == 0:
		return "no spec is in force here yet"
	case !v.CaughtUp:
		return "it is not yet sure that the spec here is the newest"
	case !force.covers(v.NewestConfiguration, v.NewestClosure):
		return "a newer spec or closure is known and not yet in force here"
	case now.Since(v.LastContact) > isolatedAfter:
		return "neither the leader nor any fellow has been heard lately"
	}
	return ""
}

package membership

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// controlLostAfter is how long no control daemon must have answered for all to be asked for all they know.
const controlLostAfter = 1500 * time.Millisecond

// replySlack is how much later than it was held back for an answer may come and still count as fresh.
const replySlack = 300 * time.Millisecond

// allMembersWindow is how lately those must have been heard that are told of to one that has lost the control daemons.
const allMembersWindow = 5 * time.Second

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
func (t *Tracker) FillRequest(request *peerapi.PullRequest, target PullTarget) {
	request.LeaderAddress, request.LeaderTerm, request.PlannerAddress = t.view.LeaderAddress, t.view.LeaderTerm, t.planner
	request.SourceFreshness = t.memberList.SourceFreshness(target.Address)
	if !target.Linked {
		return
	}
	cursor, sendAttributes := t.memberList.PullCursor(target.Address)
	request.MembersIncarnation, request.MembersSeen, request.HasAttributes = cursor.Incarnation, cursor.Seen, sendAttributes
	if !sendAttributes {
		request.Zone, request.Roles, request.Steps = "", nil, nil
	}
}

// HandleResult takes an answer; force is what is in force here after what it brought was taken over.
func (t *Tracker) HandleResult(now clock.Mark, result PullResult, inForce InForce) (change *FreshnessChange) {
	if result.Err != nil {
		t.handleFailure(now, result.PullTarget)
		return nil
	}
	reply := result.Reply
	t.view.LastContact = max(t.view.LastContact, result.SentAt)
	t.followGroup(ident.GroupID(reply.Group))
	confirmation := confirmationIn(reply, result.SentAt, result.ReceivedAt)
	stale, changed := t.memberList.recordSource(result.Address, result.Linked, confirmation, result.ReceivedAt)
	if changed {
		change = &FreshnessChange{result.Address, stale}
	}
	if confirmation.confirmedAt > 0 && t.mayConfirm(result) && inForce.covers(ident.Version(reply.ConfigurationVersion), ident.Version(reply.ClosureVersion)) {
		t.memberList.Confirm(confirmation.confirmedAt)
	}
	t.memberList.recordMemberAddresses(reply.MemberAddresses)
	t.updateLeader(result, confirmation, stale)
	t.updatePlanner(result.Address, reply)
	t.view.NewestConfiguration = max(t.view.NewestConfiguration, ident.Version(reply.ConfigurationVersion))
	t.view.NewestClosure = max(t.view.NewestClosure, ident.Version(reply.ClosureVersion))
	t.mergeMembers(now, result)
	return change
}

// handleFailure takes the lack of an answer.
func (t *Tracker) handleFailure(now clock.Mark, target PullTarget) {
	if target.Linked {
		t.memberList.RecordFailure(now, target.Address)
	}
	if t.view.LeaderAddress == target.Address {
		t.dropLeader()
	}
	if t.planner == target.Address {
		t.planner = ""
	}
}

// followGroup takes up the group's name.
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

func (t *Tracker) mergeMembers(now clock.Mark, result PullResult) {
	reply := result.Reply
	updates := decodeUpdates(reply.Members)
	switch {
	case reply.AllMembers:
		t.memberList.MergeAll(now, updates)
	case result.Linked:
		t.memberList.SetKnownAttributes(result.Address, reply.KnownAttributesVersion)
		// It vouches for the moment of the answer, unless that lay about for long.
		vouchedUntil := min(result.ReceivedAt, result.SentAt+clock.Mark(result.MaxWait+replySlack))
		t.memberList.Merge(now, result.Address, Cursor{Incarnation: reply.MembersIncarnation, Seen: reply.MembersSeen}, reply.MembersFullResync, updates, vouchedUntil)
	}
}

// RecordPull notes a question that was asked here, and gives the version of the asker's row that is known here.
func (t *Tracker) RecordPull(now clock.Mark, request *peerapi.PullRequest) (known uint64) {
	record := recordOf(request)
	record.Version, record.HasAttributes = request.AttributesVersion, request.HasAttributes
	return t.memberList.RecordPull(now, record, time.Duration(request.IntervalMs)*time.Millisecond)
}

// Tell gives what an asker lacks of the list of members.
func (t *Tracker) MembersFor(now clock.Mark, request *peerapi.PullRequest) *peerapi.PullReply {
	reply := &peerapi.PullReply{}
	if request.AllMembers {
		reply.Members, reply.AllMembers = encodeUpdates(t.memberList.AllWithin(now, allMembersWindow)), true
		return reply
	}
	changesSince := t.memberList.ChangesSince
	if request.RegistryUrgentOnly {
		// The asker's relay tells it the rest.
		changesSince = t.memberList.StatusChangesSince
	}
	updates, next, fullResync := changesSince(now, Cursor{Incarnation: request.MembersIncarnation, Seen: request.MembersSeen})
	reply.Members, reply.MembersIncarnation, reply.MembersSeen, reply.MembersFullResync = encodeUpdates(updates), next.Incarnation, next.Seen, fullResync
	return reply
}

// Refresh is the one place where the view takes up what this daemon knows of itself; it gives the new view.
func (t *Tracker) Refresh(now clock.Mark, local LocalState) View {
	view := &t.view
	view.Members = t.memberList.CachedMembers(now)
	if local.ConfirmedAt > 0 {
		t.memberList.Confirm(local.ConfirmedAt)
	}
	switch {
	case local.IsLeader:
		view.LeaderAddress, view.LastLeaderContact, view.LastContact = t.self, now, now
		if local.FirstRolloutAge >= 0 || local.ConfirmedAt >= view.Started {
			view.PredatesFirstRollout = view.PredatesFirstRollout || predatesFirstRollout(local.FirstRolloutAge, now.Since(view.Started))
		}
	case view.LeaderAddress == t.self:
		t.dropLeader()
	}
	if local.IsPlanner {
		t.planner = t.self
	} else if t.planner == t.self {
		t.planner = ""
	}
	view.PlannerAddress, view.ConfirmedAt = t.planner, t.memberList.ConfirmedAt()
	if !t.servesControl {
		view.RelayAddress = t.memberList.Relay(now, view.LeaderAddress)
	}
	view.CaughtUp = view.CaughtUp || t.isCaughtUp(now, local)
	return *view
}

package membership

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// controlLostAfter is how long after the last reply of a control daemon any peer is asked for all members.
	controlLostAfter = 1500 * time.Millisecond
	// replySlack is how much longer than the long poll's wait a reply may take and still vouch for its time of arrival.
	replySlack = 300 * time.Millisecond
	// allMembersWindow is how recent the last contact with the members must be that a daemon that lost all control
	// daemons is sent.
	allMembersWindow = 5 * time.Second
)

// Tracker is the pure core of Membership: the member list, the leader and the planner as far as they are known, and
// whether this daemon is up to date. It sends nothing and reads no clock.
type Tracker struct {
	// address is this daemon's own peer address.
	address       string
	servesControl bool
	memberList    *MemberList
	view          View
	// planner is the planner's address; empty if unknown.
	planner string
}

// PullTarget is where a pull goes, and in which way.
type PullTarget struct {
	Address string
	// Linked pulls are long polls that follow each other; others are single probes.
	Linked bool
	// MaxWait is how long the peer may delay its reply.
	MaxWait time.Duration
}

// PullResult is the reply to a pull, or its failure. A reply may have waited in the buffers of a frozen machine, so it
// vouches only for the time at which the request was sent.
type PullResult struct {
	PullTarget
	SentAt, ReceivedAt clock.Mark
	// NewestStep is this daemon's newest rollout step that the peer has with this pull; nil is none.
	NewestStep *peerapi.RolloutStep
	// Reply is nil if Err is not.
	Reply *peerapi.PullReply
	Err   error
}

// InForce are the versions that a daemon has in force.
type InForce struct{ Configuration, Closure ident.Version }

// covers reports whether what is in force is at least what a source announces.
func (f InForce) covers(configuration, closure ident.Version) bool {
	return f.Configuration >= configuration && f.Closure >= closure
}

// LocalState is what a daemon knows of itself.
type LocalState struct {
	InForce
	// IsLeader says that it leads the group.
	IsLeader bool
	// ConfirmedAt is the time up to which a majority has confirmed a leader; see Host.ConfirmedAsLeader.
	ConfirmedAt clock.Mark
	// FirstRolloutAge and EnlistedAt: see Host.
	FirstRolloutAge time.Duration
	EnlistedAt      clock.Mark
	IsPlanner       bool
}

// FreshnessChange says that a source became stale or recovered.
type FreshnessChange struct {
	Address string
	Stale   bool
}

// NewTracker makes the state of a daemon that started now.
func NewTracker(now clock.Mark, self ident.NodeID, address string, servesControl bool) *Tracker {
	return &Tracker{address: address, servesControl: servesControl, memberList: NewMemberList(self, address, servesControl),
		view: View{Members: map[ident.NodeID]Member{}, Started: now}}
}

// MemberList returns the member list.
func (t *Tracker) MemberList() *MemberList { return t.memberList }

// View returns the view as of the last event; Refresh brings it up to date.
func (t *Tracker) View() View { return t.view }

// Links returns the addresses to keep long polls to.
func (t *Tracker) Links(now clock.Mark) []string {
	return t.memberList.Links(now, t.view.LeaderAddress, t.planner)
}

// ControlLost reports whether no control daemon has replied for so long that any peer is to be asked for all members.
func (t *Tracker) ControlLost(now clock.Mark) bool {
	return now.Since(t.memberList.LastControlContact()) > controlLostAfter
}

// FillRequest adds to a pull what this daemon knows of the group and has received from the target.
func (t *Tracker) FillRequest(request *peerapi.PullRequest, target PullTarget) {
	request.LeaderAddress, request.LeaderTerm, request.PlannerAddress = t.view.LeaderAddress, t.view.LeaderTerm, t.planner
	request.SourceFreshness = t.memberList.SourceFreshness(target.Address)
	if !target.Linked {
		return
	}
	cursor, sendAttributes := t.memberList.PullCursor(target.Address)
	request.MembersIncarnation, request.MembersSeen, request.HasAttributes = cursor.Incarnation, cursor.Seen, sendAttributes
	if !sendAttributes {
		request.Zone, request.Roles = "", nil
		request.Steps = stepsAfter(request.Steps, t.memberList.AcknowledgedStep(target.Address))
	}
}

// HandleResult takes the result of a pull. inForce is what is in force after the reply was applied. change is not nil if
// the source became stale or recovered.
//
// The order matters: the confirmation is read before the leader is updated, since a stale leader is dropped; and a reply
// confirms what is in force only if that covers the versions the reply announces.
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

// handleFailure takes the failure of a pull: a leader or planner that does not reply is forgotten.
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

// followGroup takes the group's id. A recovered group's terms and confirmations start anew.
func (t *Tracker) followGroup(group ident.GroupID) {
	if group == "" {
		return
	}
	if group != t.view.Group {
		// Another generation counts its terms from zero.
		t.view.LeaderTerm, t.view.UnreachableTerm = 0, 0
		if t.view.Group != "" {
			t.memberList.forgetConfirmations()
		}
	}
	t.view.Group = group
}

// mergeMembers merges the members in a reply.
func (t *Tracker) mergeMembers(now clock.Mark, result PullResult) {
	reply := result.Reply
	updates := decodeUpdates(reply.Members)
	switch {
	case reply.AllMembers:
		t.memberList.MergeAll(now, updates)
	case result.Linked:
		t.memberList.SetKnownAttributes(result.Address, reply.KnownAttributesVersion)
		t.memberList.AcknowledgeStep(result.Address, result.NewestStep)
		// It vouches for its time of arrival, unless it was buffered for longer than the wait explains.
		vouchedUntil := min(result.ReceivedAt, result.SentAt+clock.Mark(result.MaxWait+replySlack))
		next := Cursor{Incarnation: reply.MembersIncarnation, Seen: reply.MembersSeen}
		t.memberList.Merge(now, result.Address, next, reply.MembersFullResync, updates, vouchedUntil)
	}
}

// RecordPull records a peer's pull, and returns the version of its attributes that is known here.
func (t *Tracker) RecordPull(now clock.Mark, request *peerapi.PullRequest) (known uint64) {
	record := recordOf(request)
	record.Version, record.HasAttributes = request.AttributesVersion, request.HasAttributes
	return t.memberList.RecordPull(now, record, time.Duration(request.IntervalMs)*time.Millisecond)
}

// MembersFor returns the part of a reply that holds the members that the caller misses.
func (t *Tracker) MembersFor(now clock.Mark, request *peerapi.PullRequest) *peerapi.PullReply {
	reply := &peerapi.PullReply{}
	if request.AllMembers {
		reply.Members, reply.AllMembers = encodeUpdates(t.memberList.AllWithin(now, allMembersWindow)), true
		return reply
	}
	changesSince := t.memberList.ChangesSince
	if request.RegistryUrgentOnly {
		// The caller receives the rest from its relay.
		changesSince = t.memberList.StatusChangesSince
	}
	updates, next, fullResync := changesSince(now, Cursor{Incarnation: request.MembersIncarnation, Seen: request.MembersSeen})
	reply.Members, reply.MembersFullResync = encodeUpdates(updates), fullResync
	reply.MembersIncarnation, reply.MembersSeen = next.Incarnation, next.Seen
	return reply
}

// Refresh brings the view up to date with this daemon's own state and returns it.
func (t *Tracker) Refresh(now clock.Mark, local LocalState) View {
	view := &t.view
	view.Members = t.memberList.CachedMembers(now)
	if local.ConfirmedAt > 0 {
		t.memberList.Confirm(local.ConfirmedAt)
	}
	switch {
	case local.IsLeader:
		view.LeaderAddress, view.LastLeaderContact, view.LastContact = t.address, now, now
		if local.FirstRolloutAge >= 0 || local.ConfirmedAt >= view.Started {
			view.PredatesFirstRollout = view.PredatesFirstRollout || predatesFirstRollout(local.FirstRolloutAge, now.Since(view.Started))
		}
	case view.LeaderAddress == t.address:
		t.dropLeader()
	}
	if local.IsPlanner {
		t.planner = t.address
	} else if t.planner == t.address {
		t.planner = ""
	}
	view.PlannerAddress, view.ConfirmedAt = t.planner, t.memberList.ConfirmedAt()
	if !t.servesControl {
		view.RelayAddress = t.memberList.Relay(now, view.LeaderAddress)
	}
	view.CaughtUp = view.CaughtUp || t.isCaughtUp(now, local)
	return *view
}

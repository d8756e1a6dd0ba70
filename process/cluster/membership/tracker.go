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
	// control says that this daemon serves control.
	control bool
	members *Core
	view    View
	planner string
}

// Question is what was asked of an address.
type Question struct {
	Address string
	// Linked questions follow each other, and their answers are held back while nothing is new.
	Linked bool
	// Hold is for how long the answer might be held back.
	Hold time.Duration
}

// Answer is a reply, or the lack of one, to a question. A reply may have waited in a frozen machine's buffers, so it
// vouches for the moment at which it was asked for.
type Answer struct {
	Question
	Asked, Heard clock.Mark
	Reply        *peerapi.PullReply
	Err          error
}

// InForce is what a daemon has in force.
type InForce struct{ Spec, Closure ident.Version }

// covers says whether what is in force is at least what a source announces.
func (f InForce) covers(spec, closure ident.Version) bool {
	return f.Spec >= spec && f.Closure >= closure
}

// Own is what a daemon knows of itself.
type Own struct {
	InForce
	// Leads says that it leads the group, Confirmed up to when a majority has confirmed that, for what is in force.
	Leads     bool
	Confirmed clock.Mark
	// FirstRollAgo is, of a leader, how long any bundle has been in force; negative while none was, zero if it can't tell.
	FirstRollAgo time.Duration
	// Enlisted is when the group wrote this life down as one that may be serving; zero before.
	Enlisted clock.Mark
	Plans    bool
}

// Turned says that a source of news came to be stale, or is so no more.
type Turned struct {
	Address string
	Stale   bool
}

// NewTracker makes what a fresh daemon knows.
func NewTracker(now clock.Mark, self ident.NodeID, address string, control bool) *Tracker {
	return &Tracker{self: address, control: control, members: NewCore(self, address, control),
		view: View{Fellows: map[ident.NodeID]Fellow{}, Started: now}}
}

// Members is the list of members.
func (t *Tracker) Members() *Core { return t.members }

// View is what is known now.
func (t *Tracker) View() View { return t.view }

// Links lists the addresses to ask again and again.
func (t *Tracker) Links(now clock.Mark) []string {
	return t.members.Links(now, t.view.LeaderAddress, t.planner)
}

// Lost says whether no control daemon has answered for so long that anyone must be asked for all members.
func (t *Tracker) Lost(now clock.Mark) bool { return now.Since(t.members.ControlHeard()) > lostControl }

// Fill puts into a question what the asker knows of the group and of the daemon that it asks.
func (t *Tracker) Fill(request *peerapi.PullRequest, question Question) {
	request.LeaderAddress, request.LeaderTerm, request.PlannerAddress = t.view.LeaderAddress, t.view.LeaderTerm, t.planner
	request.SourceFreshness = t.members.Source(question.Address)
	if !question.Linked {
		return
	}
	cursor, tellRow := t.members.Asked(question.Address)
	request.MembersIncarnation, request.MembersSeen, request.HasAttributes = cursor.Life, cursor.Seen, tellRow
	if !tellRow {
		request.Zone, request.Roles, request.Steps = "", nil, nil
	}
}

// Take takes an answer; force is what is in force here after what it brought was taken over.
func (t *Tracker) Take(now clock.Mark, answer Answer, force InForce) (turned *Turned) {
	if answer.Err != nil {
		t.fail(now, answer.Question)
		return nil
	}
	reply := answer.Reply
	t.view.HeardAny = max(t.view.HeardAny, answer.Asked)
	t.follow(ident.GroupID(reply.Group))
	word := wordOf(reply, answer.Asked, answer.Heard)
	stale, changed := t.members.hearSource(answer.Address, answer.Linked, word, answer.Heard)
	if changed {
		turned = &Turned{answer.Address, stale}
	}
	if word.confirmed > 0 && t.mayConfirm(answer) && force.covers(ident.Version(reply.ConfigurationVersion), ident.Version(reply.ClosureVersion)) {
		t.members.Confirm(word.confirmed)
	}
	t.members.hearMembers(reply.MemberAddresses)
	t.hearOfLeader(answer, word, stale)
	t.hearOfPlanner(answer.Address, reply)
	t.view.NewestSpec = max(t.view.NewestSpec, ident.Version(reply.ConfigurationVersion))
	t.view.NewestClosure = max(t.view.NewestClosure, ident.Version(reply.ClosureVersion))
	t.learnMembers(now, answer)
	return turned
}

// mayConfirm says whether an answer may confirm what is in force here. Others rely on a control daemon for more than
// the configuration, so it must hear its confirmation within the group: one that is cut off from the other members,
// and hears of the newest configuration through daemons that only route, is no source for all that is new.
func (t *Tracker) mayConfirm(answer Answer) bool {
	if !t.control || answer.Reply.IsLeader {
		return true
	}
	source := t.members.entryAt(answer.Address)
	return source != nil && source.row.Serves(controlRole)
}

// fail takes the lack of an answer.
func (t *Tracker) fail(now clock.Mark, question Question) {
	if question.Linked {
		t.members.Failed(now, question.Address)
	}
	if t.view.LeaderAddress == question.Address {
		t.dropLeader()
	}
	if t.planner == question.Address {
		t.planner = ""
	}
}

// dropLeader forgets where the leader is. From then on only its own word tells of a leader of that term.
func (t *Tracker) dropLeader() { t.view.LeaderAddress, t.view.Unreached = "", t.view.LeaderTerm }

// follow takes up the group's name.
func (t *Tracker) follow(group ident.GroupID) {
	if group == "" {
		return
	}
	if group != t.view.Group {
		// Another generation counts its terms anew.
		t.view.LeaderTerm, t.view.Unreached = 0, 0
		if t.view.Group != "" {
			t.members.forgetConfirmations()
		}
	}
	t.view.Group = group
}

func (t *Tracker) hearOfLeader(answer Answer, word sourceWord, stale bool) {
	view, reply := &t.view, answer.Reply
	if stale && view.LeaderAddress == answer.Address {
		// No majority has followed it lately, so there may be another.
		t.dropLeader()
	}
	switch {
	case reply.IsLeader && (stale || reply.LeaderTerm < view.LeaderTerm):
		// One that was followed by another and has not noticed yet, or that may have been.
	case reply.IsLeader:
		view.HeardLeader, view.LeaderAddress, view.LeaderTerm = max(view.HeardLeader, answer.Asked), answer.Address, reply.LeaderTerm
		ago := time.Duration(reply.FirstRolloutMsAgo) * time.Millisecond
		// That there was no bundle is known only up to when a majority confirmed the leader.
		if ago >= 0 || word.confirmed >= view.Started {
			view.BeforeAll = view.BeforeAll || beforeAll(ago, answer.Asked.Since(view.Started))
		}
	case reply.LeaderAddress != "" && (reply.LeaderTerm > max(view.LeaderTerm, view.Unreached) ||
		view.LeaderAddress == "" && reply.LeaderTerm == view.LeaderTerm && view.Unreached < view.LeaderTerm || reply.LeaderTerm == 0):
		view.LeaderAddress, view.LeaderTerm = reply.LeaderAddress, max(view.LeaderTerm, reply.LeaderTerm)
	}
}

// hearOfPlanner takes a word on who plans. Who plans says so; others have it from there.
func (t *Tracker) hearOfPlanner(address string, reply *peerapi.PullReply) {
	switch {
	case reply.IsPlanner:
		t.planner = address
	case t.planner == address:
		t.planner = ""
	case t.planner == "" && reply.PlannerAddress != t.self:
		t.planner = reply.PlannerAddress
	}
}

func (t *Tracker) learnMembers(now clock.Mark, answer Answer) {
	reply := answer.Reply
	told := decodeTold(reply.Members)
	switch {
	case reply.AllMembers:
		t.members.LearnEveryone(now, told)
	case answer.Linked:
		t.members.RowKnown(answer.Address, reply.KnownAttributesVersion)
		// It vouches for the moment of the answer, unless that lay about for long.
		until := min(answer.Heard, answer.Asked+clock.Mark(answer.Hold+answerSlack))
		t.members.Learn(now, answer.Address, Cursor{Life: reply.MembersIncarnation, Seen: reply.MembersSeen}, reply.MembersFullResync, told, until)
	}
}

// Hear notes a question that was asked here, and gives the version of the asker's row that is known here.
func (t *Tracker) Hear(now clock.Mark, request *peerapi.PullRequest) (known uint64) {
	row := rowOf(request)
	row.Version, row.Whole = request.AttributesVersion, request.HasAttributes
	return t.members.Hear(now, row, time.Duration(request.IntervalMs)*time.Millisecond)
}

// Tell gives what an asker lacks of the list of members.
func (t *Tracker) Tell(now clock.Mark, request *peerapi.PullRequest) *peerapi.PullReply {
	reply := &peerapi.PullReply{}
	if request.AllMembers {
		reply.Members, reply.AllMembers = encodeTold(t.members.Everyone(now, everyoneWindow)), true
		return reply
	}
	since := t.members.Since
	if request.RegistryUrgentOnly {
		// The asker's relay tells it the rest.
		since = t.members.SolidSince
	}
	told, next, afresh := since(now, Cursor{Life: request.MembersIncarnation, Seen: request.MembersSeen})
	reply.Members, reply.MembersIncarnation, reply.MembersSeen, reply.MembersFullResync = encodeTold(told), next.Life, next.Seen, afresh
	return reply
}

// Refresh is the one place where the view takes up what this daemon knows of itself; it gives the new view.
func (t *Tracker) Refresh(now clock.Mark, own Own) View {
	view := &t.view
	view.Fellows = t.members.Gathered(now)
	if own.Confirmed > 0 {
		t.members.Confirm(own.Confirmed)
	}
	switch {
	case own.Leads:
		view.LeaderAddress, view.HeardLeader, view.HeardAny = t.self, now, now
		if own.FirstRollAgo >= 0 || own.Confirmed >= view.Started {
			view.BeforeAll = view.BeforeAll || beforeAll(own.FirstRollAgo, now.Since(view.Started))
		}
	case view.LeaderAddress == t.self:
		t.dropLeader()
	}
	if own.Plans {
		t.planner = t.self
	} else if t.planner == t.self {
		t.planner = ""
	}
	view.PlannerAddress, view.Confirmed = t.planner, t.members.Confirmed()
	if !t.control {
		view.TellerAddress = t.members.Teller(now, view.LeaderAddress)
	}
	view.Settled = view.Settled || t.settles(now, own)
	return *view
}

// settles says whether a fresh daemon has made sure that what is in force here is not old: a majority has confirmed
// it lately, and after the group knew that this life may be serving. What is acknowledged later waits for this life.
func (t *Tracker) settles(now clock.Mark, own Own) bool {
	confirmed := t.members.Confirmed()
	return own.Spec > 0 && own.covers(t.view.NewestSpec, t.view.NewestClosure) &&
		own.Enlisted > 0 && confirmed > own.Enlisted && now.Since(confirmed) <= StaleAfter
}

// Unready says why a daemon may not take new work by what is known of the group; empty where it may.
func (v *View) Unready(now clock.Mark, force InForce) string {
	switch {
	case force.Spec == 0:
		return "no spec is in force here yet"
	case !v.Settled:
		return "it is not yet sure that the spec here is the newest"
	case !force.covers(v.NewestSpec, v.NewestClosure):
		return "a newer spec or closure is known and not yet in force here"
	case now.Since(v.HeardAny) > aloneAfter:
		return "neither the leader nor any fellow has been heard lately"
	}
	return ""
}

// Package replica joins the raft core to the replicated state: a pure core that keeps the group's
// time, answers commands and reads, and an actor that gives it clock, disk and links.
package replica

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Config holds the times of the group.
type Config struct {
	Timing raft.Timing
	// Tenure is how long a worker id is granted for.
	WorkerLease time.Duration
	// ClaimSpan is how long the planner's claim lasts, ClaimGap the quiet time between two claims.
	PlannerLease, PlannerLeaseGap time.Duration
	// Voters is how many machines are to vote.
	Voters int
	// CompactEvery is how many entries are applied between snapshots, Keep how many stay before one.
	CompactEntries, RetainEntries int
	// CompactBytes and KeepBytes bound the same by size: a few large bundles weigh as much as all else.
	CompactBytes, RetainBytes int
	// Orders bounds what is remembered of operators' orders; all members must have the same.
	HistoryLimits statemachine.Limits
	// Build names what was built: only members of one build compare digests of their states.
	Build string
}

// DefaultConfig gives the times of the design.
func DefaultConfig() Config {
	return Config{
		Timing:      raft.Timing{Heartbeat: 2, Election: 16},
		WorkerLease: 30 * time.Second, PlannerLease: 4 * time.Second, PlannerLeaseGap: 3 * time.Second,
		Voters: DefaultVoters, CompactEntries: 2000, RetainEntries: 200, CompactBytes: 8 << 20, RetainBytes: 2 << 20,
		HistoryLimits: statemachine.DefaultLimits(),
	}
}

// Outcome tells how a command or a read ended.
type Outcome string

const (
	// Applied says that the command or read took effect; the answer holds its result.
	Applied Outcome = "applied"
	// NotLeader says that this daemon does not lead, and that the command has not been proposed.
	NotLeader Outcome = "not-leader"
	// Unknown says that the command may still be applied, or not.
	Unknown Outcome = "unknown"
)

// Answer is what the asker with this Ref is told.
type Response struct {
	RequestID uint64
	Outcome   Outcome
	Result    statemachine.Result
	// State is given to a read: it may be read until the answer is handled, and not kept.
	State *statemachine.State
}

// Effects is what a step wants done.
type Effects struct {
	Save      *raft.Save
	Later     []raft.Message
	Now       []raft.Message
	Responses []Response
	// Changed says that the spec in force, the closures or the engines that left are others than before.
	ConfigurationChanged bool
	// Notices tell what an operator may want to know.
	Notices []raft.Notice
	// GiveUp says why this member may serve its state no longer and must join anew; nil otherwise.
	Fatal error
}

type proposal struct {
	requestID uint64
	term      raft.Term
}

// Core is one member's agreement and replicated state.
type Core struct {
	config Config
	raft   *raft.Core
	state  *statemachine.State

	applied              raft.Index
	entriesSinceSnapshot int
	// sizes are those of the entries applied since the last snapshot, bytes their sum.
	entrySizes         []int
	bytesSinceSnapshot int
	proposals          map[raft.Index]proposal
	reads              map[uint64]raft.Index

	// heard is when each member last said something here.
	lastContact map[raft.MemberID]clock.Mark
	// leaving is when each member last said that it stops.
	leaving map[raft.MemberID]clock.Mark

	// timeMark is when, on this machine's clock, the group's time was last seen to rise.
	groupTimeAt clock.Mark
	// began is when this member started, and restored the last entry it found on its disk: whatever stands there was
	// stamped before.
	startedAt    clock.Mark
	lastRestored raft.Index
	wallClock    func() time.Time
	// ledSince is when this member began to lead with all before it applied.
	leaderSince  clock.Mark
	isLeader     bool
	reclaimIndex raft.Index
	// confirmed is up to when a majority has confirmed that this member leads.
	leadership leadershipConfirmation

	digests digestTracker
	// checked is the state read from the snapshot that is being installed.
	validated *statemachine.State
}

// NewCore makes a member from what its disk holds.
func NewCore(config Config, member *raft.Core, snapshot []byte, now clock.Mark, wall func() time.Time) (*Core, error) {
	state, err := statemachine.Restore(snapshot, statemachine.WithLimits(config.HistoryLimits))
	if err != nil {
		return nil, err
	}
	c := &Core{config: config, raft: member, state: state, applied: member.SnapshotIndex(), groupTimeAt: now, startedAt: now, lastRestored: member.LastIndex(), wallClock: wall,
		proposals: map[raft.Index]proposal{}, reads: map[uint64]raft.Index{}, lastContact: map[raft.MemberID]clock.Mark{}, leaving: map[raft.MemberID]clock.Mark{},
		digests: newDigests(statemachine.Form(config.Build))}
	member.CheckSnapshots(c.validateSnapshot)
	return c, nil
}

// Raft gives the agreement core, for looking only.
func (c *Core) Raft() *raft.Core { return c.raft }

// checkSnapshot reads a leader's snapshot before it takes the place of this member's state.
func (c *Core) validateSnapshot(snapshot raft.Snapshot) error {
	state, err := statemachine.Restore(snapshot.Data, statemachine.WithLimits(c.config.HistoryLimits))
	c.validated = state
	return err
}

// Digest is the newest digest of this member's state; Differing lists whose differed, as far as a leader knows.
func (c *Core) Digest() raft.StateDigest { return c.digests.newest() }

// Differing lists the members whose state differed from a majority's when this leader last compared them.
func (c *Core) DivergentMembers() []raft.MemberID { return slices.Clone(c.digests.divergent) }

// State gives the replicated state, for looking only.
func (c *Core) State() *statemachine.State { return c.state }

// Leads says whether this member leads and has applied all that was committed before.
func (c *Core) IsLeader() bool { return c.isLeader }

// ConfirmedUntil is the latest moment at which a majority is known to have followed this member as the leader: all
// that was acknowledged before it, by whichever leader, is applied here. Zero where this member does not lead.
func (c *Core) ConfirmedUntil() clock.Mark {
	if !c.isLeader {
		return 0
	}
	return c.leadership.confirmedUntil
}

// groupNow is the group's time as the leader stamps it: the last in the log, carried on by elapsed
// time. The time of day is asked once, when the group is new.
func (c *Core) groupTime(now clock.Mark) ident.GroupTime {
	if c.state.Now == 0 {
		return ident.GroupTime(c.wallClock().UnixMilli())
	}
	return c.state.Now.Add(now.Since(c.groupTimeAt))
}

// FirstRollAgo is how long ago the first bundle came in force, in the group's time; negative when none has.
func (c *Core) SinceFirstRollout(now clock.Mark) time.Duration {
	first, any := c.state.At(1)
	if !any || first.Rolled == nil {
		return -1
	}
	return max(time.Millisecond, time.Duration(c.groupTime(now)-first.Rolled.At)*time.Millisecond)
}

// Submit puts a command forward; the answer comes with its ref.
func (c *Core) Submit(now clock.Mark, ref uint64, command statemachine.Command) Effects {
	if !c.isLeader {
		return Effects{Responses: []Response{{RequestID: ref, Outcome: NotLeader}}}
	}
	// All that depends on time or config is stamped here, so that apply is the same everywhere.
	command.At = c.groupTime(now)
	command.SpanMs = c.config.WorkerLease.Milliseconds()
	if command.Op == statemachine.OpClaim {
		command.SpanMs, command.GapMs = c.config.PlannerLease.Milliseconds(), c.config.PlannerLeaseGap.Milliseconds()
	}
	data, err := json.Marshal(command)
	if err != nil {
		panic("broken invariant: a command cannot be encoded: " + err.Error())
	}
	effects := c.raft.Step(raft.Propose{Data: data})
	if effects.Proposed == 0 {
		out := c.processRaftEffects(now, effects)
		out.Responses = append(out.Responses, Response{RequestID: ref, Outcome: NotLeader})
		return out
	}
	c.proposals[effects.Proposed] = proposal{requestID: ref, term: effects.ProposedTerm}
	return c.processRaftEffects(now, effects)
}

// Read asks for a linearizable look at the state.
func (c *Core) Read(now clock.Mark, ref uint64) Effects {
	return c.processRaftEffects(now, c.raft.Step(raft.Read{Ref: ref}))
}

// Step passes an event on to the agreement core.
func (c *Core) Step(now clock.Mark, event raft.Event) Effects {
	if received, ok := event.(raft.Receive); ok {
		c.lastContact[received.Message.From] = now
	}
	effects := c.raft.Step(event)
	out := c.processRaftEffects(now, effects)
	if received, ok := event.(raft.Receive); ok {
		c.handleDigest(received.Message, &out)
	}
	if _, beat := event.(raft.Tick); beat {
		c.reclaimExpiredLeases(now, &out)
	}
	return out
}

// MembershipPlan is what a leader's next change of the membership depends on.
func (c *Core) MembershipPlan(now clock.Mark, joins map[raft.MemberID]raft.Member) MembershipPlan {
	return MembershipPlan{Self: c.raft.ID(), Current: c.raft.Membership(), LastIndex: c.raft.LastIndex(), DesiredVoters: c.config.Voters, JoinRequests: joins,
		Progress: func(id raft.MemberID) Progress {
			// Who was heard before this member led has had no reason to speak to it since.
			said, leaves := c.leaving[id]
			match, missing := c.raft.MatchOf(id), 0
			if match+caughtUpEntries >= c.raft.LastIndex() {
				// Who lacks more is not ready whatever that holds.
				missing = c.raft.BytesAfter(match)
			}
			return Progress{Match: match, MissingBytes: missing, SinceContact: now.Since(max(c.lastContact[id], c.leaderSince)), Leaving: leaves && now.Since(said) < leavingValidity}
		}}
}

// Leave notes a member's word that it stops. While it says so nobody else must wait for it to fall silent.
func (c *Core) MarkLeaving(now clock.Mark, id raft.MemberID) { c.leaving[id] = now }

// reclaim is the leader's expiry check.
func (c *Core) reclaimExpiredLeases(now clock.Mark, out *Effects) {
	// A new leader lets a full lease pass first: holders may have renewed with one who is gone.
	if !c.isLeader || now.Since(c.leaderSince) < c.config.WorkerLease || c.reclaimIndex > c.applied {
		return
	}
	if !c.state.Workers.Due(c.groupTime(now)) {
		return
	}
	more := c.Submit(now, 0, statemachine.Command{Op: statemachine.OpReclaim})
	c.reclaimIndex = c.raft.LastIndex()
	out.merge(more)
}

func (e *Effects) merge(more Effects) {
	switch {
	case more.Save == nil:
	case e.Save == nil:
		e.Save = more.Save
	default:
		e.Save.Merge(*more.Save)
	}
	e.Later = append(e.Later, more.Later...)
	e.Now = append(e.Now, more.Now...)
	e.Responses = append(e.Responses, more.Responses...)
	e.ConfigurationChanged = e.ConfigurationChanged || more.ConfigurationChanged
	e.Notices = append(e.Notices, more.Notices...)
	if e.Fatal == nil {
		e.Fatal = more.Fatal
	}
}

// carry applies what was committed and turns raft effects into the replica's.
func (c *Core) processRaftEffects(now clock.Mark, effects raft.Effects) Effects {
	out := Effects{Save: effects.Save, Later: effects.Later, Now: effects.Now, Notices: effects.Notices}
	if effects.Save != nil && effects.Save.TruncateFrom > 0 && effects.Save.TruncateFrom <= c.lastRestored {
		// What takes the place of entries found on disk may have been stamped at any time since.
		c.lastRestored = effects.Save.TruncateFrom - 1
	}
	specBefore, closuresBefore, leavesBefore := c.state.Epoch(), c.state.Closures.Epoch, c.state.Leaves
	if effects.Install != nil {
		// It was read by checkSnapshot before the log was given up for it.
		c.state, c.applied, c.groupTimeAt, c.validated = c.validated, effects.Install.Index, now, nil
		c.digests.reset()
		c.entriesSinceSnapshot, c.entrySizes, c.bytesSinceSnapshot = 0, c.entrySizes[:0], 0
	}
	for _, entry := range effects.Committed {
		c.apply(now, entry, &out)
	}
	for _, read := range effects.Reads {
		if !read.OK {
			out.Responses = append(out.Responses, Response{RequestID: read.Ref, Outcome: NotLeader})
			continue
		}
		c.reads[read.Ref] = read.Index
	}
	for _, ref := range slices.Sorted(maps.Keys(c.reads)) {
		if c.applied >= c.reads[ref] {
			out.Responses = append(out.Responses, Response{RequestID: ref, Outcome: Applied, State: c.state})
			delete(c.reads, ref)
		}
	}
	c.updateLeadership(now, &out)
	c.leadership.observe(now, c.raft)
	c.attachDigests(now, out.Now)
	out.ConfigurationChanged = c.state.Epoch() != specBefore || c.state.Closures.Epoch != closuresBefore || c.state.Leaves != leavesBefore
	if c.entriesSinceSnapshot >= c.config.CompactEntries || c.config.CompactBytes > 0 && c.bytesSinceSnapshot >= c.config.CompactBytes {
		keep := c.retainedEntries()
		c.entriesSinceSnapshot, c.entrySizes, c.bytesSinceSnapshot = 0, c.entrySizes[:0], 0
		out.merge(c.processRaftEffects(now, c.raft.Step(raft.Compact{Index: c.applied, Data: c.state.Snapshot(), Keep: keep})))
	}
	return out
}

// askForDigests has a leader's heartbeats carry the digest that its peers are asked to compare.
func (c *Core) attachDigests(now clock.Mark, messages []raft.Message) {
	if !c.isLeader {
		return
	}
	c.digests.startComparison(now, c.raft.ID(), c.raft.Membership())
	for place := range messages {
		if messages[place].Kind == raft.MsgHeartbeat {
			messages[place].StateDigest = c.digests.requestFor(messages[place].To, c.raft.Membership())
		}
	}
}

// compareDigests takes the digest that came with a message: a leader's question, or a peer's answer.
func (c *Core) handleDigest(message raft.Message, out *Effects) {
	switch {
	case message.StateDigest == nil || message.Term != c.raft.Term():
	case message.Kind == raft.MsgHeartbeat && c.raft.LeaderID() == message.From:
		c.replyWithDigest(message, out)
	case message.Kind == raft.MsgHeartbeatReply && c.isLeader:
		found := c.digests.recordReply(c.raft.ID(), message.From, *message.StateDigest, c.raft.Membership())
		if found.divergent {
			out.Notices = append(out.Notices, raft.Notice{Kind: raft.NoticeStateDiffers, Peer: message.From, Index: message.StateDigest.Index})
		}
		c.stopServing(found.selfDiverged, out)
	}
}

func (c *Core) replyWithDigest(message raft.Message, out *Effects) {
	answer, err := c.digests.replyTo(*message.StateDigest)
	c.stopServing(err, out)
	for place := range out.Now {
		if reply := &out.Now[place]; reply.Kind == raft.MsgHeartbeatReply && reply.To == message.From {
			reply.StateDigest = answer
		}
	}
}

// giveUp says that this member's state is not what a majority holds.
func (c *Core) stopServing(why error, out *Effects) {
	if why == nil {
		return
	}
	out.Fatal = why
	out.Notices = append(out.Notices, raft.Notice{Kind: raft.NoticeStateDiffers, Peer: c.raft.ID(), Index: c.applied, Err: why})
}

// keep is how many entries stay before a snapshot.
func (c *Core) retainedEntries() int {
	if c.config.RetainBytes == 0 {
		return c.config.RetainEntries
	}
	room := c.config.RetainBytes
	for kept := 0; kept < min(c.config.RetainEntries, len(c.entrySizes)); kept++ {
		if room -= c.entrySizes[len(c.entrySizes)-1-kept]; room < 0 {
			return kept
		}
	}
	return c.config.RetainEntries
}

func (c *Core) apply(now clock.Mark, entry raft.Entry, out *Effects) {
	c.applied = entry.Index
	c.entriesSinceSnapshot++
	c.entrySizes = append(c.entrySizes, len(entry.Data))
	c.bytesSinceSnapshot += len(entry.Data)
	var result statemachine.Result
	if entry.Kind == raft.EntryCommand {
		before := c.state.Now
		result = c.state.Apply(entry.Data)
		switch {
		case c.state.Now <= before:
		case entry.Index <= c.lastRestored:
			// It was stamped before this member started, however late it is applied: the time since has passed.
			c.groupTimeAt = c.startedAt
		default:
			c.groupTimeAt = now
		}
	}
	if c.digests.due(entry.Index) {
		digest := c.state.Digest()
		c.digests.record(entry.Index, digest.Sum, digest.Bytes)
	}
	waiting, ok := c.proposals[entry.Index]
	if !ok {
		return
	}
	delete(c.proposals, entry.Index)
	if waiting.requestID == 0 {
		return
	}
	// Another leader's entry in that place means that the command was never committed.
	if waiting.term != entry.Term {
		out.Responses = append(out.Responses, Response{RequestID: waiting.requestID, Outcome: NotLeader})
		return
	}
	out.Responses = append(out.Responses, Response{RequestID: waiting.requestID, Outcome: Applied, Result: result})
}

// noteLeading is the one place where this member begins or ceases to lead.
func (c *Core) updateLeadership(now clock.Mark, out *Effects) {
	leads := c.raft.Role() == raft.Leader && c.raft.CommittedInTerm() && c.applied == c.raft.CommitIndex()
	if c.raft.Role() == raft.Leader && c.isLeader {
		return
	}
	if leads == c.isLeader {
		return
	}
	c.isLeader = leads
	c.digests.stopComparing()
	if leads {
		c.leaderSince, c.reclaimIndex = now, 0
		return
	}
	// Whoever waits is told the truth: nobody here knows whether the command will be committed.
	for _, index := range slices.Sorted(maps.Keys(c.proposals)) {
		if waiting := c.proposals[index]; waiting.requestID != 0 {
			out.Responses = append(out.Responses, Response{RequestID: waiting.requestID, Outcome: Unknown})
		}
		delete(c.proposals, index)
	}
}

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
	Tenure time.Duration
	// ClaimSpan is how long the planner's claim lasts, ClaimGap the quiet time between two claims.
	ClaimSpan, ClaimGap time.Duration
	// Voters is how many machines are to vote.
	Voters int
	// CompactEvery is how many entries are applied between snapshots, Keep how many stay before one.
	CompactEvery, Keep int
	// CompactBytes and KeepBytes bound the same by size: a few large bundles weigh as much as all else.
	CompactBytes, KeepBytes int
	// Orders bounds what is remembered of operators' orders; all members must have the same.
	Orders statemachine.Limits
	// Build names what was built: only members of one build compare digests of their states.
	Build string
}

// DefaultConfig gives the times of the design.
func DefaultConfig() Config {
	return Config{
		Timing: raft.Timing{Heartbeat: 2, Election: 16},
		Tenure: 30 * time.Second, ClaimSpan: 4 * time.Second, ClaimGap: 3 * time.Second,
		Voters: DefaultVoters, CompactEvery: 2000, Keep: 200, CompactBytes: 8 << 20, KeepBytes: 2 << 20,
		Orders: statemachine.DefaultLimits(),
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
type Answer struct {
	Ref     uint64
	Outcome Outcome
	Result  statemachine.Result
	// State is given to a read: it may be read until the answer is handled, and not kept.
	State *statemachine.State
}

// Effects is what a step wants done.
type Effects struct {
	Save    *raft.Save
	Later   []raft.Message
	Now     []raft.Message
	Answers []Answer
	// Changed says that the spec in force, the closures or the engines that left are others than before.
	Changed bool
	// Notices tell what an operator may want to know.
	Notices []raft.Notice
	// GiveUp says why this member may serve its state no longer and must join anew; nil otherwise.
	GiveUp error
}

type pending struct {
	ref  uint64
	term raft.Term
}

// Core is one member's agreement and replicated state.
type Core struct {
	config Config
	raft   *raft.Core
	state  *statemachine.State

	applied      raft.Index
	sinceCompact int
	// sizes are those of the entries applied since the last snapshot, bytes their sum.
	sizes   []int
	bytes   int
	pending map[raft.Index]pending
	reads   map[uint64]raft.Index

	// heard is when each member last said something here.
	heard map[raft.MemberID]clock.Mark
	// leaving is when each member last said that it stops.
	leaving map[raft.MemberID]clock.Mark

	// timeMark is when, on this machine's clock, the group's time was last seen to rise.
	timeMark clock.Mark
	// began is when this member started, and restored the last entry it found on its disk: whatever stands there was
	// stamped before.
	began    clock.Mark
	restored raft.Index
	wall     func() time.Time
	// ledSince is when this member began to lead with all before it applied.
	ledSince  clock.Mark
	leads     bool
	reclaimAt raft.Index
	// confirmed is up to when a majority has confirmed that this member leads.
	confirmed confirmation

	digests digests
	// checked is the state read from the snapshot that is being installed.
	checked *statemachine.State
}

// NewCore makes a member from what its disk holds.
func NewCore(config Config, member *raft.Core, snapshot []byte, now clock.Mark, wall func() time.Time) (*Core, error) {
	state, err := statemachine.Restore(snapshot, statemachine.WithLimits(config.Orders))
	if err != nil {
		return nil, err
	}
	c := &Core{config: config, raft: member, state: state, applied: member.SnapshotIndex(), timeMark: now, began: now, restored: member.LastIndex(), wall: wall,
		pending: map[raft.Index]pending{}, reads: map[uint64]raft.Index{}, heard: map[raft.MemberID]clock.Mark{}, leaving: map[raft.MemberID]clock.Mark{},
		digests: newDigests(statemachine.DigestSchema(config.Build))}
	member.CheckSnapshots(c.checkSnapshot)
	return c, nil
}

// Raft gives the agreement core, for looking only.
func (c *Core) Raft() *raft.Core { return c.raft }

// checkSnapshot reads a leader's snapshot before it takes the place of this member's state.
func (c *Core) checkSnapshot(snapshot raft.Snapshot) error {
	state, err := statemachine.Restore(snapshot.Data, statemachine.WithLimits(c.config.Orders))
	c.checked = state
	return err
}

// Digest is the newest digest of this member's state; Differing lists whose differed, as far as a leader knows.
func (c *Core) Digest() raft.StateDigest { return c.digests.newest() }

// Differing lists the members whose state differed from a majority's when this leader last compared them.
func (c *Core) Differing() []raft.MemberID { return slices.Clone(c.digests.differing) }

// State gives the replicated state, for looking only.
func (c *Core) State() *statemachine.State { return c.state }

// Leads says whether this member leads and has applied all that was committed before.
func (c *Core) Leads() bool { return c.leads }

// ConfirmedUntil is the latest moment at which a majority is known to have followed this member as the leader: all
// that was acknowledged before it, by whichever leader, is applied here. Zero where this member does not lead.
func (c *Core) ConfirmedUntil() clock.Mark {
	if !c.leads {
		return 0
	}
	return c.confirmed.until
}

// groupNow is the group's time as the leader stamps it: the last in the log, carried on by elapsed
// time. The time of day is asked once, when the group is new.
func (c *Core) groupNow(now clock.Mark) ident.GroupTime {
	if c.state.Now == 0 {
		return ident.GroupTime(c.wall().UnixMilli())
	}
	return c.state.Now.Add(now.Since(c.timeMark))
}

// FirstRollAgo is how long ago the first bundle came in force, in the group's time; negative when none has.
func (c *Core) FirstRollAgo(now clock.Mark) time.Duration {
	first, any := c.state.ProposalAt(1)
	if !any || first.RolledOut == nil {
		return -1
	}
	return max(time.Millisecond, time.Duration(c.groupNow(now)-first.RolledOut.At)*time.Millisecond)
}

// Submit puts a command forward; the answer comes with its ref.
func (c *Core) Submit(now clock.Mark, ref uint64, command statemachine.Command) Effects {
	if !c.leads {
		return Effects{Answers: []Answer{{Ref: ref, Outcome: NotLeader}}}
	}
	// All that depends on time or config is stamped here, so that apply is the same everywhere.
	command.At = c.groupNow(now)
	command.LeaseMs = c.config.Tenure.Milliseconds()
	if command.Op == statemachine.OpAcquirePlanner {
		command.LeaseMs, command.HandoverGapMs = c.config.ClaimSpan.Milliseconds(), c.config.ClaimGap.Milliseconds()
	}
	data, err := json.Marshal(command)
	if err != nil {
		panic("broken invariant: a command cannot be encoded: " + err.Error())
	}
	effects := c.raft.Step(raft.Propose{Data: data})
	if effects.Proposed == 0 {
		out := c.carry(now, effects)
		out.Answers = append(out.Answers, Answer{Ref: ref, Outcome: NotLeader})
		return out
	}
	c.pending[effects.Proposed] = pending{ref: ref, term: effects.ProposedTerm}
	return c.carry(now, effects)
}

// Read asks for a linearizable look at the state.
func (c *Core) Read(now clock.Mark, ref uint64) Effects {
	return c.carry(now, c.raft.Step(raft.Read{Ref: ref}))
}

// Step passes an event on to the agreement core.
func (c *Core) Step(now clock.Mark, event raft.Event) Effects {
	if received, ok := event.(raft.Receive); ok {
		c.heard[received.Message.From] = now
	}
	effects := c.raft.Step(event)
	out := c.carry(now, effects)
	if received, ok := event.(raft.Receive); ok {
		c.compareDigests(received.Message, &out)
	}
	if _, beat := event.(raft.Tick); beat {
		c.reclaim(now, &out)
	}
	return out
}

// MembershipPlan is what a leader's next change of the membership depends on.
func (c *Core) MembershipPlan(now clock.Mark, joins map[raft.MemberID]raft.Member) MembershipPlan {
	return MembershipPlan{Self: c.raft.ID(), Current: c.raft.Membership(), Last: c.raft.LastIndex(), Wanted: c.config.Voters, Joins: joins,
		Standing: func(id raft.MemberID) Standing {
			// Who was heard before this member led has had no reason to speak to it since.
			said, leaves := c.leaving[id]
			match, missing := c.raft.MatchOf(id), 0
			if match+caughtUpWithin >= c.raft.LastIndex() {
				// Who lacks more is not ready whatever that holds.
				missing = c.raft.BytesAfter(match)
			}
			return Standing{Match: match, Missing: missing, Silent: now.Since(max(c.heard[id], c.ledSince)), Leaving: leaves && now.Since(said) < leavingFor}
		}}
}

// Leave notes a member's word that it stops. While it says so nobody else must wait for it to fall silent.
func (c *Core) Leave(now clock.Mark, id raft.MemberID) { c.leaving[id] = now }

// reclaim is the leader's expiry check.
func (c *Core) reclaim(now clock.Mark, out *Effects) {
	// A new leader lets a full lease pass first: holders may have renewed with one who is gone.
	if !c.leads || now.Since(c.ledSince) < c.config.Tenure || c.reclaimAt > c.applied {
		return
	}
	if !c.state.Workers.Due(c.groupNow(now)) {
		return
	}
	more := c.Submit(now, 0, statemachine.Command{Op: statemachine.OpReclaim})
	c.reclaimAt = c.raft.LastIndex()
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
	e.Answers = append(e.Answers, more.Answers...)
	e.Changed = e.Changed || more.Changed
	e.Notices = append(e.Notices, more.Notices...)
	if e.GiveUp == nil {
		e.GiveUp = more.GiveUp
	}
}

// carry applies what was committed and turns raft effects into the replica's.
func (c *Core) carry(now clock.Mark, effects raft.Effects) Effects {
	out := Effects{Save: effects.Save, Later: effects.Later, Now: effects.Now, Notices: effects.Notices}
	if effects.Save != nil && effects.Save.TruncateFrom > 0 && effects.Save.TruncateFrom <= c.restored {
		// What takes the place of entries found on disk may have been stamped at any time since.
		c.restored = effects.Save.TruncateFrom - 1
	}
	specBefore, closuresBefore, leavesBefore := c.state.Version(), c.state.Closures.Version, c.state.Departures
	if effects.Install != nil {
		// It was read by checkSnapshot before the log was given up for it.
		c.state, c.applied, c.timeMark, c.checked = c.checked, effects.Install.Index, now, nil
		c.digests.forget()
		c.sinceCompact, c.sizes, c.bytes = 0, c.sizes[:0], 0
	}
	for _, entry := range effects.Committed {
		c.apply(now, entry, &out)
	}
	for _, read := range effects.Reads {
		if !read.OK {
			out.Answers = append(out.Answers, Answer{Ref: read.Ref, Outcome: NotLeader})
			continue
		}
		c.reads[read.Ref] = read.Index
	}
	for _, ref := range slices.Sorted(maps.Keys(c.reads)) {
		if c.applied >= c.reads[ref] {
			out.Answers = append(out.Answers, Answer{Ref: ref, Outcome: Applied, State: c.state})
			delete(c.reads, ref)
		}
	}
	c.noteLeading(now, &out)
	c.confirmed.observe(now, c.raft)
	c.askForDigests(now, out.Now)
	out.Changed = c.state.Version() != specBefore || c.state.Closures.Version != closuresBefore || c.state.Departures != leavesBefore
	if c.sinceCompact >= c.config.CompactEvery || c.config.CompactBytes > 0 && c.bytes >= c.config.CompactBytes {
		keep := c.keep()
		c.sinceCompact, c.sizes, c.bytes = 0, c.sizes[:0], 0
		out.merge(c.carry(now, c.raft.Step(raft.Compact{Index: c.applied, Data: c.state.Snapshot(), Keep: keep})))
	}
	return out
}

// askForDigests has a leader's heartbeats carry the digest that its peers are asked to compare.
func (c *Core) askForDigests(now clock.Mark, messages []raft.Message) {
	if !c.leads {
		return
	}
	c.digests.begin(now, c.raft.ID(), c.raft.Membership())
	for place := range messages {
		if messages[place].Kind == raft.MsgHeartbeat {
			messages[place].StateDigest = c.digests.ask(messages[place].To, c.raft.Membership())
		}
	}
}

// compareDigests takes the digest that came with a message: a leader's question, or a peer's answer.
func (c *Core) compareDigests(message raft.Message, out *Effects) {
	switch {
	case message.StateDigest == nil || message.Term != c.raft.Term():
	case message.Kind == raft.MsgHeartbeat && c.raft.LeaderID() == message.From:
		c.answerDigest(message, out)
	case message.Kind == raft.MsgHeartbeatReply && c.leads:
		found := c.digests.take(c.raft.ID(), message.From, *message.StateDigest, c.raft.Membership())
		if found.differs {
			out.Notices = append(out.Notices, raft.Notice{Kind: raft.NoticeStateDiffers, Peer: message.From, Index: message.StateDigest.Index})
		}
		c.giveUp(found.self, out)
	}
}

func (c *Core) answerDigest(message raft.Message, out *Effects) {
	answer, err := c.digests.answer(*message.StateDigest)
	c.giveUp(err, out)
	for place := range out.Now {
		if reply := &out.Now[place]; reply.Kind == raft.MsgHeartbeatReply && reply.To == message.From {
			reply.StateDigest = answer
		}
	}
}

// giveUp says that this member's state is not what a majority holds.
func (c *Core) giveUp(why error, out *Effects) {
	if why == nil {
		return
	}
	out.GiveUp = why
	out.Notices = append(out.Notices, raft.Notice{Kind: raft.NoticeStateDiffers, Peer: c.raft.ID(), Index: c.applied, Err: why})
}

// keep is how many entries stay before a snapshot.
func (c *Core) keep() int {
	if c.config.KeepBytes == 0 {
		return c.config.Keep
	}
	room := c.config.KeepBytes
	for kept := 0; kept < min(c.config.Keep, len(c.sizes)); kept++ {
		if room -= c.sizes[len(c.sizes)-1-kept]; room < 0 {
			return kept
		}
	}
	return c.config.Keep
}

func (c *Core) apply(now clock.Mark, entry raft.Entry, out *Effects) {
	c.applied = entry.Index
	c.sinceCompact++
	c.sizes = append(c.sizes, len(entry.Data))
	c.bytes += len(entry.Data)
	var result statemachine.Result
	if entry.Kind == raft.EntryCommand {
		before := c.state.Now
		result = c.state.Apply(entry.Data)
		switch {
		case c.state.Now <= before:
		case entry.Index <= c.restored:
			// It was stamped before this member started, however late it is applied: the time since has passed.
			c.timeMark = c.began
		default:
			c.timeMark = now
		}
	}
	if c.digests.due(entry.Index) {
		digest := c.state.Digest()
		c.digests.keep(entry.Index, digest.Sum, digest.SnapshotBytes)
	}
	waiting, ok := c.pending[entry.Index]
	if !ok {
		return
	}
	delete(c.pending, entry.Index)
	if waiting.ref == 0 {
		return
	}
	// Another leader's entry in that place means that the command was never committed.
	if waiting.term != entry.Term {
		out.Answers = append(out.Answers, Answer{Ref: waiting.ref, Outcome: NotLeader})
		return
	}
	out.Answers = append(out.Answers, Answer{Ref: waiting.ref, Outcome: Applied, Result: result})
}

// noteLeading is the one place where this member begins or ceases to lead.
func (c *Core) noteLeading(now clock.Mark, out *Effects) {
	leads := c.raft.Role() == raft.Leader && c.raft.CommittedInTerm() && c.applied == c.raft.CommitIndex()
	if c.raft.Role() == raft.Leader && c.leads {
		return
	}
	if leads == c.leads {
		return
	}
	c.leads = leads
	c.digests.stop()
	if leads {
		c.ledSince, c.reclaimAt = now, 0
		return
	}
	// Whoever waits is told the truth: nobody here knows whether the command will be committed.
	for _, index := range slices.Sorted(maps.Keys(c.pending)) {
		if waiting := c.pending[index]; waiting.ref != 0 {
			out.Answers = append(out.Answers, Answer{Ref: waiting.ref, Outcome: Unknown})
		}
		delete(c.pending, index)
	}
}

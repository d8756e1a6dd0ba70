// Package raft is the agreement core of the worker-id group: a pure state machine that is
// stepped by events and answers with effects. It owns no clock, disk or socket.
package raft

import (
	"encoding/json"
	"slices"
)

// MemberID names one data folder; a wiped machine comes back as another member.
type MemberID uint64

// Term numbers the reigns of leaders.
type Term uint64

// Index numbers the places of the log.
type Index uint64

// EntryKind tells what an entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command for the replicated state.
	EntryCommand EntryKind = iota
	// EntryEmpty is what a new leader writes first, to commit what came before it.
	EntryEmpty
	// EntryMembership holds a new membership.
	EntryMembership
)

// Entry is one place of the log.
type Entry struct {
	Term  Term
	Index Index
	Kind  EntryKind
	Data  []byte
}

// Member is one machine of the group.
type Member struct {
	ID      MemberID `json:"id"`
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Voter   bool     `json:"voter"`
}

// Membership is who belongs to the group.
type Membership struct {
	Members []Member `json:"members"`
}

// Encode gives the form that is kept in the log.
func (m Membership) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic("broken invariant: a membership cannot be encoded: " + err.Error())
	}
	return data
}

// DecodeMembership reads the form kept in the log.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(data, &m)
	return m, err
}

// Find gives the member with this id.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters lists the ids that count for a majority.
func (m Membership) Voters() []MemberID {
	var voters []MemberID
	for _, member := range m.Members {
		if member.Voter {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// With gives a copy in which this member is added or replaced.
func (m Membership) With(member Member) Membership {
	changed := m.Without(member.ID)
	changed.Members = append(changed.Members, member)
	return changed
}

// Without gives a copy that lacks this member.
func (m Membership) Without(id MemberID) Membership {
	remaining := slices.DeleteFunc(slices.Clone(m.Members), func(member Member) bool { return member.ID == id })
	return Membership{Members: remaining}
}

// MessageKind tells what a message asks or says.
type MessageKind uint8

const (
	// MsgPreVote asks whether a vote would be granted, and changes no term (Raft thesis, section 9.6).
	MsgPreVote MessageKind = iota + 1
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote in a term.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend carries entries of the leader's log.
	MsgAppend
	// MsgAppendReply says up to where the log matches, or where to try next.
	MsgAppendReply
	// MsgHeartbeat shows that the leader still leads, and carries its commit index.
	MsgHeartbeat
	// MsgHeartbeatReply answers MsgHeartbeat, and confirms reads.
	MsgHeartbeatReply
	// MsgSnapshot carries a snapshot to a member that is behind the kept log.
	MsgSnapshot
	// MsgTimeoutNow has a member stand for election at once, for a transfer of leadership.
	MsgTimeoutNow
	// MsgSnapshotReply says how much of a snapshot that comes in parts is held, or that it was refused.
	MsgSnapshotReply
)

// Message is what members say to each other.
type Message struct {
	Kind           MessageKind
	From, To       MemberID
	Term           Term
	LogIndex       Index
	LogTerm        Term
	Commit         Index
	Reject         bool
	Hint           Index
	HeartbeatRound uint64
	Entries        []Entry
	// Snapshot is, in a MsgSnapshot, a part of the leader's snapshot: its Data begins at Offset of Size bytes. A Size
	// of zero says that Data is the whole, as earlier builds send it.
	Snapshot *Snapshot
	// Offset is, in a MsgSnapshotReply, how many bytes are held of the snapshot at LogIndex and LogTerm.
	SnapshotOffset, SnapshotSize uint64
	// TakesParts says that the sender of a reply takes snapshots in parts.
	AcceptsChunks bool
	// StateDigest travels with heartbeats and their replies. The core does not look at it.
	StateDigest *StateDigest
}

// StateDigest is a digest of the replicated state up to one entry.
type StateDigest struct {
	Index Index
	// Form tells builds apart that keep another state: only digests of one form can be compared.
	Format, Sum uint64
	// Differs says that a majority's digest is this one, and the receiver's another.
	Differs bool
}

// Snapshot is the whole replicated state up to one entry.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
	// Checksum is over Index, Term and Data; snapshots of earlier builds travel without one.
	Checksum []byte
}

// HardState is what must be on disk before anything that depends on it is said.
type HardState struct {
	Term Term
	Vote MemberID
}

// Save is one write to disk. Entries replace all from their first index on.
type Save struct {
	HardState HardState
	Entries   []Entry
	// TruncateFrom, when not zero, removes all entries from there on, before Entries are written.
	TruncateFrom Index
	Snapshot     *Snapshot
	// CompactTo, when not zero, removes entries up to and with it.
	CompactTo Index
}

// Role is what a member is in its term.
type Role uint8

const (
	// Follower takes entries from a leader.
	Follower Role = iota
	// PreCandidate asks whether it would be elected.
	PreCandidate
	// Candidate stands for election.
	Candidate
	// Leader orders the entries of its term.
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ReadReady says that the state applied up to Index answers the read asked with Ref.
type ReadState struct {
	RequestID uint64
	Index     Index
	OK        bool
}

// Effects is what a step wants done.
type Effects struct {
	// Save goes to disk. Later leaves only when this and every earlier save is synced.
	Save      *Save
	AfterSync []Message
	// Now may leave at once.
	Immediate []Message
	// Install is a snapshot the replicated state must take over before Committed is applied.
	InstallSnapshot *Snapshot
	Committed       []Entry
	ReadStates      []ReadState
	// Proposed says where a proposal was put; zero when it was refused.
	ProposedIndex Index
	ProposedTerm  Term
	// Notices tell what an operator may want to know.
	Notices []Notice
}

// NoticeKind tells what a notice is about.
type NoticeKind uint8

const (
	// NoticeSnapshotSent says that a leader began to send its snapshot to a peer.
	NoticeSnapshotSent NoticeKind = iota + 1
	// NoticeSnapshotTaken says that a leader's snapshot took the place of the own state.
	NoticeSnapshotInstalled
	// NoticeSnapshotRefused says that a snapshot could not be used, so that the own state was kept.
	NoticeSnapshotRejected
	// NoticeMessageRefused says that a message can't be of a sound member, so that it changed nothing.
	NoticeMessageRejected
	// NoticeStateDiffers says that a peer's state, or the own one, is another than it should be.
	NoticeStateDiffers
)

func (k NoticeKind) String() string {
	switch k {
	case NoticeSnapshotSent:
		return "snapshot sent"
	case NoticeSnapshotInstalled:
		return "snapshot taken"
	case NoticeSnapshotRejected:
		return "snapshot refused"
	case NoticeMessageRejected:
		return "message refused"
	case NoticeStateDiffers:
		return "state differs"
	}
	return "unknown notice"
}

// Notice is one event for logs and counters.
type Notice struct {
	Kind NoticeKind
	// Peer is the member that sent what was taken or refused, or is sent it.
	Peer  MemberID
	Index Index
	Bytes int
	// Err says why something was refused.
	Err error
}

// Event is what steps the core.
type Event interface{ raftEvent() }

// Tick is one beat of the clock.
type Tick struct{}

// Receive is a message from another member, or from itself once its save is synced.
type Receive struct{ Message Message }

// Propose asks the leader to put a command in the log.
type Propose struct{ Data []byte }

// ProposeMembership asks for a membership that differs in one member.
type ProposeMembership struct{ Membership Membership }

// Read asks for a point at which a read is linearizable.
type Read struct{ RequestID uint64 }

// Persisted says that the log is synced up to this entry.
type Persisted struct {
	Index Index
	Term  Term
}

// DiskStalled says that a save has been waiting too long.
type DiskStalled struct{ Stalled bool }

// Transfer asks the leader to hand over.
type TransferLeadership struct{}

// StandDown says that this member stood still for so long that another may lead.
type StepDown struct{}

// Compact hands in a snapshot of the applied state; Keep entries stay before it.
type Compact struct {
	Index         Index
	Data          []byte
	RetainEntries int
}

func (Tick) raftEvent()               {}
func (Receive) raftEvent()            {}
func (Propose) raftEvent()            {}
func (ProposeMembership) raftEvent()  {}
func (Read) raftEvent()               {}
func (Persisted) raftEvent()          {}
func (DiskStalled) raftEvent()        {}
func (TransferLeadership) raftEvent() {}
func (StepDown) raftEvent()           {}
func (Compact) raftEvent()            {}

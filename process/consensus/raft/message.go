package raft

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

// fromLeader says whether only a leader sends messages of this kind to its followers.
func (m Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
}

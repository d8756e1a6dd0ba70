package raft

// MessageKind is the type of a message. Its values are sent to peers.
type MessageKind uint8

const (
	// MsgPreVote asks whether a vote would be granted, and changes no term (section 9.6).
	MsgPreVote MessageKind = iota + 1
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote requests a vote in a term (3.4).
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend replicates entries of the leader's log (3.5).
	MsgAppend
	// MsgAppendReply says up to which index the log matches, or, with Reject, where to try next.
	MsgAppendReply
	// MsgHeartbeat asserts the leadership and carries the commit index.
	MsgHeartbeat
	// MsgHeartbeatReply answers MsgHeartbeat, and confirms pending reads.
	MsgHeartbeatReply
	// MsgSnapshot carries a chunk of a snapshot to a member that needs entries which are compacted away.
	MsgSnapshot
	// MsgTimeoutNow has a member start an election at once, for a leadership transfer (3.10).
	MsgTimeoutNow
	// MsgSnapshotReply says how many bytes of a snapshot have been received, or that it was rejected.
	MsgSnapshotReply
)

// Message is what members send to each other. Which fields are set depends on Kind.
type Message struct {
	Kind     MessageKind
	From, To MemberID
	// Term is the sender's, but for the pre-vote round: there it is the term that the candidate would enter.
	Term Term
	// LogIndex and LogTerm name an entry: the last one of a candidate, the one before Entries in a MsgAppend, the last
	// matching one in a MsgAppendReply, the snapshot's in a MsgSnapshotReply.
	LogIndex Index
	LogTerm  Term
	Commit   Index
	Reject   bool
	// Hint is, in a rejecting MsgAppendReply, where the logs may match. In a MsgVote a value other than zero says that
	// the election is a leadership transfer.
	Hint Index
	// HeartbeatRound numbers the round of heartbeats that a MsgHeartbeat belongs to; its reply repeats it.
	HeartbeatRound uint64
	Entries        []Entry
	// Snapshot is, in a MsgSnapshot, a chunk of the leader's snapshot: its Data begins at SnapshotOffset, and all
	// chunks together are SnapshotSize bytes. A SnapshotSize of zero says that Data is complete, as earlier builds send it.
	Snapshot *Snapshot
	// SnapshotOffset is, in a MsgSnapshotReply, how many bytes the sender has received.
	SnapshotOffset, SnapshotSize uint64
	// AcceptsChunks says that the sender of a reply accepts snapshots in chunks.
	AcceptsChunks bool
	// FeatureLevel travels with replies to heartbeats, for the driver: the highest level of commands that the sender
	// understands. The core does not look at it.
	FeatureLevel uint32
	// Incarnation travels with them too: it is drawn anew with each start of the sender's process.
	Incarnation uint64
	// StateDigest travels with heartbeats and their replies, for the driver. The core does not look at it.
	StateDigest *StateDigest
}

// StateDigest is a digest of the replicated state up to one entry.
type StateDigest struct {
	Index Index
	// Format is the version of what the digest covers: only digests of one format can be compared.
	Format, Sum uint64
	// Differs says that a majority has this digest, and the receiver another one.
	Differs bool
}

// fromLeader says whether only a leader sends messages of this kind to its followers.
func (m Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
}

package raft

import (
	"crypto/sha256"
	"fmt"
)

const (
	// maxTerm and maxIndex bound the terms and indexes in a message. No group reaches them, and arithmetic beyond them
	// could overflow.
	maxTerm  Term  = 1 << 48
	maxIndex Index = 1 << 56
	// maxTermIncrease bounds how far one message may raise a member's term.
	maxTermIncrease Term = 1 << 32
	// maxSnapshotBytes bounds the memory for a snapshot that is received in chunks.
	maxSnapshotBytes = 1 << 30
)

// MalformedError says why a message or a membership is invalid. Kind is zero for a membership.
type MalformedError struct {
	Kind   MessageKind
	Reason string
}

// Error names the kind of message and the reason.
func (e MalformedError) Error() string {
	return fmt.Sprintf("malformed message of kind %d: %s", e.Kind, e.Reason)
}

// Validate checks a message by itself, without the state of a member. Its error is a MalformedError.
func (m Message) Validate() error {
	reason := m.invalidReason()
	if reason == "" {
		return nil
	}
	return MalformedError{Kind: m.Kind, Reason: reason}
}

// invalidReason is empty for a valid message.
func (m Message) invalidReason() string {
	switch {
	case m.Kind < MsgPreVote || m.Kind > MsgSnapshotReply:
		return "unknown kind"
	case m.From == 0 || m.To == 0:
		return "no sender or no receiver"
	case m.Term == 0 || m.Term > maxTerm || m.LogTerm > maxTerm:
		return "term out of range"
	case m.LogTerm > m.Term:
		return "an entry of a later term than the sender's"
	case m.LogIndex > maxIndex || m.Commit > maxIndex || m.Hint > maxIndex:
		return "index out of range"
	case m.From == m.To && m.Kind != MsgPreVoteReply && m.Kind != MsgVoteReply:
		return "sent by the receiver itself"
	case len(m.Entries) > 0 && m.Kind != MsgAppend:
		return "entries where none belong"
	case (m.Snapshot != nil) != (m.Kind == MsgSnapshot):
		return "a snapshot where none belongs, or none where one does"
	case m.SnapshotSize > maxSnapshotBytes || m.SnapshotOffset > maxSnapshotBytes:
		return "snapshot too large"
	}
	if m.Snapshot != nil {
		return m.invalidSnapshotReason()
	}
	return m.invalidEntriesReason()
}

// invalidEntriesReason checks that entries follow LogIndex without a gap, with terms that never fall.
func (m Message) invalidEntriesReason() string {
	term := m.LogTerm
	for position, entry := range m.Entries {
		switch {
		case entry.Index != m.LogIndex+Index(position)+1:
			return "entries are not consecutive"
		case entry.Term < max(term, 1) || entry.Term > m.Term:
			return "terms of entries go back or beyond the sender's"
		case entry.Kind > EntryMembership:
			return "unknown kind of entry"
		}
		term = entry.Term
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return "membership cannot be read"
		}
		if reason := membership.invalidReason(); reason != "" {
			return reason
		}
	}
	return ""
}

// invalidSnapshotReason checks a chunk of a snapshot.
func (m Message) invalidSnapshotReason() string {
	snapshot := m.Snapshot
	length := uint64(len(snapshot.Data))
	switch {
	case snapshot.Index == 0 || snapshot.Index > maxIndex:
		return "snapshot index out of range"
	case snapshot.Term == 0 || snapshot.Term > m.Term:
		return "snapshot term out of range"
	case len(snapshot.Checksum) != 0 && len(snapshot.Checksum) != sha256.Size:
		return "checksum has a wrong length"
	case m.SnapshotSize == 0 && m.SnapshotOffset != 0, m.SnapshotSize > 0 && (m.SnapshotOffset+length > m.SnapshotSize || length == 0):
		return "chunk lies outside of its snapshot"
	}
	return snapshot.Membership.invalidReason()
}

// invalidReason is empty for a membership that a running group may have.
func (m Membership) invalidReason() string {
	known := map[MemberID]bool{}
	for _, member := range m.Members {
		if member.ID == 0 || known[member.ID] {
			return "membership names a member twice or none"
		}
		known[member.ID] = true
	}
	if len(m.Voters()) == 0 {
		return "membership without voters"
	}
	return ""
}

// Validate checks that members are distinct and that there is a voter. Its error is a MalformedError.
func (m Membership) Validate() error {
	if reason := m.invalidReason(); reason != "" {
		return MalformedError{Reason: reason}
	}
	return nil
}

package raft

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Validation: what can't be of a sound member is refused before it changes anything.

const (
	// mostTerm and mostIndex bound what a message may name: whatever is above them no group ever reached, and
	// counting on from there could overflow.
	maxTerm  Term  = 1 << 48
	maxIndex Index = 1 << 56
	// mostTermStep bounds how far a message may raise a member's term at once.
	maxTermIncrease Term = 1 << 32
	// mostSnapshotBytes bounds what is gathered of a snapshot that comes in parts.
	maxSnapshotBytes = 1 << 30
)

// MalformedError says what is wrong with a message.
type MalformedError struct {
	Kind   MessageKind
	Reason string
}

func (e MalformedError) Error() string {
	return fmt.Sprintf("malformed message of kind %d: %s", e.Kind, e.Reason)
}

// Validate says whether a message can be of a sound member, as far as it tells by itself.
func (m Message) Validate() error {
	reason := m.invalidReason()
	if reason == "" {
		return nil
	}
	return MalformedError{Kind: m.Kind, Reason: reason}
}

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

// entriesFault says whether entries follow the place they are appended to without a hole, in the order of their terms.
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
		return "part lies outside of its snapshot"
	}
	return snapshot.Membership.invalidReason()
}

// fault says what no membership of a running group can be.
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

// Validate says whether a membership can be one of a running group.
func (m Membership) Validate() error {
	if reason := m.invalidReason(); reason != "" {
		return MalformedError{Reason: reason}
	}
	return nil
}

// checksum is over all that a snapshot is, but its membership: another build may write the same one in other bytes.
func (s Snapshot) checksum() []byte {
	hash := sha256.New()
	var position [16]byte
	binary.BigEndian.PutUint64(position[:8], uint64(s.Index))
	binary.BigEndian.PutUint64(position[8:], uint64(s.Term))
	_, _ = hash.Write(position[:])
	_, _ = hash.Write(s.Data)
	return hash.Sum(nil)
}

// sound says whether a snapshot is what its maker sent. One without a checksum can't be told.
func (s Snapshot) checksumMatches() bool {
	return len(s.Checksum) == 0 || bytes.Equal(s.Checksum, s.checksum())
}

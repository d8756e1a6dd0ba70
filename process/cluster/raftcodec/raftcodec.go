// Package raftcodec converts raft's messages to and from their protobuf form. It stands apart from the generated code
// (wire/peerapi), which lies below process/ and knows nothing of raft's types. Encode is called by the sending end
// (process/cluster/peerclient), Decode by the receiving one (daemon).
package raftcodec

import (
	"errors"
	"fmt"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// ErrInvalidMessage is wrapped by Decode's errors: the message can't be from a correct member.
var ErrInvalidMessage = errors.New("invalid raft message")

// Encode returns the protobuf form of raft messages.
func Encode(messages []raft.Message) []*peerapi.RaftMessage {
	encoded := make([]*peerapi.RaftMessage, 0, len(messages))
	for _, message := range messages {
		encoded = append(encoded, encodeMessage(message))
	}
	return encoded
}

func encodeMessage(message raft.Message) *peerapi.RaftMessage {
	encoded := &peerapi.RaftMessage{
		Kind:           uint32(message.Kind),
		From:           uint64(message.From),
		To:             uint64(message.To),
		Term:           uint64(message.Term),
		LogIndex:       uint64(message.LogIndex),
		LogTerm:        uint64(message.LogTerm),
		Commit:         uint64(message.Commit),
		Reject:         message.Reject,
		Hint:           uint64(message.Hint),
		HeartbeatRound: message.HeartbeatRound,
		SnapshotOffset: message.SnapshotOffset,
		SnapshotSize:   message.SnapshotSize,
		AcceptsChunks:  message.AcceptsChunks,
		FeatureLevel:   message.FeatureLevel,
		Incarnation:    message.Incarnation,
	}
	if digest := message.StateDigest; digest != nil {
		encoded.StateDigest = &peerapi.RaftStateDigest{Index: uint64(digest.Index), Format: digest.Format, Sum: digest.Sum, Differs: digest.Differs}
	}
	for _, entry := range message.Entries {
		encoded.Entries = append(encoded.Entries, &peerapi.RaftEntry{
			Term: uint64(entry.Term), Index: uint64(entry.Index), Kind: uint32(entry.Kind), Data: entry.Data,
		})
	}
	if snapshot := message.Snapshot; snapshot != nil {
		encoded.Snapshot = &peerapi.RaftSnapshot{
			Index: uint64(snapshot.Index), Term: uint64(snapshot.Term),
			Membership: snapshot.Membership.Encode(), Data: snapshot.Data, Checksum: snapshot.Checksum,
		}
	}
	return encoded
}

// Decode reads the protobuf form of raft messages. If one of them is invalid all are rejected, with an error that wraps
// ErrInvalidMessage.
func Decode(encoded []*peerapi.RaftMessage) ([]raft.Message, error) {
	messages := make([]raft.Message, 0, len(encoded))
	for _, one := range encoded {
		message, err := decodeMessage(one)
		if err != nil {
			return nil, err
		}
		// A member's messages to itself are not sent over the wire.
		if message.From == message.To {
			return nil, fmt.Errorf("%w: member %d is sender and receiver", ErrInvalidMessage, message.From)
		}
		if err := message.Validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
		}
		messages = append(messages, message)
	}
	return messages, nil
}

// decodeMessage converts a message whose kinds are known. Kinds are checked before they are narrowed, or a larger number
// would wrap to a known one.
func decodeMessage(encoded *peerapi.RaftMessage) (raft.Message, error) {
	if encoded == nil || encoded.Kind > uint32(raft.MsgSnapshotReply) {
		return raft.Message{}, fmt.Errorf("%w: no message or an unknown kind", ErrInvalidMessage)
	}
	message := raft.Message{
		Kind:           raft.MessageKind(encoded.Kind),
		From:           raft.MemberID(encoded.From),
		To:             raft.MemberID(encoded.To),
		Term:           raft.Term(encoded.Term),
		LogIndex:       raft.Index(encoded.LogIndex),
		LogTerm:        raft.Term(encoded.LogTerm),
		Commit:         raft.Index(encoded.Commit),
		Reject:         encoded.Reject,
		Hint:           raft.Index(encoded.Hint),
		HeartbeatRound: encoded.HeartbeatRound,
		SnapshotOffset: encoded.SnapshotOffset,
		SnapshotSize:   encoded.SnapshotSize,
		AcceptsChunks:  encoded.AcceptsChunks,
		FeatureLevel:   encoded.FeatureLevel,
		Incarnation:    encoded.Incarnation,
	}
	if digest := encoded.StateDigest; digest != nil {
		message.StateDigest = &raft.StateDigest{Index: raft.Index(digest.Index), Format: digest.Format, Sum: digest.Sum, Differs: digest.Differs}
	}
	for _, entry := range encoded.Entries {
		if entry == nil || entry.Kind > uint32(raft.EntryMembership) {
			return raft.Message{}, fmt.Errorf("%w: no entry or an unknown kind of entry", ErrInvalidMessage)
		}
		message.Entries = append(message.Entries, raft.Entry{
			Term: raft.Term(entry.Term), Index: raft.Index(entry.Index), Kind: raft.EntryKind(entry.Kind), Data: entry.Data,
		})
	}
	if encoded.Snapshot == nil {
		return message, nil
	}
	snapshot, err := decodeSnapshot(encoded.Snapshot)
	message.Snapshot = snapshot
	return message, err
}

func decodeSnapshot(encoded *peerapi.RaftSnapshot) (*raft.Snapshot, error) {
	membership, err := raft.DecodeMembership(encoded.Membership)
	if err != nil {
		return nil, fmt.Errorf("%w: its snapshot's membership: %w", ErrInvalidMessage, err)
	}
	return &raft.Snapshot{
		Index: raft.Index(encoded.Index), Term: raft.Term(encoded.Term),
		Membership: membership, Data: encoded.Data, Checksum: encoded.Checksum,
	}, nil
}

// Package raftcodec converts raft's messages to and from their protobuf form. It stands apart from the generated code
// (wire/peerapi), which lies below process/ and knows nothing of raft's types. Encode is called by the sending end
// (process/cluster/peerclient), Decode by the receiving one (daemon).
package raftcodec

import (
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Encode gives the wire form of raft messages.
func Encode(messages []raft.Message) []*peerapi.RaftMessage {
	out := make([]*peerapi.RaftMessage, 0, len(messages))
	for _, m := range messages {
		wire := &peerapi.RaftMessage{
			Kind: uint32(m.Kind), From: uint64(m.From), To: uint64(m.To), Term: uint64(m.Term),
			LogIndex: uint64(m.LogIndex), LogTerm: uint64(m.LogTerm), Commit: uint64(m.Commit),
			Reject: m.Reject, Hint: uint64(m.Hint), ReadContext: m.HeartbeatRound,
			SnapshotOffset: m.SnapshotOffset, SnapshotSize: m.SnapshotSize, AcceptsChunks: m.AcceptsChunks,
		}
		if digest := m.StateDigest; digest != nil {
			wire.StateDigest = &peerapi.RaftStateDigest{Index: uint64(digest.Index), Format: digest.Format, Sum: digest.Sum, Differs: digest.Differs}
		}
		for _, entry := range m.Entries {
			wire.Entries = append(wire.Entries, &peerapi.RaftEntry{Term: uint64(entry.Term), Index: uint64(entry.Index), Kind: uint32(entry.Kind), Data: entry.Data})
		}
		if m.Snapshot != nil {
			wire.Snapshot = &peerapi.RaftSnapshot{Index: uint64(m.Snapshot.Index), Term: uint64(m.Snapshot.Term),
				Membership: m.Snapshot.Membership.Encode(), Data: m.Snapshot.Data, Checksum: m.Snapshot.Checksum}
		}
		out = append(out, wire)
	}
	return out
}

// Decode reads the wire form; it says false where a message can't be of a sound member.
func Decode(wires []*peerapi.RaftMessage) ([]raft.Message, bool) {
	out := make([]raft.Message, 0, len(wires))
	for _, w := range wires {
		m, readable := decodeMessage(w)
		// A member speaks to itself without the wire.
		if !readable || m.From == m.To || m.Validate() != nil {
			return nil, false
		}
		out = append(out, m)
	}
	return out, true
}

func decodeMessage(w *peerapi.RaftMessage) (raft.Message, bool) {
	if w == nil || w.Kind > uint32(raft.MsgSnapshotReply) {
		return raft.Message{}, false
	}
	m := raft.Message{
		Kind: raft.MessageKind(w.Kind), From: raft.MemberID(w.From), To: raft.MemberID(w.To), Term: raft.Term(w.Term),
		LogIndex: raft.Index(w.LogIndex), LogTerm: raft.Term(w.LogTerm), Commit: raft.Index(w.Commit),
		Reject: w.Reject, Hint: raft.Index(w.Hint), HeartbeatRound: w.ReadContext,
		SnapshotOffset: w.SnapshotOffset, SnapshotSize: w.SnapshotSize, AcceptsChunks: w.AcceptsChunks,
	}
	if digest := w.StateDigest; digest != nil {
		m.StateDigest = &raft.StateDigest{Index: raft.Index(digest.Index), Format: digest.Format, Sum: digest.Sum, Differs: digest.Differs}
	}
	for _, entry := range w.Entries {
		if entry == nil || entry.Kind > uint32(raft.EntryMembership) {
			return raft.Message{}, false
		}
		m.Entries = append(m.Entries, raft.Entry{Term: raft.Term(entry.Term), Index: raft.Index(entry.Index), Kind: raft.EntryKind(entry.Kind), Data: entry.Data})
	}
	if w.Snapshot == nil {
		return m, true
	}
	membership, err := raft.DecodeMembership(w.Snapshot.Membership)
	if err != nil {
		return raft.Message{}, false
	}
	m.Snapshot = &raft.Snapshot{Index: raft.Index(w.Snapshot.Index), Term: raft.Term(w.Snapshot.Term), Membership: membership,
		Data: w.Snapshot.Data, Checksum: w.Snapshot.Checksum}
	return m, true
}

package fellowapi

import (
	"github.com/cresspond/cresspond/process/raft"
)

// FromRaft gives the wire form of raft messages.
func FromRaft(messages []raft.Message) []*RaftMessage {
	out := make([]*RaftMessage, 0, len(messages))
	for _, m := range messages {
		wire := &RaftMessage{
			Kind: uint32(m.Kind), From: uint64(m.From), To: uint64(m.To), Term: uint64(m.Term),
			LogIndex: uint64(m.LogIndex), LogTerm: uint64(m.LogTerm), Commit: uint64(m.Commit),
			Reject: m.Reject, Hint: uint64(m.Hint), ReadMark: m.ReadMark,
		}
		for _, entry := range m.Entries {
			wire.Entries = append(wire.Entries, &RaftEntry{Term: uint64(entry.Term), Index: uint64(entry.Index), Kind: uint32(entry.Kind), Data: entry.Data})
		}
		if m.Snapshot != nil {
			wire.Snapshot = &RaftSnapshot{Index: uint64(m.Snapshot.Index), Term: uint64(m.Snapshot.Term),
				Membership: m.Snapshot.Membership.Encode(), Data: m.Snapshot.Data}
		}
		out = append(out, wire)
	}
	return out
}

// ToRaft reads the wire form; it says false where a message is garbage.
func ToRaft(wires []*RaftMessage) ([]raft.Message, bool) {
	out := make([]raft.Message, 0, len(wires))
	for _, w := range wires {
		if w == nil || w.Kind < uint32(raft.MsgPreVote) || w.Kind > uint32(raft.MsgTimeoutNow) || w.From == 0 || w.To == 0 || w.Term == 0 {
			return nil, false
		}
		m := raft.Message{
			Kind: raft.MessageKind(w.Kind), From: raft.MemberID(w.From), To: raft.MemberID(w.To), Term: raft.Term(w.Term),
			LogIndex: raft.Index(w.LogIndex), LogTerm: raft.Term(w.LogTerm), Commit: raft.Index(w.Commit),
			Reject: w.Reject, Hint: raft.Index(w.Hint), ReadMark: w.ReadMark,
		}
		for place, entry := range w.Entries {
			// Entries follow the place they are appended to without a hole, and none is of a later term than its sender's,
			// nor of the term before the first.
			if entry == nil || entry.Index == 0 || entry.Index != w.LogIndex+uint64(place)+1 || entry.Term == 0 || entry.Term > w.Term || entry.Kind > uint32(raft.EntryMembership) {
				return nil, false
			}
			if raft.EntryKind(entry.Kind) == raft.EntryMembership {
				if _, err := raft.DecodeMembership(entry.Data); err != nil {
					return nil, false
				}
			}
			m.Entries = append(m.Entries, raft.Entry{Term: raft.Term(entry.Term), Index: raft.Index(entry.Index), Kind: raft.EntryKind(entry.Kind), Data: entry.Data})
		}
		if w.Snapshot != nil {
			membership, err := raft.DecodeMembership(w.Snapshot.Membership)
			if err != nil {
				return nil, false
			}
			m.Snapshot = &raft.Snapshot{Index: raft.Index(w.Snapshot.Index), Term: raft.Term(w.Snapshot.Term), Membership: membership, Data: w.Snapshot.Data}
		}
		if (m.Kind == raft.MsgSnapshot) != (m.Snapshot != nil) {
			return nil, false
		}
		out = append(out, m)
	}
	return out, true
}

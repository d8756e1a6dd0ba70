package raftcodec

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// FuzzDecodedMessagesRoundTrip: decoded messages are valid, and the same when encoded and decoded again.
func FuzzDecodedMessagesRoundTrip(f *testing.F) {
	membership := raft.Membership{Members: []raft.Member{{ID: 1, Name: "a", Address: "x:1", Voter: true}}}
	for _, messages := range [][]raft.Message{
		{{Kind: raft.MsgPreVote, From: 1, To: 2, Term: 3}},
		{{Kind: raft.MsgAppend, From: 1, To: 2, Term: 3, LogIndex: 4, LogTerm: 2, Commit: 4, Entries: []raft.Entry{{Term: 3, Index: 5, Data: []byte("x")}, {Term: 3, Index: 6, Kind: raft.EntryMembership, Data: membership.Encode()}}}},
		{{Kind: raft.MsgSnapshot, From: 1, To: 2, Term: 3, Snapshot: &raft.Snapshot{Index: 9, Term: 2, Membership: membership, Data: []byte("{}")}}},
	} {
		data, err := proto.Marshal(&peerapi.RaftBatch{Group: "g", Messages: Encode(messages)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch peerapi.RaftBatch
		if proto.Unmarshal(data, &batch) != nil {
			return
		}
		messages, err := Decode(batch.Messages)
		if err != nil {
			return
		}
		for _, m := range messages {
			if m.From == 0 || m.To == 0 || m.Term == 0 || (m.Kind == raft.MsgSnapshot) != (m.Snapshot != nil) {
				t.Fatalf("%+v is invalid", m)
			}
			for offset, entry := range m.Entries {
				if entry.Index != m.LogIndex+raft.Index(offset)+1 || entry.Index == 0 || entry.Term == 0 || entry.Term > m.Term {
					t.Fatalf("entry %d of %+v", offset, m)
				}
			}
		}
		again, err := Decode(Encode(messages))
		if err != nil || !reflect.DeepEqual(normalized(messages), normalized(again)) {
			t.Fatalf("%+v became %+v", messages, again)
		}
	})
}

// normalized returns the messages with empty slices in place of nil.
func normalized(messages []raft.Message) []raft.Message {
	out := append([]raft.Message(nil), messages...)
	for i := range out {
		entries := append([]raft.Entry(nil), out[i].Entries...)
		for e := range entries {
			entries[e].Data = append([]byte{}, entries[e].Data...)
		}
		out[i].Entries = entries
		if out[i].Snapshot != nil {
			copied := *out[i].Snapshot
			copied.Data = append([]byte{}, copied.Data...)
			copied.Membership.Members = append([]raft.Member{}, copied.Membership.Members...)
			out[i].Snapshot = &copied
		}
	}
	return out
}

package raft

import (
	"encoding/binary"
)

// stateKey builds the key of a state.
type stateKey []byte

func (k *stateKey) number(numbers ...uint64) {
	for _, number := range numbers {
		*k = binary.AppendUvarint(*k, number)
	}
}

func (k *stateKey) flag(set bool) {
	if set {
		k.number(1)
	} else {
		k.number(0)
	}
}

func (k *stateKey) entries(entries []Entry) {
	k.number(uint64(len(entries)))
	for _, entry := range entries {
		k.number(uint64(entry.Index), uint64(entry.Term), uint64(entry.Kind), uint64(len(entry.Data)))
		*k = append(*k, entry.Data...)
	}
}

func (k *stateKey) message(message Message) {
	k.number(uint64(message.Kind), uint64(message.From), uint64(message.To), uint64(message.Term), uint64(message.LogIndex), uint64(message.LogTerm), uint64(message.Commit), uint64(message.Hint))
	k.flag(message.Reject)
	k.entries(message.Entries)
	k.flag(message.Snapshot != nil)
	if message.Snapshot != nil {
		k.snapshot(*message.Snapshot)
	}
}

// key identifies a member's state; timers are left out.
func (n *modelNode) key() string {
	key := make(stateKey, 0, 512)
	core := n.core
	key.number(uint64(core.id), uint64(core.term), uint64(core.vote), uint64(core.role), uint64(core.leader), uint64(core.commitIndex), uint64(core.raftLog.stableIndex))
	key.entries(core.raftLog.entries)
	key.snapshot(core.raftLog.snapshot)
	key.snapshot(n.disk.Snapshot)
	for id := MemberID(1); id <= modelMembers; id++ {
		peer := core.peers[id]
		key.flag(peer != nil)
		if peer != nil {
			key.number(uint64(peer.match), uint64(peer.next))
			key.flag(peer.probing)
			key.transfer(peer.outgoing)
		}
		granted, answered := core.votes[id]
		key.flag(answered)
		key.flag(granted)
	}
	key.number(uint64(core.memberships[len(core.memberships)-1].index), uint64(n.disk.HardState.Term), uint64(n.disk.HardState.Vote))
	key.entries(n.disk.Entries)
	for _, write := range n.pendingWrites {
		key.number(uint64(write.save.HardState.Term), uint64(write.save.HardState.Vote), uint64(write.save.TruncateFrom), uint64(len(write.afterSync)))
		key.entries(write.save.Entries)
		key.number(uint64(write.save.CompactTo))
		key.flag(write.save.Snapshot != nil)
		for _, message := range write.afterSync {
			key.message(message)
		}
	}
	return string(key)
}

func messageKey(message Message) string {
	key := make(stateKey, 0, 128)
	key.message(message)
	return string(key)
}

func intern[T any](key string, known map[string]int, values *[]T, value T) int {
	if id, seen := known[key]; seen {
		return id
	}
	known[key] = len(*values)
	*values = append(*values, value)
	return len(*values) - 1
}

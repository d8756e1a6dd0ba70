package raft

import (
	"encoding/binary"
	"encoding/json"
)

// snapshotData is what a snapshot of the model holds: the entries it stands for, so that checks can look into it.
func snapshotData(entries []Entry) []byte {
	data, err := json.Marshal(entries)
	if err != nil {
		panic(err)
	}
	return data
}

// entriesOf returns the entries that a snapshot stands for, from index 2 on.
func entriesOf(snapshot Snapshot) (entries []Entry) {
	if len(snapshot.Data) > 0 && json.Unmarshal(snapshot.Data, &entries) != nil {
		panic("a snapshot of the model cannot be read")
	}
	return entries
}

// appliedEntries lists what a member holds from index 2 on: the entries of its snapshot, and those of its log behind it.
func appliedEntries(c *Core) []Entry {
	entries := entriesOf(c.raftLog.snapshot)
	for _, entry := range c.raftLog.entries {
		if entry.Index > c.raftLog.snapshot.Index {
			entries = append(entries, entry)
		}
	}
	return entries
}

// compactable is the entry up to which a member may be compacted: all that it has applied, or, with the broken rule, all
// that it has.
func (m *model) compactable(c *Core) Index {
	if m.variant == compactedUncommitted {
		return c.raftLog.lastIndex()
	}
	return c.deliveredIndex
}

// compactTo has a member replace what it holds up to an entry by a snapshot. The core refuses what it has not applied, so
// with the broken rule the member takes it for committed, as whoever reads the snapshot does.
func compactTo(c *Core, upTo Index) Effects {
	c.commitIndex, c.deliveredIndex = max(c.commitIndex, upTo), max(c.deliveredIndex, upTo)
	return c.Step(Compact{Index: upTo, Data: snapshotData(appliedEntries(c)[:upTo-1])})
}

// snapshot adds a snapshot to a key.
func (k *stateKey) snapshot(snapshot Snapshot) {
	k.number(uint64(snapshot.Index), uint64(snapshot.Term), uint64(len(snapshot.Data)))
	*k = append(*k, snapshot.Data...)
}

// transfer adds to a key what a leader knows of a snapshot in transfer.
func (k *stateKey) transfer(outgoing *outgoingSnapshot) {
	k.flag(outgoing != nil)
	if outgoing != nil {
		*k = binary.AppendUvarint(*k, uint64(outgoing.snapshot.Index))
		k.flag(outgoing.resendTicks > 0)
	}
}

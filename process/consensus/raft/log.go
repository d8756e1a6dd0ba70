package raft

// BytesAfter is the size in bytes of the retained entries after an index.
func (c *Core) BytesAfter(index Index) int {
	total := 0
	for position := len(c.raftLog.entries) - 1; position >= 0 && c.raftLog.entries[position].Index > index; position-- {
		total += len(c.raftLog.entries[position].Data)
	}
	return total
}

// raftLog is the log in memory: the newest snapshot and the entries that are not compacted away. Entries before the
// snapshot's index may be retained, for peers that are a little behind.
type raftLog struct {
	snapshot Snapshot
	entries  []Entry
	// stableIndex is the last entry that is synced.
	stableIndex Index
	// base is the position right before the first entry; zero where its term is unknown.
	base position
}

// position is an index and the term of its entry.
type position struct {
	index Index
	term  Term
}

// newLog makes a log of a snapshot and the retained entries, all of them synced.
func newLog(snapshot Snapshot, entries []Entry) raftLog {
	created := raftLog{snapshot: snapshot, entries: entries}
	if len(entries) == 0 || entries[0].Index == snapshot.Index+1 {
		created.base = position{snapshot.Index, snapshot.Term}
	}
	created.stableIndex = created.lastIndex()
	return created
}

// lastIndex is the index of the last entry, or of the snapshot where there are no entries.
func (l *raftLog) lastIndex() Index {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Index
	}
	return l.snapshot.Index
}

// term returns the term of the entry at index, and false where it is compacted away or not there yet.
func (l *raftLog) term(index Index) (Term, bool) {
	if index == 0 {
		return 0, true
	}
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index == l.base.index {
		return l.base.term, true
	}
	if len(l.entries) == 0 || index < l.entries[0].Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.entries[0].Index].Term, true
}

// lastTerm is the term of the last entry.
func (l *raftLog) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// entriesWithin returns entries from index on, up to maxEntries and maxBytes, but at least one where there is any.
func (l *raftLog) entriesWithin(index Index, maxEntries, maxBytes int) []Entry {
	entries := l.entriesFrom(index, maxEntries)
	for offset, entry := range entries {
		if maxBytes -= len(entry.Data); maxBytes < 0 && offset > 0 {
			return entries[:offset]
		}
	}
	return entries
}

// entriesFrom returns a copy of up to maxEntries entries from index on; none where index is compacted away.
func (l *raftLog) entriesFrom(index Index, maxEntries int) []Entry {
	if len(l.entries) == 0 || index < l.entries[0].Index || index > l.lastIndex() {
		return nil
	}
	tail := l.entries[index-l.entries[0].Index:]
	if len(tail) > maxEntries {
		tail = tail[:maxEntries]
	}
	return append([]Entry(nil), tail...)
}

// truncateFrom removes the entry at index and all after it.
func (l *raftLog) truncateFrom(index Index) {
	if len(l.entries) == 0 || index > l.lastIndex() {
		return
	}
	count := int(index) - int(l.entries[0].Index)
	if count < 0 {
		count = 0
	}
	l.entries = append([]Entry(nil), l.entries[:count]...)
	if l.stableIndex >= index {
		l.stableIndex = index - 1
	}
}

// containsAllAfter says whether every entry after index is retained.
func (l *raftLog) containsAllAfter(index Index) bool {
	_, known := l.term(index)
	return known && (len(l.entries) == 0 || l.entries[0].Index <= index+1)
}

// bytesBetween is the size in bytes of the entries after first, up to and including last.
func (l *raftLog) bytesBetween(first, last Index) int {
	total := 0
	for _, entry := range l.entries {
		if entry.Index > first && entry.Index <= last {
			total += len(entry.Data)
		}
	}
	return total
}

// compactTo removes entries up to and including index.
func (l *raftLog) compactTo(index Index) {
	if len(l.entries) == 0 || index < l.entries[0].Index {
		return
	}
	if term, known := l.term(index); known {
		l.base = position{index, term}
	}
	count := int(index) - int(l.entries[0].Index) + 1
	if count > len(l.entries) {
		count = len(l.entries)
	}
	l.entries = append([]Entry(nil), l.entries[count:]...)
}

// upToDate says whether a log that ends at (index, term) is at least as up-to-date as this one (section 3.6.1).
func (l *raftLog) upToDate(index Index, term Term) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

package raft

// replicaLog is the log in memory: a snapshot's place and the entries behind it.
type raftLog struct {
	snapshot    Snapshot
	entries     []Entry
	stableIndex Index
	// base is the place right before the first entry, where it is known.
	base position
}

// place is an index and the term of its entry.
type position struct {
	index Index
	term  Term
}

// newLog makes a log of a snapshot and what is kept of the entries around it.
func newLog(snapshot Snapshot, entries []Entry) raftLog {
	created := raftLog{snapshot: snapshot, entries: entries}
	if len(entries) == 0 || entries[0].Index == snapshot.Index+1 {
		created.base = position{snapshot.Index, snapshot.Term}
	}
	created.stableIndex = created.lastIndex()
	return created
}

func (l *raftLog) lastIndex() Index {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Index
	}
	return l.snapshot.Index
}

// term gives the term of the entry at index, if it is still known.
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

func (l *raftLog) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// part gives entries from index on, up to most of them and to so many bytes, but at least one where there is any.
func (l *raftLog) entriesWithin(index Index, maxEntries, maxBytes int) []Entry {
	entries := l.entriesFrom(index, maxEntries)
	for offset, entry := range entries {
		if maxBytes -= len(entry.Data); maxBytes < 0 && offset > 0 {
			return entries[:offset]
		}
	}
	return entries
}

// from gives up to most entries from index on.
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

// continuesAt says whether the log holds everything behind index.
func (l *raftLog) containsAllAfter(index Index) bool {
	_, known := l.term(index)
	return known && (len(l.entries) == 0 || l.entries[0].Index <= index+1)
}

// bytesBetween counts the bytes of entries behind first, up to and with last.
func (l *raftLog) bytesBetween(first, last Index) int {
	total := 0
	for _, entry := range l.entries {
		if entry.Index > first && entry.Index <= last {
			total += len(entry.Data)
		}
	}
	return total
}

// compactTo drops entries up to and with index.
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

// upToDate says whether a log that ends at (index, term) holds at least what this one does.
func (l *raftLog) upToDate(index Index, term Term) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

package raft

// replicaLog is the log in memory: a snapshot's place and the entries behind it.
type replicaLog struct {
	snapshot Snapshot
	entries  []Entry
	stable   Index
	// base is the place right before the first entry, where it is known.
	base place
}

// place is an index and the term of its entry.
type place struct {
	index Index
	term  Term
}

// newLog makes a log of a snapshot and what is kept of the entries around it.
func newLog(snapshot Snapshot, entries []Entry) replicaLog {
	l := replicaLog{snapshot: snapshot, entries: entries}
	if len(entries) == 0 || entries[0].Index == snapshot.Index+1 {
		l.base = place{snapshot.Index, snapshot.Term}
	}
	l.stable = l.last()
	return l
}

func (l *replicaLog) last() Index {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Index
	}
	return l.snapshot.Index
}

// term gives the term of the entry at index, if it is still known.
func (l *replicaLog) term(index Index) (Term, bool) {
	if index == 0 {
		return 0, true
	}
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index == l.base.index {
		return l.base.term, true
	}
	if len(l.entries) == 0 || index < l.entries[0].Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.entries[0].Index].Term, true
}

func (l *replicaLog) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

// part gives entries from index on, up to most of them and to so many bytes, but at least one where there is any.
func (l *replicaLog) part(index Index, most, bytes int) []Entry {
	out := l.from(index, most)
	for place, entry := range out {
		if bytes -= len(entry.Data); bytes < 0 && place > 0 {
			return out[:place]
		}
	}
	return out
}

// from gives up to most entries from index on.
func (l *replicaLog) from(index Index, most int) []Entry {
	if len(l.entries) == 0 || index < l.entries[0].Index || index > l.last() {
		return nil
	}
	tail := l.entries[index-l.entries[0].Index:]
	if len(tail) > most {
		tail = tail[:most]
	}
	return append([]Entry(nil), tail...)
}

func (l *replicaLog) truncateFrom(index Index) {
	if len(l.entries) == 0 || index > l.last() {
		return
	}
	at := int(index) - int(l.entries[0].Index)
	if at < 0 {
		at = 0
	}
	l.entries = append([]Entry(nil), l.entries[:at]...)
	if l.stable >= index {
		l.stable = index - 1
	}
}

// continuesAt says whether the log holds everything behind index.
func (l *replicaLog) continuesAt(index Index) bool {
	_, held := l.term(index)
	return held && (len(l.entries) == 0 || l.entries[0].Index <= index+1)
}

// bytesBetween counts the bytes of entries behind first, up to and with last.
func (l *replicaLog) bytesBetween(first, last Index) int {
	sum := 0
	for _, entry := range l.entries {
		if entry.Index > first && entry.Index <= last {
			sum += len(entry.Data)
		}
	}
	return sum
}

// compactTo drops entries up to and with index.
func (l *replicaLog) compactTo(index Index) {
	if len(l.entries) == 0 || index < l.entries[0].Index {
		return
	}
	if term, held := l.term(index); held {
		l.base = place{index, term}
	}
	at := int(index) - int(l.entries[0].Index) + 1
	if at > len(l.entries) {
		at = len(l.entries)
	}
	l.entries = append([]Entry(nil), l.entries[at:]...)
}

// upToDate says whether a log that ends at (index, term) holds at least what this one does.
func (l *replicaLog) upToDate(index Index, term Term) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

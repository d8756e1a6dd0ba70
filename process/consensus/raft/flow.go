package raft

// A large append takes a while on a slow link, and heartbeats are answered meanwhile. Without more ado each answer would
// have the same entries sent again, and a member that catches up would get most of its bytes twice or more. So one large
// append is under way to a member at a time, until it is answered or had time to arrive.

const (
	// largeAppend is from how many bytes of entries on an append counts as large.
	largeAppend = 16 << 10
	// slowestBytesPerTick is what the slowest link carries in a tick: 10 Mbit/s, and 50 ms.
	slowestBytesPerTick = 10_000_000 / 8 / 20
	// answerFactor leaves as much time for the disk and the answer as the link takes.
	answerFactor = 2
)

// sentAppend notes that entries are under way to a member.
func (p *progress) sentAppend(entries []Entry) {
	size := 0
	for _, entry := range entries {
		size += len(entry.Data)
	}
	if size < largeAppend {
		return
	}
	p.awaited = entries[len(entries)-1].Index
	p.awaitedFor = 1 + answerFactor*size/slowestBytesPerTick
}

// awaits says whether a large append is under way.
func (p *progress) awaits() bool { return p.awaitedFor > 0 }

// answered takes an answer to an append; it says whether one that was awaited has come.
func (p *progress) answered(m Message) bool {
	if !p.awaits() || !m.Reject && m.LogIndex < p.awaited {
		return false
	}
	p.awaitedFor = 0
	return true
}

// tick counts what a member is waited for down.
func (p *progress) tick() {
	if p.sending != nil {
		p.sending.wait = max(0, p.sending.wait-1)
	}
	p.awaitedFor = max(0, p.awaitedFor-1)
}

package raft

// A large append takes a while on a slow link, and heartbeats are answered meanwhile. Without more ado each answer would
// have the same entries sent again, and a member that catches up would get most of its bytes twice or more. So one large
// append is under way to a member at a time, until it is answered or had time to arrive.

const (
	// largeAppend is from how many bytes of entries on an append counts as large.
	largeAppendBytes = 16 << 10
	// slowestBytesPerTick is what the slowest link carries in a tick: 10 Mbit/s, and 50 ms.
	slowestLinkBytesPerTick = 10_000_000 / 8 / 20
	// answerFactor leaves as much time for the disk and the answer as the link takes.
	replyTimeFactor = 2
)

// sentAppend notes that entries are under way to a member.
func (p *progress) trackAppend(entries []Entry) {
	size := 0
	for _, entry := range entries {
		size += len(entry.Data)
	}
	if size < largeAppendBytes {
		return
	}
	p.inflightIndex = entries[len(entries)-1].Index
	p.inflightTicks = 1 + replyTimeFactor*size/slowestLinkBytesPerTick
}

// awaits says whether a large append is under way.
func (p *progress) appendInFlight() bool { return p.inflightTicks > 0 }

// answered takes an answer to an append; it says whether one that was awaited has come.
func (p *progress) acknowledgeAppend(message Message) bool {
	if !p.appendInFlight() || !message.Reject && message.LogIndex < p.inflightIndex {
		return false
	}
	p.inflightTicks = 0
	return true
}

// tick counts what a member is waited for down.
func (p *progress) tick() {
	if p.outgoing != nil {
		p.outgoing.resendTicks = max(0, p.outgoing.resendTicks-1)
	}
	p.inflightTicks = max(0, p.inflightTicks-1)
}

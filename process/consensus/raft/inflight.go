package raft

// A large append takes several heartbeat intervals on a slow link. Each reply to a heartbeat would have the same entries
// sent again, and a peer that catches up would receive most bytes twice or more. So only one large append is in flight
// to a peer at a time, until it is acknowledged or has had the time to arrive.

const (
	// largeAppendBytes is the size of entries from which on an append counts as large.
	largeAppendBytes = 16 << 10
	// slowestLinkBytesPerTick is what the slowest link carries in a tick of 50 ms at 10 Mbit/s.
	slowestLinkBytesPerTick = 10_000_000 / 8 / 20
	// replyTimeFactor leaves as much time for the disk and the reply as for the link.
	replyTimeFactor = 2
)

// trackAppend records that entries were sent; only a large append is tracked.
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

// awaitsAppend says whether a large append is in flight.
func (p *progress) awaitsAppend() bool { return p.inflightTicks > 0 }

// acknowledgeAppend records a reply to an append; it returns true where that was the large one in flight.
func (p *progress) acknowledgeAppend(message Message) bool {
	if !p.awaitsAppend() || !message.Reject && message.LogIndex < p.inflightIndex {
		return false
	}
	p.inflightTicks = 0
	return true
}

// tick counts the peer's silence, and the time-outs of chunk and append down. A transfer to a peer that fell silent is
// given up; the peer says how much it has received when it is back.
func (p *progress) tick(timing Timing) {
	p.ticksSinceReply++
	if !p.isActive(timing) {
		p.outgoing = nil
	}
	if p.outgoing != nil {
		p.outgoing.resendTicks = max(0, p.outgoing.resendTicks-1)
	}
	p.inflightTicks = max(0, p.inflightTicks-1)
}

package replica

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

func (n *simulatedNode) send(messages []raft.Message) {
	s := n.sim
	for _, m := range messages {
		if m.Kind == raft.MsgHeartbeatReply && m.StateDigest != nil {
			s.digestsCompared++
		}
		if m.To == n.id {
			n.execute(n.core.Step(s.now, raft.Receive{Message: m}))
			continue
		}
		to := s.nodeOf(m.To)
		if to == nil || s.partitioned[[2]int{n.index, to.index}] || s.random.Float64() < s.loss {
			continue
		}
		if m.Snapshot != nil && s.damageSnapshot != nil {
			s.damageSnapshot(&m)
		}
		if s.unchunkedSnapshots {
			m.AcceptsChunks = false
		}
		copies := 1
		if s.faultsEnabled && s.random.IntN(50) == 0 {
			copies = 2
		}
		for range copies {
			delay := s.randomDuration(1, 6)
			if s.faultsEnabled && s.random.IntN(40) == 0 {
				delay += s.randomDuration(0, 400)
			}
			line, sent := n.linkDelay(m)
			if !sent {
				continue
			}
			s.schedule(delay+line, func() { to.receive(m) })
		}
	}
}

// callTimeout is how long a call with messages may take.
const callTimeout = 3 * time.Second

// linkDelay is how long a message waits for a machine's link and takes on it; false where it is dropped. As between
// daemons, large messages are dropped where a megabyte is queued already, and calls time out.
func (n *simulatedNode) linkDelay(m raft.Message) (time.Duration, bool) {
	s := n.sim
	if s.linkBytesPerSecond == 0 {
		return 0, true
	}
	const headBytes, mostWaiting, large = 300, 1 << 20, 4 << 10
	size := headBytes
	for _, entry := range m.Entries {
		size += len(entry.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	if s.linkBusyUntil == nil {
		s.linkBusyUntil = map[int]clock.Mark{}
	}
	takes := func(bytes int) time.Duration {
		return time.Duration(bytes) * time.Second / time.Duration(s.linkBytesPerSecond)
	}
	free := max(s.linkBusyUntil[n.index], s.now)
	if size > large && free.Since(s.now) > takes(mostWaiting) {
		return 0, false
	}
	s.linkBusyUntil[n.index] = free + clock.Mark(takes(size))
	s.sentBytes += size
	line := s.linkBusyUntil[n.index].Since(s.now)
	return line, line <= callTimeout
}

// request sends a command, or a read where there is none, to a node over the network, and its response back.
func (s *simulation) request(to *simulatedNode, command *statemachine.Command, answer func(Response)) {
	s.lastRequestID++
	ref := s.lastRequestID
	if s.random.Float64() < s.loss {
		return
	}
	s.schedule(s.randomDuration(1, 10), func() {
		if !to.up || s.now < to.frozenUntil {
			return
		}
		s.responders[ref] = func(a Response) {
			if s.random.Float64() < s.loss {
				return
			}
			// The state may be used only until the response is handled, so the read takes place here.
			var seen ident.Version
			if a.State != nil {
				seen = a.State.Closures.Version
			}
			s.schedule(s.randomDuration(1, 10), func() {
				if a.State != nil {
					a.Result.Version = seen
				}
				answer(a)
			})
		}
		if command == nil {
			if s.defect == unconfirmedReads && to.core.raft.Role() == raft.Leader {
				reply := s.responders[ref]
				delete(s.responders, ref)
				reply(Response{Outcome: Applied, State: to.core.state})
				return
			}
			to.execute(to.core.Read(s.now, ref))
			return
		}
		to.execute(to.core.Submit(s.now, ref, *command))
	})
}
